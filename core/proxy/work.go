package proxy

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"snipewall/core"
	"snipewall/core/pool"
	"snipewall/core/queue"
	"snipewall/core/topo"
)

const (
	// outageHold is how long a group may have been without a primary while statements still wait for
	// the next one. A promotion usually takes less than this; after it they are refused at once.
	outageHold = 3 * time.Second
	// retryPause is the wait before another try when the first one failed at once.
	retryPause = 10 * time.Millisecond
	// hedgeFactor and hedgeLeast say when the answer to a read counts as lost, as a multiple of the
	// usual answer time and at least.
	hedgeFactor = 5
	hedgeLeast  = 150 * time.Millisecond
	// indexTime limits a read index: a few round trips between regions.
	indexTime = 150 * time.Millisecond
	// startShare is the part of a statement's time in which it has to get a slot.
	startShare = 0.45
	// maxTries limits the upstreams that are tried for one statement.
	maxTries = 6
	// endTime limits the answer to ROLLBACK and similar statements that take no slot.
	endTime = time.Second
)

// work is one statement on its way to an upstream.
type work struct {
	st    *Statement
	route topo.Route
	group *group
	// shape is the prepared statement of an EXECUTE.
	shape *shape
	write bool
	// seen is the instant after the request was read; reads only.
	seen     core.Instant
	began    time.Time
	deadline time.Time
	// startBy is until when the statement may wait for a slot and a connection. Beyond about half of
	// its time the caller is served better by trying another VM than by waiting here.
	startBy time.Time
	// tried are upstreams that failed the statement.
	tried []*node
	tries int
	// indexed tells that the primary was asked for its position.
	indexed bool
	// last is why the last try failed.
	last Reply
}

// newWork looks up what the statement needs, or returns the fault that ends it.
func (s *Session) newWork(st *Statement, began time.Time) (*work, *Reply) {
	route, ok := s.p.cfg.Directory.Snapshot().Route(s.database)
	if !ok {
		return nil, &Reply{Fault: core.FaultNoDatabase, Text: "no such database"}
	}
	w := &work{st: st, route: route, group: s.p.group(route.Group), began: began, deadline: began.Add(route.StatementTimeout)}
	w.startBy = began.Add(time.Duration(startShare * float64(route.StatementTimeout)))
	w.write = st.Verb == VerbWrite
	if st.Verb == VerbExecute {
		sh, ok := s.prepared[st.Name]
		if !ok {
			return nil, &Reply{Fault: core.FaultUnprepared, Text: "no such prepared statement"}
		}
		w.shape, w.write = &sh, sh.write
	}
	if !w.write {
		w.seen = s.p.cfg.Now()
	}
	s.p.budget.Deposit()
	return w, nil
}

// command returns the statement for an upstream.
func (w *work) command(await core.Position) core.Command {
	c := w.stamp(core.Command{Op: core.OpForward, ID: w.st.ID, Text: w.st.Text, Await: await, Commit: w.st.Verb == VerbCommit})
	if w.shape != nil {
		c.Op, c.Name, c.Text = core.OpExecute, w.shape.name(), w.st.Arg
	}
	return c
}

// stamp adds what an owner needs to queue the command.
func (w *work) stamp(c core.Command) core.Command {
	c.Kind, c.Rank = core.Kind(w.route.Database), w.route.Rank
	c.StartBy, c.Deadline = w.startBy, w.deadline
	return c
}

// target is where a statement is sent and what it has to prove there.
type target struct {
	node *node
	// strict asks for a proof of leadership before the statement runs.
	strict bool
	await  core.Position
}

// place chooses the upstream. It returns false if none can serve the statement now.
func (s *Session) place(ctx context.Context, w *work, strict bool) (target, bool) {
	now := time.Now()
	primary := w.group.primary(now)
	if w.write || strict || w.route.Reads == topo.Strict {
		return target{node: primary, strict: !w.write}, primary != nil
	}
	await, ok := w.group.fresh.MinPosition(w.seen.Add(-w.route.MaxAge))
	if !ok && !w.indexed && primary != nil {
		w.indexed = true
		await, ok = s.readIndex(ctx, primary)
	}
	if !ok || (s.strictOwn && w.route.Reads == topo.ReadYourWrites) {
		return target{node: primary, strict: true}, primary != nil
	}
	if w.route.Reads == topo.ReadYourWrites && await.Less(s.own) {
		await = s.own
	}
	if n := w.replica(now, await); n != nil {
		return target{node: n, await: await}, true
	}
	// No upstream has the position, or none that has it answers: the primary always has it.
	w.tried = nil
	return target{node: primary, strict: true}, primary != nil
}

// readIndex asks the primary for its position, which takes no slot, so that the read can run on a
// replica.
func (s *Session) readIndex(ctx context.Context, primary *node) (core.Position, bool) {
	at, err := primary.ask(ctx, time.Now().Add(indexTime))
	return at.Log, err == nil && at.Leads
}

// replica returns the upstream with the earliest expected answer of those that weren't tried, or nil.
func (w *work) replica(now time.Time, await core.Position) *node {
	nodes := *w.group.nodes.Load()
	var cands []candidate
	var from []*node
	for _, n := range nodes {
		if slices.Contains(w.tried, n) || n.info.Load().Leaving {
			continue
		}
		cands, from = append(cands, n.view(now, await)), append(from, n)
	}
	if i := cheapest(cands); i >= 0 {
		return from[i]
	}
	return nil
}

// retryIn waits for another try and reports whether there is time for one.
func (s *Session) retryIn(ctx context.Context, w *work, pause time.Duration) bool {
	w.tries++
	if w.tries > maxTries && pause == 0 {
		return false
	}
	now := time.Now()
	if now.Add(pause).After(w.startBy) {
		return false
	}
	s.p.metrics.retries.Inc(1)
	if pause == 0 {
		return true
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-s.p.Changed():
	}
	return true
}

// reserve is the part of the statement's time that is kept for running it.
func (w *work) reserve() time.Duration { return w.route.StatementTimeout / 8 }

// awaitPrimary waits for a primary, unless the group has been without one for so long that the wait
// is likely to be in vain.
func (s *Session) awaitPrimary(ctx context.Context, w *work) bool {
	if w.group.outage(time.Now()) > outageHold {
		return false
	}
	changed := s.p.Changed()
	left := time.Until(w.deadline) - w.reserve()
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-changed:
	}
	// The statement waited for the group, not in a queue.
	w.startBy = w.deadline.Add(-w.reserve())
	return true
}

// held is a connection with a slot of its upstream's queue.
type held struct {
	node   *node
	handle *pool.Handle[*conn]
	slot   *queue.Slot
	// opens tells that the queue counts an open transaction.
	opens bool
}

// getter takes a connection, waiting at most until the deadline.
type getter func(ctx context.Context, deadline time.Time) (*pool.Handle[*conn], error)

// acquire takes a slot and then a connection.
func (s *Session) acquire(ctx context.Context, w *work, n *node, opens bool) (*held, *Reply) {
	it := &queue.Item{Kind: core.Kind(s.database), Rank: w.route.Rank, OpensTx: opens, Deadline: w.startBy}
	return n.acquire(ctx, it, n.get)
}

// acquire takes a slot and then a connection, both until the item's deadline.
func (n *node) acquire(ctx context.Context, it *queue.Item, get getter) (*held, *Reply) {
	h := &held{node: n}
	if refused := h.admit(ctx, it); refused != nil {
		return nil, refused
	}
	h.opens = it.OpensTx
	var err error
	if h.handle, err = get(ctx, it.Deadline); err == nil {
		return h, nil
	}
	h.releaseSlot(false)
	h.endTx()
	if atLimit(err) {
		return nil, &Reply{Fault: core.FaultOverload, Text: "the upstream is at its connection limit"}
	}
	return nil, &Reply{Fault: core.FaultBusy, Text: "no connection to the upstream in time"}
}

// admit takes a slot of the upstream's queue.
func (h *held) admit(ctx context.Context, it *queue.Item) *Reply {
	n := h.node
	n.pending.Add(1)
	slot, err := n.queue.Acquire(ctx, it)
	if err != nil {
		n.pending.Add(-1)
		n.p.metrics.refusals.Inc(1)
		var refusal *queue.Refusal
		return &Reply{Fault: core.FaultBusy, Text: refusalText(err), overloaded: errors.As(err, &refusal) && refusal.RetryAfter > 0}
	}
	h.slot = slot
	return nil
}

// refusalText tells a caller when to come back.
func refusalText(err error) string {
	var refusal *queue.Refusal
	if !errors.As(err, &refusal) {
		return err.Error()
	}
	if refusal.RetryAfter <= 0 {
		return refusal.Reason
	}
	return refusal.Reason + "; retry after " + refusal.RetryAfter.Round(time.Millisecond).String()
}

func (h *held) releaseSlot(ran bool) {
	if h.slot == nil {
		return
	}
	h.slot.Release(ran)
	h.slot = nil
	h.node.pending.Add(-1)
}

func (h *held) endTx() {
	if h.opens {
		h.node.queue.EndTx()
		h.opens = false
	}
}

// free returns the connection and the slot.
func (h *held) free(ran bool) {
	h.releaseSlot(ran)
	h.endTx()
	put(h.handle)
}

// isUnserved reports whether another VM refused the statement since it has no connection. The next one
// asks somebody else.
func (h *held) isUnserved(fault core.Fault) bool {
	return fault == core.FaultOverload && h.handle.Value.owner != ""
}

// settle frees what the answered statement held.
func (h *held) settle(fault core.Fault) {
	if h.isUnserved(fault) {
		h.drop()
		return
	}
	h.free(fault == core.FaultNone)
}

// recycle returns a connection whose BEGIN was refused. It ends a transaction that failed that way.
func (h *held) recycle(status core.TxStatus, fault core.Fault) {
	if h.isUnserved(fault) {
		h.drop()
		return
	}
	if status != core.TxIdle {
		if _, err := h.setUp([]core.Command{{Op: core.OpRollback}}, time.Now().Add(endTime)); err != nil {
			h.drop()
			return
		}
	}
	h.free(false)
}

// drop closes the connection, which rolls back what is open on it.
func (h *held) drop() {
	h.releaseSlot(false)
	h.endTx()
	h.handle.Discard()
}

// setUp sends the commands and reads their answers. It returns the first fault.
func (h *held) setUp(cmds []core.Command, deadline time.Time) (core.Answer, error) {
	return setUp(h.handle.Value, cmds, deadline)
}

func setUp(c *conn, cmds []core.Command, deadline time.Time) (core.Answer, error) {
	if err := c.Send(cmds); err != nil {
		return core.Answer{}, err
	}
	return receive(c, len(cmds), deadline)
}

// receive reads n answers and returns the first with a fault, otherwise the last that tells a
// position.
func receive(c *conn, n int, deadline time.Time) (core.Answer, error) {
	var out core.Answer
	for range n {
		ans, err := c.Receive(deadline)
		if err != nil {
			return core.Answer{}, err
		}
		if out.Fault == core.FaultNone && (ans.Fault != core.FaultNone || !ans.Position.IsZero() || out.Position.IsZero()) {
			out = ans
		}
	}
	return out, nil
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
