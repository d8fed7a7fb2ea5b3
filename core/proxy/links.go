package proxy

import (
	"context"
	"errors"
	"time"

	"snipewall/core"
	"snipewall/core/place"
	"snipewall/core/pool"
)

const (
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
	// blockedAfter is the time after which a statement that waits for a connection looks whether new ones
	// can be had, and a dial counts as slow: above a dial between regions, which takes two round trips and
	// a handshake.
	blockedAfter = 100 * time.Millisecond
	// ownerPatience is how long a VM doesn't dial directly while the owners refuse: connections of before a
	// power loss count for 3 s, of which the VMs were away for more than half.
	ownerPatience = 1500 * time.Millisecond
	// lenders is how many VMs are asked to lend a connection before the statement is refused: owners
	// first, since they have the most.
	lenders = 4
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
)

// errNoOwner says that no VM that owns the upstream, or may lend a connection to it, answers.
var errNoOwner = errors.New("no other VM answers")

func atLimit(err error) bool {
	var refused *core.RefusedError
	return errors.As(err, &refused)
}

// newDirect returns the pool of connections to the upstream itself.
func (n *node) newDirect() *pool.Pool[*conn] {
	limit := n.path.conns
	if n.path.isIndirect() {
		limit = detourConns
	}
	return pool.New(pool.Config[*conn]{
		Limit: limit, Dial: n.dial, Close: closeConn, AtLimit: atLimit, OnDialError: n.dialFailed, SlowStart: true,
		DialTimeout: dialTime, SlowDialAfter: blockedAfter, IdleTimeout: connIdle, MinBackoff: minDialBackoff, MaxBackoff: maxDialBackoff,
	})
}

// newHops returns the pool of connections through other VMs. Where the VM has direct connections, it
// borrows others only for a short time.
func (n *node) newHops() *pool.Pool[*conn] {
	idle := connIdle
	if n.path.isIndirect() {
		idle = hopIdle
	}
	return pool.New(pool.Config[*conn]{
		Limit: hopConns, Dial: n.dialHop, Close: closeConn, SlowStart: true, DialTimeout: lenders * hopDialTime,
		IdleTimeout: idle, MinBackoff: minDialBackoff, MaxBackoff: maxDialBackoff,
	})
}

func closeConn(c *conn) error { return c.Close() }

// dial connects to the upstream itself.
func (n *node) dial(ctx context.Context) (*conn, error) {
	n.p.metrics.dials.Inc(1)
	lc, err := n.p.cfg.Dialer.Dial(ctx, n.info.Load().UpstreamInfo)
	if err != nil {
		return nil, err
	}
	return n.opened(lc, ""), nil
}

// dialHop connects to the first VM that answers of those that own the upstream or may lend a
// connection to it.
func (n *node) dialHop(ctx context.Context) (*conn, error) {
	u := n.info.Load()
	owners := n.path.owners
	if len(owners) == 0 {
		owners = place.Owners(u.UpstreamInfo, n.p.cfg.Members.Alive(), lenders+1)
	}
	refused := false
	for _, owner := range owners {
		if owner.ID == n.p.cfg.Self.ID || owner.Relay == "" || n.p.suspects.has(owner.ID) {
			continue
		}
		dialCtx, cancel := context.WithTimeout(ctx, hopDialTime)
		lc, err := n.p.cfg.DialOwner(dialCtx, owner, u.ID)
		cancel()
		if err == nil {
			n.p.metrics.hopDials.Inc(1)
			n.noteRefusal(false)
			if !n.path.isIndirect() {
				n.p.logDecision("connection borrowed", "Upstream", u.ID, "Lender", owner.ID, "Why", n.direct.Blocked())
			}
			return n.opened(lc, owner.ID), nil
		}
		// An owner that refuses is alive: it stops, or has no connection to the upstream to give.
		if atLimit(err) {
			refused = true
			continue
		}
		n.p.logDecision("owner not reached", "Upstream", u.ID, "Owner", owner.ID, "Err", err)
		n.p.suspects.add(owner.ID)
	}
	n.noteRefusal(refused)
	if refused {
		return nil, &core.RefusedError{Upstream: u.ID, Message: "no other VM has a connection to the upstream"}
	}
	return nil, errNoOwner
}

// opened returns a new connection as the pools hold it.
func (n *node) opened(lc core.LineConn, owner core.VMID) *conn {
	n.notePosition(lc.InitialPosition())
	return &conn{LineConn: lc, owner: owner, used: time.Now()}
}

func (n *node) dialFailed(err error) {
	if atLimit(err) {
		n.p.metrics.overloads.Inc(1)
		return
	}
	n.noteFailure(nil)
}

// ways returns the pools in the order in which they are used.
func (n *node) ways() (first, second *pool.Pool[*conn]) {
	if n.path.isIndirect() {
		return n.hops, n.direct
	}
	return n.direct, n.hops
}

// get takes a connection that is open, waiting at most until the deadline. Load patterns: after all
// VMs lost power, the VMs that dial first take what the connections of before leave of an upstream's
// limit, and lend them to the others; a VM that is cut off from an upstream reaches it through others.
func (n *node) get(ctx context.Context, deadline time.Time) (*pool.Handle[*conn], error) {
	first, second := n.ways()
	if h, ok := n.tryGet(first); ok {
		return h, nil
	}
	if first.Blocked() == nil {
		h, err := n.getFrom(ctx, first, earlier(deadline, time.Now().Add(blockedAfter)))
		if err == nil {
			return h, nil
		}
	}
	if err := first.Blocked(); err != nil && !n.mustWaitForOwner(err) {
		if h, err := n.getFrom(ctx, second, deadline); err == nil {
			return h, nil
		}
	}
	return n.getFrom(ctx, first, deadline)
}

// mustWaitForOwner reports whether statements wait for the upstream's owner, which refused a connection.
// Load pattern: all VMs come back at once, and direct connections of each of them would leave the owner
// none.
func (n *node) mustWaitForOwner(err error) bool {
	if !n.path.isIndirect() || !atLimit(err) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.refusedAt) < ownerPatience
}

// noteRefusal records whether the upstream's owners refused a connection, and since when.
func (n *node) noteRefusal(refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case !refused:
		n.refusedAt = time.Time{}
	case n.refusedAt.IsZero():
		n.refusedAt = time.Now()
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// getDirect takes a connection to the upstream itself. Statements of other VMs use no others, so that
// VMs without connections can't send them around.
func (n *node) getDirect(ctx context.Context, deadline time.Time) (*pool.Handle[*conn], error) {
	return n.getFrom(ctx, n.direct, deadline)
}

// mayLend reports whether other VMs can expect to be served with this VM's connections.
func (n *node) mayLend() bool { return n.direct.Blocked() == nil || n.direct.Stats().Total > 0 }

func (n *node) getFrom(ctx context.Context, p *pool.Pool[*conn], deadline time.Time) (*pool.Handle[*conn], error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		h, err := p.Get(ctx)
		if err != nil {
			return nil, err
		}
		if n.isUsable(h.Value) {
			return h, nil
		}
		h.Discard()
	}
}

// tryGet takes an idle connection of the pool that is open, if there is one.
func (n *node) tryGet(p *pool.Pool[*conn]) (*pool.Handle[*conn], bool) {
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
	return !n.p.suspects.has(c.owner) && (time.Since(c.used) < checkAfter || c.IsIdle())
}

// put returns a connection that has no statement in progress.
func put(h *pool.Handle[*conn]) {
	h.Value.used = time.Now()
	h.Put()
}
