// Package mirror spreads the store's changes between entry VMs, so that the calls to the store don't
// grow with the VMs.
//
// Two VMs in each failure domain watch the store itself. A Mirror keeps the changes that such a VM has
// seen, and the other VMs of the domain watch the mirror instead. Both use the store's versions, so
// that a VM may continue any watch at the store, and does when no mirror answers or the mirrors have
// lost the store.
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

	"snipewall/core"
	"snipewall/core/place"
)

const (
	// watchers is the number of VMs in each failure domain that watch the store itself, so that the
	// loss of one goes unnoticed.
	watchers = 2
	// keptEvents is the number of changes that are kept for other VMs. One that is further behind lists
	// the entries anew.
	keptEvents = 1024
	// staleAfter is the time without an answer of the store after which a mirror isn't used: a watch
	// takes 4 s at most.
	staleAfter = 5 * time.Second
	// callSlack is what a call to a mirror may take beyond its waiting time.
	callSlack = 300 * time.Millisecond
	// passOver is how long a mirror that didn't answer isn't asked again.
	passOver = 10 * time.Second
	// method is the name of the call.
	method = "Mirror.Watch"
)

// errNotCurrent says that the mirror doesn't see the store's changes now.
var errNotCurrent = errors.New("mirror has no current view of the store")

// Config configures a Mirror.
type Config struct {
	Store   core.PrefixStore
	Members Members
	Self    core.VM
	// Call calls a method of another entry VM at its control address.
	Call func(ctx context.Context, address, method string, req, answer any) error
}

// Members are the live entry VMs.
type Members interface {
	Alive() []core.VM
}

// Mirror is a store whose watches are shared. It is safe for concurrent use.
type Mirror struct {
	cfg Config

	mu   sync.Mutex
	logs map[string]*changes
	// failed is when a VM's mirror last gave no answer.
	failed map[core.VMID]time.Time
}

// changes are what this VM has seen of the keys with one prefix.
type changes struct {
	events []core.Event
	// floor and at are the versions that the events lie between.
	floor, at core.Version
	// answered is when the store last answered, zero after an error.
	answered time.Time
	// news is closed at the next change.
	news chan struct{}
}

// New returns a mirror.
func New(cfg Config) *Mirror {
	return &Mirror{cfg: cfg, logs: make(map[string]*changes), failed: make(map[core.VMID]time.Time)}
}

// List implements core.PrefixStore.
func (m *Mirror) List(ctx context.Context, prefix string) ([]core.Entry, core.Version, error) {
	return m.cfg.Store.List(ctx, prefix)
}

// ListStale implements core.PrefixStore.
func (m *Mirror) ListStale(ctx context.Context, prefix string) ([]core.Entry, error) {
	return m.cfg.Store.ListStale(ctx, prefix)
}

// WatchPrefix implements core.PrefixStore: at the store if this VM is one of the watchers, otherwise at
// a watcher. Only one is asked before the store, so that a change is never hidden for longer than one
// watch takes.
func (m *Mirror) WatchPrefix(ctx context.Context, prefix string, after core.Version, wait time.Duration) ([]core.Event, core.Version, error) {
	if vm, ok := m.watcher(); ok {
		events, at, err := m.ask(ctx, vm, prefix, after, wait)
		if err == nil || errors.Is(err, core.ErrCompacted) || ctx.Err() != nil {
			return events, at, err
		}
		m.mu.Lock()
		m.failed[vm.ID] = time.Now()
		m.mu.Unlock()
	}
	events, at, err := m.cfg.Store.WatchPrefix(ctx, prefix, after, wait)
	m.record(prefix, after, events, at, err)
	return events, at, err
}

// watcher returns the VM whose mirror this one watches, or false if it watches the store itself.
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
		if at, ok := m.failed[vm.ID]; vm.Control != "" && (!ok || time.Since(at) >= passOver) {
			return vm, true
		}
	}
	return core.VM{}, false
}

// WatchRequest is a watch of one VM at another one's mirror.
type WatchRequest struct {
	Prefix string
	After  core.Version
	Wait   time.Duration
}

// WatchAnswer holds the changes, or says that the mirror no longer has them.
type WatchAnswer struct {
	Events    []core.Event
	At        core.Version
	Compacted bool
}

func (m *Mirror) ask(ctx context.Context, vm core.VM, prefix string, after core.Version, wait time.Duration) ([]core.Event, core.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	var out WatchAnswer
	if err := m.cfg.Call(ctx, vm.Control, method, &WatchRequest{Prefix: prefix, After: after, Wait: wait}, &out); err != nil {
		return nil, 0, err
	}
	if out.Compacted {
		return nil, 0, core.ErrCompacted
	}
	return out.Events, out.At, nil
}

// record keeps what the store answered for other VMs.
func (m *Mirror) record(prefix string, after core.Version, events []core.Event, at core.Version, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.logs[prefix]
	if !ok {
		c = &changes{news: make(chan struct{}), floor: after, at: after}
		m.logs[prefix] = c
	}
	close(c.news)
	c.news = make(chan struct{})
	if err != nil {
		c.answered = time.Time{}
		return
	}
	c.answered = time.Now()
	if after != c.at {
		// This VM listed the entries meanwhile: what lies between isn't known as changes.
		c.events, c.floor = nil, after
	}
	c.events = append(c.events, events...)
	c.at = max(at, after)
	if n := len(c.events) - keptEvents; n > 0 {
		c.floor = c.events[n-1].Version
		c.events = slices.Clone(c.events[n:])
	}
}

// serve answers a watch of another VM.
func (m *Mirror) serve(prefix string, after core.Version, wait time.Duration) (WatchAnswer, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		out, news, err := m.since(prefix, after)
		if err != nil || out.Compacted || len(out.Events) > 0 {
			return out, err
		}
		select {
		case <-news:
		case <-timer.C:
			return out, nil
		}
	}
}

// since returns the changes after the version, and a channel that is closed at the next one.
func (m *Mirror) since(prefix string, after core.Version) (WatchAnswer, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.logs[prefix]
	if !ok || time.Since(c.answered) > staleAfter {
		return WatchAnswer{}, nil, errNotCurrent
	}
	if after < c.floor {
		return WatchAnswer{Compacted: true}, nil, nil
	}
	out := WatchAnswer{At: max(after, c.at)}
	for _, e := range c.events {
		if e.Version > after {
			out.Events = append(out.Events, e)
		}
	}
	return out, c.news, nil
}

// Service is the mirror's side of the control calls.
type Service struct{ m *Mirror }

// Service returns the service to register as "Mirror".
func (m *Mirror) Service() *Service { return &Service{m} }

// Watch answers a watch of another VM.
func (s *Service) Watch(req *WatchRequest, out *WatchAnswer) error {
	answer, err := s.m.serve(req.Prefix, req.After, min(req.Wait, staleAfter))
	*out = answer
	return err
}
