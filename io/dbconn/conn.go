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
	// statusNames are the columns of a status, once they are known.
	statusNames []string
	id          core.UpstreamID
	cfg         *Config
	conn        net.Conn
	front       *pgproto3.Frontend
	// origin performed the start-up; it knows how to cancel a statement.
	origin *pgconn.PgConn
	up     *Upstream
	// broken tells that the connection must not be used again.
	broken bool
	// lastUsed is when the last request ended.
	lastUsed time.Time
	status   core.TxStatus
	// prepared holds the names of the statements that the upstream has on this connection.
	prepared map[string]struct{}
	// closing holds the names of statements to be closed with the next extended request.
	closing []string
	plan    plan
	answer  answer
	// interrupt is the method value that wakes a blocked read or write.
	interrupt func()
}

var _ core.Conn = (*Conn)(nil)

func newConn(u *Upstream, pc *pgconn.PgConn, hc *pgconn.HijackedConn) *Conn {
	c := &Conn{
		id:       u.cfg.Info.ID,
		cfg:      &u.cfg,
		conn:     hc.Conn,
		front:    hc.Frontend,
		origin:   pc,
		up:       u,
		lastUsed: time.Now(),
		status:   core.TxIdle,
		prepared: make(map[string]struct{}),
	}
	c.answer.c = c
	c.interrupt = func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }
	return c
}

// errUnusable says that the connection failed before; nothing was sent.
var errUnusable = errors.New("connection is closed")

// Run sends the request and passes the answer on, except ReadyForQuery and the commit position.
//
// A write with a request id records the id in its transaction, or in one of its own; a repeated id is
// a *core.DuplicateError, after which the connection is still usable and an open transaction has
// failed. After any other error it is closed. If req.Attempt is not marked then, nothing was sent. An error of w has the
// class core.ErrCaller, all others core.ErrUpstream.
func (c *Conn) Run(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if !c.usable() {
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
	if err != nil && !c.answer.done() && !disconnected(err) {
		defer c.up.cancel(c.origin)
	}
	if !stop() {
		// The request was canceled, perhaps just after its end. The deadline may be set in the past
		// at any moment from now on.
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
	if len(c.plan.buf) > maxPlainWrite {
		return c.exchangeLarge()
	}
	if _, err := c.conn.Write(c.plan.buf); err != nil {
		return err
	}
	return c.read()
}

// maxPlainWrite is the size up to which a request fits into the buffers on the way, so that the
// upstream takes it even while nobody reads its answer.
const maxPlainWrite = 32 << 10

// exchangeLarge reads the answer while it writes. Otherwise both sides could wait for each other when
// a long pipeline has long answers.
func (c *Conn) exchangeLarge() error {
	written := make(chan struct{})
	var writeErr error
	go func() {
		defer close(written)
		_, writeErr = c.conn.Write(c.plan.buf)
	}()
	err := c.read()
	if err != nil {
		// Closing ends the write.
		_ = c.conn.Close()
	}
	<-written
	if err != nil {
		return err
	}
	return writeErr
}

// read reads the answer to the plan.
func (c *Conn) read() error {
	for !c.answer.done() {
		msg, err := c.front.Receive()
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

// watch sets the deadline of all reads and writes and makes the end of ctx interrupt them. The
// returned function ends that; it returns false if ctx ended before.
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

// fail closes the connection and describes the error.
func (c *Conn) fail(ctx context.Context, err error) error {
	c.broken = true
	_ = c.conn.Close()
	if core.ErrCaller.Has(err) {
		return err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
		// The connection's deadline is the context's or the request's and may be noticed first.
		err = fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	}
	if ctxErr := ctx.Err(); ctxErr != nil && !errors.Is(err, ctxErr) {
		return core.ErrUpstream.New("upstream %s: %w: %w", c.id, ctxErr, err)
	}
	return core.ErrUpstream.New("upstream %s: %w", c.id, err)
}

// Ping checks that the connection still answers. It needs no slot on the upstream.
func (c *Conn) Ping(ctx context.Context) error {
	_, err := c.Run(ctx, pingRequest, discard{})
	return err
}

var pingRequest = &core.Request{Messages: []pgproto3.FrontendMessage{&pgproto3.Sync{}}}

// discard drops an answer.
type discard struct{}

// Send implements core.ResponseWriter.
func (discard) Send(pgproto3.BackendMessage) error { return nil }

// Close ends the connection. The upstream rolls back an open transaction.
func (c *Conn) Close() error { return c.conn.Close() }

// idleCheck is the idle time after which a connection is checked before its next use. An upstream
// that restarted in the meantime is then noticed before the request is marked as sent.
const idleCheck = 10 * time.Millisecond

// usable reports whether the connection can take a request, as far as that is known without
// sending anything.
func (c *Conn) usable() bool {
	if c.broken {
		return false
	}
	if time.Since(c.lastUsed) < idleCheck {
		return true
	}
	nc := c.conn
	encrypted := false
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
		encrypted = true
	}
	return connected(nc, encrypted)
}
