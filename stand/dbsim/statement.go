package dbsim

import (
	"context"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// endsTx reports whether the statement ends a transaction.
func endsTx(s Statement) bool {
	switch s.(type) {
	case *Commit, *Rollback:
		return true
	}
	return false
}

// runStatement runs a statement in the session's transaction. It begins or ends the transaction as needed.
func (ss *session) runStatement(s Statement, params []Value) (*Rows, error) {
	if ss.state == txFailed && !endsTx(s) {
		return nil, errFailedTx
	}
	switch s := s.(type) {
	case *Call:
		return ss.call(s, params)
	case *Show:
		return ss.show(s), nil
	case *Set:
		ss.params[strings.ToLower(s.Name)] = s.Value
		return &Rows{Tag: s.Tag()}, nil
	case *Reset:
		return ss.reset(s), nil
	}
	if ss.control {
		return nil, sqlErrorf(stateForbidden, "this connection serves control functions only")
	}
	switch s := s.(type) {
	case *Begin:
		return ss.begin(s), nil
	case *Commit:
		return ss.commitStatement(s)
	case *Rollback:
		ss.endTx(txNone)
		return &Rows{Tag: s.Tag()}, nil
	}
	ss.ensureTx()
	return ss.execSQL(s, params)
}

func (ss *session) begin(s *Begin) *Rows {
	switch ss.state {
	case txNone:
		ss.tx = ss.srv.db.Begin(s.ReadOnly)
	case txExplicit:
		ss.be.Send(&pgproto3.NoticeResponse{
			Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25001",
			Message: "there is already a transaction in progress",
		})
	}
	ss.state = txExplicit
	return &Rows{Tag: s.Tag()}
}

func (ss *session) commitStatement(s *Commit) (*Rows, error) {
	switch ss.state {
	case txNone:
		return &Rows{Tag: s.Tag()}, nil
	case txFailed:
		ss.endTx(txNone)
		return &Rows{Tag: "ROLLBACK"}, nil
	}
	if err := ss.commit(); err != nil {
		return nil, err
	}
	return &Rows{Tag: s.Tag()}, nil
}

// execSQL runs a statement of the SQL engine. A cancel request can cancel it.
func (ss *session) execSQL(s Statement, params []Value) (*Rows, error) {
	sleepFor, err := sleepTime(s, params)
	if err != nil {
		return nil, err
	}
	ctx := ss.running.start(ss.ctx)
	defer ss.running.end()
	res, err := ss.execInSlot(ctx, s, params, sleepFor)
	if err != nil && ctx.Err() != nil && ss.ctx.Err() == nil {
		return nil, sqlErrorf(stateCanceled, "canceling statement due to user request")
	}
	return res, err
}

// execInSlot waits for a slot, occupies it for the service time and sleepFor, and then executes the
// statement.
func (ss *session) execInSlot(ctx context.Context, s Statement, params []Value, sleepFor time.Duration) (*Rows, error) {
	if err := ss.srv.takeSlot(ctx); err != nil {
		return nil, err
	}
	ss.holdsSlot = true
	ss.slotSince = time.Now()
	defer ss.freeSlot()
	ss.srv.executed.Add(1)
	if d := sleepFor + ss.srv.faults.scale(ss.srv.cfg.ServiceTime); d > 0 {
		if err := sleep(ctx, d); err != nil {
			return nil, err
		}
	}
	if err := ss.srv.faults.awaitThaw(ctx); err != nil {
		return nil, err
	}
	// A statement frees its slot before it waits for a lock: the transaction that holds the lock may need
	// the slot to proceed.
	return ss.tx.Exec(ctx, s, params, ss.freeSlot)
}

// freeSlot frees the session's slot, if it occupies one.
func (ss *session) freeSlot() {
	if ss.holdsSlot {
		ss.holdsSlot = false
		ss.srv.busy.Add(int64(time.Since(ss.slotSince)))
		ss.srv.releaseSlot()
	}
}

func (ss *session) show(s *Show) *Rows {
	value, ok := ss.params[strings.ToLower(s.Name)]
	if !ok {
		value = "on"
		for _, p := range startParameters {
			if strings.EqualFold(p[0], s.Name) {
				value = p[1]
			}
		}
	}
	return &Rows{Fields: []Field{{s.Name, TypeText}}, Rows: [][]Value{{Text(value)}}, Tag: s.Tag()}
}

func (ss *session) reset(s *Reset) *Rows {
	tag := s.Command
	if tag != "RESET" {
		clear(ss.stmts)
		tag += " ALL"
	}
	clear(ss.params)
	return &Rows{Tag: tag}
}
