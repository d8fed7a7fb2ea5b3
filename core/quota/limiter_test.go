package quota

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// runFleet runs a fleet until it is warm, and then the scenario with the usual load.
func runFleet(t *testing.T, vms, orgs int, scenario func(f *fleet, rates []float64, pick func(org int) *node)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, vms, orgs, 1)
		rates := f.zipf()
		f.limit(rates, 1.6)
		f.upAll()
		defer f.stop()
		pick := f.spread(rates)
		f.load(12*time.Second, rates, pick)
		f.reset()
		scenario(f, rates, pick)
		time.Sleep(2100 * time.Millisecond)
		worst, at := f.worstWindow(func(org int, _, _ time.Duration) Limit { return Limit{1.6 * rates[org], 1.6 * rates[org]} })
		assert.Check(t, worst < 1, at)
	})
}

// Guards against callers that notice the limiter while nothing fails and demand is usual.
func TestCalm(t *testing.T) {
	runFleet(t, 68, 76, func(f *fleet, rates []float64, pick func(int) *node) {
		f.load(20*time.Second, rates, pick)
		time.Sleep(2100 * time.Millisecond)
		granted, _ := f.logSummary("calm")
		assert.Assert(t, granted > 0.999)
		t.Log(f.store.count())
	})
}

// minGranted is the share of the operations below the limit that have to be granted at least, whatever fails.
const minGranted = 0.95

// Guards against callers that notice a failure of the keeper, of VMs, of the store or of the network.
func TestFailures(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(f *fleet)
		// min is the share of operations that have to be granted.
		min float64
	}{
		{"keeper dies", func(f *fleet) { f.keepers()[0].restart(2 * time.Second) }, 0.99},
		{"keeper dies for long", func(f *fleet) { f.keepers()[0].restart(30 * time.Second) }, minGranted},
		{"half of the VMs and the keeper die", func(f *fleet) { f.killHalf(1300 * time.Millisecond) }, 0.99},
		{"all VMs restart", func(f *fleet) {
			for _, n := range f.nodes {
				n.restart(1300 * time.Millisecond)
			}
			time.Sleep(1300 * time.Millisecond)
		}, 0.98},
		{"store down", func(f *fleet) {
			f.store.setDown(true)
			time.AfterFunc(5*time.Second, func() { f.store.setDown(false) })
		}, minGranted},
		{"a quarter is cut off", func(f *fleet) {
			for i := 0; i < len(f.nodes); i += 4 {
				f.nodes[i].cut(1, true, 5*time.Second)
			}
		}, 0.98},
	} {
		t.Run(tt.name, func(t *testing.T) { checkFault(t, tt.name, tt.min, tt.fault) })
	}
}

// Guards against callers that notice that half of the VMs and the keeper stay away.
func TestHalfOfVMsStayAway(t *testing.T) {
	checkFault(t, "half of the VMs and the keeper die for long", minGranted, func(f *fleet) { f.killHalf(20 * time.Second) })
}

// killHalf kills the keeper and every second VM, and starts them again after some time.
func (f *fleet) killHalf(after time.Duration) {
	f.keepers()[0].restart(after)
	for i := 0; i < len(f.nodes); i += 2 {
		f.nodes[i].restart(after)
	}
}

func checkFault(t *testing.T, name string, least float64, fault func(f *fleet)) {
	t.Helper()
	runFleet(t, 24, 30, func(f *fleet, rates []float64, pick func(int) *node) {
		fault(f)
		f.load(12*time.Second, rates, pick)
		time.Sleep(2100 * time.Millisecond)
		granted, _ := f.logSummary(name)
		assert.Check(t, granted > least)
		assert.Equal(t, len(f.keepers()), 1)
	})
}

// Guards against refusals below the limit because the rights lie on other VMs.
func TestMovedLoad(t *testing.T) {
	for _, tt := range []struct {
		name string
		pick func(f *fleet, began time.Time) func(org int) *node
	}{
		{"all on one VM", func(f *fleet, _ time.Time) func(int) *node {
			return func(org int) *node { return f.nodes[org%len(f.nodes)] }
		}},
		{"to another VM every 3 s", func(f *fleet, began time.Time) func(int) *node {
			return func(org int) *node {
				return f.nodes[(org+7*int(time.Since(began)/(3*time.Second)))%len(f.nodes)]
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runFleet(t, 24, 30, func(f *fleet, rates []float64, _ func(int) *node) {
				f.load(12*time.Second, rates, tt.pick(f, time.Now()))
				time.Sleep(2100 * time.Millisecond)
				granted, worst := f.logSummary(tt.name)
				assert.Check(t, granted > minGranted)
				assert.Check(t, worst > 0.85)
			})
		})
	}
}

// Guards against an organisation far above its limit that others notice, or that gets much less or more than its limit. The
// upstreams are replayed as one queue with half more capacity than usual, with the operations that the limiter
// passes on, and as a baseline with all that were sent, first come, first served.
func TestSurge(t *testing.T) {
	for _, org := range []int{0, 4, 25} {
		runFleet(t, 24, 30, func(f *fleet, rates []float64, pick func(int) *node) {
			surge, capacity := slices.Clone(rates), 0.0
			for _, rate := range rates {
				capacity += 1.5 * rate
			}
			surge[org] *= 7.5
			began := time.Since(f.start)
			f.load(15*time.Second, surge, pick)
			time.Sleep(2100 * time.Millisecond)
			late, baseline := f.late(f.grants, began, org, capacity), f.late(f.sends, began, org, capacity)
			f.mu.Lock()
			st := *f.stats[f.orgs[org]]
			delete(f.stats, f.orgs[org])
			f.mu.Unlock()
			limit := 1.6 * rates[org]
			t.Logf("org %d: limit %.1f/s, sent %.1f/s, granted %.1f/s, late of others %.3f, baseline %.3f", org, limit, float64(st.sent)/15, float64(st.granted)/15, late, baseline)
			assert.Check(t, float64(st.granted)/15 > 0.95*limit)
			granted, _ := f.logSummary("others")
			assert.Check(t, granted > 0.999)
			assert.Check(t, late < 0.01 && late <= baseline)
			assert.Check(t, org > 0 || baseline > 0.5, "the baseline shows no trouble")
		})
	}
}

// late returns the share of the operations of other organisations that a queue with the capacity delays by more than half a second.
func (f *fleet) late(ops map[core.OrganisationID][]time.Duration, began time.Duration, org int, capacity float64) float64 {
	type op struct {
		at      time.Duration
		isOther bool
	}
	var all []op
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, times := range ops {
		for _, at := range times {
			if at >= began {
				all = append(all, op{at, id != orgID(org)})
			}
		}
	}
	slices.SortFunc(all, func(a, b op) int { return int(a.at - b.at) })
	others, late, end := 0.0, 0.0, time.Duration(0)
	for _, o := range all {
		end = max(end, o.at) + time.Duration(float64(time.Second)/capacity)
		if o.isOther {
			others++
			if end-o.at > 500*time.Millisecond {
				late++
			}
		}
	}
	return late / others
}

// Guards against messages, calls of the store and waits without limits, and against a slow start once there are some.
func TestLimitsBeginAtRunTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 24, 30, 1)
		rates := f.zipf()
		f.upAll()
		defer f.stop()
		f.load(5*time.Second, rates, f.spread(rates))
		assert.Equal(t, f.messages, 0)
		assert.Equal(t, len(f.store.count()), 0)
		granted, worst, _, p99 := f.summary()
		assert.Equal(t, [3]float64{granted, worst, float64(p99)}, [3]float64{1, 1, 0})
		f.reset()
		f.limit(rates, 1.6)
		began := time.Since(f.start)
		f.load(3*time.Second, rates, f.spread(rates))
		time.Sleep(2100 * time.Millisecond)
		granted, _ = f.logSummary("start")
		assert.Check(t, granted > 0.99)
		f.mu.Lock()
		defer f.mu.Unlock()
		first, _ := slices.BinarySearch(f.grants[f.orgs[0]], began)
		assert.Check(t, f.grants[f.orgs[0]][first]-began < 500*time.Millisecond)
	})
}
