package dbconn

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// commitParameter is the ParameterStatus that reports the position of a commit.
const commitParameter = "snipewall.commit_position"

// Conn implements core.Conn. It is used by one goroutine at a time, except for Close.
type Conn struct {
	// statusNames holds the column names of the status function's row; nil until the first answer.
	statusNames []string
	id          core.UpstreamID
	cfg         *Config
	conn        net.Conn
	frontend    *pgproto3.Frontend
	// pgConn performed the start-up and knows the key for cancel requests.
	pgConn   *pgconn.PgConn
	upstream *Upstream
	// broken is set once the connection must not be used again.
	broken bool
	// lastUsed is when the last request ended.
	lastUsed time.Time
	status   core.TxStatus
	// prepared holds the names of the statements that are prepared on this connection.
	prepared map[string]struct{}
	// toClose holds the names of the statements to close with the next extended request.
	toClose []string
	plan    plan
	answer  answer
	// interrupt makes a blocked read or write return at once.
	interrupt func()
}

var _ core.Conn = (*Conn)(nil)

func newConn(u *Upstream, pc *pgconn.PgConn, hc *pgconn.HijackedConn) *Conn {
	c := &Conn{
		id:       u.cfg.Info.ID,
		cfg:      &u.cfg,
		conn:     hc.Conn,
		frontend: hc.Frontend,
		pgConn:   pc,
		upstream: u,
		lastUsed: time.Now(),
		status:   core.TxIdle,
		prepared: make(map[string]struct{}),
	}
	c.answer.c = c
	c.interrupt = func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }
	return c
}

// errUnusable reports that the connection had failed before the request; nothing was sent.
var errUnusable = errors.New("connection is closed")

// Run sends the request and forwards the answer to w, except ReadyForQuery and the commit position.
//
// For a write with a request id, it records the id in the write's transaction, or in one of its own. A
// repeated id is a *core.DuplicateError, after which the connection is still usable and an open
// transaction has failed. After any other error the connection is closed; nothing was sent if
// req.Attempt isn't marked. An error of w has the class core.ErrCaller, all others core.ErrUpstream.
func (c *Conn) Run(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if !c.isUsable() {
		return core.Result{}, c.fail(ctx, errUnusable)
	}
	if needsRecord(req) {
		return c.runOnce(ctx, req, w)
	}
	if err := c.plan.request(c, req); err != nil {
		return core.Result{}, c.fail(ctx, err)
	}
	return c.perform(ctx, req, w)
}

// perform sends the plan and reads its answer.
func (c *Conn) perform(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	stop, err := c.watch(ctx, req)
	if err != nil {
		return core.Result{}, c.fail(ctx, err)
	}
	if req.Attempt != nil {
		req.Attempt.MarkSent()
	}
	err = c.exchange(req, w)
	if err != nil && !c.answer.done() && !isDisconnected(err) {
		defer c.upstream.cancel(c.pgConn)
	}
	if !stop() {
		// ctx has ended, perhaps just after the answer. interrupt may run at any time from now on, so
		// the connection can't be used again.
		return core.Result{}, c.fail(ctx, ctx.Err())
	}
	if err != nil {
		return core.Result{}, c.fail(ctx, err)
	}
	c.lastUsed = time.Now()
	return c.answer.result, nil
}

// exchange writes the plan and reads the answer.
func (c *Conn) exchange(req *core.Request, w core.ResponseWriter) error {
	c.answer.start(req, w, &c.plan)
	if len(c.plan.buf) > maxSequentialWrite {
		return c.exchangeLarge()
	}
	if _, err := c.conn.Write(c.plan.buf); err != nil {
		return err
	}
	return c.read()
}

// maxSequentialWrite is the size in bytes up to which a request fits into the buffers of the network, so
// that the write completes even if the upstream waits for its answer to be read.
const maxSequentialWrite = 32 << 10

// exchangeLarge reads the answer while it writes the plan. Otherwise both sides could block in a write
// and deadlock when a long pipeline has long answers.
func (c *Conn) exchangeLarge() error {
	written := make(chan struct{})
	var writeErr error
	go func() {
		defer close(written)
		_, writeErr = c.conn.Write(c.plan.buf)
	}()
	err := c.read()
	if err != nil {
		// Closing the connection ends the write.
		_ = c.conn.Close()
	}
	<-written
	if err != nil {
		return err
	}
	return writeErr
}

func (c *Conn) read() error {
	for !c.answer.done() {
		msg, err := c.frontend.Receive()
		if err != nil {
			return err
		}
		if err := c.answer.handle(msg); err != nil {
			return err
		}
	}
	c.status = c.answer.result.Status
	return nil
}

// watch sets the deadline of all reads and writes, and interrupts them when ctx ends. The returned
// function stops that; it returns false if ctx has ended before.
func (c *Conn) watch(ctx context.Context, req *core.Request) (stop func() bool, err error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	deadline, ok := ctx.Deadline()
	if !req.Deadline.IsZero() && (!ok || req.Deadline.Before(deadline)) {
		deadline, ok = req.Deadline, true
	}
	if !ok {
		deadline = time.Now().Add(c.cfg.RequestTimeout)
	}
	if err := c.conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if ctx.Done() == nil {
		return alwaysStopped, nil
	}
	return context.AfterFunc(ctx, c.interrupt), nil
}

func alwaysStopped() bool { return true }

// fail closes the connection and returns the error with its class and the upstream's id.
func (c *Conn) fail(ctx context.Context, err error) error {
	c.broken = true
	_ = c.conn.Close()
	if core.ErrCaller.Has(err) {
		return err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
		// The connection's deadline comes from ctx or the request, and may expire before ctx reports it.
		err = fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	}
	if ctxErr := ctx.Err(); ctxErr != nil && !errors.Is(err, ctxErr) {
		return core.ErrUpstream.New("upstream %s: %w: %w", c.id, ctxErr, err)
	}
	return core.ErrUpstream.New("upstream %s: %w", c.id, err)
}

// Ping checks that the upstream still answers on the connection. It needs no slot on the upstream.
func (c *Conn) Ping(ctx context.Context) error {
	_, err := c.Run(ctx, pingRequest, discard{})
	return err
}

var pingRequest = &core.Request{Messages: []pgproto3.FrontendMessage{&pgproto3.Sync{}}}

// discard is a core.ResponseWriter that drops all messages.
type discard struct{}

// Send implements core.ResponseWriter.
func (discard) Send(pgproto3.BackendMessage) error { return nil }

// Close ends the connection. The upstream rolls back an open transaction.
func (c *Conn) Close() error { return c.conn.Close() }

// idleCheckAfter is the idle time after which a connection is checked before its next use, so that a
// restart of the upstream is detected before the request is marked as sent.
const idleCheckAfter = 10 * time.Millisecond

// isUsable reports whether the connection can run a request, as far as that is known without sending
// anything.
func (c *Conn) isUsable() bool {
	if c.broken {
		return false
	}
	if time.Since(c.lastUsed) < idleCheckAfter {
		return true
	}
	nc := c.conn
	encrypted := false
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
		encrypted = true
	}
	return isOpen(nc, encrypted)
}
