package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// pipeListener accepts in-memory connections, since synctest doesn't support network connections.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

type fakeExecutor func(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error)

func (f fakeExecutor) Execute(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	return f(ctx, req, w)
}

// rowCollector keeps copies of the rows of an answer.
type rowCollector struct{ rows []string }

func (c *rowCollector) Send(msg pgproto3.BackendMessage) error {
	if row, ok := msg.(*pgproto3.DataRow); ok {
		c.rows = append(c.rows, string(row.Values[0]))
	}
	return nil
}

// start runs a server and returns an executor that reaches it.
func start(t *testing.T, exec fakeExecutor) core.Executor {
	t.Helper()
	ln := newPipeListener()
	srv := NewServer(ServerConfig{Listener: ln, Find: func(core.UpstreamID) (core.Executor, bool) { return exec, true }})
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- srv.Run(ctx) }()
	client := NewClient(ClientConfig{Dial: ln.dial})
	t.Cleanup(func() {
		client.Close()
		cancel()
		assert.NilError(t, <-end)
	})
	return client.Executor(core.VM{ID: "vm-2", Relay: "vm-2"}, "berth-1")
}

func newTestRequest(id uint64, sql string) *core.Request {
	return &core.Request{
		ID: id, Group: "berth", Kind: "quote", Attempt: &core.Attempt{}, Deadline: time.Now().Add(5 * time.Second),
		Messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: sql}},
	}
}

func echo(_ context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	sql := req.Messages[0].(*pgproto3.Query).String
	if err := w.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(sql)}}); err != nil {
		return core.Result{}, err
	}
	return core.Result{Status: core.TxIdle, Position: core.Position{Term: 2, Offset: 7}, Upstream: "berth-1"}, nil
}

// Guards against answers that reach another request on a reused connection, and against lost positions.
func TestRelayPassesRequestsAndAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exec := start(t, echo)
		for id, sql := range []string{"select 1", "select 2"} {
			var got rowCollector
			res, err := exec.Execute(t.Context(), newTestRequest(uint64(id+1), sql), &got)
			assert.NilError(t, err)
			assert.DeepEqual(t, got.rows, []string{sql})
			assert.Equal(t, res.Position, core.Position{Term: 2, Offset: 7})
		}
	})
}

// Guards against errors that lose their type on the way, so that a request that has not run is reported
// as one that may have run, or the other way round.
func TestRelayKeepsErrorTypes(t *testing.T) {
	var notRun *core.NotRunError
	var redirected *core.RedirectError
	var unknown *core.UnknownOutcomeError
	var duplicate *core.DuplicateError
	tests := []struct {
		name string
		err  error
		sent bool
		want any
	}{
		{"not run", &core.NotRunError{State: core.StateOverload, RetryAfter: time.Second}, false, &notRun},
		{"redirect", &core.RedirectError{Primary: "berth-2"}, false, &redirected},
		{"unknown", &core.UnknownOutcomeError{Reason: "term ended"}, true, &unknown},
		{"duplicate", &core.DuplicateError{ID: "r-1"}, true, &duplicate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				exec := start(t, func(context.Context, *core.Request, core.ResponseWriter) (core.Result, error) {
					return core.Result{}, tt.err
				})
				req := newTestRequest(1, "select 1")
				_, err := exec.Execute(t.Context(), req, &rowCollector{})
				assert.Assert(t, errors.As(err, tt.want), "got %v", err)
				assert.Equal(t, req.Attempt.IsSent(), tt.sent)
			})
		})
	}
}

// Guards against waiting until the deadline on a connection whose other side has stopped answering,
// and against closing the connection of a request that is only slow.
func TestRelayHeartbeatTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exec := start(t, func(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
			time.Sleep(3 * HeartbeatTimeout)
			return echo(ctx, req, w)
		})
		_, err := exec.Execute(t.Context(), newTestRequest(1, "select slow"), &rowCollector{})
		assert.NilError(t, err)
	})
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(ClientConfig{Dial: func(context.Context, string) (net.Conn, error) {
			c, s := net.Pipe()
			go func() { // reads everything and never answers, until the client closes
				buf := make([]byte, 1024)
				for {
					if _, err := s.Read(buf); err != nil {
						return
					}
				}
			}()
			return c, nil
		}})
		began := time.Now()
		req := newTestRequest(1, "select 1")
		_, err := client.Executor(core.VM{Relay: "vm-2"}, "berth-1").Execute(t.Context(), req, &rowCollector{})
		assert.Assert(t, err != nil && req.Attempt.IsSent())
		assert.Equal(t, time.Since(began), HeartbeatTimeout)
		assert.Equal(t, client.Dump(), any(ClientState{}))
	})
}

// Guards against a request that continues to run after its caller has canceled it, and against reuse
// of its connection.
func TestRelayCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var canceled atomic.Bool
		exec := start(t, func(ctx context.Context, _ *core.Request, _ core.ResponseWriter) (core.Result, error) {
			<-ctx.Done()
			canceled.Store(true)
			return core.Result{}, ctx.Err()
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := exec.Execute(ctx, newTestRequest(1, "select 1"), &rowCollector{})
		assert.Assert(t, err != nil)
		synctest.Wait()
		assert.Assert(t, canceled.Load())
	})
}

// Guards against idle connections to hundreds of entry VMs that are never closed.
func TestRelayIdleConnectionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := newPipeListener()
		srv := NewServer(ServerConfig{Listener: ln, Find: func(core.UpstreamID) (core.Executor, bool) { return fakeExecutor(echo), true }})
		client := NewClient(ClientConfig{Dial: ln.dial})
		ctx, cancel := context.WithCancel(t.Context())
		ends := make(chan error, 2)
		go func() { ends <- srv.Run(ctx) }()
		go func() { ends <- client.Run(ctx) }()
		for _, address := range []string{"vm-2", "vm-3"} {
			_, err := client.Executor(core.VM{Relay: address}, "berth-1").Execute(t.Context(), newTestRequest(1, "select 1"), &rowCollector{})
			assert.NilError(t, err)
		}
		assert.Equal(t, client.Dump(), any(ClientState{Idle: 2, Peers: 2}))
		time.Sleep(IdleTimeout + IdleTimeout/2)
		assert.Equal(t, client.Dump(), any(ClientState{}))
		cancel()
		assert.NilError(t, <-ends)
		assert.NilError(t, <-ends)
	})
}

type fakeTx struct {
	fakeExecutor
	closed *atomic.Bool
}

func (x *fakeTx) Run(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	return x.fakeExecutor(ctx, req, w)
}

func (x *fakeTx) Close() error { x.closed.Store(true); return nil }

// Guards against a transaction that stays open after the client has closed its connection.
func TestRelayTransactionEndsWithItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var closed atomic.Bool
		inTx := &fakeTx{closed: &closed}
		open := func(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
			res, err := echo(ctx, req, w)
			res.Status, res.Tx = core.TxOpen, inTx
			return res, err
		}
		inTx.fakeExecutor = open
		exec := start(t, open)
		res, err := exec.Execute(t.Context(), newTestRequest(1, "begin"), &rowCollector{})
		assert.NilError(t, err)
		var got rowCollector
		res, err = res.Tx.Run(t.Context(), newTestRequest(2, "update"), &got)
		assert.NilError(t, err)
		assert.DeepEqual(t, got.rows, []string{"update"})
		assert.NilError(t, res.Tx.Close())
		synctest.Wait()
		assert.Assert(t, closed.Load())
	})
}

// Guards against a crash on damaged frames from another entry VM.
func FuzzDecodeMessages(f *testing.F) {
	buf, err := encodeMessages([]pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "s", Query: "select $1"}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Sync{},
	})
	assert.NilError(f, err)
	f.Add(buf)
	f.Add([]byte{'Q', 0, 0, 0, 1})
	f.Add([]byte{'B', 0, 0, 0, 9, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		msgs, err := decodeMessages(data)
		if err != nil {
			return
		}
		_, err = encodeMessages(msgs)
		assert.NilError(t, err)
	})
}
