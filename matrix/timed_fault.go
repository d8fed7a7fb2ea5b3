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
	// Duration is the duration of the fault, or of the driver's pause at its next step.
	Duration time.Duration
	// Step determines the calls whose answers are lost or late.
	Step elect.Step
}

// String returns a description for the output of a failed run.
func (s TimedFault) String() string {
	return fmt.Sprintf("+%s %s u%d vm%d %s %s", s.Wait, s.Fault, s.Target+1, s.Site, s.Duration, s.Step)
}

// RunFaults injects the faults, which may overlap, waits until the group has had time to recover, and
// returns the history. It must be called in a synctest bubble.
func RunFaults(cfg SimulationConfig, faults []TimedFault) History {
	p := &faultInjector{pauses: make(map[string]time.Duration)}
	cfg.Hook = p.hook
	sim := NewSimulation(cfg)
	time.Sleep(warmUpTime)
	for _, s := range faults {
		time.Sleep(s.Wait)
		p.inject(sim, s)
	}
	sim.WaitForFaults()
	sim.Group.Heal()
	sim.recordConnected()
	sim.setBusy()
	time.Sleep(RecoveryLimit)
	return sim.Close()
}

// faultInjector injects the faults of a run. pauses holds the pauses that begin with the next step of a
// site's driver.
type faultInjector struct {
	pauses map[string]time.Duration
}

func (p *faultInjector) hook(sim *Simulation, site string, _ elect.Step) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	pause := p.pauses[site]
	delete(p.pauses, site)
	return pause
}

func (p *faultInjector) inject(sim *Simulation, s TimedFault) {
	target := sim.Group.IDs()[s.Target]
	site := sim.Sites()[s.Site]
	sim.setBusy()
	sim.extendFaults(s.Duration)
	switch s.Fault {
	case FaultNone:
		sim.setLeaving(target, s.Duration)
	case FaultPause:
		sim.mu.Lock()
		p.pauses[site] = s.Duration
		sim.mu.Unlock()
	case FaultLeaseLapsed:
		sim.Store.ExpireLeases()
	case FaultAnswerLost:
		sim.setAnswerFault(s.Step, fakes.AnswerFault{Lost: true})
	case FaultAnswerLate:
		sim.setAnswerFault(s.Step, fakes.AnswerFault{Late: answerDelay})
	default:
		set := sim.faultSwitch(s.Fault, target, site)
		set(true)
		sim.recordConnected()
		sim.scheduleFaultEnd(s.Duration, func() { set(false) })
	}
}

// setLeaving marks the upstream as leaving for the duration.
func (sim *Simulation) setLeaving(target core.UpstreamID, duration time.Duration) {
	sim.Group.SetLeaving(target, true)
	sim.scheduleFaultEnd(duration, func() { sim.Group.SetLeaving(target, false) })
}
