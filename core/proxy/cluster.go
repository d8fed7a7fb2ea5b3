package proxy

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"snipewall/core"
	"snipewall/core/lead"
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
	st := lead.Group{ID: g.id, Members: len(nodes)}
	if n := g.primary(now); n != nil {
		u := n.info.Load()
		st.Primary, st.Leaving = u.ID, u.Leaving
		g.mu.Lock()
		if g.provedBy == u.ID {
			st.ProvedAt = g.provedAt
		}
		g.mu.Unlock()
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
	handle, err := n.get(ctx, deadline)
	if err != nil {
		if atLimit(err) || (errors.Is(err, context.DeadlineExceeded) && n.pool.Stats().InUse > 0) {
			return lead.Standing{}, lead.ErrNotAsked
		}
		return p.probeFresh(ctx, n, deadline)
	}
	h := &held{node: n, handle: handle}
	at, err := n.standing(h.handle.Value, deadline)
	if err != nil {
		n.noteFailure()
		h.drop()
		return at, err
	}
	h.free(false)
	return at, nil
}

// probeFresh probes on a connection of its own, since the pool doesn't dial for a while after a
// failure although the upstream may be back.
func (p *Proxy) probeFresh(ctx context.Context, n *node, deadline time.Time) (lead.Standing, error) {
	c, err := n.dial(ctx)
	if err != nil {
		return lead.Standing{}, err
	}
	defer func() { _ = c.Close() }()
	return n.standing(c, deadline)
}

// standing asks on the connection whether the upstream leads.
func (n *node) standing(c *conn, deadline time.Time) (lead.Standing, error) {
	asked := n.p.cfg.Now()
	ans, err := setUp(c, []core.Command{{Op: core.OpBegin}, {Op: core.OpRollback}}, deadline)
	if err != nil {
		return lead.Standing{}, err
	}
	n.notePosition(ans.Position)
	switch ans.Fault {
	case core.FaultNone:
		n.lead(asked, ans.Position)
		return lead.Standing{Leads: true, Log: ans.Position}, nil
	case core.FaultReadOnly:
		n.noteDenied()
		return lead.Standing{Log: ans.Position}, nil
	}
	return lead.Standing{}, core.ErrUpstream.New("probe: %s", ans.Fault)
}
