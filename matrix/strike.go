package matrix

import (
	"fmt"
	"time"

	"snipewall/core"
	"snipewall/core/elect"
	"snipewall/core/fakes"
)

// Strike is a fault that is injected at a given time instead of at a step.
type Strike struct {
	// Wait is the time since the previous fault began.
	Wait  time.Duration
	Fault Fault
	// Target and Site are the indexes of the affected upstream and entry VM.
	Target, Site int
	// Lasts is the duration of the fault, or of the driver's pause at its next step.
	Lasts time.Duration
	// Step determines the calls whose answers are lost or late.
	Step elect.Step
}

// String returns a description for the output of a failed run.
func (s Strike) String() string {
	return fmt.Sprintf("+%s %s u%d vm%d %s %s", s.Wait, s.Fault, s.Target+1, s.Site, s.Lasts, s.Step)
}

// Play injects the faults, which may overlap, waits until the group has had time to recover, and returns
// the history. It must be called in a synctest bubble.
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

// player holds the pauses that begin with the next step of a site's driver.
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
		w.Store.ExpireLeases()
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

// leave marks the upstream as leaving for the duration.
func (w *World) leave(target core.UpstreamID, lasts time.Duration) {
	w.Group.SetLeaving(target, true)
	w.later(lasts, func() { w.Group.SetLeaving(target, false) })
}
