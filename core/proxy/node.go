package proxy

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"snipewall/core"
	"snipewall/core/budget"
	"snipewall/core/pool"
	"snipewall/core/queue"
	"snipewall/core/topo"
)

const (
	// extraSlots is the number of statements that an entry VM sends to an upstream beyond its slots, so
	// that the upstream isn't idle for the round trip between two statements.
	extraSlots = 1
	// lagBackoff is how long a replica that lacked a position is avoided by reads that need at least
	// that position. It doubles with each repetition up to maxLagBackoff: a replica that lags by
	// seconds costs each VM two round trips a second, and one that has caught up is soon used again.
	lagBackoff    = 60 * time.Millisecond
	maxLagBackoff = 500 * time.Millisecond
	// lagSkipCount is the number of consecutive lag reports after which such reads no longer try the
	// replica.
	lagSkipCount = 3
	// latencyHalfLife is the time in which the average latency of an unused upstream halves.
	latencyHalfLife = 300 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.15
	// failThreshold is the number of consecutive statements without an answer after which an upstream
	// counts as failing.
	failThreshold = 2
	// failBackoff is how long a failing upstream is avoided.
	failBackoff = 700 * time.Millisecond
)

// node is one incarnation of an upstream with its queue and its connection pools.
type node struct {
	p     *Proxy
	group *group
	info  atomic.Pointer[topo.Upstream]
	queue *queue.Queue
	path  path
	// direct holds connections to the upstream itself, relayed those through other VMs.
	direct, relayed *pool.Pool[*conn]
	// limit is the maximum number of concurrent statements of this VM on the upstream.
	limit int
	// cancel ends the queue and the pools; stopped is set before.
	cancel  context.CancelFunc
	stopped atomic.Bool

	// pending counts statements that wait or run.
	pending atomic.Int32
	mu      sync.Mutex
	// latency is the moving average of answer times, without the round trip.
	latency    time.Duration
	answeredAt time.Time
	told       told
	// laggedAt is when the upstream last lacked a position, laggedPosition is that position, and
	// lagCount is how often in a row this happened.
	laggedAt       time.Time
	laggedPosition core.Position
	lagCount       int
	// denied is set if the upstream refused to act as primary, and proved if it acted as one,
	// whatever its entry in the store says. Only the later of the two is set.
	denied, proved bool
	// evidenceAt is when the upstream last proved its leadership or its entry began to claim it.
	evidenceAt time.Time
	failures   int
	failedAt   time.Time
	position   core.Position
	// ownersRefuseSince is when the owners began to refuse connections; zero if they accept them.
	ownersRefuseSince time.Time
	// lenders are VMs that are known to reach the upstream.
	lenders []core.VMID
	// leavingAt is when the upstream was first seen leaving.
	leavingAt time.Time
}

func (p *Proxy) newNode(ctx context.Context, g *group, u topo.Upstream, via path) *node {
	n := &node{p: p, group: g, path: via, limit: max(1, u.Slots) + extraSlots}
	n.info.Store(&u)
	if u.Leaving {
		n.leavingAt = time.Now()
	}
	slots, conns := n.limit, via.conns
	if via.isIndirect() {
		slots = conns
	}
	n.queue = queue.New(queue.NewShares(queue.Config{
		Slots: slots, MaxOpen: max(1, conns-reservedConns), Policies: p,
	}))
	n.direct, n.relayed = n.newDirectPool(), n.newRelayPool()
	ctx, n.cancel = context.WithCancel(ctx)
	p.spawn(func() { _ = n.direct.Run(ctx) })
	p.spawn(func() { _ = n.relayed.Run(ctx) })
	p.spawn(func() { _ = n.queue.Run(ctx) })
	return n
}

// stop ends the node's queue and pools.
func (n *node) stop() {
	n.stopped.Store(true)
	n.cancel()
}

// inherit takes over what is known about the upstream from its node for another path. A statement must not use a leaving
// primary for longer because the list of VMs changes.
func (n *node) inherit(old *node) {
	old.mu.Lock()
	defer old.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency, n.answeredAt, n.told = old.latency, old.answeredAt, old.told
	n.told.run = maps.Clone(old.told.run)
	n.laggedAt, n.laggedPosition, n.lagCount = old.laggedAt, old.laggedPosition, old.lagCount
	n.denied, n.proved, n.evidenceAt = old.denied, old.proved, old.evidenceAt
	n.failures, n.failedAt = old.failures, old.failedAt
	n.position, n.lenders, n.leavingAt = old.position, old.lenders, old.leavingAt
}

func (n *node) isSameIncarnation(u *topo.Upstream) bool {
	old := n.info.Load()
	return old.Born == u.Born && old.Address == u.Address
}

func (n *node) id() core.UpstreamID { return n.info.Load().ID }

func (n *node) notePosition(p core.Position) {
	if p.IsZero() {
		return
	}
	n.group.branch.note(p)
	n.mu.Lock()
	if n.position.Less(p) {
		n.position = p
	}
	n.mu.Unlock()
}

// noteAnswer records an answer that took d, not counting the round trip.
func (n *node) noteAnswer(now time.Time, d time.Duration, p core.Position) {
	n.group.branch.note(p)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failures = 0
	n.latency += time.Duration(latencyWeight * float64(d-n.latency))
	n.answeredAt = now
	if n.position.Less(p) {
		n.position = p
	}
	if !n.position.Less(n.laggedPosition) {
		n.lagCount = 0
	}
}

// noteFailure records that the other end of the connection, or of a dial if c is nil, didn't answer.
func (n *node) noteFailure(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failures++
	n.failedAt = time.Now()
	if c != nil && c.owner != "" && n.failures >= failThreshold {
		n.p.suspects.add(c.owner)
	}
}

// noteLost records that the connection failed with the error, unless that was for lack of memory on this VM.
func (n *node) noteLost(c *conn, err error) {
	if !errors.Is(err, budget.ErrSpent) {
		n.noteFailure(c)
		n.noteOutcome(time.Now(), true)
	}
}

// noteLag records that the upstream lacked the position.
func (n *node) noteLag(await core.Position) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.laggedAt, n.laggedPosition = time.Now(), await
	n.lagCount++
}

// lagState reports whether the upstream recently lacked the position, and whether it did so often
// enough that a read must not try it. The caller holds mu.
func (n *node) lagState(now time.Time, await core.Position) (lagging, skip bool) {
	if n.lagCount == 0 || await.Less(n.laggedPosition) || !n.position.Less(await) {
		return false, false
	}
	backoff := maxLagBackoff
	if n.lagCount <= lagSkipCount {
		backoff = lagBackoff << (n.lagCount - 1)
	}
	lagging = now.Sub(n.laggedAt) < backoff
	return lagging, lagging && n.lagCount >= lagSkipCount
}

// noteDenied records that the upstream refused to act as primary.
func (n *node) noteDenied() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.denied, n.proved = true, false
}

// noteLeads records that the upstream proved its leadership after requestedAt and held p then.
func (n *node) noteLeads(requestedAt core.Instant, p core.Position) {
	if n.group.isDeposed(n.id()) {
		return
	}
	n.mu.Lock()
	changed := !n.proved
	n.denied, n.proved = false, true
	n.evidenceAt = time.Now()
	n.mu.Unlock()
	n.notePosition(p)
	n.group.recordProof(n.id(), requestedAt, p)
	if changed {
		n.p.notifyChanged()
	}
}

// isPrimaryClaimant reports whether the upstream claims or has proved to be the primary. The caller
// holds mu.
func (n *node) isPrimaryClaimant() bool {
	return n.proved || (!n.denied && n.info.Load().Role == core.RolePrimary)
}

// update applies a changed entry of the same incarnation.
func (n *node) update(u topo.Upstream) {
	old := n.info.Swap(&u)
	n.mu.Lock()
	defer n.mu.Unlock()
	if u.Role != old.Role {
		n.denied, n.proved = false, false
		n.evidenceAt = time.Now()
	}
	if u.Leaving && n.leavingAt.IsZero() {
		n.leavingAt = time.Now()
	}
	if !u.Leaving {
		n.leavingAt = time.Time{}
	}
}

// asCandidate returns the node as a candidate for a read that awaits the position.
func (n *node) asCandidate(now time.Time, w *work, await core.Position) candidate {
	u := n.info.Load()
	c := candidate{distance: n.p.distance(u)}
	if u.FailureDomain != n.p.cfg.Self.FailureDomain {
		c.toll = n.group.toll(n.p.cfg.Tariff)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.told.hop > 0 {
		c.distance = n.told.hop
	}
	c.primary = n.isPrimaryClaimant()
	c.wait, c.run = n.expectation(now, core.Kind(w.route.Database), w.route.Rank)
	c.faults = n.faultCost(now)
	c.lagging, c.skip = n.lagState(now, await)
	c.failing = n.failures >= failThreshold && now.Sub(n.failedAt) < failBackoff
	return c
}

// distance returns the round-trip time to the upstream.
func (p *Proxy) distance(u *topo.Upstream) time.Duration {
	switch {
	case u.FailureDomain == p.cfg.Self.FailureDomain:
		return 0
	case p.cfg.Regions[u.FailureDomain] == p.cfg.Self.Region:
		return intraRegionRTT
	}
	return interRegionRTT
}
