package permit

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// lateTime is how long a promotion that follows a pause may be executed late.
const lateTime = 15 * time.Second

// pauseThenKill lets vm-1 pause the group, kills the VMs and starts others after a second.
func (f *pauseFleet) pauseThenKill(killed, started []core.VMID) {
	f.t.Helper()
	assert.Assert(f.t, f.pauses["vm-1"].Pause(f.t.Context(), "g", false, lateTime).IsComplete())
	f.kill(killed...)
	time.Sleep(time.Second)
	for _, id := range started {
		f.launch(id)
	}
}

// checkPaused checks that the VMs don't admit work for the time.
func (f *pauseFleet) checkPaused(length time.Duration, ids ...core.VMID) {
	f.t.Helper()
	for began := time.Now(); time.Since(began) < length; time.Sleep(100 * time.Millisecond) {
		for _, id := range ids {
			assert.Assert(f.t, !f.admits(id), "%s uses the primary %v after its start", id, time.Since(began))
		}
	}
}

// Guards against a VM that uses a primary whose replacement is outstanding, since it wasn't there when the others were told to
// pause, and against one that never uses the primary again.
func TestStartedVMKeepsPause(t *testing.T) {
	all := []core.VMID{"vm-1", "vm-2", "vm-3"}
	for _, tt := range []struct {
		name            string
		killed, started []core.VMID
		comesBack       bool
	}{
		{"holder", all[:1], all[:1], false},
		{"other VM", all[1:2], all[1:2], false},
		{"holder and other VM", all[:2], all[:2], false},
		{"replaced by a new VM", all[:1], []core.VMID{"vm-4"}, false},
		{"all", all, all, false},
		{"store from an older copy", all[:1], all[:1], true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newPauseFleet(t)
				f.store.Save()
				f.pauseThenKill(tt.killed, tt.started)
				if tt.comesBack {
					era := f.store.ComeBack()
					for _, e := range f.eras {
						e.Note(era)
					}
				}
				f.checkPaused(lateTime-time.Second, tt.started...)
				time.Sleep(recordMargin + 2*readInterval)
				for _, id := range tt.started {
					assert.Assert(t, f.admits(id), "%s is still paused", id)
				}
			})
		})
	}
}

// Guards against a VM that takes a pause for ended because the store has lost its record.
func TestPauseOutlastsLostRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		f.store.Save()
		f.pauseThenKill([]core.VMID{"vm-1", "vm-2"}, []core.VMID{"vm-2"})
		f.checkPaused(time.Second, "vm-2")
		f.store.ComeBack()
		f.checkPaused(lateTime-2*time.Second, "vm-2")
		// The record was last seen up to two seconds after the pause began.
		time.Sleep(recordMargin + 2*time.Second)
		assert.Assert(t, f.admits("vm-2"))
	})
}

// Guards against a VM that was suspended while the others were told to pause, and uses the primary once it runs again, or takes work
// from before for valid.
func TestSuspendedVMKeepsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		p := f.pauses["vm-2"]
		epoch, _ := p.Admits("g")
		f.setSilent("vm-2", true)
		assert.Assert(t, !f.pauses["vm-1"].Pause(t.Context(), "g", false, lateTime).Acknowledged)
		f.kill("vm-1")
		f.mu.Lock()
		f.suspended["vm-2"] = 2 * time.Second
		f.mu.Unlock()
		assert.Assert(t, !p.Covers("g", epoch), "work from before the suspension counts")
		f.checkPaused(lateTime, "vm-2")
		time.Sleep(recordMargin + 2*readInterval)
		epoch, ok := p.Admits("g")
		assert.Assert(t, ok && p.Covers("g", epoch))
	})
}

// Guards against a VM that stays paused after the others, since the holder doesn't count it yet, and against records that outlive
// their pause.
func TestStartedVMLearnsOfEnd(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newPauseFleet(t)
			assert.Assert(t, f.pauses["vm-2"].Pause(t.Context(), "g", false, lateTime).IsComplete())
			f.kill("vm-2")
			assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, lateTime).Recorded)
			f.launch("vm-4")
			f.checkPaused(time.Second, "vm-4")
			f.setSilent("vm-4", true)
			f.pauses["vm-1"].Resume(t.Context(), "g", replaced)
			time.Sleep(readInterval + time.Millisecond)
			assert.Equal(t, f.admits("vm-4"), replaced, "the pause of vm-2 ends only if another upstream leads")
			entries, _ := f.store.Entries(pausePrefix)
			assert.Equal(t, len(entries) == 0, replaced)
		})
	}
}

// Guards against the end of a pause that also removes the record of another group's, whose name begins with that of the first and a
// slash: VMs that start then use the other group's old primary.
func TestEndedPauseKeepsRecordsOfOtherGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		assert.Assert(t, f.pauses["vm-2"].Pause(t.Context(), "g/2", false, lateTime).IsComplete())
		assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, lateTime).IsComplete())
		f.pauses["vm-1"].Resume(t.Context(), "g", true)
		entries, _ := f.store.Entries(pausePrefix)
		assert.Equal(t, len(entries), 1)
		f.launch("vm-4")
		f.admits("vm-4")
		synctest.Wait()
		_, ok := f.pauses["vm-4"].Admits("g/2")
		assert.Assert(t, !ok, "a VM that has started uses the primary of g/2")
		assert.Assert(t, f.admits("vm-4"))
	})
}

// Guards against a VM that uses a primary before it can have heard of a pause: while the store doesn't answer or has no entry of
// the VM, and against one that waits for the store for ever.
func TestUnknownPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		f.setUnlisted("vm-4", true)
		f.launch("vm-4")
		f.checkPaused(2*maxPauseTime, "vm-4")
		f.setUnlisted("vm-4", false)
		assert.Assert(t, f.admits("vm-4"), "enlisted long before the start of this test")
	})
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		f.store.SetDown(true)
		f.launch("vm-4")
		f.checkPaused(maxPauseTime-time.Second, "vm-4")
		time.Sleep(time.Second)
		assert.Assert(t, f.admits("vm-4"))
	})
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		f.store.SetDown(true)
		f.launch("vm-4")
		f.checkPaused(time.Second, "vm-4")
		f.store.SetDown(false)
		time.Sleep(readInterval)
		synctest.Wait()
		assert.Assert(t, f.admits("vm-4"))
	})
}

// Guards against a pause that counts as recorded although VMs that start don't find it, and against odd entries that keep a VM
// from reading the others.
func TestPauseNeedsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		f.store.SetDown(true)
		result := f.pauses["vm-1"].Pause(t.Context(), "g", false, lateTime)
		assert.Equal(t, result, PauseResult{Acknowledged: true})
		f.store.SetDown(false)
		_, err := f.store.CompareAndSwap(t.Context(), pausePrefix+"g/odd", []byte(`{"Group":[[[`), 0, "")
		assert.NilError(t, err)
		assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, lateTime).IsComplete())
		f.store.ExpireLeases()
		assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, lateTime).IsComplete(), "a lost record isn't written again")
		f.launch("vm-4")
		f.checkPaused(time.Second, "vm-4")
	})
}

// Guards against a pause that other VMs take over while its holder works, and against one that nobody ends after its holder is gone.
func TestUnrenewedPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		for range 5 {
			f.pauses["vm-1"].Pause(t.Context(), "g", false, lateTime)
			time.Sleep(time.Second)
		}
		assert.Equal(t, f.pauses["vm-2"].Unrenewed("g"), time.Second)
		assert.Equal(t, f.pauses["vm-1"].Unrenewed("g"), time.Duration(0), "a VM's own pause")
		f.kill("vm-1")
		f.launch("vm-1")
		f.admits("vm-1")
		time.Sleep(5 * time.Second)
		assert.Equal(t, f.pauses["vm-2"].Unrenewed("g"), 6*time.Second)
		assert.Assert(t, f.pauses["vm-1"].Unrenewed("g") > 4*time.Second, "known from the record since the start")
		f.pauses["vm-2"].Pause(t.Context(), "g", false, lateTime)
		f.pauses["vm-2"].Resume(t.Context(), "g", true)
		for id, p := range f.pauses {
			assert.Equal(t, p.Unrenewed("g"), time.Duration(0))
			assert.Assert(t, f.admits(id))
		}
	})
}

// Guards against a process that ends the pause of the VM's earlier process, whose promotion may still be executed.
func TestRestartedHolderKeepsEarlierPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		f.pauseThenKill([]core.VMID{"vm-1"}, []core.VMID{"vm-1"})
		assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, lateTime).IsComplete())
		f.pauses["vm-1"].Resume(t.Context(), "g", false)
		f.checkPaused(lateTime-2*time.Second, "vm-1", "vm-2", "vm-3")
	})
}
