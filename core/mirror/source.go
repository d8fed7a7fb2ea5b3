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
	// watchers is the number of VMs in each failure domain that watch the store itself, or the roots in a large
	// deployment. With two, the failure of one has no effect.
	watchers = 2
	// rootCount is the number of VMs that watch the store for a large deployment.
	rootCount = 2
	// treeSize is the number of VMs from which on a deployment is large. With fewer, watchers in each failure
	// domain cost little, and save the messages between domains.
	treeSize = 16
	// levelMargin is how much earlier than the VMs that follow it a VM asks the store when its source confirms
	// nothing, and how much shorter the watches of the store are in a large deployment. With it, the failure of a
	// root costs calls of the watchers only, not of all VMs.
	levelMargin = 300 * time.Millisecond
	// mirrorRetryDelay is how long a mirror that didn't answer isn't called again, since each attempt can
	// delay changes by a whole watch. A mirror that answers but has no recent confirmation costs little.
	mirrorRetryDelay     = 10 * time.Second
	notCurrentRetryDelay = time.Second
	// minStoreRetry and maxStoreRetry limit the random time for which a VM that follows others in a large deployment
	// doesn't call the store after a failure of the store. The roots call it meanwhile, and their news is passed on.
	minStoreRetry = 1500 * time.Millisecond
	maxStoreRetry = 2200 * time.Millisecond
)

// position is a VM's place among those that share the watches of the store.
type position struct {
	// sources are the VMs whose mirrors this VM may watch, the preferred one first. It must watch the store itself
	// if there are none.
	sources []core.VM
	// isTree is set in a large deployment: the roots watch the store, the watchers of each failure domain the roots,
	// and the others the watchers.
	isTree bool
	// isRoot and isWatcher tell this VM's level.
	isRoot, isWatcher bool
}

// lead is how much earlier than the lowest level this VM asks the store.
func (p position) lead() time.Duration {
	if p.isTree && (p.isRoot || p.isWatcher) {
		return levelMargin
	}
	return 0
}

// position returns this VM's place. VMs may have different lists of the live VMs, so that nothing rests on their
// agreement.
func (m *Mirror) position() position {
	alive := m.cfg.Members.Alive()
	domain := m.cfg.Self.FailureDomain
	local := slices.DeleteFunc(slices.Clone(alive), func(vm core.VM) bool { return vm.FailureDomain != domain })
	chosen := place.Owners(watchTask(domain), local, watchers)
	p := position{isTree: len(alive) >= m.treeSize, isWatcher: m.isAmong(chosen)}
	if !p.isTree {
		if !p.isWatcher {
			p.sources = m.usable(m.others(chosen))
		}
		return p
	}
	roots := m.roots(alive)
	p.isRoot = m.isAmong(roots)
	switch {
	case p.isRoot:
	case p.isWatcher:
		p.sources = m.usable(m.others(roots))
	default:
		p.sources = m.usable(m.others(append(chosen, roots...)))
	}
	return p
}

// roots returns the VMs that watch the store for a large deployment, in different failure domains if possible. Those
// near this VM come first.
func (m *Mirror) roots(alive []core.VM) []core.VM {
	roots := place.Owners(watchTask(""), alive, 1)
	for _, root := range roots {
		elsewhere := slices.DeleteFunc(slices.Clone(alive), func(vm core.VM) bool { return vm.FailureDomain == root.FailureDomain })
		if len(elsewhere) == 0 {
			return place.Owners(watchTask(""), alive, rootCount)
		}
		roots = append(slices.Clip(roots), place.Owners(watchTask(""), elsewhere, rootCount-1)...)
	}
	slices.SortStableFunc(roots, func(a, b core.VM) int { return m.distance(a) - m.distance(b) })
	return roots
}

// distance is 0 for a VM in this one's failure domain, 1 in its region and 2 elsewhere.
func (m *Mirror) distance(vm core.VM) int {
	switch {
	case vm.FailureDomain == m.cfg.Self.FailureDomain:
		return 0
	case vm.Region == m.cfg.Self.Region:
		return 1
	}
	return 2
}

func (m *Mirror) isAmong(vms []core.VM) bool {
	return slices.ContainsFunc(vms, func(vm core.VM) bool { return vm.ID == m.cfg.Self.ID })
}

// source returns the VM whose mirror this VM must watch, or false if it must watch the store itself.
func (m *Mirror) source(prefix string, p position) (core.VM, bool) {
	if len(p.sources) > 0 {
		return p.sources[0], true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view(prefix)
	return v.standby, v.standby.ID != "" && time.Now().Before(v.storeRetryAt)
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
