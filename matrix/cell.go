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
	warmUpTime   = 2 * time.Second
	triggerTime  = 8 * time.Second
	recoveryTime = 5 * time.Second
	// stepTimeout is how long after the trigger a driver must begin the step.
	stepTimeout = 20 * time.Second
)

// cellRun is the state of a cell while it runs.
type cellRun struct {
	cell       Cell
	mu         sync.Mutex
	armed      bool
	injections int
}

// hook injects the fault when the first driver begins the step after arm was called.
func (r *cellRun) hook(sim *Simulation, site string, step elect.Step) time.Duration {
	r.mu.Lock()
	shouldInject := r.armed && step == r.cell.Step
	if shouldInject {
		r.armed = false
		r.injections++
	}
	r.mu.Unlock()
	if !shouldInject {
		return 0
	}
	return sim.inject(r.cell.Fault, step, site)
}

func (r *cellRun) arm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.armed = true
}

func (r *cellRun) injectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.injections
}

// Run runs the cell and checks its history. It returns an error if the step wasn't reached or a check
// fails. It must be called in a synctest bubble.
func (c Cell) Run(cfg SimulationConfig) (History, error) {
	r := &cellRun{cell: c}
	cfg.Seed = c.Seed
	cfg.Hook = r.hook
	sim := NewSimulation(cfg)
	time.Sleep(warmUpTime)
	rounds := 1
	if c.Twice {
		rounds = 2
	}
	for i := range rounds {
		r.arm()
		sim.trigger(c.Step)
		for end := time.Now().Add(stepTimeout); r.injectionCount() <= i && time.Now().Before(end); {
			time.Sleep(100 * time.Millisecond)
		}
		sim.WaitForFaults()
		time.Sleep(recoveryTime)
	}
	time.Sleep(recoveryTime)
	h := sim.Close()
	if r.injectionCount() < rounds {
		return h, errors.Join(fmt.Errorf("step reached %d of %d times", r.injectionCount(), rounds), CheckAll(h))
	}
	return h, CheckAll(h)
}

// trigger causes a change of primary in which, or after which, a driver runs the step. Only a planned change
// has the steps Drain and CatchUp.
func (sim *Simulation) trigger(step elect.Step) {
	primary := sim.Primary()
	if primary == "" {
		return
	}
	switch step {
	case elect.StepDrain, elect.StepCatchUp:
		sim.Group.SetLeaving(primary, true)
		sim.scheduleFaultEnd(triggerTime, func() { sim.Group.SetLeaving(primary, false) })
	default:
		sim.failPrimary(primary)
	}
	sim.updateFaultsEnd(triggerTime)
	sim.recordConnected()
	sim.extendFullRate()
}

// failPrimary kills or isolates the primary for triggerTime.
func (sim *Simulation) failPrimary(primary core.UpstreamID) {
	sim.mu.Lock()
	kill := sim.random.IntN(2) == 0
	sim.mu.Unlock()
	if kill {
		sim.Group.Kill(primary)
		sim.scheduleFaultEnd(triggerTime, func() { sim.Group.Start(primary) })
		return
	}
	sim.Group.Isolate(primary, true, sim.Sites()...)
	sim.scheduleFaultEnd(triggerTime, func() { sim.Group.Isolate(primary, false, sim.Sites()...) })
}
