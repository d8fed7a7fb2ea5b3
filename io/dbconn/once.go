package dbconn

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// The record of request ids is kept in the database, so that it commits with the write.
const (
	recordStatement = "snipewall_record"
	recordInsert    = "INSERT INTO snipewall_requests(id) VALUES ($1)"
	recordCreate    = "CREATE TABLE IF NOT EXISTS snipewall_requests(id text PRIMARY KEY)"
)

// SQLSTATEs of the record.
const (
	stateUnique  = "23505"
	stateNoTable = "42P01"
)

// needsRecord reports whether the request's id has to be recorded with its write. A request that only
// prepares a statement must not use up the id of the one that executes it.
func needsRecord(req *core.Request) bool {
	if req.RequestID == "" || req.Class != core.ClassWrite {
		return false
	}
	for _, msg := range req.Messages {
		switch msg.(type) {
		case *pgproto3.Execute, *pgproto3.Query:
			return true
		}
	}
	return false
}

var (
	recordParse   = &pgproto3.Parse{Name: recordStatement, Query: recordInsert}
	recordExecute = &pgproto3.Execute{}
	beginQuery    = &pgproto3.Query{String: "BEGIN"}
	commitQuery   = &pgproto3.Query{String: "COMMIT"}
	createQuery   = &pgproto3.Query{String: recordCreate}
	syncMessage   = &pgproto3.Sync{}
)

// once plans BEGIN, the record of the request id, the request and COMMIT. If the record fails, the
// upstream runs no part of the request: an extended request is skipped up to its Sync, a simple
// query meets a failed transaction. COMMIT then rolls back.
//
// In an open transaction the record is part of it, and the transaction fails with the record. The
// table of the records is created first unless it is known, since the transaction can't be repeated.
func (p *plan) once(c *Conn, req *core.Request) error {
	p.reset()
	if !req.InTx {
		p.send(beginQuery, step{kind: stepQuery, own: true, record: true})
	} else if !c.up.recorded.Load() {
		p.send(createQuery, step{kind: stepQuery, own: true, record: true})
	}
	p.closeStatements(c)
	if c.has(recordStatement) {
		p.names = append(p.names, recordStatement)
	} else {
		p.parse(c, recordParse, step{own: true, record: true})
	}
	bind := pgproto3.Bind{PreparedStatement: recordStatement, Parameters: [][]byte{[]byte(req.RequestID)}}
	p.send(&bind, step{kind: stepBind, own: true, record: true})
	p.send(recordExecute, step{kind: stepExecute, own: true, record: true})
	if len(req.Messages) == 1 {
		p.send(syncMessage, step{kind: stepSync, own: true, record: true})
	}
	p.messages(c, req)
	if !req.InTx {
		p.send(commitQuery, step{kind: stepQuery, own: true, record: true})
	}
	return p.err
}

// runOnce runs a write whose request id must be recorded. The table of the records is created when
// an upstream turns out to lack it.
func (c *Conn) runOnce(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	res, err := c.attemptOnce(ctx, req, w)
	if err != nil {
		return res, err
	}
	failure := c.answer.ownErr
	if failure != nil && failure.Code == stateNoTable && !c.answer.commitFailed && !req.InTx {
		if req.Attempt != nil {
			req.Attempt.ConfirmNotRun()
		}
		if failure, err = c.createRecords(ctx, req); err != nil {
			return core.Result{}, err
		}
		if failure == nil {
			if res, err = c.attemptOnce(ctx, req, w); err != nil {
				return res, err
			}
			failure = c.answer.ownErr
		}
	}
	if failure == nil {
		// A table that an open transaction created may still be rolled back.
		if !req.InTx {
			c.up.recorded.Store(true)
		}
		return res, nil
	}
	if failure.Code == stateUnique && !c.answer.commitFailed {
		return res, &core.DuplicateError{ID: req.RequestID}
	}
	// The record or the commit failed: the request had no effect, and the error is its answer.
	res.Err = &core.SQLError{State: failure.Code, Message: failure.Message}
	if err := w.Send(failure); err != nil {
		return core.Result{}, c.fail(ctx, core.ErrCaller.Wrap(err))
	}
	return res, nil
}

// attemptOnce runs the request with its record.
func (c *Conn) attemptOnce(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if err := c.plan.once(c, req); err != nil {
		return core.Result{}, c.fail(ctx, err)
	}
	return c.perform(ctx, req, w)
}

// createRecords creates the table of the records. It returns the upstream's refusal if the upstream
// is a replica. Two connections may create the table at once, so that other errors count only if they
// show up again when the record is inserted.
func (c *Conn) createRecords(ctx context.Context, req *core.Request) (*pgproto3.ErrorResponse, error) {
	create := &core.Request{
		Class:    core.ClassWrite,
		Deadline: req.Deadline,
		Messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: recordCreate}},
	}
	var e errorKeeper
	_, err := c.Run(ctx, create, &e)
	if err != nil || e.last == nil || e.last.Code != core.StateReadOnly {
		return nil, err
	}
	return e.last, nil
}

// errorKeeper keeps the error of an answer.
type errorKeeper struct {
	last *pgproto3.ErrorResponse
}

// Send implements core.ResponseWriter.
func (k *errorKeeper) Send(msg pgproto3.BackendMessage) error {
	if e, ok := msg.(*pgproto3.ErrorResponse); ok {
		k.last = copyError(e)
	}
	return nil
}
