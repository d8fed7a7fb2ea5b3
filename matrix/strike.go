package matrix

import (
	"fmt"
	"time"

	"snipewall/core"
	"snipewall/core/elect"
	"snipewall/core/fakes"
)

// Strike is one fault of a generated run, at any time instead of at a step.
type Strike struct {
	// Wait is the time since the strike before.
	Wait  time.Duration
	Fault Fault
	// Target and Site select an upstream and an entry VM by index.
	Target, Site int
	// Lasts is how long a fault lasts, or how long a driver is paused at its next step.
	Lasts time.Duration
	// Step selects the calls whose answers are lost or late.
	Step elect.Step
}

// String describes the strike for the output of a failed run.
func (s Strike) String() string {
	return fmt.Sprintf("+%s %s u%d vm%d %s %s", s.Wait, s.Fault, s.Target+1, s.Site, s.Lasts, s.Step)
}

// Play runs the strikes one after the other, overlapping as their times say, waits until the group
// has had time to recover, and returns the history. It must be called in a synctest bubble.
func Play(cfg WorldConfig, strikes []Strike) History {
	p := &player{pauses: make(map[string]time.Duration)}
	cfg.Hook = p.hook
	w := NewWorld(cfg)
	time.Sleep(warmTime)
	for _, s := range strikes {
		time.Sleep(s.Wait)
		p.strike(w, s)
	}
	w.Quiet()
	w.Group.Heal()
	w.noteConnected()
	w.busy()
	time.Sleep(RecoveryLimit)
	return w.Close()
}

// player holds the pauses that wait for a driver's next step.
type player struct {
	pauses map[string]time.Duration
}

func (p *player) hook(w *World, site string, _ elect.Step) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	pause := p.pauses[site]
	delete(p.pauses, site)
	return pause
}

func (p *player) strike(w *World, s Strike) {
	target := w.Group.IDs()[s.Target]
	site := w.Sites()[s.Site]
	w.busy()
	w.extend(s.Lasts)
	switch s.Fault {
	case FaultNone:
		w.leave(target, s.Lasts)
	case FaultPause:
		w.mu.Lock()
		p.pauses[site] = s.Lasts
		w.mu.Unlock()
	case FaultLeaseLapsed:
		w.Store.Expire()
	case FaultAnswerLost:
		w.faultAnswers(s.Step, fakes.AnswerFault{Lost: true})
	case FaultAnswerLate:
		w.faultAnswers(s.Step, fakes.AnswerFault{Late: lateTime})
	default:
		set := w.lasting(s.Fault, target, site)
		set(true)
		w.noteConnected()
		w.later(s.Lasts, func() { set(false) })
	}
}

// leave marks the upstream as leaving for a time.
func (w *World) leave(target core.UpstreamID, lasts time.Duration) {
	w.Group.SetLeaving(target, true)
	w.later(lasts, func() { w.Group.SetLeaving(target, false) })
}
