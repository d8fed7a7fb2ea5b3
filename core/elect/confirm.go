package elect

import (
	"context"
	"time"

	"snipewall/core"
)

// confirmTimeout limits the wait for the first confirmed position. Repair may still restore the group
// after that, but the change is then not reported.
const confirmTimeout = 10 * time.Second

// confirmResult is the result of waiting for the first confirmed position after a change.
type confirmResult struct {
	change Change
	err    error
}

// awaitConfirm waits for the first confirmed position in a new goroutine, so that repair isn't delayed.
func (d *Driver) awaitConfirm(ctx context.Context, pos core.Position, c Change) {
	start := time.Now()
	if err := d.beginStep(ctx, StepConfirm, c.Term); err != nil {
		d.record(Event{Step: StepConfirm, Term: c.Term, Error: errorText(err)})
		return
	}
	for _, up := range d.cfg.Upstreams {
		d.cfg.View.Suspect(up.Info().ID)
	}
	d.calls.Add(1)
	go func() {
		defer d.calls.Done()
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		err := d.cfg.View.Confirm(ctx, pos)
		c.Confirm = time.Since(start)
		select {
		case d.confirmResults <- confirmResult{change: c, err: err}:
		case <-ctx.Done():
		}
	}()
}

// finishChange records the end of a change and, if it was confirmed, reports it and releases the lease.
func (d *Driver) finishChange(result confirmResult) {
	c := result.change
	d.record(Event{Step: StepConfirm, Term: c.Term, Upstream: c.To, Reason: c.Reason, Took: c.Confirm, Error: errorText(result.err)})
	if result.err != nil {
		return
	}
	d.mu.Lock()
	d.changes++
	d.mu.Unlock()
	if d.cfg.OnChange != nil {
		d.cfg.OnChange(c)
	}
	d.release(context.Background(), c.Term)
}

// release releases the lease, so that the next change doesn't have to wait until it expires.
func (d *Driver) release(ctx context.Context, term core.Term) {
	if d.cfg.Store == nil || d.lease.id == "" {
		return
	}
	if d.cfg.Hook != nil {
		d.cfg.Hook(ctx, StepRelease, term)
	}
	start := time.Now()
	err := d.lease.release(ctx, d.cfg.Timing.StoreTimeout)
	d.record(Event{Step: StepRelease, Term: term, Took: time.Since(start), Error: errorText(err)})
}
