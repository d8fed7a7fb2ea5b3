// Package mirror shares watches of the store between entry VMs, so that the number of calls to the store
// doesn't grow with the number of VMs.
//
// Two VMs in each failure domain, the watchers, watch the store itself. Their Mirrors keep the latest
// changes, and the other VMs of the domain watch one of these mirrors instead of the store. Mirrors and
// the store use the same versions, so that a VM can continue any watch at the store. It does so when no
// mirror answers, or when the mirror has lost the store.
//
// # Usage
//
//	m := mirror.New(mirror.Config{Store: store, Members: roster, Self: vm, Call: client.Call})
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
	// maxEvents is the number of changes that are kept for other VMs. A VM that is further behind must
	// list the entries again.
	maxEvents = 1024
	// staleAfter is the time without an answer from the store after which a mirror isn't used. It is longer
	// than a watch without changes, which takes 4 s.
	staleAfter = 5 * time.Second
	// callMargin is the part of a call's timeout that exceeds the wait time of the watch.
	callMargin = 300 * time.Millisecond
	// mirrorRetryDelay is how long a mirror that failed to answer isn't called again.
	mirrorRetryDelay = 10 * time.Second
	// watchMethod is the name of the RPC method.
	watchMethod = "Mirror.Watch"
)

// errNotCurrent is the answer of a mirror that isn't receiving the store's changes at present.
var errNotCurrent = errors.New("mirror has no current view of the store")

// Config configures a Mirror. Metrics may be nil.
type Config struct {
	Store   core.PrefixStore
	Members Members
	Self    core.VM
	// Call calls a method of another entry VM at its control address.
	Call    func(ctx context.Context, address, method string, req, answer any) error
	Log     log.Logger
	Metrics tally.Scope
}

// Members provides the live entry VMs.
type Members interface {
	Alive() []core.VM
}

// Mirror is a core.PrefixStore with shared watches. It is safe for concurrent use.
type Mirror struct {
	cfg     Config
	metrics metrics

	mu      sync.Mutex
	changes map[string]*changes
	// sources holds the VM whose mirror the last watch of each prefix used, empty for the store.
	sources map[string]core.VMID
	// failedAt is when a VM's mirror last failed to answer.
	failedAt map[core.VMID]time.Time
}

// changes holds the latest changes of the keys with one prefix.
type changes struct {
	events []core.Event
	// events are complete for the versions above minVersion and up to maxVersion.
	minVersion, maxVersion core.Version
	// answeredAt is when the store last answered, or zero after an error.
	answeredAt time.Time
	// changed is closed after the next answer or error of the store.
	changed chan struct{}
}

// New returns a mirror without any changes.
func New(cfg Config) *Mirror {
	return &Mirror{
		cfg: cfg, metrics: newMetrics(cfg.Metrics), changes: make(map[string]*changes),
		sources: make(map[string]core.VMID), failedAt: make(map[core.VMID]time.Time),
	}
}

// List implements core.PrefixStore.
func (m *Mirror) List(ctx context.Context, prefix string) ([]core.Entry, core.Version, error) {
	return m.cfg.Store.List(ctx, prefix)
}

// ListStale implements core.PrefixStore.
func (m *Mirror) ListStale(ctx context.Context, prefix string) ([]core.Entry, error) {
	return m.cfg.Store.ListStale(ctx, prefix)
}

// WatchPrefix implements core.PrefixStore. It watches the store if this VM is a watcher, and otherwise the
// mirror of a watcher. If that fails, it watches the store without trying another mirror, so that a
// change is delayed by one watch at most.
func (m *Mirror) WatchPrefix(ctx context.Context, prefix string, after core.Version, wait time.Duration) ([]core.Event, core.Version, error) {
	if vm, ok := m.watcher(); ok {
		m.noteSource(prefix, vm.ID)
		began := time.Now()
		events, at, err := m.watchMirror(ctx, vm, prefix, after, wait)
		if err == nil || errors.Is(err, core.ErrCompacted) || ctx.Err() != nil {
			return events, at, err
		}
		m.metrics.mirrorFailures.Inc(1)
		level.Info(m.cfg.Log).Log("Msg", "mirror failed", "Prefix", prefix, "Mirror", vm.ID, "After", after,
			"WaitedMs", time.Since(began).Milliseconds(), "Err", err)
		m.mu.Lock()
		m.failedAt[vm.ID] = time.Now()
		m.mu.Unlock()
	}
	m.noteSource(prefix, "")
	m.metrics.storeWatches.Inc(1)
	events, at, err := m.cfg.Store.WatchPrefix(ctx, prefix, after, wait)
	m.record(prefix, after, events, at, err)
	return events, at, err
}

// noteSource logs when the source of the prefix changes.
func (m *Mirror) noteSource(prefix string, vm core.VMID) {
	m.mu.Lock()
	old, ok := m.sources[prefix]
	m.sources[prefix] = vm
	m.mu.Unlock()
	if !ok || old != vm {
		level.Info(m.cfg.Log).Log("Msg", "watch source changed", "Prefix", prefix, "Mirror", vm, "Old", old)
	}
}

// watcher returns the VM whose mirror this VM must watch, or false if it must watch the store itself.
func (m *Mirror) watcher() (core.VM, bool) {
	domain := m.cfg.Self.FailureDomain
	alive := slices.DeleteFunc(m.cfg.Members.Alive(), func(vm core.VM) bool { return vm.FailureDomain != domain })
	chosen := place.Owners(core.UpstreamInfo{ID: "watch", FailureDomain: domain}, alive, watchers)
	if slices.ContainsFunc(chosen, func(vm core.VM) bool { return vm.ID == m.cfg.Self.ID }) {
		return core.VM{}, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, vm := range chosen {
		if at, ok := m.failedAt[vm.ID]; vm.Control != "" && (!ok || time.Since(at) >= mirrorRetryDelay) {
			return vm, true
		}
	}
	return core.VM{}, false
}

// WatchRequest asks another VM's mirror for the changes after a version.
type WatchRequest struct {
	Prefix string
	After  core.Version
	Wait   time.Duration
}

// WatchAnswer holds the changes. Compacted is set if the mirror no longer has all of them.
type WatchAnswer struct {
	Events    []core.Event
	At        core.Version
	Compacted bool
}

func (m *Mirror) watchMirror(ctx context.Context, vm core.VM, prefix string, after core.Version, wait time.Duration) ([]core.Event, core.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	var out WatchAnswer
	if err := m.cfg.Call(ctx, vm.Control, watchMethod, &WatchRequest{Prefix: prefix, After: after, Wait: wait}, &out); err != nil {
		return nil, 0, err
	}
	m.metrics.mirrorWatches.Inc(1)
	if out.Compacted {
		return nil, 0, core.ErrCompacted
	}
	for i := range out.Events {
		out.Events[i].Source = vm.ID
	}
	return out.Events, out.At, nil
}

// record keeps the result of a watch at the store for other VMs.
func (m *Mirror) record(prefix string, after core.Version, events []core.Event, at core.Version, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.changes[prefix]
	if !ok {
		c = &changes{changed: make(chan struct{}), minVersion: after, maxVersion: after}
		m.changes[prefix] = c
	}
	close(c.changed)
	c.changed = make(chan struct{})
	if err != nil {
		c.answeredAt = time.Time{}
		return
	}
	c.answeredAt = time.Now()
	if after != c.maxVersion {
		// This VM has listed the entries since: the changes in between are unknown.
		c.events, c.minVersion = nil, after
	}
	c.events = append(c.events, events...)
	c.maxVersion = max(at, after)
	if n := len(c.events) - maxEvents; n > 0 {
		c.minVersion = c.events[n-1].Version
		c.events = slices.Clone(c.events[n:])
	}
}

// serveWatch waits for changes after the version, at most for the given time.
func (m *Mirror) serveWatch(prefix string, after core.Version, wait time.Duration) (WatchAnswer, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		out, changed, err := m.changesAfter(prefix, after)
		if err != nil || out.Compacted || len(out.Events) > 0 {
			return out, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return out, nil
		}
	}
}

// changesAfter returns the changes after the version, and a channel that is closed when there may be more.
func (m *Mirror) changesAfter(prefix string, after core.Version) (WatchAnswer, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.changes[prefix]
	if !ok || time.Since(c.answeredAt) > staleAfter {
		return WatchAnswer{}, nil, errNotCurrent
	}
	if after < c.minVersion {
		return WatchAnswer{Compacted: true}, nil, nil
	}
	out := WatchAnswer{At: max(after, c.maxVersion)}
	for _, e := range c.events {
		if e.Version > after {
			out.Events = append(out.Events, e)
		}
	}
	return out, c.changed, nil
}

// Service serves watches of other VMs over RPC.
type Service struct{ m *Mirror }

// Service returns the RPC service, which must be registered as "Mirror".
func (m *Mirror) Service() *Service { return &Service{m} }

// Watch returns the changes that req asks for. It waits for one, at most for staleAfter.
func (s *Service) Watch(req *WatchRequest, out *WatchAnswer) error {
	answer, err := s.m.serveWatch(req.Prefix, req.After, min(req.Wait, staleAfter))
	*out = answer
	return err
}
