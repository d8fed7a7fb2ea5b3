package proxy

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"snipewall/core"
	"snipewall/core/lead"
	"snipewall/core/place"
	"snipewall/core/pool"
)

// probeHopAfter is the time after which a probe that got no answer is also sent through other VMs. It
// leaves them two thirds of a probe's time, and is above the time of a probe between regions.
const probeHopAfter = 100 * time.Millisecond

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
	st := lead.Group{ID: g.id, Members: len(nodes), IsMonitor: p.isWatcher(g.id)}
	if n := g.primary(now); n != nil {
		u := n.info.Load()
		st.Primary, st.Leaving = u.ID, u.Leaving
		g.mu.Lock()
		if g.provedBy == u.ID {
			st.PrimaryConfirmedAt = g.provedAt
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
func (p *Proxy) Probe(ctx context.Context, id core.UpstreamID) (lead.ProbeResult, error) {
	p.mu.Lock()
	n, ok := p.nodes[id]
	p.mu.Unlock()
	if !ok {
		return lead.ProbeResult{}, lead.ErrProbeNotSent
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(dialTime)
	}
	return n.probe(ctx, deadline)
}

// probe asks on an idle connection if there is one, otherwise on a new one, and soon through other VMs
// as well: this VM may be cut off from an upstream that works.
func (n *node) probe(ctx context.Context, deadline time.Time) (lead.ProbeResult, error) {
	first, _ := n.ways()
	if handle, ok := n.tryGet(first); ok {
		if at, err := n.askOn(handle, time.Now().Add(time.Until(deadline)/3)); err == nil {
			return at, nil
		}
	}
	type result struct {
		at  lead.ProbeResult
		err error
	}
	results := make(chan result, 2)
	ask := func(how func(context.Context, time.Time) (lead.ProbeResult, error)) {
		n.p.spawn(func() {
			at, err := how(ctx, deadline)
			results <- result{at, err}
		})
	}
	ask(n.probeDirectly)
	timer := time.NewTimer(probeHopAfter)
	defer timer.Stop()
	askOthers := sync.OnceFunc(func() { ask(n.probeThroughOthers) })
	var failure error
	for answers := 0; answers < cap(results); {
		select {
		case <-timer.C:
			askOthers()
		case r := <-results:
			if r.err == nil {
				return r.at, nil
			}
			answers++
			askOthers()
			// An upstream that refused the question was alive to do so. Others that can't ask say
			// nothing of it.
			if failure == nil || errors.Is(r.err, lead.ErrProbeNotSent) || isUnasked(failure) {
				failure = r.err
			}
		}
	}
	if isUnasked(failure) {
		failure = lead.ErrProbeNotSent
	}
	return lead.ProbeResult{}, failure
}

// isUnasked reports whether a probe failed before it was sent, on this VM or on another one.
func isUnasked(err error) bool {
	return atLimit(err) || errors.Is(err, errNoOwner) || errors.Is(err, pool.ErrClosed)
}

// probeThroughOthers asks on a connection through another VM.
func (n *node) probeThroughOthers(ctx context.Context, deadline time.Time) (lead.ProbeResult, error) {
	return n.askFrom(ctx, n.hops, deadline)
}

// ask waits for a pooled connection and asks on it.
func (n *node) ask(ctx context.Context, deadline time.Time) (lead.ProbeResult, error) {
	handle, err := n.get(ctx, deadline)
	if err != nil {
		return lead.ProbeResult{}, err
	}
	return n.askOn(handle, deadline)
}

func (n *node) askFrom(ctx context.Context, p *pool.Pool[*conn], deadline time.Time) (lead.ProbeResult, error) {
	handle, err := n.getFrom(ctx, p, deadline)
	if err != nil {
		return lead.ProbeResult{}, err
	}
	return n.askOn(handle, deadline)
}

func (n *node) askOn(handle *pool.Handle[*conn], deadline time.Time) (lead.ProbeResult, error) {
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

// probeDirectly asks on a new connection, since pooled ones may be silent. If the upstream accepts none,
// it asks on a pooled one: busy replicas have to be heard before a primary is replaced.
func (n *node) probeDirectly(ctx context.Context, deadline time.Time) (lead.ProbeResult, error) {
	lc, err := n.p.cfg.Dialer.Dial(ctx, n.info.Load().UpstreamInfo)
	if atLimit(err) {
		at, err := n.askFrom(ctx, n.direct, deadline)
		if err != nil {
			return lead.ProbeResult{}, lead.ErrProbeNotSent
		}
		return at, nil
	}
	if err != nil {
		return lead.ProbeResult{}, err
	}
	defer func() { _ = lc.Close() }()
	return n.standing(&conn{LineConn: lc}, deadline)
}

// standing asks on the connection whether the upstream leads.
func (n *node) standing(c *conn, deadline time.Time) (lead.ProbeResult, error) {
	asked := n.p.cfg.Now()
	if err := c.Send([]core.Command{{Op: core.OpBegin}, {Op: core.OpRollback}}); err != nil {
		return lead.ProbeResult{}, err
	}
	ans, err := c.Receive(deadline)
	if err != nil {
		return lead.ProbeResult{}, err
	}
	if _, err := c.Receive(deadline); err != nil {
		return lead.ProbeResult{}, err
	}
	n.notePosition(ans.Position)
	switch ans.Fault {
	case core.FaultNone:
		n.lead(asked, ans.Position)
		return lead.ProbeResult{Leads: true, Log: ans.Position}, nil
	case core.FaultReadOnly:
		n.noteDenied()
		n.p.logDecision("upstream doesn't lead", "Upstream", n.id(), "Position", ans.Position, "Status", string(ans.Status))
		return lead.ProbeResult{Log: ans.Position}, nil
	case core.FaultOverload, core.FaultBusy:
		return lead.ProbeResult{}, lead.ErrProbeNotSent
	}
	return lead.ProbeResult{}, core.ErrUpstream.New("probe: %s", ans.Fault)
}
