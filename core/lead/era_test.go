package lead

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/eras"
	"snipewall/core/fakes"
	"snipewall/core/permit"
)

// holderVM is a VM's driver on a store that it shares with others.
type holderVM struct {
	*Driver
	eras *eras.Tracker
}

func newHolderVM(store core.Store, id core.VMID) holderVM {
	now := func() core.Instant { return core.Instant(time.Now().UnixNano()) }
	e := eras.New(eras.Config{Now: now})
	f := newFakeCluster()
	return holderVM{New(Config{Cluster: f, Store: store, Promoter: f, Pauser: f, Self: id, Log: log.NewNopLogger(), Now: now, Eras: e}), e}
}

// Guards against fencing tokens that go back when the store comes back older, and against two holders: the one whose lease the
// store has lost acts until its time has run out by its own clock, and nobody else before that.
func TestLeaseOverChangeOfEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakes.NewStore()
		defer store.Close()
		store.Save()
		first, second := newHolderVM(store, "a"), newHolderVM(store, "b")
		for range 5 {
			// Others use revisions up, which the copy lacks.
			_, err := store.Grant(t.Context(), time.Second)
			assert.NilError(t, err)
		}
		held, err := first.acquire(t.Context(), "g", lease{})
		assert.NilError(t, err)
		second.eras.Note(store.ComeBack())
		seenAt := time.Now()
		var next lease
		calls := store.Calls()
		time.Sleep(leaseTTL / 2)
		_, err = second.acquire(t.Context(), "g", lease{})
		assert.ErrorIs(t, err, errNewEra)
		assert.Equal(t, store.Calls(), calls, "the store is asked although the answer doesn't matter yet")
		for {
			if next, err = second.acquire(t.Context(), "g", lease{}); err == nil {
				break
			}
			assert.ErrorIs(t, err, errNewEra)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, time.Since(seenAt) >= leaseTTL)
		assert.Assert(t, first.cfg.Now() >= held.expiresAt, "the former holder may still act")
		assert.Assert(t, next.token > held.token, "%d after %d", next.token, held.token)
	})
}

// Guards against a former holder that waits although nobody else can have the lease, and that uses its old token in the new
// era; and against one whose time has run out and that doesn't wait.
func TestFormerHolderOverChangeOfEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakes.NewStore()
		defer store.Close()
		store.Save()
		d := newHolderVM(store, "a")
		held, err := d.acquire(t.Context(), "g", lease{})
		assert.NilError(t, err)
		d.eras.Note(store.ComeBack())
		assert.ErrorIs(t, d.promote(t.Context(), Group{ID: "g"}, "c", &held, nil), errLeaseOfOldEra)
		assert.ErrorIs(t, d.keepLease(t.Context(), &held), errLeaseOfOldEra)
		assert.Equal(t, len(d.cfg.Promoter.(*fakeCluster).promotions), 0)
		next, err := d.acquire(t.Context(), "g", held)
		assert.NilError(t, err)
		assert.Assert(t, next.token > held.token)
		assert.NilError(t, d.promote(t.Context(), Group{ID: "g"}, "c", &next, nil))

		d.eras.Note(store.ComeBack())
		time.Sleep(leaseTTL - leaseMargin)
		_, err = d.acquire(t.Context(), "g", next)
		assert.ErrorIs(t, err, errNewEra)
	})
}

// Guards against a lease of an era that this VM first sees in the answer to its own calls.
func TestEraChangesWhileAcquiring(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakes.NewStore()
		defer store.Close()
		store.Save()
		d := newHolderVM(store, "a")
		store.SetDelay(10 * time.Millisecond)
		time.AfterFunc(5*time.Millisecond, func() { d.eras.Note(store.ComeBack()) })
		_, err := d.acquire(t.Context(), "g", lease{})
		assert.ErrorIs(t, err, errNewEra)
		_, err = store.Get(t.Context(), keyPrefix+"g")
		assert.ErrorIs(t, err, core.ErrNotFound)
	})
}

// Guards against a lease that is taken over without a wait where a promotion doesn't stop the old primary: its former holder
// may have written a record that the store has lost too. Only a hold of this VM shows that there is none.
func TestFormerHolderWithoutFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakes.NewStore()
		defer store.Close()
		store.Save()
		d := newHolderVM(store, "a")
		p := newFakePermits(d.cfg.Cluster.(*fakeCluster))
		d.cfg.Permits = p
		held, err := d.acquire(t.Context(), "g", lease{})
		assert.NilError(t, err)
		d.eras.Note(store.ComeBack())
		_, err = d.acquire(t.Context(), "g", held)
		assert.ErrorIs(t, err, errNewEra)
		p.record, p.isKnown = permit.Record{Held: true, Old: "a", Target: "c", Holder: "a"}, true
		_, err = d.acquire(t.Context(), "g", held)
		assert.NilError(t, err)
	})
}

// Guards against a wait that ends while the former holder still acts.
func TestRestoreTimeCoversLease(t *testing.T) {
	assert.Assert(t, permit.RestoreTime >= leaseTTL)
}

// Guards against a promotion under a hold that the store has lost, or that another record has replaced since: VMs that
// read the store would use the old primary.
func TestPromotionNeedsStoredHold(t *testing.T) {
	for name, lose := range map[string]func(p *fakePermits){
		"lost":     func(p *fakePermits) { p.isLost = true },
		"replaced": func(p *fakePermits) { p.record = permit.Record{Target: "b", Holder: "vm-2"} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeCluster()
				p := newFakePermits(f)
				f.unresponsive["a"] = true
				p.onSpread = func() { lose(p) }
				assert.Equal(t, len(f.run(t, 3*time.Second)), 0)
			})
		})
	}
}

// Guards against a hold that isn't written again after the store has lost it.
func TestLostHoldIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		p := newFakePermits(f)
		p.record, p.isKnown, p.isLost = permit.Record{Held: true, Old: "a", Target: "c", Holder: "vm"}, true, true
		f.view.IsHeld, f.view.IsHeldBySelf, f.view.HoldAge = true, true, holdTakeover
		f.stored = f.view
		f.unresponsive["a"] = true
		assert.Equal(t, len(f.run(t, 3*time.Second)), 1)
		assert.Assert(t, p.records[0].Held, fmt.Sprint(p.records))
	})
}
