package proxy

import (
	"context"
	"errors"
	"time"

	"snipewall/core"
	"snipewall/core/budget"
)

// outcome is the result of one try of a statement.
type outcome uint8

const (
	// done ends the statement with the reply.
	done outcome = iota
	// retryNow asks for another try at once, on another upstream if there is one.
	retryNow
	// retryLater asks for another try after retryDelay.
	retryLater
	// retryOnChange asks for another try after a change of the nodes, such as a new primary, or after a
	// longer delay.
	retryOnChange
)

// runSingle runs a statement outside of transactions.
func (s *Session) runSingle(ctx context.Context, w *work) Reply {
	if refused := s.checkQuota(ctx, w); refused != nil {
		return *refused
	}
	// A read without room for the position that it awaits needs a proof of leadership instead.
	strict := s.p.isLong(len(w.st.ID) + len(w.st.Text))
	for {
		changed := s.p.Changed()
		t, ok := s.chooseTarget(ctx, w, strict)
		if !ok {
			w.lastReply = Reply{Fault: core.FaultBusy, Text: "the group has no primary now"}
			if !s.awaitPrimary(ctx, w, changed) {
				return w.lastReply
			}
			continue
		}
		reply, next := s.try(ctx, w, t)
		if next == done {
			return reply
		}
		w.lastReply = reply
		pause := time.Duration(0)
		switch next {
		case retryLater:
			pause = retryDelay
		case retryOnChange:
			pause = 5 * retryDelay
		}
		if !s.waitForRetry(ctx, w, pause) {
			return w.lastReply
		}
	}
}

// try runs the statement on one upstream.
func (s *Session) try(ctx context.Context, w *work, t target) (Reply, outcome) {
	h, refused := s.acquire(ctx, w, t, false)
	if refused != nil {
		return w.handleNotAdmitted(t, refused)
	}
	if (w.write || t.strict) && !h.mayStart() {
		h.free(false)
		return Reply{Fault: core.FaultBusy, Text: textReplaced}, retryOnChange
	}
	requestedAt := s.sampleInstant(w, t)
	c := h.handle.Value
	cmds := c.setUpCommands(s, w.prepared)
	if t.strict {
		cmds = append(cmds, w.withQueueing(core.Command{Op: core.OpBegin}))
	}
	if len(cmds) > 0 && !c.CanPipeline() {
		ans, err := c.exchange(cmds, s.setUpDeadline(w, t))
		if err != nil || ans.Fault != core.FaultNone {
			return s.handleSetUpFailure(w, t, h, ans, err)
		}
		if t.strict {
			t.node.noteLeads(requestedAt, ans.Position)
		}
		if (w.write || t.strict) && !h.isCovered() {
			h.rollbackAndFree(core.FaultNone)
			return Reply{Fault: core.FaultBusy, Text: textReplaced}, retryOnChange
		}
		cmds = nil
	}
	return s.send(w, t, h, cmds, requestedAt)
}

// setUpDeadline returns the time until which to wait for a connection's set-up.
func (s *Session) setUpDeadline(w *work, t target) time.Time {
	if t.strict {
		return w.deadline
	}
	return s.answerDeadline(w, t)
}

// handleNotAdmitted decides about a retry after an upstream's queue or pool refused the statement.
func (w *work) handleNotAdmitted(t target, refused *Reply) (Reply, outcome) {
	if refused.declined {
		w.declined = append(w.declined, t.node)
		return *refused, retryNow
	}
	w.tried = append(w.tried, t.node)
	switch {
	case !w.write && !t.strict:
		return *refused, retryNow
	case refused.overloaded:
		return *refused, done
	}
	return *refused, retryOnChange
}

// sampleInstant returns the current instant if the answer is to be a sample of the primary's position,
// otherwise 0. It is called before the statement is sent.
func (s *Session) sampleInstant(w *work, t target) core.Instant {
	if !w.write && !t.strict {
		return 0
	}
	if now := s.p.cfg.Now(); t.strict || w.group.isSampleDue(now) {
		return now
	}
	return 0
}

// send sends the set-up commands with the statement and handles the answers.
func (s *Session) send(w *work, t target, h *heldConn, cmds []core.Command, requestedAt core.Instant) (Reply, outcome) {
	c := h.handle.Value
	before := len(cmds)
	cmd := w.command(t.await)
	cmd.Patience = t.patience
	cmds = append(cmds, cmd)
	if t.strict {
		cmds = append(cmds, core.Command{Op: core.OpRollback})
	}
	sent := time.Now()
	if err := c.Send(cmds); err != nil {
		return s.handleLostConn(w, h, "sending failed")
	}
	if before > 0 {
		ans, err := c.receiveLast(before, w.deadline)
		if err == nil && ans.Fault != core.FaultNone && t.strict {
			// The statement was refused together with its transaction.
			if err := c.skipAnswers(w.deadline); err == nil {
				return s.handleSetUpFailure(w, t, h, ans, nil)
			}
		}
		if err != nil || ans.Fault != core.FaultNone {
			return s.handleLostConn(w, h, "the connection's set-up failed")
		}
		if t.strict {
			w.group.noteSample(requestedAt, ans.Sample)
			t.node.noteLeads(requestedAt, ans.Position)
		}
	}
	ans, err := c.Receive(s.answerDeadline(w, t))
	if !w.write && isTimeout(err) && time.Now().Before(w.deadline) {
		h.node.noteFailure(c)
		if w.mayRetryAt(time.Now()) && s.p.budget.Withdraw() {
			return s.abandonRead(w, h)
		}
		// Without a retry, giving up would only lose the answer.
		ans, err = c.Receive(w.deadline)
	}
	if err != nil {
		return s.handleNoAnswer(w, h, err)
	}
	return s.handleAnswer(w, h, t, ans, requestedAt, sent)
}

// handleSetUpFailure handles a statement whose connection couldn't be set up, or whose transaction wasn't opened. The
// statement has not run.
func (s *Session) handleSetUpFailure(w *work, t target, h *heldConn, ans core.Answer, err error) (Reply, outcome) {
	n := h.node
	reply, next := Reply{Fault: core.FaultBusy, Text: "the upstream refused: " + ans.Fault.String()}, retryOnChange
	if err != nil {
		n.noteSetUpFailure(h.handle.Value, err)
		h.discard()
		reply.Text = "the connection couldn't be set up: " + err.Error()
	} else {
		h.rollbackAndFree(ans.Fault)
	}
	if ans.Fault == core.FaultReadOnly {
		n.noteDenied()
	}
	if !w.write && !t.strict {
		w.tried = append(w.tried, n)
		next = retryNow
	}
	return reply, next
}

// answerDeadline returns the time until which to wait for an answer. After it, a read is retried on
// another upstream if it may be.
func (s *Session) answerDeadline(w *work, t target) time.Time {
	if w.write {
		return w.deadline
	}
	n, now := t.node, time.Now()
	n.mu.Lock()
	d := max(minHedgeDelay, hedgeLatencyFactor*n.latency+2*s.p.distance(n.info.Load()))
	if n.path.isIndirect() {
		// The owner's queue takes its part of the time.
		d += max(t.patience, 2*n.told.Left(now))
	}
	n.mu.Unlock()
	at := now.Add(d)
	if at.After(w.deadline.Add(-w.runReserve())) {
		return w.deadline
	}
	return at
}

// handleLostConn ends a try whose connection failed after the statement may have been sent.
func (s *Session) handleLostConn(w *work, h *heldConn, why string) (Reply, outcome) {
	h.node.noteFailure(h.handle.Value)
	h.discard()
	if w.write {
		return Reply{Fault: core.FaultInDoubt, Text: why}, done
	}
	w.tried = append(w.tried, h.node)
	reply := Reply{Fault: core.FaultTimeout, Text: why}
	if !s.p.budget.Withdraw() {
		return reply, done
	}
	return reply, retryNow
}

// handleNoMemory ends a try whose answer this VM has no memory for. A read isn't retried here, since its answer would be as
// large. It has run, so that the fault doesn't say otherwise.
func (s *Session) handleNoMemory(w *work, h *heldConn) (Reply, outcome) {
	h.discard()
	if w.write {
		return Reply{Fault: core.FaultInDoubt, Text: textNoMemory}, done
	}
	return Reply{Fault: core.FaultFailed, Text: textNoMemory, NoMemory: true}, done
}

// handleNoAnswer handles a statement that has no answer at its deadline, or whose answer can't be received.
func (s *Session) handleNoAnswer(w *work, h *heldConn, err error) (Reply, outcome) {
	if errors.Is(err, budget.ErrSpent) {
		return s.handleNoMemory(w, h)
	}
	if !isTimeout(err) {
		return s.handleLostConn(w, h, "the upstream broke off")
	}
	h.node.noteFailure(h.handle.Value)
	h.node.noteOutcome(time.Now(), true)
	h.discard()
	return Reply{Fault: core.FaultTimeout, Text: "no answer within the statement's time"}, done
}

// abandonRead ends a try without an answer so that the read is tried elsewhere. A goroutine reads the late answer, so that the
// connection stays usable and the upstream isn't interrupted.
func (s *Session) abandonRead(w *work, h *heldConn) (Reply, outcome) {
	h.node.noteOutcome(time.Now(), true)
	deadline := w.deadline
	s.p.spawn(func() {
		if err := h.handle.Value.skipAnswers(deadline); err != nil {
			h.discard()
			return
		}
		h.free(false)
	})
	w.tried = append(w.tried, h.node)
	return Reply{Fault: core.FaultTimeout, Text: "no answer within the usual time"}, retryNow
}

func (s *Session) handleAnswer(w *work, h *heldConn, t target, ans core.Answer, requestedAt core.Instant, sent time.Time) (Reply, outcome) {
	n := t.node
	now := time.Now()
	isCovered := !w.write || h.isCovered()
	reply := Reply{Fault: ans.Fault, Text: ans.Text, Position: ans.Position}
	if ans.Fault == core.FaultNone {
		reply.Body, s.body = copyBody(s.body, ans.Body)
	}
	if t.strict {
		if err := h.handle.Value.skipAnswers(now.Add(rollbackTimeout)); err != nil {
			h.discard()
			h = nil
		}
	}
	if h != nil {
		h.freeAfter(ans.Fault)
	}
	took := now.Sub(sent)
	n.noteOutcome(now, isFailure(ans.Fault))
	w.group.noteBytes(len(w.st.Text) + len(reply.Body))
	reply.declined = ans.Load.IsDeclined
	if t.strict {
		n.noteLoad(now, core.Kind(w.route.Database), ans.Load, 0)
	} else {
		n.noteLoad(now, core.Kind(w.route.Database), ans.Load, took)
	}
	if !reply.declined {
		n.noteAnswer(now, max(0, took-s.p.distance(n.info.Load())), ans.Position)
	}
	if t.strict && ans.Fault == core.FaultNone && w.group.isSampleDue(requestedAt) {
		// The answer to BEGIN had no position. Inside the transaction only a leader answers.
		n.noteLeads(requestedAt, ans.Position)
	}
	if ans.Fault == core.FaultNone {
		if !isCovered {
			return Reply{Fault: core.FaultInDoubt, Text: textOtherMayLead}, done
		}
		if w.write {
			s.noteCommit(ans.Position)
			if requestedAt != 0 {
				n.noteLeads(requestedAt, ans.Position)
			}
		}
		return reply, done
	}
	return s.handleFault(w, t, reply)
}

// handleFault decides about a retry after an upstream's error.
func (s *Session) handleFault(w *work, t target, reply Reply) (Reply, outcome) {
	n := t.node
	switch reply.Fault {
	case core.FaultLagging:
		n.noteLag(t.await)
		// Which upstreams lag is of no use to the caller.
		reply.Fault, reply.Text = core.FaultBusy, "the upstream lacks the position"
	case core.FaultReadOnly:
		n.noteDenied()
		return Reply{Fault: core.FaultBusy, Text: "the primary has changed"}, retryOnChange
	case core.FaultBusy:
		if reply.declined {
			w.declined = append(w.declined, n)
			return reply, retryNow
		}
		w.tried = append(w.tried, n)
		if w.write {
			return reply, retryLater
		}
		return reply, retryNow
	case core.FaultInDoubt, core.FaultTimeout, core.FaultAborted:
		// The owner lost its connection to the upstream, and with it the transaction of a strict read. A read may run again.
		if !w.write && s.p.budget.Withdraw() {
			w.tried = append(w.tried, n)
			return reply, retryNow
		}
		return reply, done
	case core.FaultFailed:
		if !w.write && s.p.budget.Withdraw() {
			w.tried = append(w.tried, n)
			return reply, retryNow
		}
		return reply, done
	}
	if !reply.Fault.IsNotRun() {
		return reply, done
	}
	w.tried = append(w.tried, n)
	return reply, retryNow
}
