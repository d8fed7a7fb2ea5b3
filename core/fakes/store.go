package fakes

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"snipewall/core"
)

// errStoreDown is the error of all calls while the store is down.
var errStoreDown = errors.New("store is down")

// Store is an in-memory platform store. It implements core.Store and is safe for concurrent use.
type Store struct {
	mu            sync.Mutex
	entries       map[string]core.Entry
	leases        map[core.LeaseID]*time.Timer
	next          uint64
	down          bool
	delay         time.Duration
	answersToLose int
	calls         int
	// era is the store's era, saved the copy that it comes back from.
	era   core.Era
	saved storeCopy
}

// storeCopy is a former state of the store.
type storeCopy struct {
	entries map[string]core.Entry
	leases  map[core.LeaseID]bool
	next    uint64
}

var _ core.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: make(map[string]core.Entry), leases: make(map[core.LeaseID]*time.Timer)}
}

// SetDown makes all calls fail, or no longer does.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetDelay sets the duration of a call.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers makes the next n calls take effect but return only when their context ends.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// ExpireLeases makes all leases expire.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.revokeLocked(id)
	}
}

// Save keeps a copy of the store's state.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = storeCopy{entries: maps.Clone(s.entries), leases: make(map[core.LeaseID]bool), next: s.next}
	for id := range s.leases {
		s.saved.leases[id] = true
	}
}

// ComeBack makes the store come back from the saved copy in the next era. Versions and leases are given out again, except
// that they contain the era.
func (s *Store) ComeBack() core.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.next, s.entries = s.saved.next, make(map[string]core.Entry)
	for key, e := range s.saved.entries {
		e.Version = s.era.Start() + core.Version(e.Version.Revision())
		s.entries[key] = e
	}
	for id, t := range s.leases {
		if !s.saved.leases[id] {
			t.Stop()
			delete(s.leases, id)
		}
	}
	return s.era
}

// Entries returns all entries with the prefix, and the version of the store.
func (s *Store) Entries(prefix string) ([]core.Entry, core.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []core.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	return out, s.era.Start() + core.Version(s.next)
}

// Close stops all timers.
func (s *Store) Close() { s.ExpireLeases() }

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// do runs f, the effect of one call, subject to the store's faults.
func (s *Store) do(ctx context.Context, f func() error) error {
	s.mu.Lock()
	s.calls++
	delay, down := s.delay, s.down
	s.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
	if down {
		return errStoreDown
	}
	s.mu.Lock()
	err := f()
	lost := s.answersToLose > 0
	if lost {
		s.answersToLose--
	}
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// Get implements core.Store.
func (s *Store) Get(ctx context.Context, key string) (core.Entry, error) {
	var e core.Entry
	err := s.do(ctx, func() error {
		var ok bool
		if e, ok = s.entries[key]; !ok {
			return core.ErrNotFound
		}
		return nil
	})
	return e, err
}

// CompareAndSwap implements core.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expect core.Version, lease core.LeaseID) (core.Version, error) {
	var v core.Version
	err := s.do(ctx, func() error {
		if e, ok := s.entries[key]; e.Version != expect && (ok || expect != s.era.Start()) {
			return core.ErrVersionConflict
		}
		if _, ok := s.leases[lease]; lease != "" && !ok {
			return core.ErrLeaseLost
		}
		s.next++
		v = s.era.Start() + core.Version(s.next)
		s.entries[key] = core.Entry{Key: key, Value: value, Version: v, Lease: lease}
		return nil
	})
	return v, err
}

// Watch implements core.Store. It returns the current entry at once.
func (s *Store) Watch(ctx context.Context, key string, _ core.Version) (core.Entry, error) {
	return s.Get(ctx, key)
}

// Grant implements core.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	var id core.LeaseID
	err := s.do(ctx, func() error {
		s.next++
		id = core.LeaseID(fmt.Sprintf("lease-%d.%d", s.era, s.next))
		s.leases[id] = time.AfterFunc(ttl, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.revokeLocked(id)
		})
		return nil
	})
	return id, err
}

// KeepAlive implements core.Store. It doesn't extend the lease; tests end leases with ExpireLeases.
func (s *Store) KeepAlive(ctx context.Context, id core.LeaseID) error {
	return s.do(ctx, func() error {
		if _, ok := s.leases[id]; !ok {
			return core.ErrLeaseLost
		}
		return nil
	})
}

// Revoke implements core.Store.
func (s *Store) Revoke(ctx context.Context, id core.LeaseID) error {
	return s.do(ctx, func() error {
		s.revokeLocked(id)
		return nil
	})
}

// VMs implements core.Store.
func (s *Store) VMs(context.Context) ([]core.VM, error) { return nil, nil }

func (s *Store) revokeLocked(id core.LeaseID) {
	if t := s.leases[id]; t != nil {
		t.Stop()
	}
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.Lease == id {
			delete(s.entries, key)
		}
	}
}
