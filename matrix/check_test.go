package matrix

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/elect"
)

// history runs the script in a new simulation and returns the history.
func history(t *testing.T, cfg WorldConfig, script func(w *World)) History {
	var h History
	synctest.Test(t, func(*testing.T) {
		w := NewWorld(cfg)
		time.Sleep(warmTime)
		script(w)
		h = w.Close()
	})
	return h
}

func busyWorld(b Broken) WorldConfig {
	return WorldConfig{
		Seed: 5, Delay: time.Millisecond, Lag: 20 * time.Millisecond, Clients: 2, Every: 20 * time.Millisecond, Broken: b,
		Hook: func(_ *World, _ string, step elect.Step) time.Duration {
			if step == elect.StepRepair {
				return 500 * time.Millisecond
			}
			return 0
		},
	}
}

// splitPrimary isolates u1 from all but vm-a, so that vm-a's clients still reach the old primary while
// vm-b replaces it, and ends the partition later.
func splitPrimary(w *World) {
	w.Group.Isolate("u1", true, "vm-b")
	w.noteConnected()
	time.Sleep(8 * time.Second)
	w.Group.Heal()
	w.noteConnected()
	time.Sleep(8 * time.Second)
}

// lossySplit makes the old primary accept writes from vm-a, which reaches only that one, while the new
// primary accepts writes from vm-b.
func lossySplit(w *World) {
	w.Group.Isolate("u1", true, "vm-b")
	for _, id := range []string{"u2", "u3"} {
		w.Group.Cut("vm-a", id, true)
		w.Group.Cut(id, "vm-a", true)
	}
	w.noteConnected()
	time.Sleep(8 * time.Second)
	w.Group.Heal()
	w.noteConnected()
	time.Sleep(8 * time.Second)
}

// oldPrimaryReturns isolates the primary and reconnects it while its role is still primary. busyWorld's
// hook delays its repair, so that the entry VMs see it.
func oldPrimaryReturns(w *World) {
	w.Group.Isolate("u1", true, w.Sites()...)
	w.noteConnected()
	time.Sleep(8 * time.Second)
	w.Group.Heal()
	w.noteConnected()
	time.Sleep(8 * time.Second)
}

// crashPrimary kills the primary for longer than RecoveryLimit.
func crashPrimary(w *World) {
	primary := w.Primary()
	w.Group.Kill(primary)
	time.Sleep(RecoveryLimit + 2*time.Second)
	w.Group.Start(primary)
	time.Sleep(3 * time.Second)
}

// Guards against a checker that never fails: each one must report the history of a simulation with a
// defect that violates its invariant, and accept the history of the same script without the defect.
func TestCheckersNoticeMissingMechanism(t *testing.T) {
	tests := []struct {
		check  func(History) error
		name   string
		broken Broken
		script func(w *World)
	}{
		{CheckAcknowledged, "AcknowledgedKept", Broken{AckAtCommit: true}, lossySplit},
		{CheckOldPrimary, "NoOldPrimary", Broken{AckAtCommit: true, AnyPrimary: true}, lossySplit},
		{CheckReadYourWrites, "ReadYourWrites", Broken{StaleIndex: true}, splitPrimary},
		{CheckLinearizable, "Linearizable", Broken{StaleIndex: true}, splitPrimary},
		{CheckTerms, "TermsForward", Broken{AnyPrimary: true}, oldPrimaryReturns},
		{CheckTerms, "TermsForward by upstreams", Broken{AnyTerm: true}, sameTerm},
		{CheckRecovered, "Recovered", Broken{NoDriver: true}, crashPrimary},
		{CheckRepaired, "Repaired", Broken{NoDriver: true}, strayReplica},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.check(history(t, busyWorld(tt.broken), tt.script))
			assert.Assert(t, err != nil, "the checker accepts a history with the defect")
			t.Log(err)
			assert.NilError(t, CheckAll(history(t, busyWorld(Broken{}), tt.script)))
		})
	}
}

// sameTerm acts like a driver that promotes without a majority.
func sameTerm(w *World) {
	for _, id := range []core.UpstreamID{"u2", "u3"} {
		_, _ = w.Group.Remote("vm-b", id).Promote(w.ctx, 9)
	}
	time.Sleep(8 * time.Second)
}

// strayReplica acts like a driver that failed after it had prepared one replica.
func strayReplica(w *World) {
	_, _ = w.Group.Remote("vm-b", "u3").Prepare(w.ctx, 9)
	time.Sleep(8 * time.Second)
}
