package matrix

import (
	"time"

	"snipewall/core"
	"snipewall/core/elect"
	"snipewall/core/fakes"
)

// Fault is a kind of fault, which is injected when a driver begins a step.
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
	// FaultAnswerLost drops the answers to the step's calls, which take effect.
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
	faultTime  = 5 * time.Second
	freezeTime = time.Minute
	lapseTime  = 15 * time.Second
	// slowFactor multiplies the processing time.
	slowFactor = 10
	// lateTime is longer than the timeout of a control call.
	lateTime = 700 * time.Millisecond
	// lostAnswers is the number of answers that a fault drops or delays.
	lostAnswers = 3
)

// inject begins the fault and schedules its end. It returns how long the calling driver must pause.
func (w *World) inject(f Fault, step elect.Step, site string) time.Duration {
	heal, pause := faultTime, time.Duration(0)
	switch f {
	case FaultFreeze:
		heal = freezeTime
	case FaultPause:
		pause = freezeTime
	case FaultLeaseLapsed:
		pause = lapseTime
	case FaultAnswerLost:
		w.faultAnswers(step, fakes.AnswerFault{Lost: true})
	case FaultAnswerLate:
		w.faultAnswers(step, fakes.AnswerFault{Late: lateTime})
	}
	if set := w.lasting(f, w.target(), site); set != nil {
		set(true)
		w.later(heal, func() { set(false) })
	}
	w.noteConnected()
	w.busy()
	w.extend(max(heal, pause))
	return pause
}

// lasting returns the function that begins and ends a fault, or nil if the fault isn't switched on and
// off.
func (w *World) lasting(f Fault, target core.UpstreamID, site string) func(on bool) {
	switch f {
	case FaultKill:
		return func(on bool) { w.Group.SetDown(target, on) }
	case FaultCutIn:
		return func(on bool) { w.cutIn(string(target), on) }
	case FaultCutOut:
		return func(on bool) { w.Group.CutOutgoing(target, on, w.Sites()...) }
	case FaultCutBoth:
		return func(on bool) { w.Group.Isolate(target, on, w.Sites()...) }
	case FaultCutVM:
		return func(on bool) { w.cutVM(site, on) }
	case FaultFreeze:
		return func(on bool) { w.Group.SetFrozen(target, on) }
	case FaultSlow:
		return w.slow
	case FaultPlatformDown:
		return w.Store.SetDown
	case FaultPlatformSlow:
		return w.slowStore
	default:
		return nil
	}
}

// target returns a random upstream.
func (w *World) target() core.UpstreamID {
	ids := w.Group.IDs()
	w.mu.Lock()
	defer w.mu.Unlock()
	return ids[w.random.IntN(len(ids))]
}

func (w *World) cutIn(id string, cut bool) {
	for _, place := range w.places() {
		if place != id {
			w.Group.Cut(place, id, cut)
		}
	}
}

func (w *World) cutVM(site string, cut bool) {
	for _, id := range w.Group.IDs() {
		w.Group.Cut(site, string(id), cut)
		w.Group.Cut(string(id), site, cut)
	}
}

func (w *World) slow(on bool) {
	factor := 1
	if on {
		factor = slowFactor
	}
	for _, id := range w.Group.IDs() {
		w.Group.Slow(id, factor)
	}
}

func (w *World) slowStore(on bool) {
	delay := time.Duration(0)
	if on {
		delay = faultTime
	}
	w.Store.SetDelay(delay)
}

// faultAnswers applies the fault to answers to the calls that the step makes.
func (w *World) faultAnswers(step elect.Step, f fakes.AnswerFault) {
	switch step {
	case elect.StepDrain, elect.StepPrepare:
		w.Group.SetAnswerFault(fakes.CallPrepare, "", lostAnswers, f)
	case elect.StepPromote:
		w.Group.SetAnswerFault(fakes.CallPromote, "", lostAnswers, f)
	case elect.StepFollow, elect.StepRepair:
		w.Group.SetAnswerFault(fakes.CallFollow, "", lostAnswers, f)
	case elect.StepLease:
		w.Store.LoseAnswers(lostAnswers)
	case elect.StepRelease:
		// With more lost answers, the next change would get no lease and not reach this step.
		w.Store.LoseAnswers(1)
	default:
		w.Group.SetAnswerFault(fakes.CallStatus, "", lostAnswers, f)
	}
}
