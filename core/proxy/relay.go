package proxy

import (
	"context"
	"time"

	"snipewall/core"
	"snipewall/core/pool"
	"snipewall/core/queue"
)

// Relay executes the commands of another entry VM on an upstream that this one owns. It is used by one
// goroutine at a time.
type Relay struct {
	n *node
	// session holds the values that the other VM's session has set.
	session  Session
	prepared relayedStmts
	held     *heldConn
	// beginRefused is set if BEGIN was refused, so that nothing runs before ROLLBACK.
	beginRefused bool
	body         []byte
}

// OpenRelay returns a relay to the upstream and the upstream's last known position, or false if the
// upstream is unknown here or accepts no connection of this VM.
func (p *Proxy) OpenRelay(id core.UpstreamID) (*Relay, core.Position, bool) {
	n := p.directNode(id)
	if n == nil || !n.canRelay() {
		return nil, core.Position{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return &Relay{n: n}, n.position, true
}

// directNode returns a node that reaches the upstream directly, or nil if the upstream is unknown. VMs may
// disagree about the owner: a VM that gets work for an upstream which it doesn't own serves it as the
// owner would.
func (p *Proxy) directNode(id core.UpstreamID) *node {
	p.reconcileMu.Lock()
	defer p.reconcileMu.Unlock()
	p.mu.Lock()
	n, relayOnly := p.nodes[id], p.relayOnly[id]
	p.mu.Unlock()
	if n == nil || !n.path.isIndirect() {
		return n
	}
	if relayOnly != nil {
		return relayOnly
	}
	u := *n.info.Load()
	cfg := p.cfg.Directory.Snapshot().Config
	relayOnly = p.newNode(p.ctx, n.group, u, ownerPath(connBudget{cfg.Groups[u.Group].Connections, cfg.NeedsKeys}))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relayOnly[id] = relayOnly
	return relayOnly
}

// Close rolls back an open transaction.
func (r *Relay) Close() { r.rollback() }

// Pause releases the slot of a transaction whose next statement hasn't arrived, and memory that no statement needs now.
func (r *Relay) Pause() {
	if r.held != nil {
		r.held.releaseSlot(false)
	}
	r.prepared.trim(maxKeptTexts)
}

// StateBytes returns the memory that the other VM's values and prepared statements take.
func (r *Relay) StateBytes() int { return r.session.stateBytes + r.prepared.bytes }

// Execute executes one command. Its answer is due at the deadline.
func (r *Relay) Execute(ctx context.Context, cmd core.Command, deadline time.Time) core.Answer {
	began := time.Now()
	ans := r.execute(ctx, cmd, deadline)
	if cmd.Kind != "" {
		ans.Load.Took = max(time.Since(began), 1)
	}
	return ans
}

func (r *Relay) execute(ctx context.Context, cmd core.Command, deadline time.Time) core.Answer {
	r.followNode()
	switch cmd.Op {
	case core.OpReset:
		r.session.values, r.session.valueKey, r.session.stateBytes, r.prepared = nil, "", 0, relayedStmts{}
	case core.OpSet:
		r.session.set(cmd.Name, cmd.Text)
	case core.OpPrepare:
		r.prepared.add(cmd.Name, newPreparedStmt(cmd.Write, cmd.Text))
	case core.OpRollback:
		r.rollback()
		r.beginRefused = false
	case core.OpBegin, core.OpBeginRead:
		return r.begin(ctx, cmd, deadline)
	case core.OpStepDown, core.OpStatus:
		return r.runInternal(ctx, cmd, deadline)
	default:
		if r.beginRefused {
			return core.Answer{Fault: core.FaultMalformed, Text: "the transaction wasn't opened", Status: core.TxFailed}
		}
		return r.run(ctx, cmd, deadline)
	}
	return core.Answer{Status: r.status()}
}

// lacks answers a command for a position that the upstream has lacked a moment ago. Load pattern: replicas lag, and each of
// many VMs finds out for itself, with a statement that the upstream refuses.
func (r *Relay) lacks(cmd core.Command) (core.Answer, bool) {
	if r.held != nil || cmd.Await.IsZero() {
		return core.Answer{}, false
	}
	r.n.mu.Lock()
	lagging, _ := r.n.lagState(time.Now(), cmd.Await)
	position := r.n.position
	r.n.mu.Unlock()
	if !lagging {
		return core.Answer{}, false
	}
	r.n.p.metrics.lagRefusals.Inc(1)
	return core.Answer{Fault: core.FaultLagging, Text: string(r.n.id()), Position: position, Status: core.TxIdle, Load: r.load(cmd, nil)}, true
}

// followNode replaces a node that was stopped because the path to the upstream has changed on this VM. Its queue refuses
// everything.
func (r *Relay) followNode() {
	if r.held != nil || !r.n.stopped.Load() {
		return
	}
	if n := r.n.p.directNode(r.n.id()); n != nil {
		r.n = n
	}
}

func (r *Relay) status() core.TxStatus {
	if r.held != nil {
		return core.TxOpen
	}
	return core.TxIdle
}

func (r *Relay) rollback() {
	if r.held == nil {
		return
	}
	h := r.held
	r.held = nil
	h.rollbackAndFree(core.FaultNone)
}

// begin opens a transaction. It keeps the connection, and the slot until Pause.
func (r *Relay) begin(ctx context.Context, cmd core.Command, deadline time.Time) core.Answer {
	r.rollback()
	r.beginRefused = true
	if ans, ok := r.lacks(cmd); ok {
		ans.Status = core.TxFailed
		return ans
	}
	h, refused := r.connect(ctx, cmd, deadline)
	if refused != nil {
		return core.Answer{Fault: refused.Fault, Text: refused.Text, Status: core.TxFailed, Load: r.load(cmd, refused)}
	}
	cmds := append(h.handle.Value.setUpCommands(&r.session, nil), cmd)
	requestedAt := r.n.p.cfg.Now()
	ans, err := h.handle.Value.exchange(cmds, deadline)
	if err != nil {
		r.n.noteSetUpFailure(h.handle.Value, err)
		h.discard()
		return core.Answer{Fault: core.FaultBusy, Text: "the upstream doesn't answer", Status: core.TxFailed}
	}
	r.n.notePosition(ans.Position)
	if ans.Fault != core.FaultNone {
		h.rollbackAndFree(ans.Fault)
		if ans.Fault == core.FaultLagging {
			r.n.noteLag(cmd.Await)
		}
		ans.Status = core.TxFailed
		return ans
	}
	r.held, r.beginRefused = h, false
	if cmd.Op == core.OpBegin {
		ans.Sample = r.n.group.sampleFor(r.n.p.cfg.Now(), cmd.MaxAge)
		r.n.noteLeads(requestedAt, ans.Position)
	}
	return r.copyBody(ans)
}

// runInternal runs a statement that snipewall issues itself, on a connection without a transaction.
func (r *Relay) runInternal(ctx context.Context, cmd core.Command, deadline time.Time) core.Answer {
	r.rollback()
	handle, err := r.n.getDirect(ctx, pool.AnyLabel, deadline)
	if err != nil {
		return core.Answer{Fault: core.FaultOverload, Text: "no connection to the upstream in time", Status: core.TxIdle}
	}
	h := &heldConn{node: r.n, handle: handle}
	ans, err := handle.Value.exchange([]core.Command{cmd}, deadline)
	if err != nil {
		h.discard()
		return core.Answer{Fault: core.FaultTimeout, Text: "the upstream doesn't answer", Status: core.TxIdle}
	}
	h.free(false)
	ans.Body = nil
	return ans
}

// connect takes a connection for a transaction, with a slot unless the transaction is only a leadership
// probe, which takes no slot of the upstream.
func (r *Relay) connect(ctx context.Context, cmd core.Command, deadline time.Time) (*heldConn, *Reply) {
	if cmd.Kind != "" {
		return r.n.acquire(ctx, &queue.Item{Kind: cmd.Kind, Rank: cmd.Rank, OpensTx: true, Patience: cmd.Patience, KeepFree: r.n.keptSlots(), Deadline: startBy(cmd, deadline)}, demand{&r.session, nil, r.n.p.label(cmd.Organisation)}, r.n.getDirect)
	}
	handle, err := r.n.getDirect(ctx, pool.AnyLabel, deadline)
	if err != nil {
		return nil, &Reply{Fault: core.FaultOverload, Text: "no connection to the upstream in time"}
	}
	return &heldConn{node: r.n, handle: handle}, nil
}

// startBy returns the time until which the command may wait for a slot and a connection. After it, a
// refusal serves the caller better. The refusal has to arrive before the VM that sent the command times
// out, since that VM would have to report an unknown outcome.
func startBy(cmd core.Command, deadline time.Time) time.Time {
	if cmd.StartBy.IsZero() {
		return deadline
	}
	return cmd.StartBy
}

// run executes a caller's statement.
func (r *Relay) run(ctx context.Context, cmd core.Command, deadline time.Time) core.Answer {
	var ps *preparedStmt
	if cmd.Op == core.OpExecute {
		s, ok := r.prepared.stmts[cmd.Name]
		if !ok {
			return core.Answer{Fault: core.FaultUnprepared, Text: "no such prepared statement", Status: r.status()}
		}
		if cmd.Name == shortName {
			s.name = shortName
		}
		ps = &s
	}
	if ans, ok := r.lacks(cmd); ok {
		return ans
	}
	h, refused := r.admit(ctx, cmd, ps, deadline)
	if refused != nil {
		return core.Answer{Fault: refused.Fault, Text: refused.Text, Status: r.status(), Load: r.load(cmd, refused)}
	}
	c := h.handle.Value
	cmds, err := h.confirm(c.setUpCommands(&r.session, ps), deadline)
	if err != nil {
		return r.handleSetUpFailure(h, cmd, err)
	}
	sent := time.Now()
	ans, err := c.exchange(append(cmds, cmd), deadline)
	if err != nil {
		r.n.noteLost(h.handle.Value, err)
		return r.handleLostConn(h, cmd, err)
	}
	now := time.Now()
	r.n.noteOutcome(now, isFailure(ans.Fault))
	r.n.noteAnswer(now, now.Sub(sent), ans.Position)
	if ans.Fault == core.FaultLagging {
		r.n.noteLag(cmd.Await)
	}
	ans = r.copyBody(ans)
	ans.Load = r.load(cmd, nil)
	switch {
	case r.held == nil:
		h.free(ans.Fault == core.FaultNone)
	case ans.Status == core.TxIdle:
		r.held = nil
		h.free(true)
	default:
		h.releaseSlot(ans.Fault == core.FaultNone)
	}
	return ans
}

// admit takes a slot, and a connection unless the transaction holds one.
func (r *Relay) admit(ctx context.Context, cmd core.Command, ps *preparedStmt, deadline time.Time) (*heldConn, *Reply) {
	if r.held == nil {
		return r.n.acquire(ctx, &queue.Item{Kind: cmd.Kind, Rank: cmd.Rank, Patience: cmd.Patience, KeepFree: r.n.keptSlots(), Deadline: startBy(cmd, deadline)}, demand{&r.session, ps, r.n.p.label(cmd.Organisation)}, r.n.getDirect)
	}
	if r.held.slot != nil {
		return r.held, nil
	}
	return r.held, r.held.admit(ctx, &queue.Item{Kind: cmd.Kind, Rank: cmd.Rank, InTx: true, Deadline: startBy(cmd, deadline)})
}

// handleSetUpFailure answers a statement whose connection couldn't be set up for it, so that it hasn't run. A transaction is
// rolled back.
func (r *Relay) handleSetUpFailure(h *heldConn, cmd core.Command, err error) core.Answer {
	inTx := r.held != nil
	r.held = nil
	r.n.noteSetUpFailure(h.handle.Value, err)
	h.discard()
	ans := core.Answer{Fault: core.FaultBusy, Text: err.Error(), Status: core.TxIdle, Load: r.load(cmd, nil)}
	if inTx {
		ans.Fault, ans.Status = core.FaultAborted, core.TxFailed
	}
	return ans
}

// handleLostConn answers a statement whose connection failed: a transaction whose COMMIT wasn't sent is
// rolled back, anything else may have run.
func (r *Relay) handleLostConn(h *heldConn, cmd core.Command, err error) core.Answer {
	inTx := r.held != nil
	r.held = nil
	h.discard()
	ans := core.Answer{Fault: core.FaultInDoubt, Text: "the upstream broke off", Status: core.TxIdle}
	switch {
	case inTx && !cmd.Commit:
		ans.Fault, ans.Status = core.FaultAborted, core.TxFailed
	case isTimeout(err):
		ans.Fault, ans.Text = core.FaultTimeout, "no answer within the statement's time"
	}
	return ans
}

// copyBody copies the answer's body, since the connection reuses its memory once it is free.
func (r *Relay) copyBody(ans core.Answer) core.Answer {
	if ans.Body != nil {
		ans.Body, r.body = copyBody(r.body, ans.Body)
	}
	return ans
}
