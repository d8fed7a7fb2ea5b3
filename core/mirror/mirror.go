// Package mirror shares watches of the store between entry VMs, so that the number of calls to the store
// doesn't grow with the number of VMs.
//
// Two VMs in each failure domain, the watchers, watch the store itself, and the other VMs of the domain
// watch the mirror of one of them. In a deployment of treeSize VMs or more, two VMs of the whole deployment, the
// roots, watch the store, and the watchers of each domain watch the mirror of one of them. Each VM's mirror keeps the latest changes that the VM knows, whatever
// their source. Mirrors and the store use the same versions, so that a VM can continue any watch at the
// store or at another mirror.
//
// # Confirmations
//
// A mirror without news may be paused, cut off from the store, or no longer a watcher. Its silence therefore
// proves nothing. Each VM keeps the time at which the store last confirmed that there are no other
// changes than those known, directly or through a chain of mirrors, each of which adds the age of its own
// confirmation to the answer. A watch accepts a confirmation that is as old as its wait time plus a small
// margin. When it gets older, the VM asks the store itself, whatever the mirrors do. Watchers that follow roots do
// so levelMargin earlier, so that their answer reaches the others of their domain in time. A VM that the store
// turns away uses the mirror of any VM that has a confirmation.
//
// # Eras
//
// The store may come back from an older copy in a newer era. A mirror whose view is of an older era than the newest that
// it knows confirms nothing. A VM that watches from an older era lists again. VMs learn of a newer era from the versions
// in each other's calls.
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
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"snipewall/core"
	"snipewall/core/eras"
)

const (
	// callMargin is how much longer than the wait time of a watch a mirror's answer may take, and how much
	// older a confirmation may be: two round trips to a slow store.
	callMargin = 600 * time.Millisecond
	// transferTime is how long an answer of the store may take to arrive after its beginning: that of a VM
	// with a slow link, which lacks many versions of a large configuration.
	transferTime = 2 * time.Second
	// maxSharedBytes is the size up to which VMs send changes to each other. Larger ones come from the store,
	// since a watcher with a slow link would take too long to send them to all VMs of its domain.
	maxSharedBytes = 32 << 10
	// answerMargin is how much earlier than the caller gives up a mirror must answer.
	answerMargin = 200 * time.Millisecond
	// minStoreWait is the shortest wait time of a watch of the store.
	minStoreWait = 10 * time.Millisecond
	// standbyTries is the number of mirrors that are asked after a failure of the store, standbyTimeout
	// limits each of these calls, which are answered without waiting.
	standbyTries   = 2
	standbyTimeout = 400 * time.Millisecond
	// watchMethod is the name of the RPC method.
	watchMethod = "Mirror.Watch"
)

var (
	// errNotCurrent is the failure of a mirror without a recent confirmation of the store.
	errNotCurrent = errors.New("mirror has no current view of the store")
	// errNoHistory says that a mirror lacks the changes that a watch needs. The store may have them.
	errNoHistory = errors.New("mirror lacks older changes")
	// errStoreFailed stands for a call of the store that isn't made, since the last one has just failed.
	errStoreFailed = errors.New("store has failed for this VM")
	// errTooLarge says that the changes of a mirror exceed the limit.
	errTooLarge = errors.New("changes are too large to share")
)

// Config configures a Mirror. Metrics, Eras and Now may be nil.
type Config struct {
	Store   core.PrefixStore
	Members Members
	Self    core.VM
	// Call calls a method of another entry VM at its control address.
	Call func(ctx context.Context, address, method string, req, answer any) error
	// NeedsWatch is set if only watches confirm a view, since a confirmation counts from when others find this VM. The
	// first watch then ends at once.
	NeedsWatch bool
	Log        log.Logger
	Metrics    tally.Scope
	// Eras keeps the newest era of the store; nil stands for one that only the mirrors' versions raise.
	Eras *eras.Tracker
	// Now reads a clock that advances while the VM is suspended; nil stands for core.Now.
	Now func() core.Instant
}

// Members provides the live entry VMs.
type Members interface {
	// Alive returns a list that must not be changed.
	Alive() []core.VM
}

// Mirror is a core.PrefixStore with shared watches. It is safe for concurrent use, with one watch of each
// prefix at a time.
type Mirror struct {
	cfg     Config
	metrics metrics

	mu    sync.Mutex
	views map[string]*view
	// treeSize is the number of VMs of a large deployment.
	treeSize int
	// retryAt is until when the mirror of a VM isn't called, after it has failed.
	retryAt map[core.VMID]time.Time
}

// New returns a mirror without any changes.
func New(cfg Config) *Mirror {
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	if cfg.Eras == nil {
		cfg.Eras = eras.New(eras.Config{Log: cfg.Log})
	}
	return &Mirror{
		cfg: cfg, metrics: newMetrics(cfg.Metrics), views: make(map[string]*view), retryAt: make(map[core.VMID]time.Time),
		treeSize: treeSize,
	}
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
	// storeWait is how long a watch of the store may take, lead how much earlier than others this VM asks the store.
	storeWait, lead time.Duration
}

// maxAge is the age up to which a confirmation suffices.
func (w watch) maxAge() time.Duration { return w.wait + callMargin - w.lead }

// WatchPrefix implements core.PrefixStore. It watches a mirror only while the last confirmation is recent
// enough, so that a change is known after wait and callMargin at the latest if the store answers. If the
// store fails, it asks other mirrors.
func (m *Mirror) WatchPrefix(ctx context.Context, prefix string, after core.Version, wait time.Duration) ([]core.Event, core.Version, error) {
	if !m.cfg.Eras.Note(after.Era()) {
		return nil, 0, core.ErrCompacted
	}
	p := m.position()
	w := watch{prefix: prefix, after: after, wait: wait, storeWait: wait, lead: p.lead()}
	if p.isTree {
		w.storeWait = max(minStoreWait, wait-levelMargin)
	}
	left := w.maxAge() - m.confirmationAge(prefix)
	if vm, ok := m.source(prefix, p); ok && left > 0 {
		m.noteSource(prefix, vm.ID)
		events, at, _, err := m.watchMirror(ctx, vm, w, mirrorCall{hold: max(0, left-answerMargin), timeout: left, maxBytes: maxSharedBytes})
		if isFinal(ctx, err) {
			return events, at, err
		}
		if p.isTree && errors.Is(err, errNoHistory) {
			// The store has most likely dropped its history too. A listing is known to another mirror.
			return nil, 0, core.ErrCompacted
		}
		if p.isTree && errors.Is(err, errTooLarge) {
			m.expectLarge(prefix)
		}
	}
	err := errStoreFailed
	if m.mayCallStore(prefix, p) {
		var events []core.Event
		var at core.Version
		events, at, err = m.watchStore(ctx, w)
		if isFinal(ctx, err) {
			return events, at, err
		}
		m.noteStoreFailure(prefix)
	}
	if events, at, standbyErr := m.watchStandby(ctx, w); standbyErr == nil || errors.Is(standbyErr, core.ErrCompacted) {
		return events, at, standbyErr
	}
	return nil, 0, err
}

// mayCallStore reports whether this VM may call the store now. In a large deployment, VMs that follow others pause
// after a failure of the store.
func (m *Mirror) mayCallStore(prefix string, p position) bool {
	if !p.isTree || p.isRoot {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return !time.Now().Before(m.view(prefix).pausedUntil)
}

// noteStoreFailure begins the pause that mayCallStore observes.
func (m *Mirror) noteStoreFailure(prefix string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view(prefix).pausedUntil = time.Now().Add(minStoreRetry + rand.N(maxStoreRetry-minStoreRetry))
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

// ConfirmedAt returns when the store last confirmed that the last watch of the prefix missed no change, or 0 if
// it never did.
func (m *Mirror) ConfirmedAt(prefix string) core.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v := m.view(prefix); v.isConfirmed {
		return v.confirmedAt
	}
	return 0
}

// ListedAt returns a time at which the last listing of the prefix missed no change, or 0 if there was none.
func (m *Mirror) ListedAt(prefix string) core.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view(prefix).listedAt
}

// watchStore watches the store itself. The wait is shortened so that the confirmation, which other VMs rely
// on, doesn't get older than w.storeWait.
func (m *Mirror) watchStore(ctx context.Context, w watch) ([]core.Event, core.Version, error) {
	m.noteSource(w.prefix, "")
	m.metrics.storeWatches.Inc(1)
	wait := max(minStoreWait, w.storeWait-m.confirmationAge(w.prefix))
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
	req := &WatchRequest{Prefix: w.prefix, After: w.after, Wait: call.hold, MaxBytes: call.maxBytes, KnownAge: m.confirmationAge(w.prefix)}
	err = m.cfg.Call(callCtx, vm.Control, watchMethod, req, &out)
	if err == nil && out.TooLarge {
		return nil, 0, false, errTooLarge
	}
	if err == nil && !m.cfg.Eras.Note(out.At.Era()) {
		err = errNotCurrent
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
	if out.At.Era() != w.after.Era() {
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

func (m *Mirror) expectLarge(prefix string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view(prefix).expectLarge()
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
