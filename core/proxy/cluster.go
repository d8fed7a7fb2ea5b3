package proxy

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"snipewall/core"
	"snipewall/core/lead"
	"snipewall/core/place"
	"snipewall/core/pool"
)

// State implements lead.Cluster.
func (p *Proxy) State() []lead.Group {
	now := time.Now()
	p.mu.Lock()
	groups := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		groups = append(groups, g)
	}
	p.mu.Unlock()
	out := make([]lead.Group, 0, len(groups))
	for _, g := range groups {
		if nodes := *g.nodes.Load(); len(nodes) > 0 {
			out = append(out, p.state(now, g, nodes))
		}
	}
	return out
}

func (p *Proxy) state(now time.Time, g *group, nodes []*node) lead.Group {
	st := lead.Group{ID: g.id, Members: len(nodes), Duty: p.isWatcher(g.id)}
	if n := g.primary(now); n != nil {
		u := n.info.Load()
		st.Primary, st.Leaving = u.ID, u.Leaving
		g.mu.Lock()
		if g.provedBy == u.ID {
			st.ProvedAt = g.provedAt
		}
		g.mu.Unlock()
		n.mu.Lock()
		st.Suspect = n.failures > 0 || n.denied
		n.mu.Unlock()
	}
	var able []*node
	for _, n := range nodes {
		if u := n.info.Load(); u.ID != st.Primary && !u.Leaving {
			able = append(able, n)
		}
	}
	slices.SortStableFunc(able, func(a, b *node) int { return cmp.Compare(p.distance(a.info.Load()), p.distance(b.info.Load())) })
	for _, n := range able {
		st.Replicas = append(st.Replicas, n.id())
	}
	return st
}

// isWatcher reports whether this VM probes the group's primary all the time. One VM in each failure
// domain does, so that a domain that is cut off is noticed, and the load doesn't grow with the VMs.
func (p *Proxy) isWatcher(id core.GroupID) bool {
	return place.IsElected("watch/"+string(id), p.cfg.Self, p.cfg.Members.Alive(), 1)
}

// Refresh implements lead.Cluster.
func (p *Proxy) Refresh(ctx context.Context) error {
	if err := p.cfg.Refresh(ctx); err != nil {
		return err
	}
	p.reconcile(p.cfg.Directory.Snapshot())
	return nil
}

// Probe implements lead.Cluster. Opening and ending a transaction takes no slot of the upstream.
func (p *Proxy) Probe(ctx context.Context, id core.UpstreamID) (lead.Standing, error) {
	p.mu.Lock()
	n, ok := p.nodes[id]
	p.mu.Unlock()
	if !ok {
		return lead.Standing{}, lead.ErrNotAsked
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(dialTime)
	}
	at, err := n.probe(ctx, deadline)
	if errors.Is(err, lead.ErrNotAsked) {
		return n.askLater(ctx, deadline)
	}
	if err == nil {
		return at, nil
	}
	// The pool doesn't dial for a while after a failure although the upstream may be back, and an
	// owner that doesn't answer says nothing of the upstream.
	return n.probeDirectly(ctx, deadline)
}

// probe asks over a pooled connection. It doesn't wait for one to the upstream itself: where all are in
// use without any proof of leadership, they may be silent.
func (n *node) probe(ctx context.Context, deadline time.Time) (lead.Standing, error) {
	if len(n.path.owners) > 0 {
		// Half of the time is left to ask the upstream itself.
		return n.ask(ctx, time.Now().Add(time.Until(deadline)/2))
	}
	handle, ok := n.tryGet()
	if !ok {
		return n.probeDirectly(ctx, deadline)
	}
	return n.askOn(handle, deadline)
}

// ask waits for a pooled connection and asks on it.
func (n *node) ask(ctx context.Context, deadline time.Time) (lead.Standing, error) {
	handle, err := n.getOrBorrow(ctx, deadline)
	if err != nil {
		return lead.Standing{}, err
	}
	return n.askOn(handle, deadline)
}

// askLater asks an upstream that accepts no new connection once a pooled one is free: busy replicas
// have to be heard before a primary is replaced. No answer says nothing of the upstream, since it
// was alive to refuse.
func (n *node) askLater(ctx context.Context, deadline time.Time) (lead.Standing, error) {
	at, err := n.ask(ctx, deadline)
	if err != nil {
		return lead.Standing{}, lead.ErrNotAsked
	}
	return at, nil
}

func (n *node) askOn(handle *pool.Handle[*conn], deadline time.Time) (lead.Standing, error) {
	h := &held{node: n, handle: handle}
	at, err := n.standing(h.handle.Value, deadline)
	if err != nil {
		n.noteFailure(h.handle.Value)
		h.drop()
		return at, err
	}
	h.free(false)
	return at, nil
}

func (n *node) probeDirectly(ctx context.Context, deadline time.Time) (lead.Standing, error) {
	lc, err := n.p.cfg.Dialer.Dial(ctx, n.info.Load().UpstreamInfo)
	if err != nil {
		if atLimit(err) {
			return lead.Standing{}, lead.ErrNotAsked
		}
		return lead.Standing{}, err
	}
	defer func() { _ = lc.Close() }()
	return n.standing(&conn{LineConn: lc}, deadline)
}

// standing asks on the connection whether the upstream leads.
func (n *node) standing(c *conn, deadline time.Time) (lead.Standing, error) {
	asked := n.p.cfg.Now()
	if err := c.Send([]core.Command{{Op: core.OpBegin}, {Op: core.OpRollback}}); err != nil {
		return lead.Standing{}, err
	}
	ans, err := c.Receive(deadline)
	if err != nil {
		return lead.Standing{}, err
	}
	if _, err := c.Receive(deadline); err != nil {
		return lead.Standing{}, err
	}
	n.notePosition(ans.Position)
	switch ans.Fault {
	case core.FaultNone:
		n.lead(asked, ans.Position)
		return lead.Standing{Leads: true, Log: ans.Position}, nil
	case core.FaultReadOnly:
		n.noteDenied()
		n.p.logDecision("upstream doesn't lead", "Upstream", n.id(), "Position", ans.Position, "Status", string(ans.Status))
		return lead.Standing{Log: ans.Position}, nil
	case core.FaultOverload, core.FaultBusy:
		return lead.Standing{}, lead.ErrNotAsked
	}
	return lead.Standing{}, core.ErrUpstream.New("probe: %s", ans.Fault)
}
