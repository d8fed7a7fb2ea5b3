package quorum

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"snipewall/core"
)

// minFailedInterval is the shortest time between polls of an upstream whose last poll failed, so that
// waiting callers don't cause a flood of polls to an upstream that refuses connections.
const minFailedInterval = 20 * time.Millisecond

// Monitor polls the upstreams of one group. It implements core.GroupView and core.Service and is safe for
// concurrent use.
type Monitor struct {
	cfg      Config
	majority int
	index    map[core.UpstreamID]int
	results  chan pollResult
	wakeup   chan struct{}
	changed  chan struct{}

	mu      sync.Mutex
	members []member
	// polls is the number of polls started so far.
	polls     uint64
	tally     tally
	confirmed core.Position
	samples   samples
	waits     waitList
	// lastUsedAt is when a request last used the group; interval is the current time between periodic polls.
	lastUsedAt time.Time
	interval   time.Duration
	stopped    bool
}

// member is the monitor's state of one upstream.
type member struct {
	upstream  core.Upstream
	id        core.UpstreamID
	status    core.UpstreamStatus
	hasStatus bool
	// poll and pollAt are the number and start of the poll that returned status; receivedAt is when the
	// answer arrived.
	poll       uint64
	pollAt     time.Time
	receivedAt time.Time
	// answeredAt is when the upstream last sent any answer.
	answeredAt time.Time
	// refusedSince is when the upstream began to refuse connections, or zero.
	refusedSince time.Time
	// unansweredSince is the start of the first unanswered poll since answeredAt, or zero.
	unansweredSince time.Time
	err             error
	inFlight        bool
	pollNow         bool
	pollStartedAt   time.Time
	waits           waitList
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

// Run polls until ctx ends. It then waits for its polls, ends all waiting calls with an error and
// returns nil.
func (m *Monitor) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	m.mu.Lock()
	m.lastUsedAt = time.Now()
	m.mu.Unlock()
	inFlight := 0
	for ctx.Err() == nil {
		started, next := m.startPolls(ctx)
		inFlight += started
		timer.Reset(next)
		select {
		case <-ctx.Done():
		case <-m.wakeup:
		case <-timer.C:
		case r := <-m.results:
			inFlight--
			m.handleResult(r)
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
	case m.wakeup <- struct{}{}:
	default:
	}
}

// startPolls starts the polls that are due and returns their number and the time until the next one.
// Polls that are almost due are started together with those that are due, so that periodic polls stay
// aligned: a sample needs a majority of polls that start at the same time.
func (m *Monitor) startPolls(ctx context.Context) (int, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.interval = m.intervalLocked(now)
	started, next := 0, m.interval
	tolerance := time.Duration(0)
	for i := range m.members {
		if !m.members[i].inFlight && m.untilPollLocked(i, now) <= 0 {
			tolerance = m.interval / 10
		}
	}
	for i := range m.members {
		if m.members[i].inFlight {
			continue
		}
		due := m.untilPollLocked(i, now)
		if due > tolerance {
			next = min(next, due)
			continue
		}
		m.startPollLocked(ctx, i, now)
		started++
	}
	return started, next
}

// intervalLocked returns the time between periodic polls. After a failed poll it is PollInterval again,
// so that an idle group doesn't take longer to fail over.
func (m *Monitor) intervalLocked(now time.Time) time.Duration {
	if now.Sub(m.lastUsedAt) < m.cfg.IdleAfter {
		return m.cfg.PollInterval
	}
	for i := range m.members {
		mb := &m.members[i]
		if !mb.hasStatus || mb.err != nil || mb.pollNow {
			return m.cfg.PollInterval
		}
	}
	return m.cfg.IdleInterval
}

// markUsedLocked notes that a request uses the group, and wakes Run if the group was idle.
func (m *Monitor) markUsedLocked(now time.Time) {
	m.lastUsedAt = now
	if m.interval > m.cfg.PollInterval {
		m.wake()
	}
}

// untilPollLocked returns the time until the member's next poll.
func (m *Monitor) untilPollLocked(i int, now time.Time) time.Duration {
	mb := &m.members[i]
	if mb.pollStartedAt.IsZero() {
		return 0
	}
	interval := m.interval
	if wanted, ok := m.waits.pollInterval(now, m.cfg.DemandInterval, interval); ok {
		interval = wanted
	}
	if wanted, ok := mb.waits.pollInterval(now, m.cfg.DemandInterval, interval); ok {
		interval = wanted
	}
	if mb.pollNow {
		interval = m.cfg.DemandInterval
	}
	if mb.err != nil {
		interval = max(interval, min(minFailedInterval, m.cfg.PollInterval))
	}
	return interval - now.Sub(mb.pollStartedAt)
}

func (m *Monitor) startPollLocked(ctx context.Context, i int, now time.Time) {
	mb := &m.members[i]
	m.polls++
	mb.inFlight = true
	mb.pollNow = false
	mb.pollStartedAt = now
	if mb.unansweredSince.IsZero() {
		mb.unansweredSince = now
	}
	r := pollResult{member: i, poll: m.polls, start: now}
	go func(up core.Upstream) {
		ctx, cancel := context.WithTimeout(ctx, m.cfg.PollTimeout)
		defer cancel()
		r.status, r.err = up.Status(ctx)
		m.results <- r
	}(mb.upstream)
}

// handleResult records the result of a poll and ends the waits that it satisfies.
func (m *Monitor) handleResult(r pollResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	mb := &m.members[r.member]
	mb.inFlight = false
	if r.err != nil {
		m.handleFailureLocked(mb, r.err, now)
		return
	}
	before, had, failed := mb.status, mb.hasStatus, mb.err != nil
	mb.status = r.status
	mb.hasStatus = true
	mb.poll = r.poll
	mb.pollAt = r.start
	mb.receivedAt = now
	mb.answeredAt = now
	mb.refusedSince = time.Time{}
	mb.unansweredSince = time.Time{}
	mb.err = nil
	m.updateLocked()
	m.settleLocked(now)
	if !had || failed || needsAttention(before, r.status) {
		m.notify()
	}
}

func (m *Monitor) handleFailureLocked(mb *member, err error, now time.Time) {
	mb.err = err
	var limit *core.RefusedError
	switch {
	case errors.As(err, &limit):
		mb.answeredAt = now
		mb.refusedSince = time.Time{}
		mb.unansweredSince = time.Time{}
	case !errors.Is(err, syscall.ECONNREFUSED):
		mb.refusedSince = time.Time{}
	case mb.refusedSince.IsZero():
		mb.refusedSince = now
	}
	m.notify()
}

// needsAttention reports whether the failover driver must be notified of the status change.
func needsAttention(a, b core.UpstreamStatus) bool {
	return a.Role != b.Role || a.Promised != b.Promised || a.Leaving != b.Leaving || a.Log.Term != b.Log.Term
}

// updateLocked updates the tally, the confirmed position and the samples.
func (m *Monitor) updateLocked() {
	fresh := m.tally.freshPoll
	term := m.tally.promised
	m.tally = newTally(m.members, m.majority)
	if m.tally.promised > term {
		m.samples.dropAfter(m.confirmed)
	}
	if m.tally.isConfirmed && m.confirmed.Less(m.tally.confirmed) {
		m.confirmed = m.tally.confirmed
	}
	if m.tally.freshPoll > fresh {
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
