package mirror

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// fakeStore is a store with one key, whose version change increments.
type fakeStore struct {
	mu      sync.Mutex
	version core.Version
	changed chan struct{}
	down    bool
	// hanging makes watches miss all changes and end with an error.
	hanging bool
	calls   int
	// value is the value of the key after each change.
	value []byte
	// muted makes watches miss all changes. compacted is the version up to which the history is gone.
	muted     bool
	compacted core.Version
}

var errDown = errors.New("store is down")

func (s *fakeStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack makes the store come back without its last n changes. Their versions are given out again in the next era.
func (s *fakeStore) comeBack(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.version.Revision()
	s.version = (s.version.Era() + 1).Start() + core.Version(revision-min(n, revision-1))
	s.compacted = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) newest() core.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *fakeStore) turn() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// takeCalls returns the number of calls since the last time.
func (s *fakeStore) takeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.calls
	s.calls = 0
	return n
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the history after some time in which watches miss all changes.
func (s *fakeStore) forget(mutedFor time.Duration) {
	s.mu.Lock()
	s.muted = true
	s.mu.Unlock()
	time.Sleep(mutedFor)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted, s.compacted = false, s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]core.Entry, core.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errDown
	}
	return []core.Entry{{Key: prefix, Version: s.version, Value: s.value}}, s.version, nil
}

func (s *fakeStore) ListStale(context.Context, string) ([]core.Entry, error) { return nil, nil }

func (s *fakeStore) WatchPrefix(ctx context.Context, prefix string, after core.Version, wait time.Duration) ([]core.Event, core.Version, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		version, changed, down, hanging, compacted := s.version, s.changed, s.down, s.hanging, s.compacted
		value := s.value
		if s.muted {
			version = after
		}
		s.mu.Unlock()
		if after < compacted {
			return nil, 0, core.ErrCompacted
		}
		if hanging {
			<-timer.C
			return nil, 0, errDown
		}
		if down {
			return nil, 0, errDown
		}
		var events []core.Event
		for v := after + 1; v <= version; v++ {
			events = append(events, core.Event{Entry: core.Entry{Key: prefix, Version: v, Value: value}})
		}
		if len(events) > 0 {
			return events, version, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// fleet is a set of VMs in one failure domain.
type fleet struct {
	store   *fakeStore
	vms     []core.VM
	mirrors map[string]*Mirror
	// cut holds the addresses of VMs that don't answer calls.
	cut sync.Map
}

func (f *fleet) Alive() []core.VM { return append([]core.VM(nil), f.vms...) }

func (f *fleet) call(ctx context.Context, address, _ string, req, answer any) error {
	if _, ok := f.cut.Load(address); ok {
		<-ctx.Done()
		return ctx.Err()
	}
	return f.mirrors[address].Service().Watch(req.(*WatchRequest), answer.(*WatchAnswer))
}

func newFleet(n int) *fleet {
	f := &fleet{store: &fakeStore{version: 5, changed: make(chan struct{})}, mirrors: map[string]*Mirror{}}
	for i := range n {
		name := string(rune('a' + i))
		f.vms = append(f.vms, core.VM{ID: core.VMID(name), FailureDomain: "here", Control: name})
	}
	for _, vm := range f.vms {
		f.mirrors[vm.Control] = New(Config{Store: f.store, Members: f, Self: vm, Call: f.call, Log: log.NewNopLogger(), Now: now})
	}
	return f
}

// watchAll runs watches with the given wait on each VM and returns the last version that each VM has seen.
func (f *fleet) watchAll(t *testing.T, wait time.Duration) *sync.Map {
	t.Helper()
	known := &sync.Map{}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for name, m := range f.mirrors {
		wg.Go(func() {
			at := core.Version(5)
			for ctx.Err() == nil {
				_, next, err := m.WatchPrefix(ctx, "p", at, wait)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				at = next
				known.Store(name, at)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return known
}

func (f *fleet) countBehind(known *sync.Map, want core.Version) int {
	n := 0
	for name := range f.mirrors {
		if v, ok := known.Load(name); !ok || v.(core.Version) < want {
			n++
		}
	}
	return n
}

// Guards against a number of calls to the store that grows with the number of VMs, and against changes
// that reach some VMs late.
func TestSharedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(12)
		known := f.watchAll(t, 4*time.Second)
		time.Sleep(10 * time.Second)
		f.store.mu.Lock()
		f.store.calls = 0
		f.store.mu.Unlock()
		f.store.change()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, f.countBehind(known, 6), 0)
		time.Sleep(40 * time.Second)
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		assert.Assert(t, f.store.calls <= 2*13, "%d calls in 40 s", f.store.calls)
	})
}

// Guards against VMs that miss changes while the watchers don't answer: a change must reach them within
// the 3 s of the target.
func TestWatchersUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		known := f.watchAll(t, applyTime/2)
		time.Sleep(10 * time.Second)
		for _, vm := range f.vms {
			if !watchesMirror(f.mirrors[vm.Control]) {
				f.cut.Store(vm.Control, true)
			}
		}
		f.store.change()
		time.Sleep(applyTime)
		assert.Equal(t, f.countBehind(known, 6), 0)
	})
}

// Guards against mirrors that have lost the store and make other VMs wait that could reach it.
func TestMirrorLosesStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		known := f.watchAll(t, 4*time.Second)
		time.Sleep(10 * time.Second)
		f.store.setDown(true)
		time.Sleep(20 * time.Second)
		f.store.setDown(false)
		f.store.change()
		time.Sleep(time.Second)
		assert.Equal(t, f.countBehind(known, 6), 0)
	})
}

// Guards against a VM that waits for a mirror after its own watch at the store has failed. The mirror gets
// changes again only with its next watch: a VM that called the failing store only once in 2 s lacked a
// configuration 6.2 s after its acknowledgement.
func TestStoreWatchAfterFailedMirror(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		var m *Mirror
		for _, vm := range f.vms {
			if watchesMirror(f.mirrors[vm.Control]) {
				m = f.mirrors[vm.Control]
			}
		}
		f.store.hanging = true
		_, _, err := m.WatchPrefix(t.Context(), "p", 5, 4*time.Second)
		assert.Assert(t, err != nil)
		f.store.hanging = false
		f.store.change()
		events, _, err := m.WatchPrefix(t.Context(), "p", 5, 4*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(events), 1)
	})
}
