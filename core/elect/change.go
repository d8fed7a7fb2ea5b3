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

// Ends of a change that didn't happen.
var (
	errNoMajority = errors.New("no majority answered")
	errNotNeeded  = errors.New("the change is no longer needed or another driver is at work")
)

// recheckTick is the time between looks at the answers of a recheck.
const recheckTick = 2 * time.Millisecond

// promise is an upstream's answer to prepare.
type promise struct {
	index  int
	status core.UpstreamStatus
	err    error
}

// change drives one change of primary. A failure leaves the group to the next look.
func (d *Driver) change(ctx context.Context, a assessment) {
	c := Change{Reason: a.reason}
	d.progress = time.Now()
	c.Detection = time.Since(a.since)
	err := d.steps(ctx, a, &c)
	if err == nil {
		d.notBefore = time.Now().Add(d.cfg.Timing.RetryMin)
		return
	}
	d.mu.Lock()
	d.failed++
	d.mu.Unlock()
	if errors.Is(err, errPaused) {
		d.watching = time.Now()
	}
	d.backOff()
	d.release(ctx, c.Term)
}

func (d *Driver) steps(ctx context.Context, a assessment, c *Change) error {
	err := d.enter(ctx, StepDetect, a.term)
	d.record(Event{Step: StepDetect, Term: a.term, Reason: a.reason, Took: c.Detection, Error: errorText(err)})
	if err != nil {
		return err
	}
	if err := d.step(ctx, StepDelay, &c.Delay, c, func() error { return d.yield(ctx, a) }); err != nil {
		return err
	}
	var promises []promise
	err = d.step(ctx, StepPrepare, &c.Prepare, c, func() (err error) {
		promises, err = d.gather(ctx, a, c)
		return err
	})
	if err != nil {
		return err
	}
	target := d.choose(promises, a)
	c.To = d.cfg.Upstreams[target.index].Info().ID
	var status core.UpstreamStatus
	err = d.step(ctx, StepPromote, &c.Promote, c, func() (err error) {
		status, err = d.promote(ctx, target.index, c.Term)
		return err
	})
	if err != nil {
		d.abandoned = c.Term
		return err
	}
	d.followAll(ctx, target.index, *c)
	d.awaitConfirm(ctx, status.Log, *c)
	return nil
}

// step runs one timed step. Its event carries the term and upstream as known at its end.
func (d *Driver) step(ctx context.Context, s Step, took *time.Duration, c *Change, run func() error) error {
	start := time.Now()
	err := d.enter(ctx, s, c.Term)
	if err == nil {
		err = run()
	}
	*took = time.Since(start)
	d.progress = time.Now()
	d.record(Event{Step: s, Term: c.Term, Upstream: c.To, Reason: c.Reason, Took: *took, Error: errorText(err)})
	return err
}

// yield lets another driver go first, if the lease says so or the store is silent, and checks that
// the failure persists.
func (d *Driver) yield(ctx context.Context, a assessment) error {
	answer, err := d.askLease(ctx, a.term)
	if err != nil {
		return err
	}
	wait := time.Duration(0)
	switch answer {
	case leaseUnknown:
		wait = d.random(d.cfg.Timing.Stagger)
	case leaseTaken:
		wait = d.cfg.Timing.LeaseDelay + d.random(d.cfg.Timing.Stagger)
	case leaseMine:
	}
	for end := time.Now().Add(wait); ; {
		now := time.Now()
		d.progress = now
		if !a.asksSameChange(d.assess(now)) {
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

// recheck looks at statuses that were asked for after the wait. Idle polls can be 100 ms old, and
// another driver completes a change in less.
func (d *Driver) recheck(ctx context.Context, a assessment) error {
	start := time.Now()
	d.suspectAll()
	for d.polledSince(start) < d.majority {
		if time.Since(start) > d.cfg.Timing.CallTimeout {
			return errNoMajority
		}
		if !sleep(ctx, recheckTick) {
			return ctx.Err()
		}
	}
	d.progress = time.Now()
	if !a.asksSameChange(d.assess(d.progress)) {
		return errNotNeeded
	}
	return nil
}

// polledSince counts the upstreams with a status from a poll that started after the time.
func (d *Driver) polledSince(start time.Time) int {
	n := 0
	for _, r := range d.cfg.View.Reports() {
		if r.Known && !r.PollAt.Before(start) {
			n++
		}
	}
	return n
}

func (d *Driver) askLease(ctx context.Context, term core.Term) (leaseAnswer, error) {
	start := time.Now()
	if err := d.enter(ctx, StepLease, term); err != nil {
		return leaseUnknown, err
	}
	answer, err := d.lease.acquire(ctx, d.cfg.Timing.LeaseTTL, d.cfg.Timing.StoreTimeout)
	d.record(Event{Step: StepLease, Term: term, Took: time.Since(start), Error: errorText(err)})
	d.progress = time.Now()
	return answer, nil
}

// gather picks the term and collects promises from a majority. A planned change first stops the
// primary's commits and lets a replica catch up.
func (d *Driver) gather(ctx context.Context, a assessment, c *Change) ([]promise, error) {
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

// nextTerm returns a term above any that was seen at the decision or used before. Terms that appeared
// since belong to another driver: prepare is then refused, which lets that driver go on.
func (d *Driver) nextTerm(a assessment) core.Term {
	d.highest = max(d.highest, a.highest) + 1
	return d.highest
}

// prepare sends prepare to all upstreams that are not in given. It returns the promises once all that
// are likely to answer have done so, or a majority has and the others had as long again.
func (d *Driver) prepare(ctx context.Context, a assessment, term core.Term, given []promise) ([]promise, error) {
	answers := make(chan promise, len(d.cfg.Upstreams))
	start := time.Now()
	waiting := 0
	for i := range d.cfg.Upstreams {
		if len(given) > 0 && given[0].index == i {
			continue
		}
		if !a.failed(i) {
			waiting++
		}
		d.call(ctx, i, answers, func(ctx context.Context, up core.Upstream) (core.UpstreamStatus, error) {
			return up.Prepare(ctx, term)
		})
	}
	promises := given
	var failures []error
	grace := time.NewTimer(d.cfg.Timing.CallTimeout)
	defer grace.Stop()
	for waiting > 0 {
		select {
		case <-grace.C:
			waiting = 0
		case p := <-answers:
			if !a.failed(p.index) {
				waiting--
			}
			if p.err != nil || p.status.Promised != term {
				failures = append(failures, p.err)
				continue
			}
			promises = append(promises, p)
			if len(promises) == d.majority {
				grace.Reset(time.Since(start) + d.cfg.Timing.Tick)
			}
		}
	}
	if len(promises) < d.majority {
		return nil, errors.Join(append(failures, errNoMajority)...)
	}
	return promises, nil
}

// call runs one control call in its own goroutine, with a deadline, and delivers its answer.
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

// choose returns the promise of the upstream to promote: the one with the highest log and, among
// equals, the preferred one. A planned change passes over a leaving primary whose last entries
// nobody else holds, if no majority can have held them either: these writes were never confirmed.
func (d *Driver) choose(promises []promise, a assessment) promise {
	ranked := slices.Clone(promises)
	slices.SortStableFunc(ranked, func(p, q promise) int {
		return cmp.Or(comparePositions(q.status.Log, p.status.Log), d.preference(q, a)-d.preference(p, a))
	})
	if a.reason != ReasonLeaving {
		return ranked[0]
	}
	// Upstreams that didn't answer may hold any entry. An entry that fewer than needed of those that
	// answered hold can't have had a majority.
	needed := d.majority - (len(d.cfg.Upstreams) - len(promises))
	safe := ranked[needed-1].status.Log
	for _, p := range ranked {
		if !p.status.Log.Less(safe) && !p.status.Leaving && !d.leaving(d.cfg.View.Reports()[p.index]) {
			return p
		}
	}
	return ranked[0]
}

func comparePositions(p, q core.Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Offset, q.Offset))
}

// preference ranks upstreams with equal logs.
func (d *Driver) preference(p promise, a assessment) int {
	score := 0
	reports := d.cfg.View.Reports()
	if !p.status.Leaving && !d.leaving(reports[p.index]) {
		score += 2
	}
	working := a.reason == ReasonTermPassed || a.reason == ReasonNone
	if (p.index == a.primary || p.status.Role == core.RolePrimary) == working {
		score++
	}
	return score
}

// promote promotes one upstream, repeating the call since a lost answer leaves open whether it took
// effect.
func (d *Driver) promote(ctx context.Context, i int, term core.Term) (core.UpstreamStatus, error) {
	const tries = 3
	var failures []error
	for range tries {
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

// followAll tells the other upstreams to follow the new primary. It waits for as many as a majority
// needs; the others are left to repair.
func (d *Driver) followAll(ctx context.Context, target int, c Change) {
	start := time.Now()
	if err := d.enter(ctx, StepFollow, c.Term); err != nil {
		d.record(Event{Step: StepFollow, Term: c.Term, Error: errorText(err)})
		return
	}
	primary := d.cfg.Upstreams[target].Info()
	answers := make(chan promise, len(d.cfg.Upstreams))
	for i := range d.cfg.Upstreams {
		if i == target {
			continue
		}
		d.repaired[i] = time.Now()
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
			d.repaired[p.index] = time.Time{}
			continue
		}
		following++
	}
	d.progress = time.Now()
	d.record(Event{Step: StepFollow, Term: c.Term, Upstream: c.To, Took: time.Since(start), Error: errorText(errors.Join(failures...))})
}
