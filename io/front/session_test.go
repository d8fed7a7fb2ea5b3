package front

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against a request that was pipelined after a COMMIT and loses its connection during Drain
// without the error "not run".
func TestDrainRefusesPipelined(t *testing.T) {
	srv := startServer(t)
	d := newDialogue(t, srv, nil)
	d.ready(1)
	d.exchange("begin", query("begin"))
	started, release := make(chan *core.Request, 1), make(chan struct{})
	srv.router.setHook(blocking(started, release))
	d.send(query("commit"), query("insert into t values (1)"))
	<-started
	srv.router.setHook(nil)
	drained := make(chan error, 1)
	go func() { drained <- srv.Drain(context.Background()) }()
	for !srv.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	d.ready(2)
	assert.NilError(t, <-drained)
	assert.Assert(t, strings.Contains(d.out.String(), "FATAL SW002"), d.out.String())
	assert.Equal(t, srv.router.last().Class, core.ClassEnd)
}

// Guards against a Query that runs although it follows an error, after which everything up to Sync must
// be ignored.
func TestQueryAfterError(t *testing.T) {
	srv := startServer(t)
	d := newDialogue(t, srv, nil)
	d.ready(1)
	d.send(join(run("listen a"), query("insert into t values (1)"), syncMsg)...)
	d.ready(1)
	d.send(join(run("listen a"), flushMsg, query("insert into t values (2)"), syncMsg)...)
	d.ready(1)
	d.exchange("after", query("select 1"))
	assert.Equal(t, len(srv.router.seen()), 1, d.out.String())
	assert.Assert(t, strings.Contains(d.out.String(), "SELECT 1"), d.out.String())
}

// Guards against a Query after Flush that runs inside the transaction which the Flush opened.
func TestQueryAfterFlush(t *testing.T) {
	srv := startServer(t)
	d := newDialogue(t, srv, nil)
	d.ready(1)
	d.send(join(run("insert into t values (1)"), flushMsg)...)
	d.until(1, &pgproto3.CommandComplete{})
	d.exchange("query", query("insert into t values (2)"))
	assert.Assert(t, strings.Contains(d.out.String(), "08P01"), d.out.String())
	assert.Equal(t, srv.router.closed, 1)
}

// Guards against refusing the statements that follow the ROLLBACK of a failed transaction in one batch.
func TestRollbackAndMoreInOneBatch(t *testing.T) {
	d := newDialogue(t, startServer(t), nil)
	d.ready(1)
	d.exchange("begin", query("begin"))
	d.exchange("refused", query("listen a"))
	d.out.Reset()
	d.exchange("batch", join(run("rollback"), run("insert into t values (1)"), syncMsg)...)
	assert.Assert(t, strings.Contains(d.out.String(), "INSERT 0 1"), d.out.String())
}

// Guards against a caller that is idle inside a transaction and holds an upstream connection forever.
func TestIdleInTransaction(t *testing.T) {
	srv := startServer(t, func(c *Config) { c.IdleInTxTimeout = 50 * time.Millisecond })
	d := newDialogue(t, srv, nil)
	d.ready(1)
	time.Sleep(100 * time.Millisecond)
	d.exchange("begin", query("begin"))
	d.ready(1)
	assert.Assert(t, strings.Contains(d.out.String(), "FATAL 25P03"), d.out.String())
	assert.Equal(t, srv.router.closed, 1)
}

// Guards against wrong positions in errors: they count from the start of the caller's text, including
// the tags, which the upstream may not have got.
func TestErrorPosition(t *testing.T) {
	srv := startServer(t)
	srv.router.setHook(func(_ context.Context, _ *core.Request, w core.ResponseWriter) (core.Result, bool, error) {
		return core.Result{Status: core.TxIdle}, true, w.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Position: 8})
	})
	conn := srv.connect(t, "")
	_, err := conn.Prepare(t.Context(), "a", "/* session='é' */ select missing")
	assert.Equal(t, positionOf(err), int32(25))
	_, err = conn.Exec(t.Context(), "/* session='é' */ select missing")
	assert.Equal(t, positionOf(err), int32(8), "the upstream got the whole text")
}

func positionOf(err error) int32 {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return -1
	}
	return pgErr.Position
}

// failClass returns a hook that loses the connection for requests of the class after they were sent.
func failClass(class core.Class) hook {
	return func(_ context.Context, req *core.Request, _ core.ResponseWriter) (core.Result, bool, error) {
		if req.Class != class {
			return core.Result{}, false, nil
		}
		req.Attempt.MarkSent()
		return core.Result{}, true, errors.New("reset")
	}
}

// Guards against failures that are hidden from the caller when the listener's own BEGIN or COMMIT for a
// batch with a Flush fails.
func TestFlushTransactionFails(t *testing.T) {
	for name, tc := range map[string]struct {
		class core.Class
		state string
	}{
		"begin":  {core.ClassBegin, "40003"},
		"middle": {core.ClassWrite, "40003"},
		"commit": {core.ClassEnd, "08007"},
	} {
		t.Run(name, func(t *testing.T) {
			srv := startServer(t)
			d := newDialogue(t, srv, nil)
			d.ready(1)
			srv.router.setHook(failClass(tc.class))
			d.send(join(run("insert into t values (1)"), flushMsg, run("insert into t values (2)"), syncMsg)...)
			d.ready(1)
			assert.Assert(t, strings.Contains(d.out.String(), "ERROR "+tc.state), d.out.String())
			assert.Assert(t, strings.HasSuffix(strings.Split(d.out.String(), "U\t")[0], " I\n"), d.out.String())
			srv.router.setHook(nil)
			d.exchange("after", query("insert into t values (3)"))
			assert.Assert(t, !srv.router.last().InTx)
		})
	}
}

// Guards against a FATAL error by which the upstream closes its connection and which also closes the
// caller's.
func TestUpstreamFatal(t *testing.T) {
	srv := startServer(t)
	srv.router.setHook(func(_ context.Context, _ *core.Request, w core.ResponseWriter) (core.Result, bool, error) {
		return core.Result{Status: core.TxIdle}, true, w.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01"})
	})
	conn := srv.connect(t, "")
	_, err := conn.Exec(t.Context(), "select 1")
	assert.Equal(t, stateOf(err), "57P01")
	srv.router.setHook(nil)
	_, err = conn.Exec(t.Context(), "select 1")
	assert.NilError(t, err)
}

// Guards against callers that fail or read old data because their kind was removed from the table.
func TestRemovedKind(t *testing.T) {
	table := fakePolicies{"quote": {Kind: "quote"},
		"booking": {Kind: "booking", Rank: core.RankUrgent, AcceptedAge: time.Hour, Idempotent: true}}
	srv := startServer(t, func(c *Config) { c.Policies = table })
	conn := srv.connect(t, "&snipewall.kind=quote")
	request := func() *core.Request {
		_, err := conn.Exec(t.Context(), "select 1")
		assert.NilError(t, err)
		return srv.router.last()
	}
	assert.Equal(t, request().Kind, core.Kind("quote"))
	delete(table, "quote")
	req := request()
	assert.Equal(t, req.Kind, core.Kind("booking"))
	assert.Equal(t, req.AcceptedAge, time.Duration(0))
	assert.Assert(t, !req.Idempotent)
	delete(table, "booking")
	assert.Equal(t, request().Rank, core.RankLast)
}
