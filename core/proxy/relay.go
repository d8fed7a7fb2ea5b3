package proxy

import (
	"context"
	"time"

	"snipewall/core"
	"snipewall/core/queue"
)

// Relay runs the commands of another entry VM on an upstream that this one owns. It is used by one
// goroutine at a time.
type Relay struct {
	n *node
	// state holds the values of the other VM's session.
	state Session
	// prepared are the shapes by their name on upstream connections.
	prepared map[string]shape
	held     *held
	// refused tells that BEGIN was refused and nothing runs before ROLLBACK.
	refused bool
	body    []byte
}

// OpenRelay returns a relay to the upstream and the upstream's last known position, or false if the
// upstream isn't known here or accepts no connection of this VM.
func (p *Proxy) OpenRelay(id core.UpstreamID) (*Relay, core.Position, bool) {
	n := p.owned(id)
	if n == nil || !n.mayLend() {
		return nil, core.Position{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return &Relay{n: n}, n.position, true
}

// owned returns a node that reaches the upstream directly. VMs that disagree about the owner may send
// work to one that isn't; it serves it as an owner would.
func (p *Proxy) owned(id core.UpstreamID) *node {
	p.reconciling.Lock()
	defer p.reconciling.Unlock()
	p.mu.Lock()
	n, spare := p.nodes[id], p.spare[id]
	p.mu.Unlock()
	if n == nil || !n.path.isIndirect() {
		return n
	}
	if spare != nil {
		return spare
	}
	u := *n.info.Load()
	connections := p.cfg.Directory.Snapshot().Config.Groups[u.Group].Connections
	spare = p.newNode(p.ctx, n.group, u, ownerPath(connections))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spare[id] = spare
	return spare
}

// Close rolls back what is open.
func (r *Relay) Close() { r.rollback() }

// Pause gives back the slot of a transaction whose next statement hasn't arrived.
func (r *Relay) Pause() {
	if r.held != nil {
		r.held.releaseSlot(false)
	}
}

// Execute runs one command until the deadline.
func (r *Relay) Execute(ctx context.Context, cmd core.Command, deadline time.Time) core.Answer {
	switch cmd.Op {
	case core.OpReset:
		r.state.values, r.state.valueKey, r.prepared = nil, "", nil
	case core.OpSet:
		r.state.set(cmd.Name, cmd.Text)
	case core.OpPrepare:
		if r.prepared == nil {
			r.prepared = make(map[string]shape)
		}
		r.prepared[cmd.Name] = shape{write: cmd.Write, text: cmd.Text}
	case core.OpRollback:
		r.rollback()
		r.refused = false
	case core.OpBegin, core.OpBeginRead:
		return r.begin(ctx, cmd, deadline)
	default:
		if r.refused {
			return core.Answer{Fault: core.FaultMalformed, Text: "the transaction wasn't opened", Status: core.TxFailed}
		}
		return r.run(ctx, cmd, deadline)
	}
	return core.Answer{Status: r.status()}
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
	h.recycle(core.TxOpen, core.FaultNone)
}

// begin opens a transaction and keeps its connection, and its slot until Pause.
func (r *Relay) begin(ctx context.Context, cmd core.Command, deadline time.Time) core.Answer {
	r.rollback()
	r.refused = true
	h, refused := r.connect(ctx, cmd, deadline)
	if refused != nil {
		return core.Answer{Fault: refused.Fault, Text: refused.Text, Status: core.TxFailed}
	}
	cmds := append(h.handle.Value.align(&r.state, nil), cmd)
	ans, err := h.exchange(cmds, deadline)
	if err != nil {
		r.n.noteFailure(h.handle.Value)
		h.drop()
		return core.Answer{Fault: core.FaultBusy, Text: "the upstream doesn't answer", Status: core.TxFailed}
	}
	r.n.notePosition(ans.Position)
	if ans.Fault != core.FaultNone {
		h.recycle(ans.Status, ans.Fault)
		ans.Status = core.TxFailed
		return ans
	}
	r.held, r.refused = h, false
	return r.keep(ans)
}

// connect takes a connection for a transaction, with a slot unless the transaction only asks who
// leads: that takes no slot of the upstream.
func (r *Relay) connect(ctx context.Context, cmd core.Command, deadline time.Time) (*held, *Reply) {
	if cmd.Kind != "" {
		return r.n.acquire(ctx, &queue.Item{Kind: cmd.Kind, Rank: cmd.Rank, OpensTx: true, Deadline: startBy(cmd, deadline)}, r.n.getDirect)
	}
	handle, err := r.n.getDirect(ctx, deadline)
	if err != nil {
		return nil, &Reply{Fault: core.FaultOverload, Text: "no connection to the upstream in time"}
	}
	return &held{node: r.n, handle: handle}, nil
}

// startBy is until when the command may wait. Beyond it, its caller is served better by a refusal, which
// has to arrive before the caller's VM gives up, as the outcome would be unknown then.
func startBy(cmd core.Command, deadline time.Time) time.Time {
	if cmd.StartBy.IsZero() {
		return deadline
	}
	return cmd.StartBy
}

// run passes a caller's statement on.
func (r *Relay) run(ctx context.Context, cmd core.Command, deadline time.Time) core.Answer {
	var sh *shape
	if cmd.Op == core.OpExecute {
		s, ok := r.prepared[cmd.Name]
		if !ok {
			return core.Answer{Fault: core.FaultUnprepared, Text: "no such prepared statement", Status: r.status()}
		}
		sh = &s
	}
	h, refused := r.admit(ctx, cmd, deadline)
	if refused != nil {
		return core.Answer{Fault: refused.Fault, Text: refused.Text, Status: r.status()}
	}
	cmds := append(h.handle.Value.align(&r.state, sh), cmd)
	sent := time.Now()
	ans, err := h.exchange(cmds, deadline)
	if err != nil {
		r.n.noteFailure(h.handle.Value)
		return r.lost(h, cmd, err)
	}
	now := time.Now()
	r.n.noteAnswer(now, now.Sub(sent), ans.Position)
	ans = r.keep(ans)
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

// admit takes a slot, and a connection unless a transaction holds one.
func (r *Relay) admit(ctx context.Context, cmd core.Command, deadline time.Time) (*held, *Reply) {
	if r.held == nil {
		return r.n.acquire(ctx, &queue.Item{Kind: cmd.Kind, Rank: cmd.Rank, Deadline: startBy(cmd, deadline)}, r.n.getDirect)
	}
	if r.held.slot != nil {
		return r.held, nil
	}
	return r.held, r.held.admit(ctx, &queue.Item{Kind: cmd.Kind, Rank: cmd.Rank, InTx: true, Deadline: startBy(cmd, deadline)})
}

// lost answers a statement whose connection failed: a transaction that wasn't asked to commit is
// rolled back, anything else may have run.
func (r *Relay) lost(h *held, cmd core.Command, err error) core.Answer {
	inTx := r.held != nil
	r.held = nil
	h.drop()
	ans := core.Answer{Fault: core.FaultInDoubt, Text: "the upstream broke off", Status: core.TxIdle}
	switch {
	case inTx && !cmd.Commit:
		ans.Fault, ans.Status = core.FaultAborted, core.TxFailed
	case isTimeout(err):
		ans.Fault, ans.Text = core.FaultTimeout, "no answer within the statement's time"
	}
	return ans
}

// keep copies the answer's body, which the connection may use again once it is free.
func (r *Relay) keep(ans core.Answer) core.Answer {
	if ans.Body != nil {
		r.body = append(r.body[:0], ans.Body...)
		ans.Body = r.body
	}
	return ans
}
