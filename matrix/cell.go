package matrix

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"snipewall/core"
	"snipewall/core/elect"
)

// Cell is one combination of step and fault in the matrix.
type Cell struct {
	Step  elect.Step
	Fault Fault
	// Twice repeats the trigger and the fault.
	Twice bool
	Seed  uint64
}

// Name returns the name of the cell's subtest.
func (c Cell) Name() string {
	times := "Once"
	if c.Twice {
		times = "Twice"
	}
	return fmt.Sprintf("%s/%s/%s/%d", c.Step, c.Fault, times, c.Seed)
}

// Cells returns all cells, each with its own seed derived from base.
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

// Durations of the parts of a cell.
const (
	warmTime    = 2 * time.Second
	triggerTime = 8 * time.Second
	settleTime  = 5 * time.Second
	// reachTime is how long after the trigger a driver must begin the step.
	reachTime = 20 * time.Second
)

// run is the state of a cell while it runs.
type run struct {
	cell  Cell
	mu    sync.Mutex
	armed bool
	hits  int
}

// hook injects the fault when the first driver begins the step after arm was called.
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

// Run runs the cell and checks its history. It returns an error if the step wasn't reached or a check
// fails. It must be called in a synctest bubble.
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

// trigger causes a change of primary that includes the step.
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

// fail kills or isolates the primary for triggerTime.
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
