// Package mirror shares watches of the store between entry VMs, so that the number of calls to the store
// doesn't grow with the number of VMs.
//
// Two VMs in each failure domain, the watchers, watch the store itself, and the other VMs of the domain
// watch the mirror of one of them. Each VM's mirror keeps the latest changes that the VM knows, whatever
// their source. Mirrors and the store use the same versions, so that a VM can continue any watch at the
// store or at another mirror.
//
// # Confirmations
//
// A mirror without news may be paused, cut off from the store, or no longer a watcher. Its silence therefore
// proves nothing. Each VM keeps the time at which the store last confirmed that there are no other
// changes than those known, directly or through a chain of mirrors, each of which adds the age of its own
// confirmation to the answer. A watch accepts a confirmation that is as old as its wait time plus a small
// margin. When it gets older, the VM asks the store itself, whatever the mirrors do. A VM that the store
// turns away uses the mirror of any VM that has a confirmation.
//
// # Usage
//
//	m := mirror.New(mirror.Config{Store: store, Members: roster, Self: vm, Call: client.Call, Log: logger})
//	err := server.Register("Mirror", m.Service())
//	feed := topo.NewFeed(topo.FeedConfig{Store: m, ...})
package mirror

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"snipewall/core"
	"snipewall/core/place"
)

const (
	// watchers is the number of VMs in each failure domain that watch the store itself. With two, the
	// failure of one has no effect.
	watchers = 2
	// callMargin is how much longer than the wait time of a watch a mirror's answer may take, and how much
	// older a confirmation may be: two round trips to a slow store.
	callMargin = 600 * time.Millisecond
	// transferTime is how long an answer of the store may take to arrive after its beginning: that of a VM
	// with a slow link, which lacks many versions of a large configuration.
	transferTime = 2 * time.Second
	// maxSharedBytes is the size up to which VMs send changes to each other. Larger ones come from the store,
	// since a watcher with a slow link would take too long to send them to all VMs of its domain.
	maxSharedBytes = 32 << 10
	// minStoreWait is the shortest wait time of a watch of the store.
	minStoreWait = 10 * time.Millisecond
	// standbyTries is the number of mirrors that are asked after a failure of the store, standbyTimeout
	// limits each of these calls, which are answered without waiting.
	standbyTries   = 2
	standbyTimeout = 400 * time.Millisecond
	// storeListTimeout limits a listing of the store, standbyListTimeout one of each of standbyTries mirrors after
	// a failure of the store.
	storeListTimeout   = 3 * time.Second
	standbyListTimeout = time.Second
	// maxListAge is how old the confirmation of a mirror's listing may be.
	maxListAge = 2 * time.Second
	// mirrorRetryDelay is how long a mirror that didn't answer isn't called again, since each attempt can
	// delay changes by a whole watch. A mirror that answers but has no recent confirmation costs little.
	mirrorRetryDelay     = 10 * time.Second
	notCurrentRetryDelay = time.Second
	// watchMethod and listMethod are the names of the RPC methods.
	watchMethod = "Mirror.Watch"
	listMethod  = "Mirror.List"
)

var (
	// errNotCurrent is the failure of a mirror without a recent confirmation of the store.
	errNotCurrent = errors.New("mirror has no current view of the store")
	// errNoHistory says that a mirror lacks the changes that a watch needs. The store may have them.
	errNoHistory = errors.New("mirror lacks older changes")
	// errTooLarge says that the changes of a mirror exceed the limit.
	errTooLarge = errors.New("changes are too large to share")
)

// Config configures a Mirror. Metrics and Now may be nil.
type Config struct {
	Store   core.PrefixStore
	Members Members
	Self    core.VM
	// Call calls a method of another entry VM at its control address.
	Call    func(ctx context.Context, address, method string, req, answer any) error
	Log     log.Logger
	Metrics tally.Scope
	// Now reads a clock that advances while the VM is suspended; nil stands for core.Now.
	Now func() core.Instant
}

// Members provides the live entry VMs.
type Members interface {
	Alive() []core.VM
}

// Mirror is a core.PrefixStore with shared watches. It is safe for concurrent use, with one watch of each
// prefix at a time.
type Mirror struct {
	cfg     Config
	metrics metrics

	mu    sync.Mutex
	views map[string]*view
	// retryAt is until when the mirror of a VM isn't called, after it has failed.
	retryAt map[core.VMID]time.Time
}

// New returns a mirror without any changes.
func New(cfg Config) *Mirror {
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	return &Mirror{
		cfg: cfg, metrics: newMetrics(cfg.Metrics), views: make(map[string]*view), retryAt: make(map[core.VMID]time.Time),
	}
}

// List implements core.PrefixStore. If the store fails, it asks other mirrors for a listing that is not older
// than what is known.
func (m *Mirror) List(ctx context.Context, prefix string) ([]core.Entry, core.Version, error) {
	entries, at, err := m.listStore(ctx, prefix)
	for range standbyTries {
		if err == nil || ctx.Err() != nil {
			break
		}
		vm, ok := m.nextStandby(prefix)
		if !ok {
			break
		}
		if answer, ok := m.listMirror(ctx, vm, prefix); ok {
			entries, at, err = answer.Entries, answer.At, nil
		}
	}
	if err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view(prefix).reset(entries, at)
	return entries, at, nil
}

func (m *Mirror) listStore(ctx context.Context, prefix string) ([]core.Entry, core.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeListTimeout)
	defer cancel()
	return m.cfg.Store.List(ctx, prefix)
}

// listMirror asks another VM's mirror for a listing. It returns false if there is none that is recent.
func (m *Mirror) listMirror(ctx context.Context, vm core.VM, prefix string) (ListAnswer, bool) {
	callCtx, cancel := context.WithTimeout(ctx, standbyListTimeout)
	defer cancel()
	m.mu.Lock()
	known := m.view(prefix).maxVersion
	m.mu.Unlock()
	began := m.cfg.Now()
	var out ListAnswer
	err := m.cfg.Call(callCtx, vm.Control, listMethod, &ListRequest{Prefix: prefix, MinVersion: known, MaxAge: maxListAge}, &out)
	if err == nil && !out.OK {
		err = errNotCurrent
	}
	if err != nil {
		if ctx.Err() == nil {
			m.noteFailure(watch{prefix: prefix, after: known}, vm.ID, m.cfg.Now().Sub(began), 0, err)
		}
		return ListAnswer{}, false
	}
	level.Info(m.cfg.Log).Log("Msg", "listed by a mirror", "Prefix", prefix, "Mirror", vm.ID, "Revision", out.At)
	return out, true
}

// ListStale implements core.PrefixStore.
func (m *Mirror) ListStale(ctx context.Context, prefix string) ([]core.Entry, error) {
	return m.cfg.Store.ListStale(ctx, prefix)
}

// watch holds the arguments of a call of WatchPrefix.
type watch struct {
	prefix string
	after  core.Version
	// wait is how long the caller relies on what it knows.
	wait time.Duration
}

// maxAge is the age up to which a confirmation suffices.
func (w watch) maxAge() time.Duration { return w.wait + callMargin }

// WatchPrefix implements core.PrefixStore. It watches a mirror only while the last confirmation is recent
// enough, so that a change is known after wait and callMargin at the latest if the store answers. If the
// store fails, it asks other mirrors.
func (m *Mirror) WatchPrefix(ctx context.Context, prefix string, after core.Version, wait time.Duration) ([]core.Event, core.Version, error) {
	w := watch{prefix: prefix, after: after, wait: wait}
	left := w.maxAge() - m.confirmationAge(prefix)
	if vm, ok := m.source(prefix); ok && left > 0 {
		m.noteSource(prefix, vm.ID)
		events, at, _, err := m.watchMirror(ctx, vm, w, mirrorCall{hold: min(wait, left), timeout: left, maxBytes: maxSharedBytes})
		if isFinal(ctx, err) {
			return events, at, err
		}
	}
	events, at, err := m.watchStore(ctx, w)
	if isFinal(ctx, err) {
		return events, at, err
	}
	if events, at, standbyErr := m.watchStandby(ctx, w); standbyErr == nil || errors.Is(standbyErr, core.ErrCompacted) {
		return events, at, standbyErr
	}
	return nil, 0, err
}

// watchStandby asks the mirrors of other VMs after a failure of the store. A mirror with a recent confirmation
// is used by the next watches. Without news it returns errNotCurrent.
func (m *Mirror) watchStandby(ctx context.Context, w watch) ([]core.Event, core.Version, error) {
	for range standbyTries {
		vm, ok := m.nextStandby(w.prefix)
		if !ok {
			break
		}
		events, at, hasNews, err := m.watchMirror(ctx, vm, w, mirrorCall{timeout: standbyTimeout, maxBytes: maxSharedBytes})
		if errors.Is(err, errTooLarge) {
			events, at, hasNews, err = m.watchMirror(ctx, vm, w, mirrorCall{timeout: transferTime})
		}
		switch {
		case errors.Is(err, errNoHistory):
			m.useStandby(vm, w)
			return nil, 0, core.ErrCompacted
		case err == nil:
			m.useStandby(vm, w)
			if hasNews {
				return events, at, nil
			}
			return nil, 0, errNotCurrent
		case ctx.Err() != nil:
			return nil, 0, ctx.Err()
		}
	}
	return nil, 0, errNotCurrent
}

// isFinal reports whether a watch ends with this result of a source instead of trying another one.
func isFinal(ctx context.Context, err error) bool {
	return err == nil || errors.Is(err, core.ErrCompacted) || ctx.Err() != nil
}

// confirmationAge returns how long ago the store confirmed what is known.
func (m *Mirror) confirmationAge(prefix string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view(prefix).age(m.cfg.Now())
}

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
	alive := slices.DeleteFunc(m.cfg.Members.Alive(), func(vm core.VM) bool { return vm.FailureDomain != domain })
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
	vms := place.Owners(watchTask(m.cfg.Self.FailureDomain), m.others(alive), len(alive))
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

// watchStore watches the store itself. The wait is shortened so that the confirmation, which other VMs rely
// on, doesn't get older than w.wait.
func (m *Mirror) watchStore(ctx context.Context, w watch) ([]core.Event, core.Version, error) {
	m.noteSource(w.prefix, "")
	m.metrics.storeWatches.Inc(1)
	wait := max(minStoreWait, w.wait-m.confirmationAge(w.prefix))
	ctx, cancel := context.WithTimeout(ctx, wait+core.WatchMargin+transferTime)
	defer cancel()
	began := m.cfg.Now()
	events, at, err := m.cfg.Store.WatchPrefix(ctx, w.prefix, w.after, wait)
	if err != nil {
		if !errors.Is(err, core.ErrCompacted) {
			m.lose(w.prefix)
		}
		return nil, 0, err
	}
	confirmedAt := began
	if len(events) == 0 && m.cfg.Now().Sub(began) >= wait {
		// The store answers without events only after the wait.
		confirmedAt = began.Add(wait)
	}
	m.record(w, events, at, confirmedAt)
	return events, at, nil
}

// mirrorCall holds the limits of a call of another VM's mirror, which may hold the request for some time.
// maxBytes limits the size of the changes; 0 means no limit.
type mirrorCall struct {
	hold, timeout time.Duration
	maxBytes      int
}

// watchMirror watches another VM's mirror. Without events it fails unless the mirror has a recent
// confirmation. It reports whether it has brought events or a newer confirmation.
func (m *Mirror) watchMirror(ctx context.Context, vm core.VM, w watch, call mirrorCall) (events []core.Event, at core.Version, hasNews bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	began := m.cfg.Now()
	var out WatchAnswer
	req := &WatchRequest{Prefix: w.prefix, After: w.after, Wait: call.hold, MaxBytes: call.maxBytes}
	err = m.cfg.Call(callCtx, vm.Control, watchMethod, req, &out)
	if err == nil && out.TooLarge {
		return nil, 0, false, errTooLarge
	}
	if err == nil && !out.Compacted && len(out.Events) == 0 && (!out.HasAge || out.Lost || out.Age > w.maxAge()) {
		err = errNotCurrent
	}
	if err != nil {
		if ctx.Err() == nil {
			m.noteFailure(w, vm.ID, m.cfg.Now().Sub(began), out.Age, err)
		}
		return nil, 0, false, err
	}
	m.metrics.mirrorWatches.Inc(1)
	if out.Compacted {
		return nil, 0, false, errNoHistory
	}
	for i := range out.Events {
		out.Events[i].Source = vm.ID
	}
	var confirmedAt core.Instant
	if out.HasAge {
		// The answer left the mirror at least Held after the request left this VM.
		confirmedAt = began.Add(out.Held - out.Age)
	}
	at = max(out.At, w.after)
	return out.Events, at, m.record(w, out.Events, at, confirmedAt), nil
}

// record keeps the result of a watch for other VMs, and confirms that there was nothing else at the given
// time. It reports whether there is news.
func (m *Mirror) record(w watch, events []core.Event, at core.Version, confirmedAt core.Instant) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view(w.prefix).add(w.after, events, at, confirmedAt)
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

// lose notes a failure of the store.
func (m *Mirror) lose(prefix string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view(prefix).lose()
}

// view returns the view of the prefix. The caller holds mu.
func (m *Mirror) view(prefix string) *view {
	v, ok := m.views[prefix]
	if !ok {
		v = newView()
		m.views[prefix] = v
	}
	return v
}
