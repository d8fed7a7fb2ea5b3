package dbconn

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// Request ids are recorded in a table of the database, so that an id commits together with its write.
// The unique key of the table detects a repeated id.
const (
	recordStatement = "snipewall_record"
	recordInsert    = "INSERT INTO snipewall_requests(id) VALUES ($1)"
	recordCreate    = "CREATE TABLE IF NOT EXISTS snipewall_requests(id text PRIMARY KEY)"
)

// SQLSTATEs of a failed insert into the table of request ids.
const (
	stateUnique  = "23505"
	stateNoTable = "42P01"
)

// needsRecord reports whether the request's id must be recorded. A request that only prepares a
// statement must not record the id, since the request that executes the statement has the same one.
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
	beginParse    = &pgproto3.Parse{Query: "BEGIN"}
	beginBind     = &pgproto3.Bind{}
	beginExecute  = &pgproto3.Execute{}
	commitQuery   = &pgproto3.Query{String: "COMMIT"}
	createQuery   = &pgproto3.Query{String: recordCreate}
	syncMessage   = &pgproto3.Sync{}
)

// requestWithRecord plans BEGIN, the insert of the request id, the request and COMMIT. If BEGIN or the insert fails, the
// upstream runs no part of an extended request: it skips it up to its Sync. It would run a simple query after a refused
// BEGIN, see runSimpleOnce.
//
// In an open transaction, the insert is part of that transaction, which fails if the insert fails, so that the upstream
// refuses a simple query as well. The table is then created first unless it is known to exist, since the transaction
// can't be repeated.
func (p *plan) requestWithRecord(c *Conn, req *core.Request) error {
	p.reset()
	p.record(c, req)
	if isSimple(req) {
		p.send(syncMessage, step{kind: stepSync, internal: true, record: true})
	}
	p.messages(c, req)
	p.commit(req)
	return p.err
}

// isSimple reports whether the request is a simple query, which can't be sent together with extended messages.
func isSimple(req *core.Request) bool { return len(req.Messages) == 1 }

// record adds BEGIN and the insert of the request id, without a Sync.
func (p *plan) record(c *Conn, req *core.Request) {
	if req.InTx && !c.upstream.hasRecordTable.Load() {
		p.send(createQuery, step{kind: stepQuery, internal: true, record: true})
	}
	p.closeStatements(c)
	if !req.InTx {
		p.send(beginParse, step{kind: stepParse, internal: true, record: true})
		p.send(beginBind, step{kind: stepBind, internal: true, record: true})
		p.send(beginExecute, step{kind: stepExecute, internal: true, record: true})
	}
	if c.hasStatement(recordStatement) {
		p.names = append(p.names, recordStatement)
	} else {
		p.parse(c, recordParse, step{internal: true, record: true})
	}
	bind := pgproto3.Bind{PreparedStatement: recordStatement, Parameters: [][]byte{[]byte(req.RequestID)}}
	p.send(&bind, step{kind: stepBind, internal: true, record: true})
	p.send(recordExecute, step{kind: stepExecute, internal: true, record: true})
}

// commit adds COMMIT unless the caller ends the transaction. It rolls a failed transaction back.
func (p *plan) commit(req *core.Request) {
	if !req.InTx {
		p.send(commitQuery, step{kind: stepQuery, internal: true, record: true})
	}
}

// runOnce runs a write whose request id must be recorded. If the upstream lacks the table of request
// ids, it creates the table and runs the write again.
func (c *Conn) runOnce(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	res, err := c.attemptOnce(ctx, req, w)
	if err != nil {
		return res, err
	}
	failure := c.answer.recordErr
	if failure != nil && failure.Code == stateNoTable && !c.answer.commitFailed && !req.InTx {
		if req.Attempt != nil {
			req.Attempt.ConfirmNotRun()
		}
		if failure, err = c.createRecordTable(ctx, req); err != nil {
			return core.Result{}, err
		}
		if failure == nil {
			if res, err = c.attemptOnce(ctx, req, w); err != nil {
				return res, err
			}
			failure = c.answer.recordErr
		}
	}
	if failure == nil {
		// An open transaction may still roll back the creation of the table.
		if !req.InTx {
			c.upstream.hasRecordTable.Store(true)
		}
		return res, nil
	}
	if failure.Code == stateUnique && !c.answer.commitFailed {
		return res, &core.DuplicateError{ID: req.RequestID}
	}
	// The insert or the commit failed, so the request had no effect. The error is its answer.
	res.Err = &core.SQLError{State: failure.Code, Message: failure.Message}
	if err := w.Send(failure); err != nil {
		return core.Result{}, c.fail(ctx, core.ErrCaller.Wrap(err))
	}
	return res, nil
}

// attemptOnce runs the request and records its id.
func (c *Conn) attemptOnce(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if isSimple(req) && !req.InTx {
		return c.runSimpleOnce(ctx, req, w)
	}
	if err := c.plan.requestWithRecord(c, req); err != nil {
		return core.Result{}, c.fail(ctx, err)
	}
	return c.perform(ctx, req, w)
}

// runSimpleOnce runs a simple query and records its id. The query is sent only once the upstream has confirmed BEGIN and
// the insert: after a refused BEGIN it would run without its id, also if it had run before.
func (c *Conn) runSimpleOnce(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	c.plan.reset()
	c.plan.record(c, req)
	c.plan.send(syncMessage, step{kind: stepSync, internal: true, record: true})
	res, err := c.performPlan(ctx, req, w)
	if err != nil {
		if req.Attempt != nil {
			// The transaction is rolled back with its connection.
			req.Attempt.ConfirmNotRun()
		}
		return res, err
	}
	failure := c.answer.recordErr
	if failure != nil && res.Status == core.TxIdle {
		return res, nil
	}
	c.plan.reset()
	if failure == nil {
		c.plan.messages(c, req)
	}
	c.plan.commit(req)
	res, err = c.performPlan(ctx, req, w)
	if failure != nil {
		c.answer.recordErr = failure
	}
	return res, err
}

// performPlan is perform for a plan that may have an error.
func (c *Conn) performPlan(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if c.plan.err != nil {
		return core.Result{}, c.fail(ctx, c.plan.err)
	}
	return c.perform(ctx, req, w)
}

// createRecordTable creates the table of request ids. It returns the upstream's error if the upstream is
// a replica. It ignores other errors, since two connections may create the table at the same time; the
// next insert reports those that persist.
func (c *Conn) createRecordTable(ctx context.Context, req *core.Request) (*pgproto3.ErrorResponse, error) {
	create := &core.Request{
		Class:    core.ClassWrite,
		Deadline: req.Deadline,
		Messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: recordCreate}},
	}
	var e errorCollector
	_, err := c.Run(ctx, create, &e)
	if err != nil || e.last == nil || e.last.Code != core.StateReadOnly {
		return nil, err
	}
	return e.last, nil
}

// errorCollector keeps the last error of an answer.
type errorCollector struct {
	last *pgproto3.ErrorResponse
}

// Send implements core.ResponseWriter.
func (c *errorCollector) Send(msg pgproto3.BackendMessage) error {
	if e, ok := msg.(*pgproto3.ErrorResponse); ok {
		c.last = copyError(e)
	}
	return nil
}
