package proxy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"snipewall/core"
	"snipewall/core/place"
	"snipewall/core/pool"
	"snipewall/core/queue"
	"snipewall/core/topo"
)

const (
	// slotsAhead is how many statements an entry VM sends to an upstream beyond its slots, so that the
	// upstream doesn't idle for the round trip between two statements.
	slotsAhead = 1
	// connLimit is how many connections an entry VM opens to an upstream: enough for its slots and a few
	// open transactions, and few enough that a VM that is paused or cut off can't keep the others out.
	connLimit = 4
	// hopConns limits the connections to the owner of an upstream. They cost the upstream nothing.
	hopConns = 32
	// hopIdle is how long an unused connection to an owner is kept.
	hopIdle = 20 * time.Second
	// hopDialTime limits one dial of an owner: three times the round trips between regions that it
	// takes. Two owners that don't answer must leave time to reach the upstream itself.
	hopDialTime = 150 * time.Millisecond
	// detourConns limits the direct connections of a VM that reaches no owner of an upstream: many VMs
	// may be in that place at the same time.
	detourConns = 2
	// sparedConns are the connections of an entry VM that open transactions leave to single statements.
	sparedConns = 2
	// connIdle is how long an unused connection is kept. Connections of VMs that lost power count
	// against an upstream's limit for 3 s more, so that unused ones would keep the VMs out that return.
	connIdle = 500 * time.Millisecond
	// dialTime limits one dial. It is a multiple of the longest handshake and round trip.
	dialTime = time.Second
	// minDialBackoff and maxDialBackoff limit the time between dials after failures. The longest one
	// stays below the time in which a statement has to start.
	minDialBackoff = 20 * time.Millisecond
	maxDialBackoff = 300 * time.Millisecond
	// checkAfter is the idle time after which a connection is checked before its next use.
	checkAfter = 20 * time.Millisecond
	// lagMemory is how long a replica that lacked a position is avoided.
	lagMemory = 60 * time.Millisecond
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
	pool  *pool.Pool[*conn]
	path  path
	// lent holds connections through other VMs, for times in which the upstream accepts no more of
	// this one. It is created with its first use.
	lent     *pool.Pool[*conn]
	lentOnce sync.Once
	// limit is the number of statements that the upstream gets at once.
	limit  int
	ctx    context.Context
	cancel context.CancelFunc

	// detours counts the connections to the upstream itself.
	detours atomic.Int32
	// pending counts statements that wait or run.
	pending atomic.Int32
	mu      sync.Mutex
	// latency is the moving average of answer times, without the round trip.
	latency    time.Duration
	answeredAt time.Time
	laggedAt   time.Time
	// denied tells that the upstream refused to act as primary, proved that it acted as one, whatever
	// its entry in the store says. The later of the two counts.
	denied, proved bool
	// evidenceAt is when the upstream last proved its leadership or its entry began to claim it.
	evidenceAt time.Time
	failures   int
	failedAt   time.Time
	position   core.Position
	// leavingAt is when the upstream was first seen leaving.
	leavingAt time.Time
}

func (p *Proxy) newNode(ctx context.Context, g *group, u topo.Upstream, at path) *node {
	n := &node{p: p, group: g, path: at, limit: max(1, u.Slots) + slotsAhead}
	n.info.Store(&u)
	slots, conns, idle := n.limit, at.conns, connIdle
	if len(at.owners) > 0 {
		slots, idle = conns, hopIdle
	}
	n.queue = queue.New(queue.NewShares(queue.Config{
		Slots: slots, MaxOpen: max(1, conns-sparedConns), Policies: p,
	}))
	n.pool = pool.New(pool.Config[*conn]{
		Limit: conns, Dial: n.dial, Close: n.closeConn,
		AtLimit: atLimit, OnDialError: n.dialFailed, DialTime: dialTime, IdleTime: idle,
		MinBackoff: minDialBackoff, MaxBackoff: maxDialBackoff,
	})
	n.ctx, n.cancel = context.WithCancel(ctx)
	p.spawn(func() { _ = n.pool.Run(n.ctx) })
	p.spawn(func() { _ = n.queue.Run(n.ctx) })
	return n
}

func (n *node) sameIncarnation(u *topo.Upstream) bool {
	old := n.info.Load()
	return old.Born == u.Born && old.Address == u.Address
}

// id returns the upstream's id.
func (n *node) id() core.UpstreamID { return n.info.Load().ID }

func atLimit(err error) bool {
	var refused *core.RefusedError
	return errors.As(err, &refused)
}

func (n *node) dial(ctx context.Context) (*conn, error) {
	c, err := n.connect(ctx)
	if err != nil {
		return nil, err
	}
	n.notePosition(c.Hello())
	c.used = time.Now()
	return c, nil
}

// connect dials the upstream's owner, or the upstream itself if this VM owns it or no owner answers.
func (n *node) connect(ctx context.Context) (*conn, error) {
	u := n.info.Load()
	if len(n.path.owners) > 0 {
		if c, ok := n.dialOwners(ctx, n.path.owners); ok {
			return c, nil
		}
		if n.detours.Load() >= detourConns {
			return nil, &core.RefusedError{Upstream: u.ID, Message: "no owner answers"}
		}
	}
	n.p.metrics.dials.Inc(1)
	lc, err := n.p.cfg.Dialer.Dial(ctx, u.UpstreamInfo)
	if err != nil {
		return nil, err
	}
	n.detours.Add(1)
	return &conn{LineConn: lc}, nil
}

// dialOwners connects to the first of the VMs that answers.
func (n *node) dialOwners(ctx context.Context, owners []core.VM) (*conn, bool) {
	id := n.id()
	for _, owner := range owners {
		if n.p.suspects.has(owner.ID) {
			continue
		}
		dialCtx, cancel := context.WithTimeout(ctx, hopDialTime)
		lc, err := n.p.cfg.DialOwner(dialCtx, owner, id)
		cancel()
		if err == nil {
			n.p.metrics.hopDials.Inc(1)
			return &conn{LineConn: lc, owner: owner.ID}, true
		}
		n.p.logDecision("owner not reached", "Upstream", id, "Owner", owner.ID, "Err", err)
		// An owner that refuses is alive: it stops, or has no connection to the upstream to give.
		if !atLimit(err) {
			n.p.suspects.add(owner.ID)
		}
	}
	return nil, false
}

// closeConn closes a connection.
func (n *node) closeConn(c *conn) error {
	if c.owner == "" {
		n.detours.Add(-1)
	}
	return c.Close()
}

func (n *node) dialFailed(err error) {
	if atLimit(err) {
		n.p.metrics.overloads.Inc(1)
		return
	}
	n.noteFailure(nil)
}

// get takes a connection that is open, waiting at most until the deadline.
func (n *node) get(ctx context.Context, deadline time.Time) (*pool.Handle[*conn], error) {
	return n.getFrom(ctx, n.pool, deadline)
}

// getOrBorrow is get, but goes through another VM while the upstream accepts no more connections of
// this one. A VM must not use it for statements of others, which would be passed around.
func (n *node) getOrBorrow(ctx context.Context, deadline time.Time) (*pool.Handle[*conn], error) {
	if h, ok := n.tryGet(); ok {
		return h, nil
	}
	if len(n.path.owners) > 0 || !n.pool.IsRefused() {
		h, err := n.get(ctx, deadline)
		if err == nil || len(n.path.owners) > 0 || !atLimit(err) {
			return h, err
		}
	}
	h, err := n.borrow(ctx, deadline)
	if err == nil {
		return h, nil
	}
	return n.get(ctx, deadline)
}

// borrow takes a connection through another VM.
func (n *node) borrow(ctx context.Context, deadline time.Time) (*pool.Handle[*conn], error) {
	n.lentOnce.Do(func() {
		n.lent = pool.New(pool.Config[*conn]{
			Limit: hopConns, Dial: n.dialLender, Close: n.closeConn, AtLimit: atLimit,
			DialTime: ownerCount * hopDialTime, IdleTime: connIdle, MinBackoff: minDialBackoff, MaxBackoff: maxDialBackoff,
		})
		n.p.spawn(func() { _ = n.lent.Run(n.ctx) })
	})
	return n.getFrom(ctx, n.lent, deadline)
}

// dialLender connects to a VM that may have connections to the upstream to spare.
func (n *node) dialLender(ctx context.Context) (*conn, error) {
	u := n.info.Load()
	owners := place.Owners(u.UpstreamInfo, n.p.cfg.Members.Alive(), ownerCount+1)
	owners = slices.DeleteFunc(owners, func(vm core.VM) bool { return vm.ID == n.p.cfg.Self.ID || vm.Relay == "" })
	c, ok := n.dialOwners(ctx, owners)
	if !ok {
		return nil, &core.RefusedError{Upstream: u.ID, Message: "no VM lends a connection"}
	}
	n.notePosition(c.Hello())
	c.used = time.Now()
	return c, nil
}

// getFrom takes a connection of the pool that is open.
func (n *node) getFrom(ctx context.Context, p *pool.Pool[*conn], deadline time.Time) (*pool.Handle[*conn], error) {
	for {
		if h, ok := n.tryGetFrom(p); ok {
			return h, nil
		}
		ctx, cancel := context.WithDeadline(ctx, deadline)
		h, err := p.Get(ctx)
		cancel()
		if err != nil {
			return nil, err
		}
		if n.isUsable(h.Value) {
			return h, nil
		}
		h.Discard()
	}
}

// tryGet takes an idle connection that is open, if there is one.
func (n *node) tryGet() (*pool.Handle[*conn], bool) { return n.tryGetFrom(n.pool) }

func (n *node) tryGetFrom(p *pool.Pool[*conn]) (*pool.Handle[*conn], bool) {
	for {
		h, ok := p.TryGet()
		if !ok {
			return nil, false
		}
		if n.isUsable(h.Value) {
			return h, true
		}
		h.Discard()
	}
}

// isUsable reports whether the connection may carry the next statement.
func (n *node) isUsable(c *conn) bool {
	return n.isCurrent(c) && (time.Since(c.used) < checkAfter || c.Idle())
}

// isCurrent reports whether the connection leads where a new one would: its owner answers, or there is
// none that does.
func (n *node) isCurrent(c *conn) bool {
	if c.owner != "" {
		return !n.p.suspects.has(c.owner)
	}
	return !slices.ContainsFunc(n.path.owners, func(vm core.VM) bool { return !n.p.suspects.has(vm.ID) })
}

// put returns a connection that has no statement in progress.
func put(h *pool.Handle[*conn]) {
	h.Value.used = time.Now()
	h.Put()
}

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

func (n *node) noteLag() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.laggedAt = time.Now()
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

// view returns the node as a candidate for a read.
func (n *node) view(now time.Time) candidate {
	n.mu.Lock()
	defer n.mu.Unlock()
	u := n.info.Load()
	latency := n.latency
	for d := now.Sub(n.answeredAt); d > calmTime && latency > time.Millisecond; d -= calmTime {
		latency /= 2
	}
	return candidate{
		primary:  n.claims(),
		distance: n.p.distance(u),
		wait:     latency * time.Duration(1+n.pending.Load()) / time.Duration(n.limit),
		lagging:  now.Sub(n.laggedAt) < lagMemory,
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
