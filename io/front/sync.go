package front

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
	"snipewall/core/stmt"
)

// sync ends a batch.
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

// serveBatch runs the batch as one request, or answers it without an upstream.
func (s *session) serveBatch(b *batch, a *answer) bool {
	if b.remote == 0 {
		s.srv.metrics.local.Inc(1)
		a.finish()
		return !a.failed
	}
	b.unit.messages = append(b.unit.messages, &pgproto3.Sync{})
	return s.run(&b.unit, a)
}

// flush answers the messages of a batch so far. They run as a request of their own. If the batch
// has executed something outside of a transaction, what precedes and follows the Flush must still
// take effect as a whole, so that a transaction is opened for it.
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

// beginImplicit opens the transaction of a batch that is cut by Flush.
func (s *session) beginImplicit(a *answer) bool {
	u := unit{
		own:      true,
		info:     stmt.Info{Class: core.ClassBegin, Statements: 1, Begins: true},
		messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: "BEGIN"}},
	}
	quiet := newAnswer(s, nil)
	defer quiet.discard()
	if !s.run(&u, quiet) || s.tx == nil {
		a.adopt(quiet)
		return false
	}
	s.implicit = true
	return true
}

// endImplicit commits or rolls back the transaction of a batch that was cut by Flush.
func (s *session) endImplicit(a *answer) {
	if !s.implicit || s.tx == nil {
		return
	}
	u := unit{own: true, info: stmt.Info{Class: core.ClassEnd, Statements: 1, Ends: true, Commits: true},
		messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: "COMMIT"}}}
	if a.failed || s.txStatus == core.TxFailed {
		s.endTx()
		return
	}
	quiet := newAnswer(s, nil)
	defer quiet.discard()
	if !s.run(&u, quiet) {
		a.adopt(quiet)
		s.endTx()
		return
	}
	if !s.pos.IsZero() {
		a.put(&pgproto3.ParameterStatus{Name: paramPosition, Value: s.pos.String()})
	}
}

// adopt takes over the error of a request that the listener added.
func (a *answer) adopt(quiet *answer) {
	a.refused = quiet.refused
	if !a.failed {
		*a.buf = append(*a.buf, *quiet.buf...)
		a.failed = true
	}
}
