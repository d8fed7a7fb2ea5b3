package permit

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// read makes the VMs list the store's records and learn its era.
func (f *fleet) read(ids ...core.VMID) {
	for _, id := range ids {
		entries, at := f.store.Entries("lead/")
		f.eras[id].Note(at.Era())
		for _, e := range entries {
			f.guards[id].Event(e)
		}
		f.guards[id].Listed(entries, at)
	}
}

// confirm makes the VMs read the store and renew their permits while all run.
func (f *fleet) confirm(t *testing.T, d time.Duration, ids ...core.VMID) {
	t.Helper()
	f.confirmAnd(t, d, func() {}, ids...)
}

// confirmAnd is confirm. It calls check each time.
func (f *fleet) confirmAnd(t *testing.T, d time.Duration, check func(), ids ...core.VMID) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.run(t, d)
	}()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		f.read(ids...)
		for _, id := range ids {
			f.guards[id].Confirm(f.now())
		}
		check()
	}
	<-ended
}

func hold() Record {
	return Record{Held: true, Old: "old", Target: "new", Holder: "a"}
}

// Guards against a VM that uses the old primary because the store has lost the hold: one that acknowledged it, and one that
// was silent and reads the store since. The promoting VM goes on meanwhile.
func TestLostHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.store.Save()
		f.isolated["c"] = true
		assert.NilError(t, f.guards["a"].Write(t.Context(), testGroup, hold()))
		assert.Equal(t, f.guards["a"].Spread(t.Context(), testGroup), Tally{Members: 3, Held: 2})
		f.store.ComeBack()
		f.read("c")
		f.confirm(t, TTL+time.Second, "c")
		assert.Assert(t, !admits(f.guards["c"]) && !covers(f.guards["c"]), "the silent VM's permit hasn't run out")
		f.read("a", "b")
		assert.Assert(t, !f.guards["a"].IsStored(testGroup))
		assert.Assert(t, !admits(f.guards["a"]) && !admits(f.guards["b"]))
		f.confirm(t, RestoreTime+3*time.Second, "a", "b", "c")
		assert.Assert(t, f.guards["a"].IsStored(testGroup))
		for id, g := range f.guards {
			_, ok := g.Hold(testGroup)
			assert.Assert(t, ok && !admits(g), "%s", id)
		}
	})
}

// Guards against the same where only VMs that acknowledged the hold are left to write it again, also if the store had an
// older record before.
func TestLostHoldOfFailedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		assert.NilError(t, f.guards["a"].Write(t.Context(), testGroup, Record{Target: "old", Holder: "a"}))
		f.read("b", "c")
		f.store.Save()
		assert.NilError(t, f.guards["a"].Write(t.Context(), testGroup, hold()))
		f.isolated["c"] = true
		f.guards["a"].Spread(t.Context(), testGroup)
		delete(f.guards, "a")
		f.store.ComeBack()
		f.confirm(t, 3*time.Second, "b", "c")
		_, ok := f.guards["c"].Hold(testGroup)
		assert.Assert(t, ok)
	})
}

// Guards against VMs that return to the former primary because the store has lost the record of a promotion, and against the
// end of work in progress on the new one, which that loss doesn't concern.
func TestLostLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		assert.NilError(t, f.guards["a"].Write(t.Context(), testGroup, Record{Target: "old", Holder: "a"}))
		f.read("b", "c")
		f.store.Save()
		assert.NilError(t, f.guards["a"].Write(t.Context(), testGroup, Record{Old: "old", Target: "new", Holder: "a"}))
		f.read("b")
		epoch, _ := f.guards["b"].Admits(testGroup)
		f.store.ComeBack()
		f.confirm(t, 2*time.Second, "a", "b", "c")
		for id, g := range f.guards {
			leader, ok := g.Leader(testGroup)
			assert.Assert(t, ok && leader == "new", "%s", id)
		}
		assert.Assert(t, f.guards["b"].Covers(testGroup, epoch))
	})
}

// Guards against a group without permits while confirmations of a new era don't count: votes take their place.
func TestPermitsLastOverChangeOfEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.store.Save()
		f.confirm(t, time.Second, "a", "b", "c")
		f.store.ComeBack()
		f.confirmAnd(t, 2*RestoreTime, func() {
			for id, g := range f.guards {
				assert.Assert(t, admits(g), "%s", id)
			}
		}, "a", "b", "c")
	})
}

// Guards against a VM that acknowledges a hold although it doesn't hold the group, since it knows a record that the store has
// lost and that is newer; the promoting VM must learn of it.
func TestNewerRecordRefusesHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.store.Save()
		assert.NilError(t, f.guards["b"].Write(t.Context(), testGroup, Record{Target: "x", Holder: "b"}))
		assert.NilError(t, f.guards["b"].Write(t.Context(), testGroup, Record{Target: "y", Holder: "b"}))
		f.store.ComeBack()
		f.read("b")
		// "a" hasn't heard of the era, so that its hold counts as one of the former.
		assert.NilError(t, f.guards["a"].Write(t.Context(), testGroup, hold()))
		assert.Equal(t, f.guards["a"].Spread(t.Context(), testGroup), Tally{Members: 2, Held: 1})
		leader, ok := f.guards["a"].Leader(testGroup)
		assert.Assert(t, ok && leader == "y")
	})
}

// Guards against a lost record that replaces one written in the newer era, whose writer has waited for lost ones.
func TestRecordOfNewEraStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.store.Save()
		for range 3 {
			assert.NilError(t, f.guards["b"].Write(t.Context(), testGroup, Record{Target: "lost", Holder: "b"}))
		}
		f.store.ComeBack()
		f.read("a")
		assert.NilError(t, f.guards["a"].Write(t.Context(), testGroup, Record{Target: "new", Holder: "a"}))
		f.confirm(t, 3*time.Second, "a", "b")
		for id, g := range f.guards {
			leader, ok := g.Leader(testGroup)
			assert.Assert(t, ok && leader == "new", "%s", id)
		}
	})
}

// Guards against a record of the former era that a VM tells which hasn't heard of the new one.
func TestOldEraRecordOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		assert.NilError(t, f.guards["a"].Write(t.Context(), testGroup, Record{Target: "old", Holder: "a"}))
		f.read("b")
		f.store.Save()
		assert.NilError(t, f.guards["a"].Write(t.Context(), testGroup, hold()))
		f.store.ComeBack()
		f.read("b", "c")
		assert.Assert(t, admits(f.guards["b"]))
		assert.Equal(t, f.guards["a"].Spread(t.Context(), testGroup), Tally{Members: 3, Held: 3})
		assert.Assert(t, !admits(f.guards["b"]) && !admits(f.guards["c"]))
		f.confirm(t, 2*time.Second, "b", "c")
		assert.Assert(t, f.guards["c"].IsStored(testGroup) && !admits(f.guards["c"]))
	})
}

// Guards against calls of the store that a store without eras doesn't need.
func TestNoCallsWithoutEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		assert.NilError(t, f.guards["a"].Write(t.Context(), testGroup, hold()))
		calls := f.store.Calls()
		f.confirm(t, 10*time.Second, "a", "b")
		assert.Equal(t, f.store.Calls(), calls)
		assert.Assert(t, f.guards["b"].IsStored(testGroup))
	})
}
