package elect

import (
	"context"
	"fmt"
	"time"

	"snipewall/core"
)

// drain prepares the leaving primary alone, so that it takes no more commits, and waits until a
// replica that stays holds its whole log. The other upstreams still accept entries of the old term.
func (d *Driver) drain(ctx context.Context, a assessment, c *Change) ([]promise, error) {
	start := time.Now()
	if err := d.enter(ctx, StepDrain, c.Term); err != nil {
		return nil, err
	}
	answers := make(chan promise, 1)
	d.call(ctx, a.primary, answers, func(ctx context.Context, up core.Upstream) (core.UpstreamStatus, error) {
		return up.Prepare(ctx, c.Term)
	})
	p := <-answers
	id := d.cfg.Upstreams[a.primary].Info().ID
	d.record(Event{Step: StepDrain, Term: c.Term, Upstream: id, Took: time.Since(start), Error: errorText(p.err)})
	d.progress = time.Now()
	if p.err != nil {
		return nil, fmt.Errorf("prepare of the leaving primary: %w", p.err)
	}
	return []promise{p}, d.catchUp(ctx, p, c.Term)
}

// catchUp waits for a replica to hold the log up to the promise. If none does in time, the change
// goes on without the entries that no majority holds.
func (d *Driver) catchUp(ctx context.Context, p promise, term core.Term) error {
	start := time.Now()
	if err := d.enter(ctx, StepCatchUp, term); err != nil {
		return err
	}
	text := ""
	for !d.caughtUp(p) {
		if time.Since(start) >= d.cfg.Timing.CatchUp {
			text = "no replica caught up in time"
			break
		}
		d.suspectAll()
		if !sleep(ctx, d.cfg.Timing.Tick/4) {
			return ctx.Err()
		}
	}
	d.progress = time.Now()
	d.record(Event{Step: StepCatchUp, Term: term, Took: time.Since(start), Error: text})
	return nil
}

func (d *Driver) caughtUp(p promise) bool {
	for i, r := range d.cfg.View.Reports() {
		if i == p.index || !r.Known || d.leaving(r) {
			continue
		}
		if r.Status.Log.Term == p.status.Log.Term && !r.Status.Log.Less(p.status.Log) {
			return true
		}
	}
	return false
}

func (d *Driver) suspectAll() {
	for _, up := range d.cfg.Upstreams {
		d.cfg.View.Suspect(up.Info().ID)
	}
}
