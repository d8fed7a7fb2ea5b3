package elect

import (
	"context"
	"fmt"
	"time"

	"snipewall/core"
)

// drain sends prepare to the leaving primary only, which then takes no more commits, and waits until a
// replica that isn't leaving holds its whole log. The other upstreams still accept entries of the old
// term.
func (d *Driver) drain(ctx context.Context, a assessment, c *Change) ([]promise, error) {
	start := time.Now()
	if err := d.beginStep(ctx, StepDrain, c.Term); err != nil {
		return nil, err
	}
	answers := make(chan promise, 1)
	d.call(ctx, a.primary, answers, func(ctx context.Context, up core.Upstream) (core.UpstreamStatus, error) {
		return up.Prepare(ctx, c.Term)
	})
	p := <-answers
	id := d.cfg.Upstreams[a.primary].Info().ID
	d.record(Event{Step: StepDrain, Term: c.Term, Upstream: id, Took: time.Since(start), Error: errorText(p.err)})
	d.lastStepAt = time.Now()
	if p.err != nil {
		return nil, fmt.Errorf("prepare of the leaving primary: %w", p.err)
	}
	return []promise{p}, d.catchUp(ctx, p, c.Term)
}

// catchUp waits until a replica holds the log up to the position in the promise. If none does in time,
// the change continues without the entries that no majority holds.
func (d *Driver) catchUp(ctx context.Context, p promise, term core.Term) error {
	start := time.Now()
	if err := d.beginStep(ctx, StepCatchUp, term); err != nil {
		return err
	}
	text := ""
	for !d.hasCaughtUp(p) {
		if time.Since(start) >= d.cfg.Timing.CatchUp {
			text = "no replica caught up in time"
			break
		}
		d.pollAll()
		if !sleep(ctx, d.cfg.Timing.Tick/4) {
			return ctx.Err()
		}
	}
	d.lastStepAt = time.Now()
	d.record(Event{Step: StepCatchUp, Term: term, Took: time.Since(start), Error: text})
	return nil
}

func (d *Driver) hasCaughtUp(p promise) bool {
	for i, r := range d.cfg.View.Reports() {
		if i == p.index || !r.Known || d.isLeaving(r) {
			continue
		}
		if r.Status.Log.Term == p.status.Log.Term && !r.Status.Log.Less(p.status.Log) {
			return true
		}
	}
	return false
}

func (d *Driver) pollAll() {
	for _, up := range d.cfg.Upstreams {
		d.cfg.View.Suspect(up.Info().ID)
	}
}
