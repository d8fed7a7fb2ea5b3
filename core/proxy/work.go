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
	// maxOutageWait is how long a group may have been without a primary while statements still wait for
	// the next one. A promotion usually takes less; after this time they are refused immediately.
	maxOutageWait = 3 * time.Second
	// retryDelay is the wait before a retry if the first try failed immediately.
	retryDelay = 10 * time.Millisecond
	// hedgeLatencyFactor and minHedgeDelay define when a read is retried on another upstream: after
	// this multiple of the average latency plus two round trips, but not before the minimum.
	hedgeLatencyFactor = 5
	minHedgeDelay      = 150 * time.Millisecond
	// readIndexTimeout limits a read index request: a few round trips between regions.
	readIndexTimeout = 150 * time.Millisecond
	// startTimeShare is the share of the statement timeout in which a statement has to get a slot.
	startTimeShare = 0.45
	// runReserveDivisor divides the time for a statement to get the part that is kept for running it.
	runReserveDivisor = 8
	// maxRetriesInRow limits the retries of one statement without a pause between them.
	maxRetriesInRow = 6
	// rollbackTimeout limits the wait for the answer to ROLLBACK, which takes no slot.
	rollbackTimeout = time.Second
)

// Reasons of faults that callers get because of the group's permit.
const (
	textReplaced     = "the primary is being replaced"
	textOtherMayLead = "another upstream may lead since"
	textNoMemory     = "the entry VM has no memory for the answer"
)

// work is the execution of one statement.
type work struct {
	st    *Statement
	route topo.Route
	group *group
	// prepared is the prepared statement of an EXECUTE.
	prepared *preparedStmt
	write    bool
	// organisation is the one on whose behalf the statement runs.
	organisation core.OrganisationID
	// receivedAt is an instant after the statement was received; set for reads only.
	receivedAt core.Instant
	began      time.Time
	deadline   time.Time
	// startBy is the time until which the statement may wait for a slot and a connection. After about
	// half of its time, the caller is served better by trying another VM than by waiting here.
	startBy time.Time
	// tried are the upstreams on which the statement failed, and declined those that refused it only because another
	// one would serve it sooner.
	tried, declined []*node
	// retriesInRow is the number of immediate retries since the last pause.
	retriesInRow int
	// readIndexRequested is set if the primary was asked for its position.
	readIndexRequested bool
	// lastReply is the result of the last failed try.
	lastReply Reply
}

// newWork looks up what the statement needs, or returns the fault that ends it.
func (s *Session) newWork(st *Statement, began time.Time) (*work, *Reply) {
	route, ok := s.route()
	if !ok {
		return nil, &Reply{Fault: core.FaultNoDatabase, Text: "no such database"}
	}
	organisation, fault := s.p.identify(route, s.key)
	if fault != core.FaultNone {
		return nil, &Reply{Fault: fault, Text: textNotIdentified[fault]}
	}
	if s.tx != nil && s.tx.held != nil && s.tx.organisation != organisation {
		return nil, &Reply{Fault: core.FaultAborted, Text: "the key belongs to another organisation since"}
	}
	w := &work{st: st, route: route, organisation: organisation, group: s.p.group(route.Group), began: began, deadline: began.Add(route.StatementTimeout)}
	w.startBy = began.Add(startTime(route, s.tx != nil))
	w.write = st.Verb == VerbWrite
	if st.Verb == VerbExecute {
		ps, ok := s.prepared[st.Name]
		if !ok {
			return nil, &Reply{Fault: core.FaultUnprepared, Text: "no such prepared statement"}
		}
		if s.p.isLong(len(st.ID)+len(st.Text)) || s.p.isLong(len(ps.text)) {
			ps.name = shortName
		}
		w.prepared, w.write = &ps, ps.write
	}
	if !w.write {
		w.receivedAt = s.p.cfg.Now()
	}
	s.p.budget.Deposit()
	return w, nil
}

// startTime returns the time in which a statement has to get a slot: a share of the statement timeout, so that a caller that
// is refused has time for another try, but no more than its objective leaves after the time for running it. The statements
// of a transaction share the objective.
func startTime(route topo.Route, inTx bool) time.Duration {
	limit := time.Duration(startTimeShare * float64(route.StatementTimeout))
	switch {
	case route.Objective <= 0:
		return limit
	case inTx:
		return min(limit, time.Duration(startTimeShare*float64(route.Objective)))
	}
	return min(limit, route.Objective-route.Objective/runReserveDivisor)
}

// textNotIdentified explains why a caller wasn't identified.
var textNotIdentified = map[core.Fault]string{
	core.FaultUnauthorized: "the key is unknown or was withdrawn",
	core.FaultBusy:         "the entry VM can't tell whether keys were withdrawn",
}

// identify returns the organisation on whose behalf a caller with the key works.
func (p *Proxy) identify(route topo.Route, key topo.KeyDigest) (core.OrganisationID, core.Fault) {
	if p.cfg.Keys == nil {
		return "", core.FaultNone
	}
	return p.cfg.Keys.Identify(route, key)
}

// checkQuota counts the operation against the limit of its organisation, and returns the refusal if it is beyond it.
func (s *Session) checkQuota(ctx context.Context, w *work) *Reply {
	if s.p.cfg.Quota == nil || w.organisation == "" {
		return nil
	}
	retryAfter, ok := s.p.cfg.Quota(ctx, w.organisation, w.startBy)
	if ok {
		return nil
	}
	s.p.metrics.overQuota.Inc(1)
	s.p.logDecision("operation over the limit", "Request", w.st.ID, "Organisation", w.organisation, "RetryMs", retryAfter.Milliseconds())
	text := "the organisation is at its limit"
	if retryAfter > 0 {
		text += "; retry after " + retryAfter.Round(time.Millisecond).String()
	}
	return &Reply{Fault: core.FaultBusy, Text: text, overloaded: true}
}

// route returns the route of the open transaction, or the present one.
func (s *Session) route() (topo.Route, bool) {
	if s.tx == nil {
		return s.p.cfg.Directory.Snapshot().Route(s.database)
	}
	if s.tx.route == nil {
		return topo.Route{}, false
	}
	return *s.tx.route, true
}

// command returns the statement as a command for the upstream.
func (w *work) command(await core.Position) core.Command {
	c := w.withQueueing(core.Command{Op: core.OpForward, ID: w.st.ID, Text: w.st.Text, Await: await, Commit: w.st.Verb == VerbCommit})
	if w.prepared != nil {
		c.Op, c.Name, c.Text = core.OpExecute, w.prepared.name, w.st.Arg
	}
	return c
}

// withQueueing adds what an owner needs to queue the command.
func (w *work) withQueueing(c core.Command) core.Command {
	c.Kind, c.Rank = core.Kind(w.route.Database), w.route.Rank
	c.StartBy, c.Deadline = w.startBy, w.deadline
	c.Organisation = w.organisation
	if c.Op == core.OpBegin {
		c.MaxAge = w.route.MaxAge
	}
	return c
}

// target is the upstream chosen for a statement, and the condition under which the statement may run
// there.
type target struct {
	node *node
	// strict asks for a proof of leadership before the statement runs.
	strict bool
	// await is the position that the upstream must have; zero if none is required.
	await core.Position
	// patience is how long the statement may wait for a slot before another upstream is better; 0 means no such limit.
	patience time.Duration
}

// chooseTarget chooses the upstream. It returns false if none can serve the statement now.
func (s *Session) chooseTarget(ctx context.Context, w *work, strict bool) (target, bool) {
	now := time.Now()
	primary := w.group.primary(now)
	if w.write || strict || w.route.Reads == topo.Strict {
		return target{node: primary, strict: !w.write}, primary != nil
	}
	await, ok := w.group.fresh.MinPosition(w.receivedAt.Add(-w.route.MaxAge))
	if !ok && !w.readIndexRequested && primary != nil {
		w.readIndexRequested = true
		await, ok = s.readIndex(ctx, primary, w.route.MaxAge)
		// Another VM may have told a sample that is older, so that more replicas have it.
		if sampled, found := w.group.fresh.MinPosition(w.receivedAt.Add(-w.route.MaxAge)); found {
			await, ok = sampled, true
		}
	}
	if !ok || (s.lastCommitUnknown && w.route.Reads == topo.ReadYourWrites) {
		return target{node: primary, strict: true}, primary != nil
	}
	if w.route.Reads == topo.ReadYourWrites && await.Less(s.lastCommit) {
		await = s.lastCommit
	}
	if n, patience := s.cheapestUntried(w, now, await); n != nil {
		return target{node: n, await: await, patience: patience}, true
	}
	// No upstream that answers has the position. The primary always has it.
	w.tried = nil
	return target{node: primary, strict: true}, primary != nil
}

// readIndex asks the primary for its position, which takes no slot, so that the read can run on a
// replica. It returns false if the primary doesn't tell its position.
func (s *Session) readIndex(ctx context.Context, primary *node, maxAge time.Duration) (core.Position, bool) {
	res, err := primary.probePooled(ctx, probeRequest{deadline: time.Now().Add(readIndexTimeout), maxAge: maxAge})
	return res.Log, err == nil && res.Leads && !res.Log.IsZero()
}

// cheapestUntried returns the node with the lowest estimated cost that was not tried yet, or nil, and how long the
// statement may wait there. One that has declined it may be the best one nevertheless, and is then waited for.
func (s *Session) cheapestUntried(w *work, now time.Time, await core.Position) (*node, time.Duration) {
	nodes := *w.group.nodes.Load()
	var cands []candidate
	var from []*node
	for _, n := range nodes {
		if slices.Contains(w.tried, n) || n.info.Load().Leaving {
			continue
		}
		cands, from = append(cands, n.asCandidate(now, w, await)), append(from, n)
	}
	assumeRun(cands)
	i, patience := cheapest(cands)
	if i < 0 {
		return nil, 0
	}
	if slices.Contains(w.declined, from[i]) {
		patience = 0
	}
	if from[i].info.Load().FailureDomain != s.p.cfg.Self.FailureDomain {
		s.p.metrics.crossings.Inc(1)
	}
	return from[i], patience
}

// mayRetryAt reports whether the statement may be retried at that time.
func (w *work) mayRetryAt(at time.Time) bool {
	return w.retriesInRow < maxRetriesInRow && !at.After(w.startBy)
}

// waitForRetry waits before a retry and reports whether there is time for one.
func (s *Session) waitForRetry(ctx context.Context, w *work, pause time.Duration) bool {
	if pause > 0 {
		w.retriesInRow = 0
	}
	if !w.mayRetryAt(time.Now().Add(pause)) {
		return false
	}
	if pause == 0 {
		w.retriesInRow++
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

// runReserve is the part of the statement timeout that is kept for running the statement.
func (w *work) runReserve() time.Duration { return w.route.StatementTimeout / runReserveDivisor }

// awaitPrimary waits for a change such as a new primary, and reports whether to try again. The channel is that of the
// changes since before the nodes were looked at. It doesn't wait if the group has been without a primary for longer than
// maxOutageWait.
func (s *Session) awaitPrimary(ctx context.Context, w *work, changed <-chan struct{}) bool {
	if w.group.noteOutage(time.Now()) > maxOutageWait {
		return false
	}
	left := time.Until(w.deadline) - w.runReserve()
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
	// The wait was for a primary, not for a slot, so the limit for slots is extended.
	w.startBy = w.deadline.Add(-w.runReserve())
	return true
}

// heldConn is a connection in use, with a slot of its upstream's queue unless slot is nil.
type heldConn struct {
	node   *node
	handle *pool.Handle[*conn]
	slot   *queue.Slot
	// epoch is that of the group's permit when the work started, if it needs the primary.
	epoch core.Version
	// opensTx is set if the queue counts an open transaction for it.
	opensTx bool
}

// getter takes a connection, waiting at most until the deadline.
type getter func(ctx context.Context, label string, deadline time.Time) (*pool.Handle[*conn], error)

func (s *Session) acquire(ctx context.Context, w *work, t target, opensTx bool) (*heldConn, *Reply) {
	it := &queue.Item{Kind: core.Kind(s.database), Rank: w.route.Rank, OpensTx: opensTx, Patience: t.patience, KeepFree: t.node.keptSlots(), Deadline: w.startBy}
	n := t.node
	return n.acquire(ctx, it, demand{s, w.prepared, s.p.label(w.organisation)}, n.get)
}

// demand is what a statement needs of its connection.
type demand struct {
	// s holds the session values, and ps is the prepared statement, nil for none. Another connection can be set up for them.
	s  *Session
	ps *preparedStmt
	// label is the label that the connection must have.
	label string
}

// acquire takes a slot and then a connection with the label, waiting at most until the item's deadline.
func (n *node) acquire(ctx context.Context, it *queue.Item, d demand, get getter) (*heldConn, *Reply) {
	h := &heldConn{node: n}
	if refused := h.admit(ctx, it); refused != nil {
		return nil, refused
	}
	h.opensTx = it.OpensTx
	var ok bool
	if h.handle, ok = n.tryGetSetUp(d.s, d.ps, d.label); ok {
		return h, nil
	}
	var err error
	if h.handle, err = get(ctx, d.label, it.Deadline); err == nil {
		return h, nil
	}
	h.releaseSlot(false)
	h.endTx()
	if isAtLimit(err) {
		return nil, &Reply{Fault: core.FaultOverload, Text: "the upstream is at its connection limit"}
	}
	return nil, &Reply{Fault: core.FaultBusy, Text: "no connection to the upstream in time"}
}

// admit takes a slot of the upstream's queue.
func (h *heldConn) admit(ctx context.Context, it *queue.Item) *Reply {
	n := h.node
	n.pending.Add(1)
	slot, err := n.queue.Acquire(ctx, it)
	if err != nil {
		n.pending.Add(-1)
		n.p.metrics.refusals.Inc(1)
		var refusal *queue.Refusal
		r := &Reply{Fault: core.FaultBusy, Text: refusalText(err)}
		if errors.As(err, &refusal) {
			r.declined = refusal.IsDeclined
			r.overloaded = refusal.RetryAfter > 0 && !refusal.IsDeclined
		}
		if r.declined {
			n.p.metrics.declined.Inc(1)
		}
		return r
	}
	h.slot = slot
	return nil
}

// refusalText tells a caller when to retry.
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

// mayStart reports whether work that needs the primary may start on the connection.
func (h *heldConn) mayStart() bool {
	g := h.node.group
	if g.permits == nil {
		return true
	}
	epoch, ok := g.permits.Admits(g.id)
	h.epoch = epoch
	return ok && !g.isDeposed(h.node.id())
}

// isCovered reports whether what the primary answered before this call is valid: no other upstream can have begun to
// lead since the work started.
func (h *heldConn) isCovered() bool {
	g := h.node.group
	return g.permits == nil || g.permits.Covers(g.id, h.epoch)
}

func (h *heldConn) releaseSlot(ran bool) {
	if h.slot == nil {
		return
	}
	h.slot.Release(ran)
	h.slot = nil
	h.node.pending.Add(-1)
}

func (h *heldConn) endTx() {
	if h.opensTx {
		h.node.queue.EndTx()
		h.opensTx = false
	}
}

// free releases the slot and returns the connection to its pool.
func (h *heldConn) free(ran bool) {
	h.releaseSlot(ran)
	h.endTx()
	h.node.put(h.handle)
}

// isRelayRefusal reports whether another VM refused the statement because it has no connection. The
// next statement must use another VM.
func (h *heldConn) isRelayRefusal(fault core.Fault) bool {
	return fault == core.FaultOverload && h.handle.Value.owner != ""
}

// freeAfter releases the slot and the connection after an answer with the fault.
func (h *heldConn) freeAfter(fault core.Fault) {
	if h.isRelayRefusal(fault) {
		h.discard()
		return
	}
	h.free(fault == core.FaultNone)
}

// rollbackAndFree rolls back a transaction, or what a refused BEGIN left, and releases the slot and the
// connection. A connection without a transaction gets no ROLLBACK.
func (h *heldConn) rollbackAndFree(fault core.Fault) {
	c := h.handle.Value
	if h.isRelayRefusal(fault) || !c.isKnown() {
		h.discard()
		return
	}
	if c.status != core.TxIdle {
		if _, err := c.exchange([]core.Command{{Op: core.OpRollback}}, time.Now().Add(rollbackTimeout)); err != nil {
			h.discard()
			return
		}
	}
	h.free(false)
}

// discard releases the slot and closes the connection, which rolls an open transaction back.
func (h *heldConn) discard() {
	h.releaseSlot(false)
	h.endTx()
	h.handle.Discard()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
