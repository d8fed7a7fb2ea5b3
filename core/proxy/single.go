package proxy

import (
	"context"
	"time"

	"snipewall/core"
)

// outcome is what one try came to.
type outcome uint8

const (
	// done ends the statement with the reply.
	done outcome = iota
	// again asks for another try at once, on another upstream if there is one.
	again
	// later asks for another try after a short wait.
	later
	// noPrimary asks for another try once the group has a primary.
	noPrimary
)

// runSingle runs a statement outside of transactions.
func (s *Session) runSingle(ctx context.Context, w *work) Reply {
	strict := false
	for {
		t, ok := s.place(ctx, w, strict)
		if !ok {
			w.last = Reply{Fault: core.FaultBusy, Text: "the group has no primary now"}
			if !s.awaitPrimary(ctx, w) {
				return w.last
			}
			continue
		}
		reply, next := s.try(ctx, w, t)
		if next == done {
			return reply
		}
		w.last = reply
		pause := time.Duration(0)
		switch next {
		case later:
			pause = retryPause
		case noPrimary:
			pause = 5 * retryPause
		}
		if !s.retryIn(ctx, w, pause) {
			return w.last
		}
	}
}

// try runs the statement on one upstream.
func (s *Session) try(ctx context.Context, w *work, t target) (Reply, outcome) {
	h, refused := s.acquire(ctx, w, t.node, false)
	if refused != nil {
		return w.notAdmitted(t, refused)
	}
	asked := s.askedAt(w, t)
	c := h.handle.Value
	cmds := c.align(s, w.shape)
	if t.strict {
		cmds = append(cmds, w.stamp(core.Command{Op: core.OpBegin}))
	}
	if t.strict && !c.Guards() {
		ans, err := h.setUp(cmds, w.deadline)
		if err != nil || ans.Fault != core.FaultNone {
			return s.setUpFailed(h, ans, err)
		}
		t.node.lead(asked, ans.Position)
		cmds = nil
	}
	return s.send(w, t, h, cmds, asked)
}

// notAdmitted decides what follows when an upstream's queue or pool refused the statement.
func (w *work) notAdmitted(t target, refused *Reply) (Reply, outcome) {
	w.tried = append(w.tried, t.node)
	switch {
	case !w.write && !t.strict:
		return *refused, again
	case refused.overloaded:
		return *refused, done
	}
	return *refused, noPrimary
}

// askedAt returns the instant before the statement is sent, if its answer is to be a sample of the
// primary's position, otherwise 0.
func (s *Session) askedAt(w *work, t target) core.Instant {
	if !w.write && !t.strict {
		return 0
	}
	if now := s.p.cfg.Now(); t.strict || w.group.wantsSample(now) {
		return now
	}
	return 0
}

// send sends the set-up commands with the statement and handles the answers.
func (s *Session) send(w *work, t target, h *held, cmds []core.Command, asked core.Instant) (Reply, outcome) {
	c := h.handle.Value
	before := len(cmds)
	cmds = append(cmds, w.command(t.await))
	if t.strict {
		cmds = append(cmds, core.Command{Op: core.OpRollback})
	}
	sent := time.Now()
	if err := c.Send(cmds); err != nil {
		return s.lost(w, h, "sending failed")
	}
	if before > 0 {
		ans, err := receive(c, before, w.deadline)
		if err == nil && ans.Fault != core.FaultNone && t.strict {
			// The statement was refused with its transaction.
			if _, err := receive(c, len(cmds)-before, w.deadline); err == nil {
				return s.setUpFailed(h, core.Answer{Fault: ans.Fault, Status: core.TxIdle}, nil)
			}
		}
		if err != nil || ans.Fault != core.FaultNone {
			return s.lost(w, h, "the connection's set-up failed")
		}
		if t.strict {
			t.node.lead(asked, ans.Position)
		}
	}
	ans, err := c.Receive(s.patience(w, t.node))
	if err != nil {
		return s.unanswered(w, h, t, err)
	}
	return s.answered(w, h, t, ans, asked, sent)
}

// setUpFailed handles a statement whose transaction wasn't opened; it has not run.
func (s *Session) setUpFailed(h *held, ans core.Answer, err error) (Reply, outcome) {
	n := h.node
	if err != nil {
		n.noteFailure(h.handle.Value)
		h.drop()
		return Reply{Fault: core.FaultBusy, Text: "the primary doesn't answer"}, noPrimary
	}
	h.recycle(ans.Status, ans.Fault)
	if ans.Fault == core.FaultReadOnly {
		n.noteDenied()
	}
	return Reply{Fault: core.FaultBusy, Text: "the primary refused: " + ans.Fault.String()}, noPrimary
}

// patience is until when to wait for an answer before a read is tried elsewhere.
func (s *Session) patience(w *work, n *node) time.Time {
	if w.write {
		return w.deadline
	}
	n.mu.Lock()
	d := max(hedgeLeast, hedgeFactor*n.latency+2*s.p.distance(n.info.Load()))
	n.mu.Unlock()
	at := time.Now().Add(d)
	if at.After(w.deadline.Add(-w.reserve())) {
		return w.deadline
	}
	return at
}

// lost ends a try whose connection broke after the statement may have been sent.
func (s *Session) lost(w *work, h *held, why string) (Reply, outcome) {
	h.node.noteFailure(h.handle.Value)
	h.drop()
	if w.write {
		return Reply{Fault: core.FaultInDoubt, Text: why}, done
	}
	w.tried = append(w.tried, h.node)
	reply := Reply{Fault: core.FaultTimeout, Text: why}
	if !s.p.budget.Withdraw() {
		return reply, done
	}
	return reply, again
}

// unanswered handles a statement without an answer. The connection of a slow read is left to a
// goroutine that takes the late answer, so that the upstream's work isn't broken off.
func (s *Session) unanswered(w *work, h *held, t target, err error) (Reply, outcome) {
	if !isTimeout(err) {
		return s.lost(w, h, "the upstream broke off")
	}
	h.node.noteFailure(h.handle.Value)
	if w.write || !time.Now().Before(w.deadline) {
		h.drop()
		return Reply{Fault: core.FaultTimeout, Text: "no answer within the statement's time"}, done
	}
	left := 1
	if t.strict {
		left++
	}
	deadline := w.deadline
	s.p.spawn(func() {
		if _, err := receive(h.handle.Value, left, deadline); err != nil {
			h.drop()
			return
		}
		h.free(false)
	})
	w.tried = append(w.tried, h.node)
	reply := Reply{Fault: core.FaultTimeout, Text: "no answer within the usual time"}
	if !s.p.budget.Withdraw() {
		return reply, done
	}
	return reply, again
}

// answered handles the upstream's answer.
func (s *Session) answered(w *work, h *held, t target, ans core.Answer, asked core.Instant, sent time.Time) (Reply, outcome) {
	n := t.node
	now := time.Now()
	reply := Reply{Fault: ans.Fault, Text: ans.Text, Position: ans.Position}
	if ans.Fault == core.FaultNone {
		s.body = append(s.body[:0], ans.Body...)
		reply.Body = s.body
	}
	if t.strict {
		if _, err := receive(h.handle.Value, 1, now.Add(endTime)); err != nil {
			h.drop()
			h = nil
		}
	}
	if h != nil {
		h.settle(ans.Fault)
	}
	n.noteAnswer(now, max(0, now.Sub(sent)-s.p.distance(n.info.Load())), ans.Position)
	if ans.Fault == core.FaultNone {
		if w.write {
			s.noteCommit(ans.Position)
			if asked != 0 {
				n.lead(asked, ans.Position)
			}
		}
		return reply, done
	}
	return s.refused(w, t, reply)
}

// refused decides what follows an upstream's error.
func (s *Session) refused(w *work, t target, reply Reply) (Reply, outcome) {
	n := t.node
	switch reply.Fault {
	case core.FaultLagging:
		n.noteLag(t.await)
	case core.FaultReadOnly:
		n.noteDenied()
		return Reply{Fault: core.FaultBusy, Text: "the primary has changed"}, noPrimary
	case core.FaultBusy, core.FaultUnprepared:
		w.tried = append(w.tried, n)
		if w.write {
			return reply, later
		}
		return reply, again
	case core.FaultInDoubt, core.FaultTimeout:
		// The owner lost the upstream. A read may run again.
		if !w.write && s.p.budget.Withdraw() {
			w.tried = append(w.tried, n)
			return reply, again
		}
		return reply, done
	case core.FaultFailed:
		if !w.write && s.p.budget.Withdraw() {
			w.tried = append(w.tried, n)
			return reply, again
		}
		return reply, done
	}
	if !reply.Fault.IsNotRun() {
		return reply, done
	}
	w.tried = append(w.tried, n)
	return reply, again
}
