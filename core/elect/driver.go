package elect

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"snipewall/core"
)

// errPaused ends a change whose driver was paused between two steps.
var errPaused = errors.New("paused between steps, deciding anew")

// Driver implements core.Service for one group.
type Driver struct {
	cfg      Config
	majority int

	// The fields below belong to the goroutine of Run.
	lease lease
	// noPrimary, passed, leave and contest time the conditions that a status doesn't time.
	noPrimary, passed, leave, contest standstill
	// lastLook is the time of the last look; watching is since when looks have come without a pause.
	lastLook, watching time.Time
	// notBefore is the end of the backoff after attempts failed changes in a row.
	notBefore time.Time
	attempts  int
	// highest is the highest term that this driver has used.
	highest core.Term
	// abandoned is the last term for which this driver had a majority and then failed to promote. No
	// other driver can be at work in it.
	abandoned core.Term
	// progress is the end of the last step of a change.
	progress time.Time
	repaired []time.Time
	// staying is since when each upstream's status has not said that it is leaving.
	staying []time.Time
	ends    chan confirmEnd
	calls   sync.WaitGroup

	mu      sync.Mutex
	events  []Event
	changes uint64
	failed  uint64
	reason  Reason
}

// Name implements core.Service.
func (d *Driver) Name() string { return "elect/" + string(d.cfg.Group) }

// Run watches the group and changes its primary when needed, until ctx ends. It returns after its
// calls to upstreams have returned.
func (d *Driver) Run(ctx context.Context) error {
	defer d.calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-d.cfg.View.Changed():
		case end := <-d.ends:
			d.finish(end)
		}
		timer.Reset(d.look(ctx))
	}
}

// look assesses the group, acts, and returns the time to the next look.
func (d *Driver) look(ctx context.Context) time.Duration {
	now := time.Now()
	d.noticePause(now)
	d.spreadLeaving(now, d.cfg.View.Reports())
	a := d.assess(now)
	d.setReason(a.reason)
	d.repair(ctx, now, a)
	if a.reason == "" {
		if a.primary >= 0 && len(a.repairs) == 0 {
			d.attempts = 0
		}
		return d.nextLook(a)
	}
	if a.ready && !now.Before(d.notBefore) {
		d.change(ctx, a)
	}
	d.lastLook = time.Now()
	return d.cfg.Timing.Tick
}

// noticePause restarts all waiting periods after this process was paused: the silence of a primary
// counts only while the driver was listening.
func (d *Driver) noticePause(now time.Time) {
	if now.Sub(d.lastLook) > d.cfg.Timing.IdleTick+d.cfg.Timing.PauseLimit/2 {
		d.watching = now
	}
	d.lastLook = now
}

// nextLook keeps the driver of a healthy group almost idle: failed polls wake it up.
func (d *Driver) nextLook(a assessment) time.Duration {
	if a.primary < 0 || len(a.repairs) > 0 {
		return d.cfg.Timing.Tick
	}
	reports := d.cfg.View.Reports()
	if reports[a.primary].Err != nil {
		return d.cfg.Timing.Tick
	}
	return d.cfg.Timing.IdleTick
}

func (d *Driver) setReason(r Reason) {
	d.mu.Lock()
	d.reason = r
	d.mu.Unlock()
}

// enter calls the hook of a step and reports whether the driver was paused since the last step.
func (d *Driver) enter(ctx context.Context, step Step, term core.Term) error {
	if d.cfg.Hook != nil {
		d.cfg.Hook(ctx, step, term)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if time.Since(d.progress) > d.cfg.Timing.PauseLimit {
		return fmt.Errorf("step %s: %w", step, errPaused)
	}
	return nil
}

// sleep waits and reports whether the whole time passed.
func sleep(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// backOff delays the next change, longer after each failure in a row. The time is random so that
// two drivers that collided don't collide again.
func (d *Driver) backOff() {
	t := d.cfg.Timing
	limit := min(t.RetryMin<<min(d.attempts, 10), t.RetryMax)
	d.attempts++
	d.notBefore = time.Now().Add(limit/2 + d.random(limit))
}

// random returns a duration in [0, limit).
func (d *Driver) random(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(d.cfg.Rand.Int64N(int64(limit)))
}
