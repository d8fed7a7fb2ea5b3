package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"snipewall/core"
	"snipewall/core/pool"
	"snipewall/core/queue"
	"snipewall/core/topo"
)

const (
	// slotsAhead is how many statements an entry VM sends to an upstream beyond its slots, so that the
	// upstream doesn't idle for the round trip between two statements.
	slotsAhead = 1
	// lagMemory is how long a replica that lacked a position is avoided for reads that need as much. It
	// doubles each time in a row up to maxLagMemory: one that lags by seconds costs each VM two round
	// trips a second, and one that has caught up is used again soon.
	lagMemory    = 60 * time.Millisecond
	maxLagMemory = 500 * time.Millisecond
	// lagCertain is the number of times in a row after which such reads don't try the replica at all.
	lagCertain = 3
	// calmTime is the time in which the memory of slow answers halves while an upstream isn't used.
	calmTime = 300 * time.Millisecond
	// latencyWeight is the weight of a new answer time in the moving average.
	latencyWeight = 0.15
	// failAfter is the number of statements in a row without an answer that make an upstream failing.
	failAfter = 2
	// failMemory is how long a failing upstream is avoided.
	failMemory = 700 * time.Millisecond
)

// node is one incarnation of an upstream with its queue and its connections.
type node struct {
	p     *Proxy
	group *group
	info  atomic.Pointer[topo.Upstream]
	queue *queue.Queue
	path  path
	// direct holds connections to the upstream itself, hops those through other VMs.
	direct, hops *pool.Pool[*conn]
	// limit is the number of statements that the upstream gets at once.
	limit  int
	cancel context.CancelFunc

	// pending counts statements that wait or run.
	pending atomic.Int32
	mu      sync.Mutex
	// latency is the moving average of answer times, without the round trip.
	latency    time.Duration
	answeredAt time.Time
	// laggedAt is when the upstream last lacked a position, laggedFor the position, and lags how often
	// in a row it did.
	laggedAt  time.Time
	laggedFor core.Position
	lags      int
	// denied tells that the upstream refused to act as primary, proved that it acted as one, whatever
	// its entry in the store says. The later of the two counts.
	denied, proved bool
	// evidenceAt is when the upstream last proved its leadership or its entry began to claim it.
	evidenceAt time.Time
	failures   int
	failedAt   time.Time
	position   core.Position
	// refusedAt is since when the owners refuse connections, or zero.
	refusedAt time.Time
	// leavingAt is when the upstream was first seen leaving.
	leavingAt time.Time
}

func (p *Proxy) newNode(ctx context.Context, g *group, u topo.Upstream, at path) *node {
	n := &node{p: p, group: g, path: at, limit: max(1, u.Slots) + slotsAhead}
	n.info.Store(&u)
	slots, conns := n.limit, at.conns
	if at.isIndirect() {
		slots = conns
	}
	n.queue = queue.New(queue.NewShares(queue.Config{
		Slots: slots, MaxOpen: max(1, conns-sparedConns), Policies: p,
	}))
	n.direct, n.hops = n.newDirect(), n.newHops()
	ctx, n.cancel = context.WithCancel(ctx)
	p.spawn(func() { _ = n.direct.Run(ctx) })
	p.spawn(func() { _ = n.hops.Run(ctx) })
	p.spawn(func() { _ = n.queue.Run(ctx) })
	return n
}

func (n *node) sameIncarnation(u *topo.Upstream) bool {
	old := n.info.Load()
	return old.Born == u.Born && old.Address == u.Address
}

// id returns the upstream's id.
func (n *node) id() core.UpstreamID { return n.info.Load().ID }

func (n *node) notePosition(p core.Position) {
	if p.IsZero() {
		return
	}
	n.mu.Lock()
	if n.position.Less(p) {
		n.position = p
	}
	n.mu.Unlock()
}

// noteAnswer records an answer that took d without the round trip.
func (n *node) noteAnswer(now time.Time, d time.Duration, p core.Position) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failures = 0
	n.latency += time.Duration(latencyWeight * float64(d-n.latency))
	n.answeredAt = now
	if n.position.Less(p) {
		n.position = p
	}
	if !n.position.Less(n.laggedFor) {
		n.lags = 0
	}
}

// noteFailure records that the connection's other end, or a dial if c is nil, gave no answer.
func (n *node) noteFailure(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failures++
	n.failedAt = time.Now()
	if c != nil && c.owner != "" && n.failures >= failAfter {
		n.p.suspects.add(c.owner)
	}
}

// noteLag records that the upstream lacked the position.
func (n *node) noteLag(await core.Position) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.laggedAt, n.laggedFor = time.Now(), await
	n.lags++
}

// lag reports whether the upstream lacked the position moments ago, and whether it did so often enough
// that a read needn't try it. The caller holds mu.
func (n *node) lag(now time.Time, await core.Position) (lagging, certain bool) {
	if n.lags == 0 || await.Less(n.laggedFor) || !n.position.Less(await) {
		return false, false
	}
	memory := maxLagMemory
	if n.lags <= lagCertain {
		memory = lagMemory << (n.lags - 1)
	}
	lagging = now.Sub(n.laggedAt) < memory
	return lagging, lagging && n.lags >= lagCertain
}

// noteDenied records that the upstream refused to act as primary.
func (n *node) noteDenied() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.denied, n.proved = true, false
}

// lead records that the upstream proved its leadership after asked and held p then.
func (n *node) lead(asked core.Instant, p core.Position) {
	n.mu.Lock()
	changed := !n.proved
	n.denied, n.proved = false, true
	n.evidenceAt = time.Now()
	n.mu.Unlock()
	n.notePosition(p)
	n.group.prove(n.id(), asked, p)
	if changed {
		n.p.announce()
	}
}

// claims reports whether the upstream may lead. The caller holds mu.
func (n *node) claims() bool {
	return n.proved || (!n.denied && n.info.Load().Role == core.RolePrimary)
}

// update takes over a changed entry of the same incarnation.
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

// view returns the node as a candidate for a read that awaits the position.
func (n *node) view(now time.Time, await core.Position) candidate {
	n.mu.Lock()
	defer n.mu.Unlock()
	u := n.info.Load()
	latency := n.latency
	for d := now.Sub(n.answeredAt); d > calmTime && latency > time.Millisecond; d -= calmTime {
		latency /= 2
	}
	lagging, behind := n.lag(now, await)
	return candidate{
		primary:  n.claims(),
		distance: n.p.distance(u),
		wait:     latency * time.Duration(1+n.pending.Load()) / time.Duration(n.limit),
		lagging:  lagging,
		behind:   behind,
		failing:  n.failures >= failAfter && now.Sub(n.failedAt) < failMemory,
	}
}

// distance returns the round trip to the upstream.
func (p *Proxy) distance(u *topo.Upstream) time.Duration {
	switch {
	case u.FailureDomain == p.cfg.Self.FailureDomain:
		return 0
	case p.cfg.Regions[u.FailureDomain] == p.cfg.Self.Region:
		return nearTime
	}
	return regionTime
}
