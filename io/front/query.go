package front

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
	"snipewall/core/stmt"
)

// query serves a simple query.
func (s *session) query(q *pgproto3.Query) bool {
	switch {
	case s.skipping || s.batch != nil && s.batch.err != nil:
		// After an error, everything up to Sync is ignored.
		return true
	case s.batch != nil || s.implicit:
		s.batch = nil
		return s.answerError(&callerError{State: core.StateProtocolViolation,
			Message: "Query message inside a batch of the extended protocol",
			Hint:    "Send Sync first."}, true)
	}
	s.unnamed = nil
	tags, head, err := stmt.ParseTags(q.String)
	if err != nil {
		return s.answerError(invalidParameter(err.Error()), true)
	}
	info := stmt.Classify(q.String[head:])
	switch {
	case info.Unsupported != nil:
		return s.answerError(info.Unsupported, true)
	case info.Statements == 0 || len(info.Locals) > 0 || s.isEndWithoutTx(info):
		return s.queryLocal(info)
	case s.failed:
		return s.answerError(errInFailedTx, true)
	case info.NeedsTx != "" && s.tx == nil && info.Statements == 1:
		return s.answerError(errNeedsTx(info.NeedsTx), true)
	}
	u := unit{info: info, tags: tags, messages: []pgproto3.FrontendMessage{q}}
	a := newAnswer(s, nil)
	s.run(&u, a)
	return s.ready(a)
}

// isEndWithoutTx reports whether the statement is a COMMIT or ROLLBACK while no transaction is open.
func (s *session) isEndWithoutTx(info stmt.Info) bool {
	return s.tx == nil && info.Class == core.ClassEnd && info.Statements == 1
}

// queryLocal serves a simple query that needs no upstream.
func (s *session) queryLocal(info stmt.Info) bool {
	a := newAnswer(s, nil)
	switch {
	case info.Statements == 0:
		a.put(&pgproto3.EmptyQueryResponse{})
	case len(info.Locals) == 0:
		a.endBlock(info)
	case s.failed:
		a.fail(errInFailedTx)
	default:
		for i := range info.Locals {
			l := &info.Locals[i]
			if err := s.apply(l); err != nil {
				s.failTransaction()
				a.fail(err)
				break
			}
			if l.Action == stmt.ActionShow {
				a.put(s.showDescription(l, nil))
			}
			a.result(l)
		}
	}
	s.srv.metrics.local.Inc(1)
	return s.ready(a)
}
