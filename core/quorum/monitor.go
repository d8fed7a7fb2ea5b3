package quorum

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"snipewall/core"
)

// failedGap is the shortest time between polls of an upstream whose last poll failed, so that
// waiting callers don't flood an upstream that refuses connections.
const failedGap = 20 * time.Millisecond

// Monitor implements core.GroupView and core.Service for one group.
type Monitor struct {
	cfg      Config
	majority int
	index    map[core.UpstreamID]int
	results  chan pollResult
	kick     chan struct{}
	changed  chan struct{}

	mu      sync.Mutex
	members []member
	// polls counts the polls that have started.
	polls     uint64
	tally     tally
	confirmed core.Position
	samples   samples
	waits     waitList
	// usedAt is when a request last asked for anything, interval what the idle polls keep at present.
	usedAt   time.Time
	interval time.Duration
	stopped  bool
}

// member is what the monitor knows of one upstream.
type member struct {
	upstream core.Upstream
	id       core.UpstreamID
	status   core.UpstreamStatus
	have     bool
	// poll and pollAt belong to the poll that brought the status; gotAt is when the answer came.
	poll   uint64
	pollAt time.Time
	gotAt  time.Time
	// contactAt is when the upstream last answered anything.
	contactAt time.Time
	// refusedSince is when the current run of refused connections began, or zero.
	refusedSince time.Time
	// unansweredAt is the start of the first poll since the last contact that has no answer yet.
	unansweredAt time.Time
	err          error
	inFlight     bool
	urgent       bool
	startedAt    time.Time
	waits        waitList
}

type pollResult struct {
	member int
	poll   uint64
	start  time.Time
	status core.UpstreamStatus
	err    error
}

// Name implements core.Service.
func (m *Monitor) Name() string { return "quorum/" + string(m.cfg.Group) }

// Run polls until ctx ends. It returns after its polls have returned, and ends all waits.
func (m *Monitor) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	m.mu.Lock()
	m.usedAt = time.Now()
	m.mu.Unlock()
	inFlight := 0
	for ctx.Err() == nil {
		started, next := m.startPolls(ctx)
		inFlight += started
		timer.Reset(next)
		select {
		case <-ctx.Done():
		case <-m.kick:
		case <-timer.C:
		case r := <-m.results:
			inFlight--
			m.take(r)
		}
	}
	for ; inFlight > 0; inFlight-- {
		<-m.results
	}
	m.stop()
	return nil
}

func (m *Monitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	fail := func(*waiter) (bool, error) { return true, errStopped }
	m.waits.settle(time.Now(), fail)
	for i := range m.members {
		m.members[i].waits.settle(time.Now(), fail)
	}
}

func (m *Monitor) wake() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// startPolls starts the polls that are due and returns their number and the time to the next one.
// Polls that are almost due join those that are, so that idle polls form rounds: a sample needs a
// majority of polls that start together.
func (m *Monitor) startPolls(ctx context.Context) (int, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.interval = m.intervalLocked(now)
	started, next := 0, m.interval
	join := time.Duration(0)
	for i := range m.members {
		if !m.members[i].inFlight && m.dueLocked(i, now) <= 0 {
			join = m.interval / 10
		}
	}
	for i := range m.members {
		if m.members[i].inFlight {
			continue
		}
		due := m.dueLocked(i, now)
		if due > join {
			next = min(next, due)
			continue
		}
		m.startLocked(ctx, i, now)
		started++
	}
	return started, next
}

// intervalLocked returns the time between idle polls. A failed poll ends a quiet time, so that failover
// takes no longer from then on.
func (m *Monitor) intervalLocked(now time.Time) time.Duration {
	if now.Sub(m.usedAt) < m.cfg.QuietAfter {
		return m.cfg.PollInterval
	}
	for i := range m.members {
		mb := &m.members[i]
		if !mb.have || mb.err != nil || mb.urgent {
			return m.cfg.PollInterval
		}
	}
	return m.cfg.QuietInterval
}

// touchLocked notes that a request needs the group and ends a quiet time.
func (m *Monitor) touchLocked(now time.Time) {
	m.usedAt = now
	if m.interval > m.cfg.PollInterval {
		m.wake()
	}
}

// dueLocked returns the time until the member's next poll.
func (m *Monitor) dueLocked(i int, now time.Time) time.Duration {
	mb := &m.members[i]
	if mb.startedAt.IsZero() {
		return 0
	}
	gap := m.interval
	if g, ok := m.waits.gap(now, m.cfg.DemandInterval, gap); ok {
		gap = g
	}
	if g, ok := mb.waits.gap(now, m.cfg.DemandInterval, gap); ok {
		gap = g
	}
	if mb.urgent {
		gap = m.cfg.DemandInterval
	}
	if mb.err != nil {
		gap = max(gap, min(failedGap, m.cfg.PollInterval))
	}
	return gap - now.Sub(mb.startedAt)
}

func (m *Monitor) startLocked(ctx context.Context, i int, now time.Time) {
	mb := &m.members[i]
	m.polls++
	mb.inFlight = true
	mb.urgent = false
	mb.startedAt = now
	if mb.unansweredAt.IsZero() {
		mb.unansweredAt = now
	}
	r := pollResult{member: i, poll: m.polls, start: now}
	go func(up core.Upstream) {
		ctx, cancel := context.WithTimeout(ctx, m.cfg.PollTimeout)
		defer cancel()
		r.status, r.err = up.Status(ctx)
		m.results <- r
	}(mb.upstream)
}

// take records the result of a poll and settles the waits that it answers.
func (m *Monitor) take(r pollResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	mb := &m.members[r.member]
	mb.inFlight = false
	if r.err != nil {
		m.takeFailureLocked(mb, r.err, now)
		return
	}
	before, had, failed := mb.status, mb.have, mb.err != nil
	mb.status = r.status
	mb.have = true
	mb.poll = r.poll
	mb.pollAt = r.start
	mb.gotAt = now
	mb.contactAt = now
	mb.refusedSince = time.Time{}
	mb.unansweredAt = time.Time{}
	mb.err = nil
	m.updateLocked()
	m.settleLocked(now)
	if !had || failed || needsAttention(before, r.status) {
		m.notify()
	}
}

func (m *Monitor) takeFailureLocked(mb *member, err error, now time.Time) {
	mb.err = err
	var limit *core.RefusedError
	switch {
	case errors.As(err, &limit):
		mb.contactAt = now
		mb.refusedSince = time.Time{}
		mb.unansweredAt = time.Time{}
	case !errors.Is(err, syscall.ECONNREFUSED):
		mb.refusedSince = time.Time{}
	case mb.refusedSince.IsZero():
		mb.refusedSince = now
	}
	m.notify()
}

// needsAttention reports whether a driver should look at the change.
func needsAttention(a, b core.UpstreamStatus) bool {
	return a.Role != b.Role || a.Promised != b.Promised || a.Leaving != b.Leaving || a.Log.Term != b.Log.Term
}

// updateLocked recomputes the tally, the confirmed position and the samples.
func (m *Monitor) updateLocked() {
	fresh := m.tally.fresh
	term := m.tally.promised
	m.tally = count(m.members, m.majority)
	if m.tally.promised > term {
		m.samples.dropAfter(m.confirmed)
	}
	if m.tally.holds && m.confirmed.Less(m.tally.confirmed) {
		m.confirmed = m.tally.confirmed
	}
	if m.tally.fresh > fresh {
		at := m.members[m.tally.freshMember].pollAt
		m.samples.add(at, m.members[m.tally.primary].status.Log)
	}
}

func (m *Monitor) notify() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}
