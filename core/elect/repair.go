package elect

import (
	"context"
	"errors"
	"time"
)

// repair tells the upstreams in a.repairs to follow the primary. This is safe at any time: an upstream
// that has promised a higher term refuses, and the primary's log holds all entries that were confirmed
// in lower terms.
func (d *Driver) repair(ctx context.Context, now time.Time, a assessment) {
	for _, i := range a.repairs {
		if now.Sub(d.repairedAt[i]) < d.cfg.Timing.RepairInterval {
			continue
		}
		d.lastStepAt = now
		if err := d.beginStep(ctx, StepRepair, a.term); err != nil {
			if errors.Is(err, errPaused) {
				d.watchingSince = time.Now()
			}
			return
		}
		d.repairedAt[i] = time.Now()
		d.repairOne(ctx, i, a)
	}
}

// repairOne sends follow in a new goroutine, so that an upstream that doesn't answer can't delay the
// detection of a failed primary.
func (d *Driver) repairOne(ctx context.Context, i int, a assessment) {
	start := time.Now()
	primary := d.cfg.Upstreams[a.primary].Info()
	id := d.cfg.Upstreams[i].Info().ID
	d.calls.Add(1)
	go func() {
		defer d.calls.Done()
		ctx, cancel := context.WithTimeout(ctx, d.cfg.Timing.CallTimeout)
		defer cancel()
		_, err := d.cfg.Upstreams[i].Follow(ctx, a.term, primary)
		d.record(Event{Step: StepRepair, Term: a.term, Upstream: id, Took: time.Since(start), Error: errorText(err)})
		d.cfg.View.Suspect(id)
	}()
}
