package proxy

import (
	"context"
	"time"

	"snipewall/core"
	"snipewall/core/queue"
	"snipewall/core/topo"
)

// tx is a caller's transaction. It holds an upstream connection from its first statement on.
type tx struct {
	readOnly bool
	failed   bool
	// route is the route at BEGIN: a change of a route applies from the next transaction on. It is nil if there was none.
	route *topo.Route
	// abortReason is the reason of an abort until a statement has reported it.
	abortReason string
	held        *heldConn
	// organisation is the one that the connection belongs to.
	organisation core.OrganisationID
	wrote        bool
}

// rollback rolls the transaction back on the upstream and releases its connection.
func (s *Session) rollback() {
	if s.tx == nil || s.tx.held == nil {
		return
	}
	h := s.tx.held
	s.tx.held = nil
	h.rollbackAndFree(core.FaultNone)
}

// endTx ends the open transaction, if there is one, without a commit.
func (s *Session) endTx() {
	s.rollback()
	s.tx = nil
}

func (s *Session) runTx(ctx context.Context, w *work) Reply {
	if w.write && s.tx.readOnly {
		return s.failTx(w.st, Reply{Fault: core.FaultReadOnly, Text: "the transaction is read-only"})
	}
	if s.tx.held == nil {
		if r := s.beginTx(ctx, w); r != nil {
			return s.failTx(w.st, *r)
		}
	} else if r := s.readmit(ctx, w); r != nil {
		return s.failTx(w.st, *r)
	}
	for {
		reply, retry := s.sendInTx(w)
		if !retry || !s.waitForRetry(ctx, w, retryDelay) {
			if s.tx != nil && s.tx.held != nil {
				s.tx.held.releaseSlot(reply.Fault == core.FaultNone)
			}
			if reply.Fault != core.FaultNone {
				return s.failTx(w.st, reply)
			}
			return reply
		}
	}
}

// failTx rolls the transaction back and marks it as failed. A failed COMMIT ends it.
func (s *Session) failTx(st *Statement, r Reply) Reply {
	if s.tx == nil {
		return r
	}
	if st.Verb == VerbCommit {
		s.endTx()
		return r
	}
	return s.fail(r)
}

// readmit takes a slot for a further statement of the transaction.
func (s *Session) readmit(ctx context.Context, w *work) *Reply {
	return s.tx.held.admit(ctx, &queue.Item{
		Kind: core.Kind(s.database), Rank: w.route.Rank, InTx: true, Deadline: w.startBy,
	})
}

// beginTx opens the transaction on an upstream before its first statement.
func (s *Session) beginTx(ctx context.Context, w *work) *Reply {
	if refused := s.checkQuota(ctx, w); refused != nil {
		return refused
	}
	for {
		changed := s.p.Changed()
		t, ok := s.chooseTxTarget(ctx, w)
		if !ok {
			w.lastReply = Reply{Fault: core.FaultBusy, Text: "the group has no primary now"}
			if !s.awaitPrimary(ctx, w, changed) {
				return &w.lastReply
			}
			continue
		}
		refused := s.beginOn(ctx, w, t)
		if refused == nil {
			return nil
		}
		w.lastReply = *refused
		if refused.overloaded && t.strict {
			return &w.lastReply
		}
		pause := time.Duration(0)
		switch {
		case refused.declined:
			w.declined = append(w.declined, t.node)
		case !s.tx.readOnly || t.strict:
			pause = 5 * retryDelay
			w.tried = append(w.tried, t.node)
		default:
			w.tried = append(w.tried, t.node)
		}
		if !s.waitForRetry(ctx, w, pause) {
			return &w.lastReply
		}
	}
}

func (s *Session) chooseTxTarget(ctx context.Context, w *work) (target, bool) {
	if !s.tx.readOnly {
		n := w.group.primary(time.Now())
		return target{node: n, strict: true}, n != nil
	}
	if w.receivedAt == 0 {
		w.receivedAt = s.p.cfg.Now()
	}
	return s.chooseTarget(ctx, w, false)
}

// beginOn takes a connection and opens the transaction on it. A strict transaction is opened with a
// plain BEGIN, which only a leading primary accepts; any other one awaits its position.
func (s *Session) beginOn(ctx context.Context, w *work, t target) *Reply {
	h, refused := s.acquire(ctx, w, t, true)
	if refused != nil {
		return refused
	}
	if t.strict && !h.mayStart() {
		h.free(false)
		return &Reply{Fault: core.FaultBusy, Text: textReplaced}
	}
	requestedAt := s.p.cfg.Now()
	cmds := h.handle.Value.setUpCommands(s, nil)
	if t.strict {
		cmds = append(cmds, w.withQueueing(core.Command{Op: core.OpBegin}))
	} else {
		cmds = append(cmds, w.withQueueing(core.Command{Op: core.OpBeginRead, Await: t.await, Patience: t.patience}))
	}
	ans, err := h.handle.Value.exchange(cmds, w.deadline)
	if err != nil {
		t.node.noteSetUpFailure(h.handle.Value, err)
		h.discard()
		return &Reply{Fault: core.FaultBusy, Text: "no transaction on the upstream: " + err.Error()}
	}
	if ans.Fault != core.FaultNone {
		h.rollbackAndFree(ans.Fault)
		t.node.noteLoad(time.Now(), core.Kind(w.route.Database), ans.Load, 0)
		switch ans.Fault {
		case core.FaultReadOnly:
			t.node.noteDenied()
		case core.FaultLagging:
			t.node.noteLag(t.await)
		}
		return &Reply{Fault: core.FaultBusy, Text: "the upstream refused the transaction: " + ans.Fault.String(), declined: ans.Load.IsDeclined}
	}
	if t.strict {
		w.group.noteSample(requestedAt, ans.Sample)
		t.node.noteLeads(requestedAt, ans.Position)
		if !h.isCovered() {
			h.rollbackAndFree(core.FaultNone)
			return &Reply{Fault: core.FaultBusy, Text: textReplaced}
		}
	}
	s.tx.held, s.tx.organisation = h, w.organisation
	return nil
}

// sendInTx sends the statement on the transaction's connection. It reports whether the upstream was
// busy and the statement may be sent again.
func (s *Session) sendInTx(w *work) (Reply, bool) {
	h := s.tx.held
	commitsWrites := w.st.Verb == VerbCommit && s.tx.wrote
	if commitsWrites && !h.isCovered() {
		return Reply{Fault: core.FaultAborted, Text: textReplaced}, false
	}
	c := h.handle.Value
	cmds, err := h.confirm(c.setUpCommands(s, w.prepared), w.deadline)
	if err != nil {
		return s.handleTxSetUpFailure(w, err), false
	}
	sent := time.Now()
	ans, err := c.exchange(append(cmds, w.command(core.Position{})), w.deadline)
	if err != nil {
		h.node.noteLost(h.handle.Value, err)
		h.discard()
		s.tx.held = nil
		if w.st.Verb == VerbCommit {
			s.tx = nil
			return Reply{Fault: core.FaultInDoubt, Text: "no answer to COMMIT"}, false
		}
		return Reply{Fault: core.FaultAborted, Text: "the transaction's connection was lost"}, false
	}
	now := time.Now()
	h.node.noteAnswer(now, max(0, now.Sub(sent)-s.p.distance(h.node.info.Load())), ans.Position)
	if ans.Fault == core.FaultBusy && ans.Status == core.TxOpen {
		return Reply{Fault: ans.Fault, Text: ans.Text}, true
	}
	if ans.Fault != core.FaultNone {
		return s.handleTxFault(w, ans), false
	}
	reply := Reply{Position: ans.Position}
	reply.Body, s.body = copyBody(s.body, ans.Body)
	if w.write {
		s.tx.wrote = true
	}
	if w.st.Verb == VerbCommit {
		if commitsWrites && !h.isCovered() {
			reply = Reply{Fault: core.FaultInDoubt, Text: textOtherMayLead}
		} else if commitsWrites {
			s.noteCommit(ans.Position)
		}
		s.tx = nil
		h.free(true)
	}
	return reply, false
}

// handleTxSetUpFailure ends a transaction whose connection couldn't be set up for the next statement, which hasn't run.
// Closing the connection rolls it back.
func (s *Session) handleTxSetUpFailure(w *work, err error) Reply {
	h := s.tx.held
	h.node.noteSetUpFailure(h.handle.Value, err)
	h.discard()
	s.tx.held = nil
	if w.st.Verb == VerbCommit {
		s.tx = nil
	}
	return Reply{Fault: core.FaultAborted, Text: "the transaction's connection failed: " + err.Error()}
}

func (s *Session) handleTxFault(w *work, ans core.Answer) Reply {
	h := s.tx.held
	if ans.Fault == core.FaultReadOnly && !s.tx.readOnly {
		h.node.noteDenied()
	}
	reply := Reply{Fault: ans.Fault, Text: ans.Text}
	if w.st.Verb != VerbCommit {
		return reply
	}
	s.endTx()
	return reply
}
