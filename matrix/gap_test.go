package matrix

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

var gapRuns = flag.Uint64("matrix.runs", 25, "runs per case of TestFailoverGap")

// Guards against a failover gap that misses the target of less than 2 s at p99.
func TestFailoverGap(t *testing.T) {
	faults := map[string]func(sim *Simulation, id core.UpstreamID){
		"Kill":    func(sim *Simulation, id core.UpstreamID) { sim.Group.Kill(id) },
		"Isolate": func(sim *Simulation, id core.UpstreamID) { sim.Group.Isolate(id, true, sim.Sites()...) },
		"Freeze":  func(sim *Simulation, id core.UpstreamID) { sim.Group.Freeze(id) },
	}
	for name, fault := range faults {
		for _, delay := range []time.Duration{500 * time.Microsecond, 12 * time.Millisecond} {
			for _, platform := range []string{"Up", "Down"} {
				t.Run(fmt.Sprintf("%s/%s/Platform%s", name, delay, platform), func(t *testing.T) {
					t.Parallel()
					gaps := measureGaps(t, delay, platform == "Down", fault)
					t.Log(gaps)
					assert.Assert(t, gaps.Quantile("Writers", 0.99) < 2*time.Second, "%s", gaps)
				})
			}
		}
	}
}

func measureGaps(t *testing.T, delay time.Duration, platformDown bool, fault func(*Simulation, core.UpstreamID)) *Gaps {
	gaps := &Gaps{}
	for seed := range *gapRuns {
		// A write that times out can lengthen the measured gap by the whole timeout, which is therefore short.
		cfg := SimulationConfig{
			Seed: seed, Delay: delay, Clients: 1, Every: 20 * time.Millisecond, WriteTimeout: 100 * time.Millisecond,
		}
		synctest.Test(t, func(t *testing.T) {
			sim := NewSimulation(cfg)
			sim.Store.SetDown(platformDown)
			time.Sleep(warmUpTime + time.Duration(rand.New(rand.NewPCG(seed, 3)).Int64N(int64(200*time.Millisecond))))
			sim.extendFullRate()
			fault(sim, "u1")
			time.Sleep(fullRateTime)
			sim.Group.Heal()
			time.Sleep(fullRateTime / 2)
			h := sim.Close()
			if len(h.Changes) != 1 {
				t.Errorf("seed %d: %d changes: %+v", seed, len(h.Changes), h.Changes)
				return
			}
			if err := CheckAll(h); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			gaps.Add(h.Changes[0], WriteGap(h))
		})
	}
	return gaps
}

// Guards against a change of primary because an upstream is 10 times slower, frozen or isolated for less
// than 1 s.
func TestShortFaultsKeepPrimary(t *testing.T) {
	shortFaults := map[string]func(sim *Simulation, id core.UpstreamID, on bool){
		"Slow": func(sim *Simulation, id core.UpstreamID, on bool) {
			factor := 1
			if on {
				factor = slowFactor
			}
			sim.Group.Slow(id, factor)
		},
		"Freeze":  func(sim *Simulation, id core.UpstreamID, on bool) { sim.Group.SetFrozen(id, on) },
		"Isolate": func(sim *Simulation, id core.UpstreamID, on bool) { sim.Group.Isolate(id, on, sim.Sites()...) },
	}
	for name, fault := range shortFaults {
		for _, delay := range []time.Duration{500 * time.Microsecond, 12 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%s", name, delay), func(t *testing.T) {
				t.Parallel()
				changes, faults := runHourOfFaults(t, delay, fault)
				t.Logf("%d changes of primary with %d short faults in a simulated hour", changes, faults)
				assert.Equal(t, changes, 0)
			})
		}
	}
}

// runHourOfFaults returns the number of changes of primary and the number of faults in a simulated hour.
func runHourOfFaults(t *testing.T, delay time.Duration, fault func(*Simulation, core.UpstreamID, bool)) (int, int) {
	var h History
	faults := 0
	synctest.Test(t, func(*testing.T) {
		sim := NewSimulation(SimulationConfig{Seed: 9, Delay: delay, Processing: 5 * time.Millisecond, Clients: 1, Every: 2 * time.Second})
		random := rand.New(rand.NewPCG(9, 4))
		time.Sleep(warmUpTime)
		for end := time.Now().Add(time.Hour); time.Now().Before(end); faults++ {
			// About two thirds of the faults affect u1, the primary.
			id := sim.Group.IDs()[random.IntN(2)*random.IntN(3)]
			fault(sim, id, true)
			time.Sleep(time.Duration(random.Int64N(int64(999 * time.Millisecond))))
			fault(sim, id, false)
			// Without this pause, successive faults could act like one of more than 1 s.
			time.Sleep(500*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))))
		}
		h = sim.Close()
	})
	assert.NilError(t, CheckAcknowledged(h))
	return len(h.PrimariesByTerm) - 1, faults
}
