package elect

import (
	"context"
	"time"

	"snipewall/core"
)

// confirmLimit is how long a driver waits for the first confirmed position before it gives up
// measuring. The group may still recover later by repair.
const confirmLimit = 10 * time.Second

// confirmEnd is the end of the wait for the first confirmed position of a change.
type confirmEnd struct {
	change Change
	err    error
}

// awaitConfirm waits for the first confirmed position without holding up repair.
func (d *Driver) awaitConfirm(ctx context.Context, pos core.Position, c Change) {
	start := time.Now()
	if err := d.enter(ctx, StepConfirm, c.Term); err != nil {
		d.record(Event{Step: StepConfirm, Term: c.Term, Error: errorText(err)})
		return
	}
	for _, up := range d.cfg.Upstreams {
		d.cfg.View.Suspect(up.Info().ID)
	}
	d.calls.Add(1)
	go func() {
		defer d.calls.Done()
		ctx, cancel := context.WithTimeout(ctx, confirmLimit)
		defer cancel()
		err := d.cfg.View.Confirm(ctx, pos)
		c.Confirm = time.Since(start)
		select {
		case d.ends <- confirmEnd{change: c, err: err}:
		case <-ctx.Done():
		}
	}()
}

// finish reports a completed change.
func (d *Driver) finish(end confirmEnd) {
	c := end.change
	d.record(Event{Step: StepConfirm, Term: c.Term, Upstream: c.To, Reason: c.Reason, Took: c.Confirm, Error: errorText(end.err)})
	if end.err != nil {
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

// release gives up the lease, so that the next change needn't wait for its expiry.
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
