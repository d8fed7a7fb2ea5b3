package mirror

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/topo"
)

const (
	// applyTime is the time within which an acknowledged change must be known to each VM that reaches
	// the store.
	applyTime = 3 * time.Second
	// stableTime is how long after its last fault a VM counts as one without faults.
	stableTime = 5 * time.Second
	// phases is the number of runs of each scenario. They spread the disturbance over phaseTime, which
	// is longer than a watch.
	phases    = 240
	phaseTime = 6 * time.Second
	// messageTime is the time that a message takes between two VMs or to the store.
	messageTime = time.Millisecond
	// The VMs start up to startPhases-1 intervals apart, since the order of their watches matters.
	startInterval = 130 * time.Millisecond
	startPhases   = 31
	prefix        = "p"
	fleetSize     = 6
	// treeFleetSize is the number of VMs of a large deployment, in treeDomains failure domains.
	treeFleetSize = 12
	treeDomains   = 3
	// largeFleetSize and largeDomains are those of the fleet in which calls are counted.
	largeFleetSize = 66
	largeDomains   = 6
	// linkRate is the bytes per second of a link of 10 Mbit/s.
	linkRate = 10e6 / 8
)

// layout is how the VMs of a fleet share the watches.
type layout uint8

const (
	// oneDomain has fleetSize VMs in one failure domain, whose watchers watch the store.
	oneDomain layout = iota
	// tree has treeFleetSize VMs with roots.
	tree
	// large is tree with largeFleetSize VMs.
	large
)

// simulation is a fleet of VMs that follow one key of the store with feeds.
type simulation struct {
	t      *testing.T
	layout layout
	store  *fakeStore
	// hidden holds the VMs that are missing from the lists of VMs.
	hidden map[core.VMID]bool
	// lists, if set, holds a list of its own for each VM.
	lists   map[core.VMID][]core.VM
	vms     []core.VM
	mirrors map[core.VMID]*Mirror
	links   map[core.VMID]*link
	group   sync.WaitGroup
	// calls counts the calls between VMs.
	calls atomic.Int64

	mu sync.Mutex
	// knownAt is when each VM learned of the version, latest the newest version that it knows.
	knownAt map[core.VMID]map[core.Version]time.Time
	latest  map[core.VMID]core.Version
}

// link is the state of a VM's connections. The zero value works.
type link struct {
	mu sync.Mutex
	// storeSilent makes the store not answer the VM, storeRefuses makes it refuse the VM's calls.
	storeSilent, storeRefuses bool
	// transferTime is how long each change in an answer of the store takes to arrive.
	transferTime time.Duration
	// answerDelay is how much later the store's answers to watches arrive, by turns not at all, once and twice.
	answerDelay time.Duration
	// sendRate limits the bytes per second that the VM sends to other VMs; 0 means no limit. sentAt is when it
	// will have sent the answers so far.
	sendRate int
	sentAt   time.Time
	// deaf makes the VM not receive calls of other VMs, mute drops its answers to them. isolated keeps it
	// from calling other VMs.
	deaf, mute, isolated bool
	// changed is closed when the state changes.
	changed chan struct{}
}

func (l *link) set(change func(l *link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *link) get() link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return link{
		storeSilent: l.storeSilent, transferTime: l.transferTime, answerDelay: l.answerDelay, storeRefuses: l.storeRefuses, deaf: l.deaf, mute: l.mute, isolated: l.isolated, changed: l.changed,
	}
}

// send waits until an answer of n bytes has been sent to another VM.
func (l *link) send(n int) {
	l.mu.Lock()
	if l.sendRate == 0 {
		l.mu.Unlock()
		return
	}
	if now := time.Now(); l.sentAt.Before(now) {
		l.sentAt = now
	}
	l.sentAt = l.sentAt.Add(time.Duration(n) * time.Second / time.Duration(l.sendRate))
	sentAt := l.sentAt
	l.mu.Unlock()
	time.Sleep(time.Until(sentAt))
}

// linkedStore is the store as one VM reaches it.
type linkedStore struct {
	*fakeStore
	link *link
}

func (s linkedStore) List(ctx context.Context, prefix string) ([]core.Entry, core.Version, error) {
	if err := s.link.reachStore(ctx); err != nil {
		return nil, 0, err
	}
	if err := transfer(ctx, s.link.get().transferTime); err != nil {
		return nil, 0, err
	}
	return s.fakeStore.List(ctx, prefix)
}

func (s linkedStore) WatchPrefix(ctx context.Context, prefix string, after core.Version, wait time.Duration) ([]core.Event, core.Version, error) {
	answerCtx, cancel := context.WithTimeout(ctx, wait+core.WatchMargin)
	defer cancel()
	if err := s.link.reachStore(answerCtx); err != nil {
		return nil, 0, err
	}
	events, at, err := s.fakeStore.WatchPrefix(answerCtx, prefix, after, wait)
	state := s.link.get()
	if state.storeSilent {
		// The answer is lost.
		<-answerCtx.Done()
		return nil, 0, answerCtx.Err()
	}
	if transfer(ctx, time.Duration(len(events))*state.transferTime+time.Duration(s.turn()%3)*state.answerDelay) != nil {
		return nil, 0, core.ErrCompacted
	}
	return events, at, err
}

// transfer waits for d, or returns an error as soon as ctx ends. It uses no timer that has expired already: when several
// goroutines of a synctest bubble select from such timers at once, the race detector's runtime crashes (go1.26).
func transfer(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reachStore sends a request to the store. While the store is silent, it blocks until ctx ends.
func (l *link) reachStore(ctx context.Context) error {
	time.Sleep(messageTime)
	state := l.get()
	if state.storeRefuses {
		return errDown
	}
	if state.storeSilent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// members is the list of VMs as one VM knows it.
type members struct {
	s    *simulation
	self core.VMID
}

func (m members) Alive() []core.VM {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	if list, ok := m.s.lists[m.self]; ok {
		return slices.Clone(list)
	}
	return slices.DeleteFunc(slices.Clone(m.s.vms), func(vm core.VM) bool { return m.s.hidden[vm.ID] && vm.ID != m.self })
}

// simulate runs fleets of both layouts, beside other tests, since it takes long. prepare, if set, changes it before its start. disturb changes it at a time that differs in
// each phase, and the store's key changes after that. It returns how long the VM that was last took to learn of the
// change, over all phases, and fails the test if a VM other than exempt never does.
func simulate(t *testing.T, prepare, disturb func(s *simulation), exempt func(s *simulation, id core.VMID) bool) time.Duration {
	t.Helper()
	t.Parallel()
	return max(simulateLayout(t, oneDomain, prepare, disturb, exempt), simulateLayout(t, tree, prepare, disturb, exempt))
}

// simulateLayout is simulate for one layout.
func simulateLayout(t *testing.T, l layout, prepare, disturb func(s *simulation), exempt func(s *simulation, id core.VMID) bool) time.Duration {
	t.Helper()
	var worst time.Duration
	for phase := range phases {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, l)
			if prepare != nil {
				prepare(s)
			}
			defer s.group.Wait()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			for _, vm := range s.vms {
				s.run(ctx, vm.ID)
				time.Sleep(time.Duration(phase%startPhases) * startInterval)
			}
			time.Sleep(10*time.Second + time.Duration(phase)*phaseTime/phases)
			disturb(s)
			// The change follows at once, within a watch, or when the disturbance has lasted for a while.
			time.Sleep([]time.Duration{0, 700 * time.Millisecond, 2600 * time.Millisecond}[phase%3])
			s.store.change()
			changedAt := time.Now()
			time.Sleep(15 * time.Second)
			for _, vm := range s.vms {
				if exempt != nil && exempt(s, vm.ID) {
					continue
				}
				at, ok := s.learned(vm.ID, 6)
				assert.Assert(t, ok, "phase %d: VM %s never learned of the change", phase, vm.ID)
				worst = max(worst, at.Sub(changedAt))
			}
		})
	}
	t.Logf("layout %d: latest VM: %v after the change", l, worst)
	return worst
}

// runFleet runs a fleet of n VMs in one failure domain for some time and then the scenario.
func runFleet(t *testing.T, n int, scenario func(t *testing.T, s *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, oneDomain)
		s.vms = s.vms[:n]
		defer s.group.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, vm := range s.vms {
			s.run(ctx, vm.ID)
		}
		time.Sleep(10 * time.Second)
		scenario(t, s)
	})
}

func newSimulation(t *testing.T, l layout) *simulation {
	n, domains := fleetSize, 1
	switch l {
	case tree:
		n, domains = treeFleetSize, treeDomains
	case large:
		n, domains = largeFleetSize, largeDomains
	}
	s := &simulation{
		t: t, layout: l, store: &fakeStore{version: 5, changed: make(chan struct{})}, hidden: map[core.VMID]bool{},
		lists: map[core.VMID][]core.VM{}, mirrors: map[core.VMID]*Mirror{}, links: map[core.VMID]*link{},
		knownAt: map[core.VMID]map[core.Version]time.Time{}, latest: map[core.VMID]core.Version{},
	}
	for i := range n {
		id := core.VMID(fmt.Sprintf("vm-%d", i))
		domain := core.FailureDomain(fmt.Sprintf("domain-%d", i%domains))
		vm := core.VM{ID: id, FailureDomain: domain, Control: string(id)}
		s.vms = append(s.vms, vm)
		s.links[id] = &link{changed: make(chan struct{})}
		s.knownAt[id] = map[core.Version]time.Time{}
	}
	for _, vm := range s.vms {
		s.startMirror(vm)
	}
	return s
}

// startMirror gives the VM a mirror that knows nothing, as after a restart.
func (s *simulation) startMirror(vm core.VM) {
	m := New(Config{
		Store: linkedStore{s.store, s.links[vm.ID]}, Members: members{s, vm.ID}, Self: vm, Log: log.NewNopLogger(),
		Call: s.callFrom(vm.ID), Now: now,
	})
	if s.layout == tree {
		m.treeSize = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mirrors[vm.ID] = m
	s.latest[vm.ID] = 0
}

// newest returns the newest version that the VM knows.
func (s *simulation) newest(id core.VMID) core.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest[id]
}

func (s *simulation) mirror(id core.VMID) *Mirror {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mirrors[id]
}

// now is the clock of the fake store and VMs, which are never suspended.
func now() core.Instant { return core.Instant(time.Now().UnixNano()) }

// run runs the VM's feed until ctx ends.
func (s *simulation) run(ctx context.Context, id core.VMID) {
	m := s.mirror(id)
	update := func(v core.Version) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.mirrors[id] == m {
			s.latest[id] = max(s.latest[id], v)
		}
	}
	learn := func(v core.Version) {
		update(v)
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, ok := s.knownAt[id][v]; !ok {
			s.knownAt[id][v] = time.Now()
		}
	}
	feed := topo.NewFeed(topo.FeedConfig{
		Title: "test", Store: m, Relist: m.Relist, Prefix: prefix, Log: log.NewNopLogger(),
		Reset: func(_ []core.Entry, at core.Version) { update(at) },
		Event: func(e core.Event) { learn(e.Version) },
	})
	s.group.Go(func() { _ = feed.Run(ctx) })
}

func (s *simulation) learned(id core.VMID, v core.Version) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.knownAt[id][v]
	return at, ok
}

// callFrom returns the control calls that the VM makes.
func (s *simulation) callFrom(id core.VMID) func(ctx context.Context, address, method string, req, answer any) error {
	return func(ctx context.Context, address, method string, req, answer any) error {
		if s.links[id].get().isolated {
			<-ctx.Done()
			return ctx.Err()
		}
		return s.call(ctx, address, method, req, answer)
	}
}

// call is the control call between VMs. A VM that is deaf or mute leaves the caller without an answer.
func (s *simulation) call(ctx context.Context, address, _ string, req, answer any) error {
	s.calls.Add(1)
	id := core.VMID(address)
	l := s.links[id]
	time.Sleep(messageTime)
	if l.get().deaf {
		<-ctx.Done()
		return ctx.Err()
	}
	// results receives a function that copies the answer to the caller's.
	results := make(chan func(), 1)
	s.group.Go(func() {
		switch req := req.(type) {
		case *WatchRequest:
			out := s.mirror(id).serveWatch(req)
			l.send(size(out.Events))
			results <- func() { *answer.(*WatchAnswer) = out }
		case *ListRequest:
			out := s.mirror(id).serveList(req)
			n := 0
			for _, e := range out.Entries {
				n += len(e.Value)
			}
			l.send(n)
			results <- func() { *answer.(*ListAnswer) = out }
		}
	})
	for {
		state := l.get()
		select {
		case deliver := <-results:
			if state.mute || state.deaf {
				<-ctx.Done()
				return ctx.Err()
			}
			deliver()
			return nil
		case <-state.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// watchers returns the VMs that watch the store themselves.
func (s *simulation) watchers() []core.VMID {
	var out []core.VMID
	for _, vm := range s.vms {
		if !watchesMirror(s.mirror(vm.ID)) {
			out = append(out, vm.ID)
		}
	}
	return out
}

// watchesMirror reports whether the VM follows another one instead of the store.
func watchesMirror(m *Mirror) bool { return len(m.position().sources) > 0 }

// domainWatchers returns the VMs that follow the roots.
func (s *simulation) domainWatchers() []core.VMID {
	var out []core.VMID
	for _, vm := range s.vms {
		if p := s.mirror(vm.ID).position(); p.isTree && p.isWatcher && !p.isRoot {
			out = append(out, vm.ID)
		}
	}
	return out
}

// disturbWatchers changes the links of all watchers.
func disturbWatchers(change func(l *link)) func(s *simulation) {
	return func(s *simulation) {
		for _, id := range s.watchers() {
			s.links[id].set(change)
		}
	}
}

// hideWatchers removes the VMs that would be the watchers from the lists of the others.
func hideWatchers(s *simulation) {
	for _, id := range s.watchers() {
		s.hidden[id] = true
	}
}
