package mirror

import (
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/place"
)

const (
	// watchers is the number of VMs in each failure domain that watch the store itself. With two, the
	// failure of one has no effect.
	watchers = 2
	// mirrorRetryDelay is how long a mirror that didn't answer isn't called again, since each attempt can
	// delay changes by a whole watch. A mirror that answers but has no recent confirmation costs little.
	mirrorRetryDelay     = 10 * time.Second
	notCurrentRetryDelay = time.Second
)

// source returns the VM whose mirror this VM must watch, or false if it must watch the store itself.
func (m *Mirror) source(prefix string) (core.VM, bool) {
	if vm, ok := m.watcher(); ok {
		return vm, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view(prefix)
	return v.standby, v.standby.ID != "" && time.Now().Before(v.storeRetryAt)
}

// watcher returns the watcher that this VM must follow, or false if it must watch the store itself.
func (m *Mirror) watcher() (core.VM, bool) {
	domain := m.cfg.Self.FailureDomain
	alive := slices.DeleteFunc(slices.Clone(m.cfg.Members.Alive()), func(vm core.VM) bool { return vm.FailureDomain != domain })
	chosen := place.Owners(watchTask(domain), alive, watchers)
	if slices.ContainsFunc(chosen, func(vm core.VM) bool { return vm.ID == m.cfg.Self.ID }) {
		return core.VM{}, false
	}
	if chosen = m.usable(m.others(chosen)); len(chosen) == 0 {
		return core.VM{}, false
	}
	return chosen[0], true
}

// nextStandby returns a VM whose mirror this VM can try while the store fails: the last one that had a recent
// confirmation, or each in turn, those of its failure domain first. If all have failed recently, they are tried
// again, since there is no other source.
func (m *Mirror) nextStandby(prefix string) (core.VM, bool) {
	alive := m.cfg.Members.Alive()
	vms := place.Owners(watchTask(m.cfg.Self.FailureDomain), m.others(slices.Clone(alive)), len(alive))
	if usable := m.usable(slices.Clone(vms)); len(usable) > 0 {
		vms = usable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view(prefix)
	if slices.ContainsFunc(vms, func(vm core.VM) bool { return vm.ID == v.standby.ID }) {
		return v.standby, true
	}
	if len(vms) == 0 {
		return core.VM{}, false
	}
	vm := vms[v.standbyTurn%len(vms)]
	v.standbyTurn++
	return vm, true
}

// watchTask identifies the watches of a failure domain for the choice of the VMs that make them.
func watchTask(domain core.FailureDomain) core.UpstreamInfo {
	return core.UpstreamInfo{ID: "watch", FailureDomain: domain}
}

// others returns the VMs other than this one that have a mirror.
func (m *Mirror) others(vms []core.VM) []core.VM {
	return slices.DeleteFunc(vms, func(vm core.VM) bool { return vm.ID == m.cfg.Self.ID || vm.Control == "" })
}

// usable returns the VMs whose mirrors haven't failed recently.
func (m *Mirror) usable(vms []core.VM) []core.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(vms, func(vm core.VM) bool { return time.Now().Before(m.retryAt[vm.ID]) })
}

// useStandby makes the next watches use the VM's mirror until it is time to try the store again.
func (m *Mirror) useStandby(vm core.VM, w watch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view(w.prefix)
	v.standby, v.storeRetryAt = vm, time.Now().Add(w.wait)
}

// noteSource logs when the source of the prefix changes.
func (m *Mirror) noteSource(prefix string, vm core.VMID) {
	m.mu.Lock()
	v := m.view(prefix)
	old, changed := v.source, !v.hasSource || v.source != vm
	v.source, v.hasSource = vm, true
	m.mu.Unlock()
	if changed {
		level.Info(m.cfg.Log).Log("Msg", "watch source changed", "Prefix", prefix, "Mirror", vm, "Old", old)
	}
}

// noteFailure logs that a mirror failed, and keeps this VM from using it for a while.
func (m *Mirror) noteFailure(w watch, vm core.VMID, waited, age time.Duration, err error) {
	m.metrics.mirrorFailures.Inc(1)
	level.Info(m.cfg.Log).Log("Msg", "mirror failed", "Prefix", w.prefix, "Mirror", vm, "After", w.after,
		"WaitedMs", waited.Milliseconds(), "AgeMs", age.Milliseconds(), "Err", err)
	delay := mirrorRetryDelay
	if errors.Is(err, errNotCurrent) {
		delay = notCurrentRetryDelay
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retryAt[vm] = time.Now().Add(delay)
	if v := m.view(w.prefix); v.standby.ID == vm {
		v.standby = core.VM{}
	}
}
