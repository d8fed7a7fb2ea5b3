package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"snipewall/core"
	"snipewall/core/topo"
)

// step is one step of a schedule: a fault, and the callers' load until the next one.
type step struct {
	Kind, VM, Other int
	For             time.Duration
	// Load is the ratio of the operations sent to the limit, Spread the number of VMs that get them.
	Load, Spread int
	After        time.Duration
}

var stepKinds = []string{
	"none", "kill", "kill keeper", "kill all", "cut off", "cut in two", "suspend", "suspend keeper", "store down", "store forgets",
	"cut from store", "lower limits", "raise limits",
}

func drawSchedule(rt *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			Kind: rapid.IntRange(0, len(stepKinds)-1).Draw(rt, "kind"), VM: rapid.IntRange(0, 5).Draw(rt, "vm"), Other: rapid.IntRange(0, 5).Draw(rt, "other"),
			For:  time.Duration(rapid.IntRange(1, 60).Draw(rt, "for")) * 100 * time.Millisecond,
			Load: rapid.SampledFrom([]int{0, 1, 4, 8}).Draw(rt, "load"), Spread: rapid.IntRange(1, 6).Draw(rt, "spread"),
			After: time.Duration(rapid.IntRange(1, 30).Draw(rt, "after")) * 100 * time.Millisecond,
		}
	}), 4, 16).Draw(rt, "schedule")
}

var boundLimits = []Limit{{40, 40}, {2, 2}, {10, 100}, {30, 1}}

// boundFleet plays a schedule and returns the worst window.
type boundFleet struct {
	*fleet
	// factors are the factors of the limits by the time since which they are in force.
	factors []factorSince
}

type factorSince struct {
	factor float64
	since  time.Duration
}

func (f *boundFleet) setLimits(factor float64) {
	f.factors = append(f.factors, factorSince{factor, time.Since(f.start)})
	orgs := make(map[core.OrganisationID]topo.Organisation)
	for i, limit := range boundLimits {
		orgs[f.orgs[i]] = topo.Organisation{ID: f.orgs[i], Rate: factor * limit.Rate, Burst: factor * limit.Burst}
	}
	f.directory.Apply(topo.Config{Version: f.directory.Snapshot().Config.Version + 1, Organisations: orgs})
}

// highest returns the highest limit in a span, and in the window before it.
func (f *boundFleet) highest(org int, from, to time.Duration) Limit {
	factor := 0.0
	for i, s := range f.factors {
		ended := i+1 < len(f.factors) && f.factors[i+1].since < from-testBound.Window
		if !ended && s.since <= to {
			factor = max(factor, s.factor)
		}
	}
	return Limit{factor * boundLimits[org].Rate, factor * boundLimits[org].Burst}
}

func (f *boundFleet) play(s step) {
	n := f.nodes[s.VM]
	switch stepKinds[s.Kind] {
	case "kill":
		n.restart(s.For)
	case "kill keeper":
		for _, k := range f.keepers() {
			k.restart(s.For)
		}
	case "kill all":
		for _, n := range f.nodes {
			n.restart(s.For)
		}
	case "cut off", "cut from store":
		n.cut(1+s.VM, stepKinds[s.Kind] == "cut off", s.For)
	case "cut in two":
		for _, n := range f.nodes[:s.VM] {
			n.cut(1, true, s.For)
		}
	case "suspend":
		n.suspend(s.For)
	case "suspend keeper":
		for _, k := range f.keepers() {
			k.suspend(s.For)
		}
	case "store down":
		f.store.setDown(true)
		time.AfterFunc(s.For, func() { f.store.setDown(false) })
	case "store forgets":
		f.store.forget()
	case "lower limits":
		f.setLimits(0.3)
	case "raise limits":
		f.setLimits(1)
	}
	rates := make([]float64, len(boundLimits))
	for i, limit := range boundLimits {
		rates[i] = float64(s.Load) * limit.Rate
	}
	f.load(s.After, rates, func(int) *node { return f.nodes[(s.Other+f.rng.IntN(s.Spread))%len(f.nodes)] })
}

func (n *node) suspend(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspendedUntil = time.Now().Add(d)
}

// cut cuts the VM off from the store, and from VMs of another group if isAlone is set.
func (n *node) cut(group int, isAlone bool, d time.Duration) {
	set := func(group int, storeCut bool) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.storeCut = storeCut
		if isAlone {
			n.group = group
		}
	}
	set(group, true)
	time.AfterFunc(d, func() { set(0, false) })
}

// playAll plays the schedule. sabotage is called all the time.
func playAll(t *testing.T, seed uint64, schedule []step, sabotage func(f *fleet)) (worst float64, at string) {
	synctest.Test(t, func(t *testing.T) {
		f := &boundFleet{fleet: newFleet(t, 6, len(boundLimits), seed)}
		f.setLimits(1)
		f.upAll()
		done := make(chan struct{})
		go func() {
			for sabotage != nil && !f.stopped.Load() {
				sabotage(f.fleet)
				time.Sleep(5 * time.Millisecond)
			}
			close(done)
		}()
		for _, s := range schedule {
			f.play(s)
		}
		f.stop()
		<-done
		time.Sleep(10 * time.Second)
		worst, at = f.worstWindow(f.highest)
	})
	return worst, at
}

// Guards against operations above the bound in any window, whatever fails. The schedules have cuts, kills, restarts,
// suspended VMs, two keepers after a loss of the lease by the store, outages of the store, repeated requests and
// changed limits.
func TestBoundHolds(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(rt *rapid.T) {
		ratio, at := playAll(t, rapid.Uint64().Draw(rt, "seed"), drawSchedule(rt), nil)
		worst = max(worst, ratio)
		if ratio >= 1 {
			rt.Fatalf("%.3f of the bound: %s", ratio, at)
		}
	})
	t.Logf("worst window: %.3f of the bound", worst)
}

// Guards against a check that can't fail: VMs that are cut off and whose rights don't expire exceed the bound. A single one
// holds too little for that.
func TestBoundDetectsDefect(t *testing.T) {
	schedule := []step{{Load: 8, Spread: 3, After: 4 * time.Second}, {Kind: 5, VM: 3, Load: 8, Spread: 6, For: 30 * time.Second, After: 15 * time.Second}}
	assert.Equal(t, stepKinds[5], "cut in two")
	worst, at := playAll(t, 1, schedule, nil)
	assert.Assert(t, worst < 1, at)
	worst, _ = playAll(t, 1, schedule, func(f *fleet) {
		for _, n := range f.nodes[:3] {
			l := n.limiter()
			l.mu.Lock()
			for _, b := range l.rights.buckets {
				b.until = f.now().Add(rightsLife)
			}
			l.mu.Unlock()
		}
	})
	assert.Assert(t, worst > 1, "%.3f", worst)
}
