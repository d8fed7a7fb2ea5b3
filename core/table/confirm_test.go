package table

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// applyTime is the time within which an accepted table must be in force on each VM that reaches the store.
const applyTime = 7 * time.Second

// unreachableStore is the store as a VM reaches it that can be cut off from it.
type unreachableStore struct {
	core.Store
	isCut *atomic.Bool
}

var errCut = errors.New("store is cut off")

func (s unreachableStore) Get(ctx context.Context, key string) (core.Entry, error) {
	if s.isCut.Load() {
		return core.Entry{}, errCut
	}
	return s.Store.Get(ctx, key)
}

func (s unreachableStore) Watch(ctx context.Context, key string, after core.Version) (core.Entry, error) {
	if s.isCut.Load() {
		return core.Entry{}, errCut
	}
	e, err := s.Store.Watch(ctx, key, after)
	if s.isCut.Load() {
		return core.Entry{}, errCut
	}
	return e, err
}

// Guards against an edit that is late at VMs that reach the store, since those that watch it for them don't.
func TestLateEditWatchersLoseStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		_, err := p.editor().Apply(t.Context(), Edit{ID: "1", Table: mustParse(t, startTable)})
		assert.NilError(t, err)
		f := &cacheFleet{platform: p, membership: &fakeMembership{}}
		for i := range 6 {
			f.membership.alive = append(f.membership.alive, core.VM{ID: core.VMID(fmt.Sprintf("vm-%d", i)), FailureDomain: "here"})
		}
		cut := map[*Cache]*atomic.Bool{}
		for _, vm := range f.membership.alive {
			isCut := &atomic.Bool{}
			c, stop := f.membership.start(t, unreachableStore{p.store, isCut}, vm)
			t.Cleanup(stop)
			f.list, cut[c] = append(f.list, c), isCut
		}
		time.Sleep(70 * time.Second)
		watchers := 0
		for _, c := range f.list {
			if c.Dump().(cacheDump).Watching {
				cut[c].Store(true)
				watchers++
			}
		}
		_, err = p.editor().Apply(t.Context(), Edit{ID: "2", Base: 1, Table: mustParse(t, quote2)})
		assert.NilError(t, err)
		time.Sleep(applyTime)
		assert.Equal(t, f.count(2), len(f.list)-watchers)
	})
}

// Guards against an edit that is late at VMs that reach the store, since any others don't, or don't answer.
func TestLateEditRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 20))
			p := newPlatform(t)
			_, err := p.editor().Apply(t.Context(), Edit{ID: "1", Table: mustParse(t, startTable)})
			assert.NilError(t, err)
			m := &fakeMembership{}
			for i := range 30 {
				m.alive = append(m.alive, core.VM{ID: core.VMID(fmt.Sprintf("vm-%d", i)), FailureDomain: core.FailureDomain(fmt.Sprint(i % 2))})
			}
			var list []*Cache
			var cut []*atomic.Bool
			for _, vm := range m.alive {
				isCut := &atomic.Bool{}
				c, stop := m.start(t, unreachableStore{p.store, isCut}, vm)
				t.Cleanup(stop)
				list, cut = append(list, c), append(cut, isCut)
			}
			time.Sleep(time.Minute + time.Duration(rnd.IntN(5000))*time.Millisecond)
			faulty := rnd.IntN(len(list))
			m.mu.Lock()
			for i, c := range list {
				cut[i].Store(c.Dump().(cacheDump).Watching || rnd.IntN(len(list)) < faulty)
				m.silent[m.alive[i].ID] = rnd.IntN(len(list)) < faulty
			}
			m.mu.Unlock()
			time.Sleep(time.Duration(rnd.IntN(10000)) * time.Millisecond)
			_, err = p.editor().Apply(t.Context(), Edit{ID: "2", Base: 1, Table: mustParse(t, quote2)})
			assert.NilError(t, err)
			time.Sleep(applyTime)
			for i, c := range list {
				assert.Check(t, cut[i].Load() || c.Version() == 2, "seed %d: %s has no new version", seed, m.alive[i].ID)
			}
		})
	}
}

// Guards against an edit that is late after an outage of the store, since failed reads are repeated too rarely.
func TestLateEditAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		_, err := p.editor().Apply(t.Context(), Edit{ID: "1", Table: mustParse(t, startTable)})
		assert.NilError(t, err)
		m := &fakeMembership{alive: []core.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}}
		var list []*Cache
		var isCut atomic.Bool
		for _, vm := range m.alive {
			c, stop := m.start(t, unreachableStore{p.store, &isCut}, vm)
			t.Cleanup(stop)
			list = append(list, c)
		}
		time.Sleep(time.Minute)
		isCut.Store(true)
		time.Sleep(10 * time.Minute)
		_, err = p.editor().Apply(t.Context(), Edit{ID: "2", Base: 1, Table: mustParse(t, quote2)})
		assert.NilError(t, err)
		isCut.Store(false)
		time.Sleep(applyTime)
		for _, c := range list {
			assert.Equal(t, c.Version(), core.Version(2))
		}
	})
}

// Guards against a tree of VMs that isn't one or in which a VM has too much traffic, and against a VM that waits for
// others longer than a late table allows.
func TestChooseConfirmRole(t *testing.T) {
	for _, size := range []int{1, 2, 8, 520} {
		var alive []core.VM
		for i := range size {
			alive = append(alive, core.VM{ID: core.VMID(fmt.Sprintf("vm-%03d", i)), FailureDomain: core.FailureDomain(fmt.Sprint(i % 4))})
		}
		roots := 0
		asked := map[core.VMID]int{}
		for _, vm := range alive {
			r := chooseConfirmRole(vm, alive)
			assert.Assert(t, r.maxAge <= 5*time.Second, "%s waits for %v", vm.ID, r.maxAge)
			if len(r.sources) == 0 {
				roots++
				assert.Equal(t, r.maxAge, freshAge)
				continue
			}
			asked[r.sources[0].ID]++
			for i, s := range r.sources {
				assert.Assert(t, s.ID != vm.ID)
				next := chooseConfirmRole(s, alive)
				assert.Equal(t, len(next.sources), len(r.sources)-i-1, "the sources of %s aren't a path to the root", vm.ID)
			}
		}
		assert.Equal(t, roots, 1)
		for id, n := range asked {
			// The root is also asked by the first VM of each other failure domain.
			assert.Assert(t, n <= fanout+3, "%d VMs ask %s", n, id)
		}
	}
}

// Guards against a confirmation of an older version, of a time before the last one, and of a version that is
// not in force.
func TestConfirm(t *testing.T) {
	clock := core.Instant(time.Hour)
	c := NewCache(CacheConfig{Now: func() core.Instant { return clock }})
	assert.Assert(t, !c.AwaitConfirmation(t.Context(), time.Hour, 0).OK)
	_, err := c.Adopt(encodedTable(t, 2, startTable), "test")
	assert.NilError(t, err)
	assert.Assert(t, !c.confirm(3, clock), "version 3 is not in force")
	assert.Assert(t, c.confirm(2, clock.Add(-time.Second)))
	assert.Assert(t, !c.confirm(2, clock.Add(-2*time.Second)), "an older confirmation")
	// The VM is suspended.
	clock = clock.Add(time.Minute)
	assert.DeepEqual(t, c.AwaitConfirmation(t.Context(), 0, 0), core.Confirmation{OK: true, Version: 2, Age: time.Minute + time.Second})
	_, err = c.Adopt(encodedTable(t, 4, startTable), "test")
	assert.NilError(t, err)
	assert.Assert(t, c.confirm(3, clock), "no version above 3 existed, and 4 is in force")
}

// Guards against a request that is held although there is a newer confirmation, or answered without one.
func TestAwaitConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCache(CacheConfig{Now: now})
		assert.Assert(t, c.confirm(0, now()))
		time.Sleep(time.Second)
		began := time.Now()
		assert.Equal(t, c.AwaitConfirmation(t.Context(), 3*time.Second, askWait).Age, time.Second)
		assert.Equal(t, time.Since(began), time.Duration(0))

		go func() {
			time.Sleep(time.Second)
			c.confirm(0, now())
		}()
		assert.DeepEqual(t, c.AwaitConfirmation(t.Context(), time.Second, askWait), core.Confirmation{OK: true, Held: time.Second})

		began = time.Now()
		assert.Equal(t, c.AwaitConfirmation(t.Context(), 0, askWait).Age, time.Duration(0))
		assert.Equal(t, time.Since(began), askWait)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		began = time.Now()
		c.AwaitConfirmation(ctx, 0, askWait)
		assert.Equal(t, time.Since(began), time.Second)
	})
}
