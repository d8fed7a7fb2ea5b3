package matrix

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"snipewall/core"
	"snipewall/core/elect"
)

// Cell is one combination of the matrix.
type Cell struct {
	Step  elect.Step
	Fault Fault
	// Twice lets trigger and fault strike a second time.
	Twice bool
	Seed  uint64
}

// Name returns the cell's name, which selects it as a subtest.
func (c Cell) Name() string {
	times := "Once"
	if c.Twice {
		times = "Twice"
	}
	return fmt.Sprintf("%s/%s/%s/%d", c.Step, c.Fault, times, c.Seed)
}

// Cells returns all combinations of steps and faults, each with its own seed derived from base.
func Cells(base uint64) []Cell {
	var cells []Cell
	for _, step := range elect.Steps() {
		for _, fault := range Faults() {
			for _, twice := range []bool{false, true} {
				cells = append(cells, Cell{Step: step, Fault: fault, Twice: twice, Seed: base*1000 + uint64(len(cells))})
			}
		}
	}
	return cells
}

// Times of a cell.
const (
	warmTime    = 2 * time.Second
	triggerTime = 8 * time.Second
	settleTime  = 5 * time.Second
	// reachTime is how long a trigger may take to bring a driver to the step.
	reachTime = 20 * time.Second
)

// run is the state of a running cell.
type run struct {
	cell  Cell
	mu    sync.Mutex
	armed bool
	hits  int
}

// hook strikes once per arming, when the first driver enters the step.
func (r *run) hook(w *World, site string, step elect.Step) time.Duration {
	r.mu.Lock()
	strike := r.armed && step == r.cell.Step
	if strike {
		r.armed = false
		r.hits++
	}
	r.mu.Unlock()
	if !strike {
		return 0
	}
	return w.inject(r.cell.Fault, step, site)
}

func (r *run) arm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.armed = true
}

func (r *run) reached() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hits
}

// Run runs the cell and checks its history. It must be called in a synctest bubble.
func (c Cell) Run(cfg WorldConfig) (History, error) {
	r := &run{cell: c}
	cfg.Seed = c.Seed
	cfg.Hook = r.hook
	w := NewWorld(cfg)
	time.Sleep(warmTime)
	rounds := 1
	if c.Twice {
		rounds = 2
	}
	for i := range rounds {
		r.arm()
		w.trigger(c.Step)
		for end := time.Now().Add(reachTime); r.reached() <= i && time.Now().Before(end); {
			time.Sleep(100 * time.Millisecond)
		}
		w.Quiet()
		time.Sleep(settleTime)
	}
	time.Sleep(settleTime)
	h := w.Close()
	if r.reached() < rounds {
		return h, errors.Join(fmt.Errorf("step reached %d of %d times", r.reached(), rounds), CheckAll(h))
	}
	return h, CheckAll(h)
}

// trigger makes the drivers take the step.
func (w *World) trigger(step elect.Step) {
	primary := w.Primary()
	if primary == "" {
		return
	}
	switch step {
	case elect.StepDrain, elect.StepCatchUp:
		w.Group.SetLeaving(primary, true)
		w.later(triggerTime, func() { w.Group.SetLeaving(primary, false) })
	default:
		w.fail(primary)
	}
	w.extend(triggerTime)
	w.noteConnected()
	w.busy()
}

// fail kills or isolates the primary for a time.
func (w *World) fail(primary core.UpstreamID) {
	w.mu.Lock()
	kill := w.random.IntN(2) == 0
	w.mu.Unlock()
	if kill {
		w.Group.Kill(primary)
		w.later(triggerTime, func() { w.Group.Start(primary) })
		return
	}
	w.Group.Isolate(primary, true, w.Sites()...)
	w.later(triggerTime, func() { w.Group.Isolate(primary, false, w.Sites()...) })
}
