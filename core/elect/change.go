package elect

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"snipewall/core"
)

// Errors that end a change of primary.
var (
	errNoMajority = errors.New("no majority answered")
	errNotNeeded  = errors.New("the change is no longer needed or another driver is at work")
)

// recheckInterval is the time between two checks for the answers that a recheck waits for.
const recheckInterval = 2 * time.Millisecond

// promise is an upstream's answer to prepare.
type promise struct {
	index  int
	status core.UpstreamStatus
	err    error
}

// change performs one change of primary. After a failure, a later check of the group starts over.
func (d *Driver) change(ctx context.Context, a assessment) {
	c := Change{Reason: a.reason}
	d.lastStepAt = time.Now()
	c.Detection = time.Since(a.since)
	err := d.runSteps(ctx, a, &c)
	if err == nil {
		d.retryAt = time.Now().Add(d.cfg.Timing.RetryMin)
		return
	}
	d.mu.Lock()
	d.failed++
	d.mu.Unlock()
	if errors.Is(err, errPaused) {
		d.watchingSince = time.Now()
	}
	d.backOff()
	d.release(ctx, c.Term)
}

func (d *Driver) runSteps(ctx context.Context, a assessment, c *Change) error {
	err := d.beginStep(ctx, StepDetect, a.term)
	d.record(Event{Step: StepDetect, Term: a.term, Reason: a.reason, Took: c.Detection, Error: errorText(err)})
	if err != nil {
		return err
	}
	if err := d.runStep(ctx, StepDelay, &c.Delay, c, func() error { return d.waitForOthers(ctx, a) }); err != nil {
		return err
	}
	var promises []promise
	err = d.runStep(ctx, StepPrepare, &c.Prepare, c, func() (err error) {
		promises, err = d.collectPromises(ctx, a, c)
		return err
	})
	if err != nil {
		return err
	}
	target := d.choose(promises, a)
	c.To = d.cfg.Upstreams[target.index].Info().ID
	var status core.UpstreamStatus
	err = d.runStep(ctx, StepPromote, &c.Promote, c, func() (err error) {
		status, err = d.promote(ctx, target.index, c.Term)
		return err
	})
	if err != nil {
		d.abandonedTerm = c.Term
		return err
	}
	d.followAll(ctx, target.index, *c)
	d.awaitConfirm(ctx, status.Log, *c)
	return nil
}

// runStep runs one step, measures its duration and records an event with the term and upstream as they
// are at the end.
func (d *Driver) runStep(ctx context.Context, s Step, took *time.Duration, c *Change, run func() error) error {
	start := time.Now()
	err := d.beginStep(ctx, s, c.Term)
	if err == nil {
		err = run()
	}
	*took = time.Since(start)
	d.lastStepAt = time.Now()
	d.record(Event{Step: s, Term: c.Term, Upstream: c.To, Reason: c.Reason, Took: *took, Error: errorText(err)})
	return err
}

// waitForOthers waits for other drivers if another one holds the lease or the store doesn't answer, and
// returns errNotNeeded if the same change is no longer needed.
func (d *Driver) waitForOthers(ctx context.Context, a assessment) error {
	answer, err := d.acquireLease(ctx, a.term)
	if err != nil {
		return err
	}
	wait := time.Duration(0)
	switch answer {
	case leaseUnknown:
		wait = d.random(d.cfg.Timing.MaxStagger)
	case leaseHeldByOther:
		wait = d.cfg.Timing.LeaseDelay + d.random(d.cfg.Timing.MaxStagger)
	case leaseAcquired:
	}
	for end := time.Now().Add(wait); ; {
		now := time.Now()
		d.lastStepAt = now
		if !a.needsSameChange(d.assess(now)) {
			return errNotNeeded
		}
		if !now.Before(end) {
			return d.recheck(ctx, a)
		}
		if !sleep(ctx, min(d.cfg.Timing.Tick, end.Sub(now))) {
			return ctx.Err()
		}
	}
}

// recheck repeats the assessment with statuses from polls that start now. Statuses from periodic polls can
// be 100 ms old, and another driver completes a change in less time.
func (d *Driver) recheck(ctx context.Context, a assessment) error {
	start := time.Now()
	d.pollAll()
	for d.polledSince(start) < d.majority {
		if time.Since(start) > d.cfg.Timing.CallTimeout {
			return errNoMajority
		}
		if !sleep(ctx, recheckInterval) {
			return ctx.Err()
		}
	}
	d.lastStepAt = time.Now()
	if !a.needsSameChange(d.assess(d.lastStepAt)) {
		return errNotNeeded
	}
	return nil
}

// polledSince returns the number of upstreams with a status from a poll that did not start before start.
func (d *Driver) polledSince(start time.Time) int {
	n := 0
	for _, r := range d.cfg.View.Reports() {
		if r.Known && !r.PollAt.Before(start) {
			n++
		}
	}
	return n
}

func (d *Driver) acquireLease(ctx context.Context, term core.Term) (leaseResult, error) {
	start := time.Now()
	if err := d.beginStep(ctx, StepLease, term); err != nil {
		return leaseUnknown, err
	}
	answer, err := d.lease.acquire(ctx, d.cfg.Timing.LeaseTTL, d.cfg.Timing.StoreTimeout)
	d.record(Event{Step: StepLease, Term: term, Took: time.Since(start), Error: errorText(err)})
	d.lastStepAt = time.Now()
	return answer, nil
}

// collectPromises chooses the term and collects promises from a majority. A planned change first stops
// commits on the primary and waits for a replica to catch up.
func (d *Driver) collectPromises(ctx context.Context, a assessment, c *Change) ([]promise, error) {
	c.Term = d.nextTerm(a)
	if a.reason != ReasonLeaving {
		return d.prepare(ctx, a, c.Term, nil)
	}
	first, err := d.drain(ctx, a, c)
	if err != nil {
		return nil, err
	}
	return d.prepare(ctx, a, c.Term, first)
}

// nextTerm returns a term above all terms that the assessment saw or that this driver used. Higher terms
// that appeared since then belong to another driver: prepare is refused, and that driver continues.
func (d *Driver) nextTerm(a assessment) core.Term {
	d.highestTerm = max(d.highestTerm, a.highest) + 1
	return d.highestTerm
}

// prepare sends prepare(term) to all upstreams except the one whose promise is given. It returns once all
// upstreams that are expected to answer have done so, at the latest after CallTimeout. Once a majority has
// promised, the others have only as long again plus one Tick.
func (d *Driver) prepare(ctx context.Context, a assessment, term core.Term, given []promise) ([]promise, error) {
	answers := make(chan promise, len(d.cfg.Upstreams))
	start := time.Now()
	waiting := 0
	for i := range d.cfg.Upstreams {
		if len(given) > 0 && given[0].index == i {
			continue
		}
		if !a.hasFailed(i) {
			waiting++
		}
		d.call(ctx, i, answers, func(ctx context.Context, up core.Upstream) (core.UpstreamStatus, error) {
			return up.Prepare(ctx, term)
		})
	}
	promises := given
	var failures []error
	timeout := time.NewTimer(d.cfg.Timing.CallTimeout)
	defer timeout.Stop()
	for waiting > 0 {
		select {
		case <-timeout.C:
			waiting = 0
		case p := <-answers:
			if !a.hasFailed(p.index) {
				waiting--
			}
			if p.err != nil || p.status.Promised != term {
				failures = append(failures, p.err)
				continue
			}
			promises = append(promises, p)
			if len(promises) == d.majority {
				timeout.Reset(time.Since(start) + d.cfg.Timing.Tick)
			}
		}
	}
	if len(promises) < d.majority {
		return nil, errors.Join(append(failures, errNoMajority)...)
	}
	return promises, nil
}

// call makes one control call with a deadline in a new goroutine and sends its result to answers.
func (d *Driver) call(ctx context.Context, i int, answers chan<- promise, f func(context.Context, core.Upstream) (core.UpstreamStatus, error)) {
	d.calls.Add(1)
	go func() {
		defer d.calls.Done()
		ctx, cancel := context.WithTimeout(ctx, d.cfg.Timing.CallTimeout)
		defer cancel()
		status, err := f(ctx, d.cfg.Upstreams[i])
		answers <- promise{index: i, status: status, err: err}
	}()
}

// choose returns the promise of the upstream to promote: the one with the highest log and, of several
// equal ones, the preferred one. A planned change skips a leaving upstream if the entries that only it
// holds can't have been held by a majority: those writes were never confirmed.
func (d *Driver) choose(promises []promise, a assessment) promise {
	ranked := slices.Clone(promises)
	slices.SortStableFunc(ranked, func(p, q promise) int {
		return cmp.Or(comparePositions(q.status.Log, p.status.Log), d.preference(q, a)-d.preference(p, a))
	})
	if a.reason != ReasonLeaving {
		return ranked[0]
	}
	// Upstreams that didn't answer may hold any entry. An entry held by fewer than needed of the upstreams
	// that answered can't have been held by a majority.
	needed := d.majority - (len(d.cfg.Upstreams) - len(promises))
	safe := ranked[needed-1].status.Log
	for _, p := range ranked {
		if !p.status.Log.Less(safe) && !p.status.Leaving && !d.isLeaving(d.cfg.View.Reports()[p.index]) {
			return p
		}
	}
	return ranked[0]
}

func comparePositions(p, q core.Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Offset, q.Offset))
}

// preference returns a score that ranks upstreams with equal logs; higher is better. An upstream that
// isn't leaving is preferred. A primary is preferred unless it has failed or is leaving.
func (d *Driver) preference(p promise, a assessment) int {
	score := 0
	reports := d.cfg.View.Reports()
	if !p.status.Leaving && !d.isLeaving(reports[p.index]) {
		score += 2
	}
	preferPrimary := a.reason == ReasonHigherTerm || a.reason == ReasonNone
	if (p.index == a.primary || p.status.Role == core.RolePrimary) == preferPrimary {
		score++
	}
	return score
}

// promote promotes one upstream. It repeats a failed call, since the call may have taken effect although
// its answer was lost.
func (d *Driver) promote(ctx context.Context, i int, term core.Term) (core.UpstreamStatus, error) {
	const attempts = 3
	var failures []error
	for range attempts {
		answers := make(chan promise, 1)
		d.call(ctx, i, answers, func(ctx context.Context, up core.Upstream) (core.UpstreamStatus, error) {
			return up.Promote(ctx, term)
		})
		p := <-answers
		if p.err == nil {
			return p.status, nil
		}
		failures = append(failures, p.err)
		if !sleep(ctx, d.cfg.Timing.Tick) {
			break
		}
	}
	return core.UpstreamStatus{}, fmt.Errorf("promote: %w", errors.Join(failures...))
}

// followAll tells the other upstreams to follow the new primary and waits until a majority does. repair
// handles those that don't.
func (d *Driver) followAll(ctx context.Context, target int, c Change) {
	start := time.Now()
	if err := d.beginStep(ctx, StepFollow, c.Term); err != nil {
		d.record(Event{Step: StepFollow, Term: c.Term, Error: errorText(err)})
		return
	}
	primary := d.cfg.Upstreams[target].Info()
	answers := make(chan promise, len(d.cfg.Upstreams))
	for i := range d.cfg.Upstreams {
		if i == target {
			continue
		}
		d.repairedAt[i] = time.Now()
		d.call(ctx, i, answers, func(ctx context.Context, up core.Upstream) (core.UpstreamStatus, error) {
			return up.Follow(ctx, c.Term, primary)
		})
	}
	var failures []error
	following := 1
	for range len(d.cfg.Upstreams) - 1 {
		if following >= d.majority {
			break
		}
		if p := <-answers; p.err != nil {
			failures = append(failures, p.err)
			d.repairedAt[p.index] = time.Time{}
			continue
		}
		following++
	}
	d.lastStepAt = time.Now()
	d.record(Event{Step: StepFollow, Term: c.Term, Upstream: c.To, Took: time.Since(start), Error: errorText(errors.Join(failures...))})
}
