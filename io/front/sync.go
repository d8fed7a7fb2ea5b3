package front

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
	"snipewall/core/stmt"
)

// sync handles Sync: it runs the batch and answers with ReadyForQuery.
func (s *session) sync() bool {
	b := s.batch
	s.batch = nil
	if s.skipping || b == nil {
		s.skipping = false
		a := newAnswer(s, nil)
		s.endImplicit(a)
		return s.ready(a)
	}
	if b.err != nil {
		return s.answerError(b.err, true)
	}
	a := newAnswer(s, b.ops)
	s.serveBatch(b, a)
	s.endImplicit(a)
	return s.ready(a)
}

// serveBatch runs the batch as one request, or answers it locally if no message is for the upstream.
func (s *session) serveBatch(b *batch, a *answer) bool {
	if b.remote == 0 {
		s.srv.metrics.local.Inc(1)
		a.finish()
		return !a.failed
	}
	b.unit.messages = append(b.unit.messages, &pgproto3.Sync{})
	return s.run(&b.unit, a)
}

// flush handles Flush: it runs the messages of the batch so far as a request of their own. If they
// execute something outside of a transaction, it opens one first, so that what precedes and what
// follows the Flush take effect as a whole.
func (s *session) flush() bool {
	b := s.batch
	s.batch = nil
	if b == nil || s.skipping {
		return true
	}
	if b.err != nil {
		s.skipping = true
		return s.answerError(b.err, false)
	}
	a := newAnswer(s, b.ops)
	if b.executes > 0 && s.tx == nil && !b.unit.info.Begins && !s.beginImplicit(a) ||
		!s.serveBatch(b, a) {
		s.skipping = true
	}
	if a.refused {
		return s.ready(a)
	}
	return a.flush() == nil
}

// beginImplicit opens the transaction for a batch with a Flush.
func (s *session) beginImplicit(a *answer) bool {
	u := unit{
		internal: true,
		info:     stmt.Info{Class: core.ClassBegin, Statements: 1, Begins: true},
		messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: "BEGIN"}},
	}
	internalAnswer := newAnswer(s, nil)
	defer internalAnswer.discard()
	if !s.run(&u, internalAnswer) || s.tx == nil {
		a.takeError(internalAnswer)
		return false
	}
	s.implicit = true
	return true
}

// endImplicit commits or rolls back the transaction that beginImplicit opened.
func (s *session) endImplicit(a *answer) {
	if !s.implicit || s.tx == nil {
		return
	}
	u := unit{internal: true, info: stmt.Info{Class: core.ClassEnd, Statements: 1, Ends: true, Commits: true},
		messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: "COMMIT"}}}
	if a.failed || s.txStatus == core.TxFailed {
		s.endTx()
		return
	}
	internalAnswer := newAnswer(s, nil)
	defer internalAnswer.discard()
	if !s.run(&u, internalAnswer) {
		a.takeError(internalAnswer)
		s.endTx()
		return
	}
	if !s.pos.IsZero() {
		a.put(&pgproto3.ParameterStatus{Name: paramPosition, Value: s.pos.String()})
	}
}

// takeError copies the error of a request that the listener itself issued.
func (a *answer) takeError(internalAnswer *answer) {
	a.refused = internalAnswer.refused
	if !a.failed {
		*a.buf = append(*a.buf, *internalAnswer.buf...)
		a.failed = true
	}
}
