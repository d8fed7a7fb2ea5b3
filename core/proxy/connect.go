package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"snipewall/core"
	"snipewall/core/place"
	"snipewall/core/pool"
)

const (
	// maxConns is the maximum number of connections of an entry VM to an upstream: enough for its slots
	// and a few open transactions, and few enough that a VM that is paused or cut off can't keep the
	// others out.
	maxConns = 4
	// maxRelayConns is the maximum number of connections through other VMs. They cost the upstream
	// nothing.
	maxRelayConns = 32
	// relayIdleTimeout is how long an unused connection to an owner is kept.
	relayIdleTimeout = 20 * time.Second
	// relayDialTimeout limits one dial of an owner. It is three times as long as the round trips of the
	// dial take between regions. Dialing two owners that don't answer must leave time to reach the
	// upstream directly.
	relayDialTimeout = 150 * time.Millisecond
	// maxFallbackConns limits the direct connections of a VM that reaches no owner of an upstream,
	// since this can happen to many VMs at the same time.
	maxFallbackConns = 2
	// slowDialAfter is the time after which a dial counts as slow, and after which a statement that
	// waits for a connection checks whether new ones can be opened. It is longer than a dial between
	// regions, which takes two round trips and a handshake.
	slowDialAfter = 100 * time.Millisecond
	// ownerRefusalWait is how long a VM waits before it dials directly while the owners refuse. After a
	// power loss, an upstream counts the old connections for 3 s. The VMs are down for more than half of
	// that time, so that less than this wait remains.
	ownerRefusalWait = 1500 * time.Millisecond
	// maxRelayPeers is the maximum number of VMs that are asked to relay before the statement is
	// refused: owners first, since they have the most connections.
	maxRelayPeers = 4
	// maxLenders is the number of VMs known to reach an upstream that one which doesn't relays through.
	maxLenders = 2
	// reservedConns is the number of connections of an entry VM that are kept free of open transactions
	// for single statements.
	reservedConns = 2
	// connIdleTimeout is how long an unused connection is kept. When VMs lose power, an upstream still
	// counts their connections for 3 s, so that unused ones would keep the restarting VMs out.
	connIdleTimeout = 500 * time.Millisecond
	// organisationIdleTimeout is how long an owner keeps an unused connection that serves one organisation only. A new
	// one costs the upstream as much time as a statement, and small organisations work every few seconds.
	organisationIdleTimeout = 15 * time.Second
	// dialTimeout limits one dial. It is a multiple of the longest handshake and round trip.
	dialTimeout = time.Second
	// minDialBackoff and maxDialBackoff limit the time between dials after failures. The maximum is
	// shorter than the time in which a statement has to start.
	minDialBackoff = 20 * time.Millisecond
	maxDialBackoff = 300 * time.Millisecond
	// checkAfter is the idle time after which a connection is checked before its next use.
	checkAfter = 20 * time.Millisecond
)

// errNoOwner says that none of the VMs that own the upstream or could relay to it answers.
var errNoOwner = errors.New("no other VM answers")

func isAtLimit(err error) bool {
	var refused *core.RefusedError
	return errors.As(err, &refused)
}

// newDirectPool returns the pool of connections to the upstream itself.
func (n *node) newDirectPool() *pool.Pool[*conn] {
	limit, idle := n.path.conns, connIdleTimeout
	if n.path.isIndirect() {
		limit = maxFallbackConns
	} else if n.path.byOrganisation {
		idle = organisationIdleTimeout
	}
	return pool.New(pool.Config[*conn]{
		Limit: limit, Dial: n.dial, Close: closeConn, AtLimit: isAtLimit, OnDialError: n.dialFailed, SlowStart: true,
		DialTimeout: dialTimeout, SlowDialAfter: slowDialAfter, IdleTimeout: idle, MinBackoff: minDialBackoff, MaxBackoff: maxDialBackoff,
	})
}

// newRelayPool returns the pool of connections through other VMs. Where the VM has direct connections,
// it needs the others only for a short time.
func (n *node) newRelayPool() *pool.Pool[*conn] {
	idle := connIdleTimeout
	if n.path.isIndirect() {
		idle = relayIdleTimeout
	}
	return pool.New(pool.Config[*conn]{
		Limit: maxRelayConns, Dial: n.dialRelay, Close: closeConn, SlowStart: true, DialTimeout: maxRelayPeers * relayDialTimeout,
		IdleTimeout: idle, MinBackoff: minDialBackoff, MaxBackoff: maxDialBackoff,
	})
}

func closeConn(c *conn) error { return c.Close() }

// dial connects to the upstream itself.
func (n *node) dial(ctx context.Context, label string) (*conn, error) {
	n.p.metrics.dials.Inc(1)
	lc, err := n.p.cfg.Dialer.Dial(ctx, n.info.Load().UpstreamInfo, organisationOf(label))
	if err != nil {
		return nil, err
	}
	return n.newConn(lc, ""), nil
}

// dialRelay connects to the upstream through another VM: the first that answers among the owners of the
// path, or among the VMs next in the order of ownership if the path is direct.
func (n *node) dialRelay(ctx context.Context, _ string) (*conn, error) {
	u := n.info.Load()
	owners := n.path.owners
	if len(owners) == 0 {
		owners = place.Owners(u.UpstreamInfo, n.p.cfg.Members.Alive(), maxRelayPeers+1)
	}
	refused := false
	for _, owner := range n.lendersFirst(owners) {
		if owner.ID == n.p.cfg.Self.ID || owner.Relay == "" || n.p.suspects.has(owner.ID) {
			continue
		}
		dialCtx, cancel := context.WithTimeout(ctx, relayDialTimeout)
		lc, err := n.p.cfg.DialOwner(dialCtx, owner, u.ID)
		cancel()
		if err == nil {
			n.p.metrics.ownerDials.Inc(1)
			n.noteOwnerRefusal(false)
			if !n.path.isIndirect() {
				n.p.logDecision("connection borrowed", "Upstream", u.ID, "Lender", owner.ID, "Why", n.direct.Blocked())
			}
			return n.newConn(lc, owner.ID), nil
		}
		// An owner that refuses is alive: it is stopping, or has no connection to the upstream.
		if isAtLimit(err) {
			refused = true
			continue
		}
		n.p.logDecision("owner not reached", "Upstream", u.ID, "Owner", owner.ID, "Err", err)
		n.p.suspects.add(owner.ID)
	}
	n.noteOwnerRefusal(refused)
	if refused {
		return nil, &core.RefusedError{Upstream: u.ID, Message: "no other VM has a connection to the upstream"}
	}
	return nil, errNoOwner
}

// lendersFirst puts the VMs that are known to reach the upstream before the others.
func (n *node) lendersFirst(vms []core.VM) []core.VM {
	n.mu.Lock()
	lenders := n.lenders
	n.mu.Unlock()
	if len(lenders) == 0 {
		return vms
	}
	var first []core.VM
	for _, vm := range n.p.cfg.Members.Alive() {
		if slices.Contains(lenders, vm.ID) {
			first = append(first, vm)
		}
	}
	return append(first, slices.DeleteFunc(slices.Clone(vms), func(vm core.VM) bool { return slices.Contains(lenders, vm.ID) })...)
}

// RelayThrough implements lead.Cluster. Each VM uses maxLenders of the given ones, chosen by their hash, so that
// the load is spread over them.
func (p *Proxy) RelayThrough(id core.UpstreamID, vms []core.VMID) {
	n, ok := p.lookup(id)
	if !ok {
		return
	}
	alive := slices.DeleteFunc(slices.Clone(p.cfg.Members.Alive()), func(vm core.VM) bool { return !slices.Contains(vms, vm.ID) })
	seed := core.UpstreamInfo{ID: id + "/" + core.UpstreamID(p.cfg.Self.ID), FailureDomain: p.cfg.Self.FailureDomain}
	var lenders []core.VMID
	for _, vm := range place.Owners(seed, alive, maxLenders) {
		lenders = append(lenders, vm.ID)
	}
	if len(lenders) == 0 {
		return
	}
	p.logDecision("relaying through VMs that reach the upstream", "Upstream", id, "Reached", len(vms), "First", lenders[0])
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lenders = lenders
}

func (n *node) newConn(lc core.LineConn, owner core.VMID) *conn {
	n.notePosition(lc.InitialPosition())
	return &conn{LineConn: lc, owner: owner, status: core.TxIdle, lastUsed: time.Now()}
}

func (n *node) dialFailed(err error) {
	if isAtLimit(err) {
		n.p.metrics.overloads.Inc(1)
		return
	}
	n.noteFailure(nil)
}

// poolOrder returns the pools in order of preference.
func (n *node) poolOrder() (first, second *pool.Pool[*conn]) {
	if n.path.isIndirect() {
		return n.relayed, n.direct
	}
	return n.direct, n.relayed
}

// get takes an open connection, waiting at most until the deadline. Load patterns: after all VMs lost
// power, the first to dial take what the old connections leave of an upstream's limit, and relay for
// the others; a VM that is cut off from an upstream reaches it through other VMs.
func (n *node) get(ctx context.Context, label string, deadline time.Time) (*pool.Handle[*conn], error) {
	first, second := n.poolOrder()
	if h, ok := n.tryGet(first, label); ok {
		return h, nil
	}
	if first.Blocked() == nil {
		h, err := n.getFrom(ctx, first, label, earlier(deadline, time.Now().Add(slowDialAfter)))
		if err == nil {
			return h, nil
		}
	}
	if err := first.Blocked(); err != nil && !n.shouldWaitForOwner(err) {
		if h, err := n.getFrom(ctx, second, label, deadline); err == nil {
			return h, nil
		}
	}
	return n.getFrom(ctx, first, label, deadline)
}

// shouldWaitForOwner reports whether statements wait for the upstream's owner, which refused a
// connection. Load pattern: all VMs restart at once, and direct connections of each of them would leave
// the owner none.
func (n *node) shouldWaitForOwner(err error) bool {
	if !n.path.isIndirect() || !isAtLimit(err) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.ownersRefuseSince) < ownerRefusalWait
}

// noteOwnerRefusal records whether the upstream's owners refused a connection.
func (n *node) noteOwnerRefusal(refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case !refused:
		n.ownersRefuseSince = time.Time{}
	case n.ownersRefuseSince.IsZero():
		n.ownersRefuseSince = time.Now()
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// publicLabel labels connections for callers without a key where others have one. It can't be the name of an
// organisation.
const publicLabel = "no organisation"

// label returns the label of connections on behalf of the organisation. Where callers have no keys, all connections
// are alike.
func (p *Proxy) label(organisation core.OrganisationID) string {
	if organisation == "" && p.cfg.Directory.Snapshot().Config.NeedsKeys {
		return publicLabel
	}
	return string(organisation)
}

// organisationOf returns the organisation that an upstream is told for connections with the label, empty for none.
func organisationOf(label string) core.OrganisationID {
	if label == publicLabel {
		return ""
	}
	return core.OrganisationID(label)
}

// labelIn returns the label to ask the pool for: connections through other VMs serve all organisations, since each
// command names its own.
func (n *node) labelIn(p *pool.Pool[*conn], label string) string {
	if p == n.relayed {
		return pool.AnyLabel
	}
	return label
}

// getDirect takes a connection to the upstream itself. Statements relayed for other VMs use only these,
// so that VMs without connections can't forward them in a circle.
func (n *node) getDirect(ctx context.Context, label string, deadline time.Time) (*pool.Handle[*conn], error) {
	return n.getFrom(ctx, n.direct, label, deadline)
}

// canRelay reports whether other VMs' statements can expect a connection of this VM.
func (n *node) canRelay() bool { return n.direct.Blocked() == nil || n.direct.Stats().Total > 0 }

func (n *node) getFrom(ctx context.Context, p *pool.Pool[*conn], label string, deadline time.Time) (*pool.Handle[*conn], error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		h, err := p.GetLabeled(ctx, n.labelIn(p, label))
		if err != nil {
			return nil, err
		}
		if n.isUsable(h.Value) {
			return h, nil
		}
		h.Discard()
	}
}

// tryGet takes an open idle connection of the pool with the label, if there is one.
func (n *node) tryGet(p *pool.Pool[*conn], label string) (*pool.Handle[*conn], bool) {
	for {
		h, ok := p.TryGetLabeled(n.labelIn(p, label))
		if !ok {
			return nil, false
		}
		if n.isUsable(h.Value) {
			return h, true
		}
		h.Discard()
	}
}

// tryGetSetUp takes an open idle connection to the upstream itself that has the session's values and, unless ps is nil, the
// prepared statement: setting up another one takes a round trip.
func (n *node) tryGetSetUp(s *Session, ps *preparedStmt, label string) (*pool.Handle[*conn], bool) {
	if n.path.isIndirect() {
		return nil, false
	}
	for {
		h, ok := n.direct.TryGetMatching(label, func(c *conn) bool { return c.isSetUp(s, ps) })
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
	return !n.p.suspects.has(c.owner) && (time.Since(c.lastUsed) < checkAfter || c.IsIdle())
}

// put returns a connection to its pool, or closes it if the next session might find it with an open transaction or in
// another state than the recorded one.
func (n *node) put(h *pool.Handle[*conn]) {
	c := h.Value
	if !c.isReusable() {
		n.p.metrics.unusable.Inc(1)
		n.p.logDecision("connection closed, its state isn't known", "Upstream", n.id(), "Owner", c.owner, "Status", string(c.status),
			"Unanswered", len(c.unanswered), "Refused", c.refused.String(), "RefusedWith", c.refusedWith.String())
		h.Discard()
		return
	}
	c.lastUsed = time.Now()
	h.Put()
}
