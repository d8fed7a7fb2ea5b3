package matrix

import (
	"time"

	"snipewall/core"
	"snipewall/core/elect"
	"snipewall/core/fakes"
)

// Fault is a kind of fault. A Cell injects it when a driver begins a step, a TimedFault at a given time.
type Fault string

// Faults of the matrix.
const (
	// FaultNone injects no fault besides the trigger of the step.
	FaultNone Fault = "None"
	// FaultKill kills an upstream.
	FaultKill Fault = "Kill"
	// FaultCutIn drops all messages to an upstream, FaultCutOut all messages from it.
	FaultCutIn  Fault = "CutIn"
	FaultCutOut Fault = "CutOut"
	// FaultCutBoth isolates an upstream.
	FaultCutBoth Fault = "CutBoth"
	// FaultCutVM isolates the entry VM of the driver in the step from all upstreams.
	FaultCutVM Fault = "CutVM"
	// FaultFreeze freezes an upstream for 1 min.
	FaultFreeze Fault = "Freeze"
	// FaultPause pauses the driver in the step for 1 min.
	FaultPause Fault = "Pause"
	// FaultSlow makes all upstreams 10 times slower.
	FaultSlow Fault = "Slow"
	// FaultAnswerLost drops the answers to the step's calls after the calls have taken effect.
	FaultAnswerLost Fault = "AnswerLost"
	// FaultAnswerLate delays the answers to the step's calls beyond their deadline.
	FaultAnswerLate Fault = "AnswerLate"
	// FaultPlatformDown makes calls to the store fail, FaultPlatformSlow makes each take 5 s.
	FaultPlatformDown Fault = "PlatformDown"
	FaultPlatformSlow Fault = "PlatformSlow"
	// FaultLeaseLapsed pauses the driver for longer than the lease's TTL.
	FaultLeaseLapsed Fault = "LeaseLapsed"
)

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{
		FaultNone, FaultKill, FaultCutIn, FaultCutOut, FaultCutBoth, FaultCutVM, FaultFreeze, FaultPause,
		FaultSlow, FaultAnswerLost, FaultAnswerLate, FaultPlatformDown, FaultPlatformSlow, FaultLeaseLapsed,
	}
}

// Durations of faults.
const (
	faultDuration  = 5 * time.Second
	freezeDuration = time.Minute
	lapseDuration  = 15 * time.Second
	// slowFactor multiplies the upstreams' processing time.
	slowFactor = 10
	// answerDelay is longer than the timeout of a control call.
	answerDelay = 700 * time.Millisecond
	// affectedAnswers is the number of answers that a fault drops or delays.
	affectedAnswers = 3
)

// inject begins the fault and schedules its end. It returns how long the calling driver must pause.
func (sim *Simulation) inject(f Fault, step elect.Step, site string) time.Duration {
	duration, pause := faultDuration, time.Duration(0)
	switch f {
	case FaultFreeze:
		duration = freezeDuration
	case FaultPause:
		pause = freezeDuration
	case FaultLeaseLapsed:
		pause = lapseDuration
	case FaultAnswerLost:
		sim.setAnswerFault(step, fakes.AnswerFault{Lost: true})
	case FaultAnswerLate:
		sim.setAnswerFault(step, fakes.AnswerFault{Late: answerDelay})
	}
	if set := sim.faultSwitch(f, sim.randomUpstream(), site); set != nil {
		set(true)
		sim.scheduleFaultEnd(duration, func() { set(false) })
	}
	sim.recordConnected()
	sim.extendFullRate()
	sim.updateFaultsEnd(max(duration, pause))
	return pause
}

// faultSwitch returns a function that begins the fault (on) and ends it (off). It returns nil for FaultNone
// and for the faults that pause a driver or affect answers.
func (sim *Simulation) faultSwitch(f Fault, target core.UpstreamID, site string) func(on bool) {
	switch f {
	case FaultKill:
		return func(on bool) { sim.Group.SetDown(target, on) }
	case FaultCutIn:
		return func(on bool) { sim.cutIn(string(target), on) }
	case FaultCutOut:
		return func(on bool) { sim.Group.CutOutgoing(target, on, sim.Sites()...) }
	case FaultCutBoth:
		return func(on bool) { sim.Group.Isolate(target, on, sim.Sites()...) }
	case FaultCutVM:
		return func(on bool) { sim.cutVM(site, on) }
	case FaultFreeze:
		return func(on bool) { sim.Group.SetFrozen(target, on) }
	case FaultSlow:
		return sim.setSlow
	case FaultPlatformDown:
		return sim.Store.SetDown
	case FaultPlatformSlow:
		return sim.setStoreSlow
	default:
		return nil
	}
}

func (sim *Simulation) randomUpstream() core.UpstreamID {
	ids := sim.Group.IDs()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return ids[sim.random.IntN(len(ids))]
}

func (sim *Simulation) cutIn(id string, cut bool) {
	for _, endpoint := range sim.endpoints() {
		if endpoint != id {
			sim.Group.Cut(endpoint, id, cut)
		}
	}
}

func (sim *Simulation) cutVM(site string, cut bool) {
	for _, id := range sim.Group.IDs() {
		sim.Group.Cut(site, string(id), cut)
		sim.Group.Cut(string(id), site, cut)
	}
}

func (sim *Simulation) setSlow(on bool) {
	factor := 1
	if on {
		factor = slowFactor
	}
	for _, id := range sim.Group.IDs() {
		sim.Group.Slow(id, factor)
	}
}

func (sim *Simulation) setStoreSlow(on bool) {
	delay := time.Duration(0)
	if on {
		delay = faultDuration
	}
	sim.Store.SetDelay(delay)
}

// setAnswerFault applies the fault to the next answers to the calls that the step makes. The store's answers
// are lost even if the fault is to delay them.
func (sim *Simulation) setAnswerFault(step elect.Step, f fakes.AnswerFault) {
	switch step {
	case elect.StepDrain, elect.StepPrepare:
		sim.Group.SetAnswerFault(fakes.CallPrepare, "", affectedAnswers, f)
	case elect.StepPromote:
		sim.Group.SetAnswerFault(fakes.CallPromote, "", affectedAnswers, f)
	case elect.StepFollow, elect.StepRepair:
		sim.Group.SetAnswerFault(fakes.CallFollow, "", affectedAnswers, f)
	case elect.StepLease:
		sim.Store.LoseAnswers(affectedAnswers)
	case elect.StepRelease:
		// With more lost answers, the next change would get no lease and not reach this step.
		sim.Store.LoseAnswers(1)
	default:
		sim.Group.SetAnswerFault(fakes.CallStatus, "", affectedAnswers, f)
	}
}
