package roster

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// fakeStore holds the entries of all VMs.
type fakeStore struct {
	mu      sync.Mutex
	entries map[string]core.Entry
	version core.Version
	down    bool
	calls   int
}

var errDown = errors.New("down")

func (s *fakeStore) begin() error {
	s.calls++
	if s.down {
		return errDown
	}
	return nil
}

func (s *fakeStore) Get(_ context.Context, key string) (core.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], s.begin()
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, expect core.Version, id core.LeaseID) (core.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(); err != nil {
		return 0, err
	}
	if s.entries[key].Version != expect {
		return 0, core.ErrVersionConflict
	}
	s.version++
	s.entries[key] = core.Entry{Key: key, Value: value, Version: s.version, Lease: id}
	return s.version, nil
}

func (s *fakeStore) List(ctx context.Context, prefix string) ([]core.Entry, core.Version, error) {
	entries, err := s.ListStale(ctx, prefix)
	return entries, 0, err
}

func (s *fakeStore) ListStale(context.Context, string) ([]core.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []core.Entry
	for _, e := range s.entries {
		out = append(out, e)
	}
	return out, s.begin()
}

func (s *fakeStore) Watch(context.Context, string, core.Version) (core.Entry, error) {
	return core.Entry{}, errDown
}
func (s *fakeStore) Grant(context.Context, time.Duration) (core.LeaseID, error) { return "1", nil }
func (s *fakeStore) KeepAlive(context.Context, core.LeaseID) error              { return nil }
func (s *fakeStore) Revoke(context.Context, core.LeaseID) error                 { return nil }
func (s *fakeStore) VMs(context.Context) ([]core.VM, error)                     { return nil, nil }

func start(t *testing.T, s *fakeStore, id core.VMID) *Roster {
	t.Helper()
	r := New(Config{Self: core.VM{ID: id, Relay: string(id) + ":1"}, Store: s, Log: log.NewNopLogger()})
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-end)
	})
	return r
}

// Guards against VMs that start at the same time and don't find each other, and against too many calls to
// the store, each of which is charged.
func TestVMsFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{entries: map[string]core.Entry{}}
		a, b := start(t, s, "a"), start(t, s, "b")
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(a.Alive()), 2)
		assert.Equal(t, len(b.Alive()), 2)
		s.mu.Lock()
		calls := s.calls
		s.mu.Unlock()
		time.Sleep(time.Minute)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Assert(t, s.calls-calls <= 2*14, "%d calls in a minute", s.calls-calls)
	})
}

// Guards against VMs that start at the same time and begin to share work before they find each other.
func TestFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{entries: map[string]core.Entry{}}
		a := start(t, s, "a")
		time.Sleep(300 * time.Millisecond)
		b := start(t, s, "b")
		for _, r := range []*Roster{a, b} {
			<-r.Found()
			assert.Equal(t, len(r.Alive()), 2)
		}
		assert.Assert(t, a.enlistedAt != 0)
	})
}

// Guards against dropping live VMs whose entries the store has lost, and against an entry that is not
// written again.
func TestEntriesLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{entries: map[string]core.Entry{}}
		a, b := start(t, s, "a"), start(t, s, "b")
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		clear(s.entries)
		s.mu.Unlock()
		for range 20 {
			time.Sleep(time.Second)
			assert.Equal(t, len(a.Alive()), 2)
		}
		assert.Equal(t, len(b.Alive()), 2)
	})
}

// Guards against a VM that is stopping and is still given work, since the others don't list it as leaving.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{entries: map[string]core.Entry{}}
		a, b := start(t, s, "a"), start(t, s, "b")
		time.Sleep(10 * time.Second)
		b.Leave()
		time.Sleep(listInterval + time.Second)
		for _, vm := range a.Alive() {
			assert.Equal(t, vm.Leaving, vm.ID == "b")
		}
	})
}

// Guards against an empty list while the store is down.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{entries: map[string]core.Entry{}}
		a := start(t, s, "a")
		start(t, s, "b")
		time.Sleep(10 * time.Second)
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		time.Sleep(time.Minute)
		assert.Equal(t, len(a.Alive()), 2)
	})
}

// Guards against a list that costs more with each call the more VMs there are: calls come many times a second.
func TestAliveDoesNotAllocate(t *testing.T) {
	r := New(Config{Self: core.VM{ID: "vm"}, Store: &fakeStore{entries: map[string]core.Entry{}}, Log: log.NewNopLogger()})
	listed := map[core.VMID]core.VM{}
	for i := range 200 {
		id := core.VMID(strconv.Itoa(i))
		listed[id] = core.VM{ID: id}
	}
	r.update(listed)
	assert.Equal(t, len(r.Alive()), 201)
	assert.Equal(t, testing.AllocsPerRun(100, func() { r.Alive() }), 0.0)
}

// Guards against a list that lacks VMs which started at the same time, and counts as complete.
func TestSettlesAfterStart(t *testing.T) {
	r := New(Config{Self: core.VM{ID: "vm"}, Store: &fakeStore{entries: map[string]core.Entry{}}, Log: log.NewNopLogger()})
	assert.NilError(t, r.list(t.Context()))
	assert.Assert(t, !r.IsSettled(), "without an entry")
	r.enlistedAt = core.Now() - core.Instant(settleTime) + core.Instant(time.Minute)
	assert.NilError(t, r.list(t.Context()))
	assert.Assert(t, !r.IsSettled(), "too early")
	r.enlistedAt = core.Now() - core.Instant(settleTime)
	assert.NilError(t, r.list(t.Context()))
	assert.Assert(t, r.IsSettled())
}
