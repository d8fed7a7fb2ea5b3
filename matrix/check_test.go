package matrix

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/elect"
)

// runScript runs the script in a new simulation and returns the history.
func runScript(t *testing.T, cfg SimulationConfig, script func(sim *Simulation)) History {
	var h History
	synctest.Test(t, func(*testing.T) {
		sim := NewSimulation(cfg)
		time.Sleep(warmUpTime)
		script(sim)
		h = sim.Close()
	})
	return h
}

func newTestConfig(defects Defects) SimulationConfig {
	return SimulationConfig{
		Seed: 5, Delay: time.Millisecond, Lag: 20 * time.Millisecond, Clients: 2, Every: 20 * time.Millisecond, Defects: defects,
		Hook: func(_ *Simulation, _ string, step elect.Step) time.Duration {
			if step == elect.StepRepair {
				return 500 * time.Millisecond
			}
			return 0
		},
	}
}

// splitPrimary isolates u1 from all but vm-a, so that vm-a's clients still reach the old primary while
// vm-b replaces it, and ends the partition later.
func splitPrimary(sim *Simulation) {
	sim.Group.Isolate("u1", true, "vm-b")
	sim.recordConnected()
	time.Sleep(8 * time.Second)
	sim.Group.Heal()
	sim.recordConnected()
	time.Sleep(8 * time.Second)
}

// lossySplit makes the old primary accept writes from vm-a, which reaches no other upstream, while the new
// primary accepts writes from vm-b.
func lossySplit(sim *Simulation) {
	sim.Group.Isolate("u1", true, "vm-b")
	for _, id := range []string{"u2", "u3"} {
		sim.Group.Cut("vm-a", id, true)
		sim.Group.Cut(id, "vm-a", true)
	}
	sim.recordConnected()
	time.Sleep(8 * time.Second)
	sim.Group.Heal()
	sim.recordConnected()
	time.Sleep(8 * time.Second)
}

// oldPrimaryReturns isolates the primary and reconnects it while it still reports to be the primary.
// newTestConfig's hook delays its repair, so that the entry VMs see it.
func oldPrimaryReturns(sim *Simulation) {
	sim.Group.Isolate("u1", true, sim.Sites()...)
	sim.recordConnected()
	time.Sleep(8 * time.Second)
	sim.Group.Heal()
	sim.recordConnected()
	time.Sleep(8 * time.Second)
}

// crashPrimary kills the primary for longer than RecoveryLimit.
func crashPrimary(sim *Simulation) {
	primary := sim.Primary()
	sim.Group.Kill(primary)
	time.Sleep(RecoveryLimit + 2*time.Second)
	sim.Group.Start(primary)
	time.Sleep(3 * time.Second)
}

// Guards against a checker that never fails: each one must report the history of a simulation with a
// defect that violates its invariant, and accept the history of the same script without the defect.
func TestCheckersDetectDefects(t *testing.T) {
	tests := []struct {
		check   func(History) error
		name    string
		defects Defects
		script  func(sim *Simulation)
	}{
		{CheckAcknowledged, "AcknowledgedKept", Defects{AckAtCommit: true}, lossySplit},
		{CheckOldPrimary, "NoOldPrimary", Defects{AckAtCommit: true, AnyPrimary: true}, lossySplit},
		{CheckReadYourWrites, "ReadYourWrites", Defects{StaleIndex: true}, splitPrimary},
		{CheckLinearizable, "Linearizable", Defects{StaleIndex: true}, splitPrimary},
		{CheckTerms, "TermsForward", Defects{AnyPrimary: true}, oldPrimaryReturns},
		{CheckTerms, "TermsForward by upstreams", Defects{AcceptAnyTerm: true}, promoteWithoutMajority},
		{CheckRecovered, "Recovered", Defects{NoDriver: true}, crashPrimary},
		{CheckRepaired, "Repaired", Defects{NoDriver: true}, prepareOneReplica},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.check(runScript(t, newTestConfig(tt.defects), tt.script))
			assert.Assert(t, err != nil, "the checker accepts a history with the defect")
			t.Log(err)
			assert.NilError(t, CheckAll(runScript(t, newTestConfig(Defects{}), tt.script)))
		})
	}
}

// promoteWithoutMajority acts like a driver that promotes without a majority.
func promoteWithoutMajority(sim *Simulation) {
	for _, id := range []core.UpstreamID{"u2", "u3"} {
		_, _ = sim.Group.Remote("vm-b", id).Promote(sim.ctx, 9)
	}
	time.Sleep(8 * time.Second)
}

// prepareOneReplica acts like a driver that crashed after it had prepared one replica.
func prepareOneReplica(sim *Simulation) {
	_, _ = sim.Group.Remote("vm-b", "u3").Prepare(sim.ctx, 9)
	time.Sleep(8 * time.Second)
}
