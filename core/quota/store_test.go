package quota

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"snipewall/core"
	"snipewall/core/eras"
)

// leaseStore is a store whose leases end without renewals.
type leaseStore struct {
	now func() core.Instant

	mu      sync.Mutex
	entries map[string]core.Entry
	leases  map[core.LeaseID]core.Instant
	next    uint64
	era     core.Era
	down    bool
	calls   map[string]int
}

func newLeaseStore(now func() core.Instant) *leaseStore {
	return &leaseStore{now: now, entries: make(map[string]core.Entry), leases: make(map[core.LeaseID]core.Instant), calls: make(map[string]int)}
}

// forget makes the store lose all entries and leases, as if it came back from a copy that lacks them.
func (s *leaseStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	clear(s.entries)
	clear(s.leases)
}

// count returns the number of calls by their names.
func (s *leaseStore) count() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

func (s *leaseStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// storeView is the store as one VM reaches it.
type storeView struct {
	core.Store
	n    *node
	s    *leaseStore
	eras *eras.Tracker
}

func (n *node) storeView(e *eras.Tracker) *storeView { return &storeView{n: n, s: n.f.store, eras: e} }

func (v *storeView) do(ctx context.Context, name string, fn func() error) error {
	v.n.await()
	time.Sleep(6 * time.Millisecond)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	v.n.mu.Lock()
	cut := v.n.storeCut
	v.n.mu.Unlock()
	s := v.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || cut {
		return errCut
	}
	s.calls[name]++
	v.eras.Note(s.era)
	for id, until := range s.leases {
		if s.now() >= until {
			s.end(id)
		}
	}
	return fn()
}

func (s *leaseStore) end(id core.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.Lease == id {
			delete(s.entries, key)
		}
	}
}

func (v *storeView) Get(ctx context.Context, key string) (e core.Entry, err error) {
	err = v.do(ctx, "Get", func() error {
		var ok bool
		if e, ok = v.s.entries[key]; !ok {
			return core.ErrNotFound
		}
		return nil
	})
	return e, err
}

func (v *storeView) Grant(ctx context.Context, ttl time.Duration) (id core.LeaseID, err error) {
	err = v.do(ctx, "Grant", func() error {
		v.s.next++
		id = core.LeaseID(fmt.Sprint(v.s.next))
		v.s.leases[id] = v.s.now().Add(ttl)
		return nil
	})
	return id, err
}

func (v *storeView) KeepAlive(ctx context.Context, id core.LeaseID) error {
	return v.do(ctx, "KeepAlive", func() error {
		if _, ok := v.s.leases[id]; !ok {
			return core.ErrLeaseLost
		}
		v.s.leases[id] = v.s.now().Add(leaseTTL)
		return nil
	})
}

func (v *storeView) CompareAndSwap(ctx context.Context, key string, value []byte, expect core.Version, lease core.LeaseID) (at core.Version, err error) {
	err = v.do(ctx, "CompareAndSwap", func() error {
		if v.s.entries[key].Version != expect {
			return core.ErrVersionConflict
		}
		if _, ok := v.s.leases[lease]; !ok {
			return core.ErrLeaseLost
		}
		v.s.next++
		at = v.s.era.Start() + core.Version(v.s.next)
		v.s.entries[key] = core.Entry{Key: key, Value: value, Version: at, Lease: lease}
		return nil
	})
	return at, err
}

func (v *storeView) Revoke(ctx context.Context, id core.LeaseID) error {
	return v.do(ctx, "Revoke", func() error {
		v.s.end(id)
		return nil
	})
}
