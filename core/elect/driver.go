package elect

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"snipewall/core"
)

// errPaused ends a change during which the process was paused.
var errPaused = errors.New("the driver was paused between two steps")

// Driver changes the primary of one group and repairs its upstreams. It implements core.Service.
type Driver struct {
	cfg      Config
	majority int

	// The fields up to mu are used by Run's goroutine only.
	lease lease
	// The timers record since when a condition has held for which the reports have no time.
	noPrimaryTimer, higherTermTimer, leavingTimer, contestedTimer termTimer
	// lastCheckAt is the time of the last check; watchingSince is when the checks since the last pause
	// began.
	lastCheckAt, watchingSince time.Time
	// retryAt is the end of the backoff; attempts is the number of changes that failed in a row.
	retryAt  time.Time
	attempts int
	// highestTerm is the highest term that this driver has used.
	highestTerm core.Term
	// abandonedTerm is the last term in which this driver had a majority and then failed to promote. No
	// other driver can be using that term.
	abandonedTerm core.Term
	// lastStepAt is when the last step ended.
	lastStepAt time.Time
	repairedAt []time.Time
	// notLeavingSince is since when each upstream's status has been without the leaving mark.
	notLeavingSince []time.Time
	confirmResults  chan confirmResult
	calls           sync.WaitGroup

	mu      sync.Mutex
	events  []Event
	changes uint64
	failed  uint64
	reason  Reason
}

// Name implements core.Service.
func (d *Driver) Name() string { return "elect/" + string(d.cfg.Group) }

// Run monitors the group and changes its primary when needed, until ctx ends. It waits for its calls to
// upstreams and returns nil.
func (d *Driver) Run(ctx context.Context) error {
	defer d.calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(d.check(ctx))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-d.cfg.View.Changed():
		case result := <-d.confirmResults:
			d.finishChange(result)
		}
		timer.Reset(d.check(ctx))
	}
}

// check assesses the group, acts on the result and returns the time until the next check.
func (d *Driver) check(ctx context.Context) time.Duration {
	now := time.Now()
	d.detectPause(now)
	d.publishLeaving(now, d.cfg.View.Reports())
	a := d.assess(now)
	d.setReason(a.reason)
	d.repair(ctx, now, a)
	if a.reason == "" {
		if a.primary >= 0 && len(a.repairs) == 0 {
			d.attempts = 0
		}
		return d.nextCheckDelay(a)
	}
	if a.ready && !now.Before(d.retryAt) {
		d.change(ctx, a)
	}
	d.lastCheckAt = time.Now()
	return d.cfg.Timing.Tick
}

// detectPause restarts all waiting periods after this process was paused. The time in which it could not
// receive the primary's answers must not count as a failure of the primary.
func (d *Driver) detectPause(now time.Time) {
	if now.Sub(d.lastCheckAt) > d.cfg.Timing.HealthyTick+d.cfg.Timing.PauseLimit/2 {
		d.watchingSince = now
	}
	d.lastCheckAt = now
}

// nextCheckDelay returns the time until the next check. It is long for a healthy group, whose driver is
// woken by a failed poll.
func (d *Driver) nextCheckDelay(a assessment) time.Duration {
	if a.primary < 0 || len(a.repairs) > 0 {
		return d.cfg.Timing.Tick
	}
	reports := d.cfg.View.Reports()
	if reports[a.primary].Err != nil {
		return d.cfg.Timing.Tick
	}
	return d.cfg.Timing.HealthyTick
}

func (d *Driver) setReason(r Reason) {
	d.mu.Lock()
	d.reason = r
	d.mu.Unlock()
}

// beginStep calls the hook before a step. It returns errPaused if more than PauseLimit has passed since
// the last step.
func (d *Driver) beginStep(ctx context.Context, step Step, term core.Term) error {
	if d.cfg.Hook != nil {
		d.cfg.Hook(ctx, step, term)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if time.Since(d.lastStepAt) > d.cfg.Timing.PauseLimit {
		return fmt.Errorf("step %s: %w", step, errPaused)
	}
	return nil
}

// sleep waits for t and returns true, or returns false as soon as ctx ends.
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

// backOff delays the next change, exponentially with the number of failures in a row. The delay is
// random so that two drivers that collided don't collide again.
func (d *Driver) backOff() {
	t := d.cfg.Timing
	limit := min(t.RetryMin<<min(d.attempts, 10), t.RetryMax)
	d.attempts++
	d.retryAt = time.Now().Add(limit/2 + d.random(limit))
}

// random returns a duration in [0, limit).
func (d *Driver) random(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(d.cfg.Rand.Int64N(int64(limit)))
}
