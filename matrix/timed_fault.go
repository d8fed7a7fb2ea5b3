package matrix

import (
	"fmt"
	"time"

	"snipewall/core"
	"snipewall/core/elect"
	"snipewall/core/fakes"
)

// TimedFault is a fault that is injected at a given time instead of at a step.
type TimedFault struct {
	// Wait is the time since the previous fault began.
	Wait  time.Duration
	Fault Fault
	// Target and Site are the indexes of the affected upstream and entry VM.
	Target, Site int
	// Duration is the duration of the fault, or of the driver's pause at its next step. It has no effect on
	// lost and late answers and lapsed leases.
	Duration time.Duration
	// Step determines the calls whose answers are lost or late.
	Step elect.Step
}

// String returns a description for the output of a failed run.
func (f TimedFault) String() string {
	return fmt.Sprintf("+%s %s u%d vm%d %s %s", f.Wait, f.Fault, f.Target+1, f.Site, f.Duration, f.Step)
}

// RunFaults injects the faults, which may overlap, waits until the group has had time to recover, and
// returns the history. It must be called in a synctest bubble.
func RunFaults(cfg SimulationConfig, faults []TimedFault) History {
	injector := &faultInjector{pauses: make(map[string]time.Duration)}
	cfg.Hook = injector.hook
	sim := NewSimulation(cfg)
	time.Sleep(warmUpTime)
	for _, f := range faults {
		time.Sleep(f.Wait)
		injector.inject(sim, f)
	}
	sim.WaitForFaults()
	sim.Group.Heal()
	sim.recordConnected()
	sim.extendFullRate()
	time.Sleep(RecoveryLimit)
	return sim.Close()
}

// faultInjector injects the faults of a run. pauses maps a site to the pause of its driver at the next step.
type faultInjector struct {
	pauses map[string]time.Duration
}

func (fi *faultInjector) hook(sim *Simulation, site string, _ elect.Step) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	pause := fi.pauses[site]
	delete(fi.pauses, site)
	return pause
}

// inject begins the fault. In contrast to a Cell's faults, FaultNone marks the upstream as leaving and
// FaultLeaseLapsed makes all leases expire immediately.
func (fi *faultInjector) inject(sim *Simulation, f TimedFault) {
	target := sim.Group.IDs()[f.Target]
	site := sim.Sites()[f.Site]
	sim.extendFullRate()
	sim.updateFaultsEnd(f.Duration)
	switch f.Fault {
	case FaultNone:
		sim.setLeaving(target, f.Duration)
	case FaultPause:
		sim.mu.Lock()
		fi.pauses[site] = f.Duration
		sim.mu.Unlock()
	case FaultLeaseLapsed:
		sim.Store.ExpireLeases()
	case FaultAnswerLost:
		sim.setAnswerFault(f.Step, fakes.AnswerFault{Lost: true})
	case FaultAnswerLate:
		sim.setAnswerFault(f.Step, fakes.AnswerFault{Late: answerDelay})
	default:
		set := sim.faultSwitch(f.Fault, target, site)
		set(true)
		sim.recordConnected()
		sim.scheduleFaultEnd(f.Duration, func() { set(false) })
	}
}

// setLeaving marks the upstream as leaving for the duration.
func (sim *Simulation) setLeaving(target core.UpstreamID, duration time.Duration) {
	sim.Group.SetLeaving(target, true)
	sim.scheduleFaultEnd(duration, func() { sim.Group.SetLeaving(target, false) })
}
