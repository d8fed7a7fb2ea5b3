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

// probeRelayDelay is the time after which an unanswered probe is also sent through other VMs. It leaves
// them two thirds of the time of a probe, and is longer than a probe between regions takes.
const probeRelayDelay = 100 * time.Millisecond

// maxProbePeers is the number of VMs that a probe goes through, this one left out. Each may be cut off from the upstream as
// this VM is, and a primary that is replaced although most VMs reach it costs all of them a pause.
const maxProbePeers = 3

// statusTimeout limits the wait for an upstream's answer about what it has received, for which it needs a free slot.
const statusTimeout = 150 * time.Millisecond

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
	st := lead.Group{ID: g.id, Members: len(nodes), IsMonitor: g.isMonitored.Load()}
	st.SyncReplicas = p.cfg.Directory.Snapshot().Config.Groups[g.id].SyncReplicas
	primary := g.believedPrimary(now)
	if g.permits != nil {
		if hold, ok := g.permits.Hold(g.id); ok {
			st.IsHeld, st.IsHeldBySelf, st.HoldAge = true, hold.Holder == p.cfg.Self.ID, p.cfg.Now().Sub(hold.Since)
			// Until the promotion is recorded, its target is a candidate, also if both answer as primaries.
			primary, _ = p.lookup(hold.Old)
		}
		_, st.IsPromoted = g.permits.Leader(g.id)
	}
	if primary != nil {
		u := primary.info.Load()
		st.Primary, st.Leaving = u.ID, u.Leaving
		g.mu.Lock()
		if g.provedBy == u.ID {
			st.PrimaryConfirmedAt = g.provedAt
		}
		g.mu.Unlock()
		primary.mu.Lock()
		st.Suspect = primary.failures > 0 || primary.denied
		primary.mu.Unlock()
	}
	var eligible []*node
	for _, n := range nodes {
		u := n.info.Load()
		if u.ID == st.Primary {
			continue
		}
		if u.Leaving {
			st.Draining = append(st.Draining, u.ID)
			continue
		}
		eligible = append(eligible, n)
	}
	slices.SortStableFunc(eligible, func(a, b *node) int { return cmp.Compare(p.distance(a.info.Load()), p.distance(b.info.Load())) })
	for _, n := range eligible {
		st.Replicas = append(st.Replicas, n.id())
	}
	return st
}

// isMonitor reports whether this VM probes the group's primary continuously. One VM in each failure
// domain does, so that a domain that is cut off is detected and the load doesn't grow with the number of
// VMs.
func (p *Proxy) isMonitor(id core.GroupID, alive []core.VM) bool {
	return place.IsElected("watch/"+string(id), p.cfg.Self, alive, 1)
}

// Refresh implements lead.Cluster.
func (p *Proxy) Refresh(ctx context.Context) error {
	if err := p.cfg.Refresh(ctx); err != nil {
		return err
	}
	p.reconcile(p.cfg.Directory.Snapshot())
	return nil
}

// Probe implements lead.Cluster. It opens and ends a transaction, which takes no slot of the upstream.
func (p *Proxy) Probe(ctx context.Context, id core.UpstreamID) (lead.ProbeResult, error) {
	n, ok := p.lookup(id)
	if !ok {
		return lead.ProbeResult{}, lead.ErrProbeNotSent
	}
	return n.probe(ctx, probeRequest{deadline: probeDeadline(ctx)})
}

// Inspect implements lead.Cluster.
func (p *Proxy) Inspect(ctx context.Context, id core.UpstreamID) (lead.ProbeResult, error) {
	n, ok := p.lookup(id)
	if !ok {
		return lead.ProbeResult{}, lead.ErrProbeNotSent
	}
	return n.probe(ctx, probeRequest{deadline: probeDeadline(ctx), withStatus: true})
}

func probeDeadline(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(dialTimeout)
}

// probeRequest holds the parameters of a probe.
type probeRequest struct {
	// deadline is the time until which the upstream must have answered whether it leads.
	deadline time.Time
	// withStatus is set if a replica is also asked what it has received.
	withStatus bool
	// maxAge asks a VM through which the probe goes for a sample that isn't older; 0 asks for none.
	maxAge time.Duration
}

// probe tries an idle connection, if there is one, for a third of the time. It then uses a new one, and
// after probeRelayDelay or a failure also other VMs: this VM may be cut off from an upstream that works.
func (n *node) probe(ctx context.Context, req probeRequest) (lead.ProbeResult, error) {
	first, _ := n.poolOrder()
	if handle, ok := n.tryGet(first, pool.AnyLabel); ok {
		short := req
		short.deadline = time.Now().Add(time.Until(req.deadline) / 3)
		if res, err := n.probeOn(handle, short); err == nil {
			return res, nil
		}
	}
	type result struct {
		res lead.ProbeResult
		err error
	}
	results := make(chan result, 2)
	start := func(how func(context.Context, probeRequest) (lead.ProbeResult, error)) {
		n.p.spawn(func() {
			res, err := how(ctx, req)
			results <- result{res, err}
		})
	}
	start(n.probeDirectly)
	timer := time.NewTimer(probeRelayDelay)
	defer timer.Stop()
	startPeerProbe := sync.OnceFunc(func() { start(n.probeThroughPeers) })
	var failure error
	for answers := 0; answers < cap(results); {
		select {
		case <-timer.C:
			startPeerProbe()
		case r := <-results:
			if r.err == nil {
				return r.res, nil
			}
			answers++
			startPeerProbe()
			// An upstream that rejected the probe is alive. A probe that couldn't be sent says nothing
			// about its state.
			if failure == nil || errors.Is(r.err, lead.ErrProbeNotSent) || isProbeNotSent(failure) {
				failure = r.err
			}
		}
	}
	if isProbeNotSent(failure) {
		failure = lead.ErrProbeNotSent
	}
	return lead.ProbeResult{}, failure
}

// isProbeNotSent reports whether a probe failed before it was sent, on this VM or on another one.
func isProbeNotSent(err error) bool {
	return isAtLimit(err) || errors.Is(err, errNoOwner) || errors.Is(err, pool.ErrClosed)
}

// probeThroughPeers probes through the VM that statements would use, and through others beside it. If all fail, the error is
// that of the first one.
func (n *node) probeThroughPeers(ctx context.Context, req probeRequest) (lead.ProbeResult, error) {
	handle, err := n.getFrom(ctx, n.relayed, pool.AnyLabel, req.deadline)
	if err != nil {
		return lead.ProbeResult{}, err
	}
	others := n.otherPeers(handle.Value.owner)
	found := make(chan *lead.ProbeResult, len(others))
	for _, vm := range others {
		n.p.spawn(func() {
			res, err := n.probeThrough(ctx, vm, req)
			if err != nil {
				found <- nil
				return
			}
			found <- &res
		})
	}
	res, err := n.probeOn(handle, req)
	for range others {
		if err == nil {
			break
		}
		if other := <-found; other != nil {
			res, err = *other, nil
		}
	}
	return res, err
}

// otherPeers returns the VMs through which a probe goes beside the first one: the next in the order of ownership, at first
// those in other failure domains than the ones before.
func (n *node) otherPeers(first core.VMID) []core.VM {
	alive := n.p.cfg.Members.Alive()
	vms := slices.DeleteFunc(place.Owners(n.info.Load().UpstreamInfo, alive, len(alive)), func(vm core.VM) bool {
		return vm.ID == n.p.cfg.Self.ID || vm.ID == first || vm.Relay == "" || n.p.suspects.has(vm.ID)
	})
	domains := map[core.FailureDomain]bool{n.p.cfg.Self.FailureDomain: true}
	for _, vm := range alive {
		if vm.ID == first {
			domains[vm.FailureDomain] = true
		}
	}
	var far, near []core.VM
	for _, vm := range vms {
		if domains[vm.FailureDomain] {
			near = append(near, vm)
			continue
		}
		domains[vm.FailureDomain] = true
		far = append(far, vm)
	}
	far = append(far, near...)
	return far[:min(len(far), maxProbePeers-1)]
}

// probeThrough probes on a new connection through the VM.
func (n *node) probeThrough(ctx context.Context, vm core.VM, req probeRequest) (lead.ProbeResult, error) {
	dialCtx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	lc, err := n.p.cfg.DialOwner(dialCtx, vm, n.id())
	if err != nil {
		return lead.ProbeResult{}, err
	}
	defer func() { _ = lc.Close() }()
	return n.probeNew(n.newConn(lc, vm.ID), req)
}

// probeNew probes on a connection that the caller closes.
func (n *node) probeNew(c *conn, req probeRequest) (lead.ProbeResult, error) {
	res, err := n.queryLeadership(c, req)
	if err == nil && req.withStatus {
		_ = n.addReceived(c, &res)
	}
	return res, err
}

// probePooled probes on a pooled connection, waiting for one until the deadline.
func (n *node) probePooled(ctx context.Context, req probeRequest) (lead.ProbeResult, error) {
	handle, err := n.get(ctx, pool.AnyLabel, req.deadline)
	if err != nil {
		return lead.ProbeResult{}, err
	}
	return n.probeOn(handle, req)
}

func (n *node) probeFromPool(ctx context.Context, p *pool.Pool[*conn], req probeRequest) (lead.ProbeResult, error) {
	handle, err := n.getFrom(ctx, p, pool.AnyLabel, req.deadline)
	if err != nil {
		return lead.ProbeResult{}, err
	}
	return n.probeOn(handle, req)
}

func (n *node) probeOn(handle *pool.Handle[*conn], req probeRequest) (lead.ProbeResult, error) {
	h := &heldConn{node: n, handle: handle}
	res, err := n.queryLeadership(h.handle.Value, req)
	if err != nil {
		n.noteFailure(h.handle.Value)
		h.discard()
		return res, err
	}
	if req.withStatus && !n.addReceived(h.handle.Value, &res) {
		h.discard()
		return res, nil
	}
	h.free(false)
	return res, nil
}

// addReceived adds what the upstream has received to the result. It reports whether the connection can still be used:
// an upstream without a free slot may answer later.
func (n *node) addReceived(c *conn, res *lead.ProbeResult) bool {
	if res.Leads {
		res.Received, res.IsReceivedKnown = res.Log, true
		return true
	}
	ans, err := c.exchange([]core.Command{{Op: core.OpStatus}}, time.Now().Add(statusTimeout))
	if err != nil {
		n.p.logDecision("upstream doesn't tell what it has received", "Upstream", n.id(), "Err", err)
		return false
	}
	if ans.Fault != core.FaultNone || ans.Received.IsZero() {
		n.p.logDecision("upstream doesn't tell what it has received", "Upstream", n.id(), "Fault", ans.Fault.String(), "Text", ans.Text)
		return true
	}
	res.Received, res.IsReceivedKnown = ans.Received, true
	return true
}

// probeDirectly probes on a new connection, since the upstream may no longer answer on pooled ones. At
// the upstream's connection limit it uses a pooled one: busy replicas must be reachable before a
// primary is replaced.
func (n *node) probeDirectly(ctx context.Context, req probeRequest) (lead.ProbeResult, error) {
	lc, err := n.p.cfg.Dialer.Dial(ctx, n.info.Load().UpstreamInfo, "")
	if isAtLimit(err) {
		res, err := n.probeFromPool(ctx, n.direct, req)
		if err != nil {
			return lead.ProbeResult{}, lead.ErrProbeNotSent
		}
		return res, nil
	}
	if err != nil {
		return lead.ProbeResult{}, err
	}
	defer func() { _ = lc.Close() }()
	return n.probeNew(n.newConn(lc, ""), req)
}

// queryLeadership opens and rolls back a transaction on the connection, which proves whether the
// upstream leads.
func (n *node) queryLeadership(c *conn, req probeRequest) (lead.ProbeResult, error) {
	requestedAt := n.p.cfg.Now()
	if err := c.Send([]core.Command{{Op: core.OpBegin, MaxAge: req.maxAge}, {Op: core.OpRollback}}); err != nil {
		return lead.ProbeResult{}, err
	}
	ans, err := c.Receive(req.deadline)
	if err != nil {
		return lead.ProbeResult{}, err
	}
	if _, err := c.Receive(req.deadline); err != nil {
		return lead.ProbeResult{}, err
	}
	n.notePosition(ans.Position)
	switch ans.Fault {
	case core.FaultNone:
		if n.group.isDeposed(n.id()) {
			n.p.logDecision("upstream still acts as primary after another was promoted", "Upstream", n.id(), "Position", ans.Position)
			return lead.ProbeResult{IsDeposed: true, Log: ans.Position}, nil
		}
		n.group.noteSample(requestedAt, ans.Sample)
		n.noteLeads(requestedAt, ans.Position)
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
