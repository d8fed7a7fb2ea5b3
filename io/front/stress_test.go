package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// echo is a hook that answers with the quoted text in the request's SQL, or with its first parameter, in
// several rows and with pauses. It stops when its context ends.
func echo(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, bool, error) {
	req.Attempt.MarkSent()
	var value []byte
	var msgs []pgproto3.BackendMessage
	for _, m := range req.Messages {
		switch m := m.(type) {
		case *pgproto3.Query:
			value = []byte(strings.Split(m.String, "'")[1])
			msgs = append(msgs, rowDescription())
		case *pgproto3.Parse:
			msgs = append(msgs, &pgproto3.ParseComplete{})
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				msgs = append(msgs, &pgproto3.ParameterDescription{ParameterOIDs: []uint32{25}})
			}
			msgs = append(msgs, rowDescription())
		case *pgproto3.Bind:
			value = m.Parameters[0]
			msgs = append(msgs, &pgproto3.BindComplete{})
		case *pgproto3.Execute:
		}
	}
	if value != nil {
		for range rand.IntN(5) {
			msgs = append(msgs, &pgproto3.DataRow{Values: [][]byte{value}})
		}
		msgs = append(msgs, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	}
	for _, m := range msgs {
		if rand.IntN(20) == 0 {
			time.Sleep(time.Duration(rand.IntN(300)) * time.Microsecond)
		}
		if ctx.Err() != nil {
			return core.Result{}, true, ctx.Err()
		}
		if err := w.Send(m); err != nil {
			return core.Result{}, true, err
		}
	}
	return core.Result{Status: core.TxIdle}, true, nil
}

// Guards against callers that get the rows of others because of a fault in the handling of pooled
// buffers.
func TestAnswersDoNotMix(t *testing.T) {
	srv := startServer(t, func(c *Config) { c.ParkDelay = time.Millisecond })
	srv.router.discardRequests = true
	srv.router.setHook(echo)
	const callers, requests = 40, 60
	ends := make(chan error, callers)
	for i := range callers {
		go func() { ends <- checkOwnRows(srv.url(""), i, requests) }()
	}
	for range callers {
		assert.NilError(t, <-ends)
	}
}

// checkOwnRows runs queries and checks that all rows are its own. It cancels some queries, after which the
// driver may close the connection abruptly.
func checkOwnRows(url string, caller, requests int) error {
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close(context.Background())
		}
	}()
	for n := range requests {
		if conn == nil || conn.IsClosed() {
			var err error
			if conn, err = pgx.Connect(context.Background(), url); err != nil {
				return err
			}
		}
		want := fmt.Sprintf("%d/%d/%s", caller, n, strings.Repeat("x", rand.IntN(2000)))
		ctx, cancel := context.WithCancel(context.Background())
		if rand.IntN(10) == 0 {
			time.AfterFunc(time.Duration(rand.IntN(500))*time.Microsecond, cancel)
		}
		sql, args := "select '"+want+"'", []any{pgx.QueryExecModeSimpleProtocol}
		if n%2 == 0 {
			sql, args = "select $1", []any{want}
		}
		rows, err := conn.Query(ctx, sql, args...)
		for err == nil && rows.Next() {
			var got string
			if err = rows.Scan(&got); err == nil && got != want {
				cancel()
				return fmt.Errorf("caller %d got %.20q for %.20q", caller, got, want)
			}
		}
		if err == nil {
			err = rows.Err()
		}
		canceled := ctx.Err() != nil
		cancel()
		if err != nil && !canceled {
			return err
		}
	}
	return nil
}

// Guards against a caller that doesn't read its answer and holds the upstream connection.
func TestStalledCaller(t *testing.T) {
	srv := startServer(t, func(c *Config) {
		c.Policies = fakePolicies{"booking": {Kind: "booking", Deadline: 50 * time.Millisecond}}
	})
	ended := make(chan error, 1)
	srv.router.setHook(func(_ context.Context, _ *core.Request, w core.ResponseWriter) (core.Result, bool, error) {
		row := &pgproto3.DataRow{Values: [][]byte{make([]byte, 10_000)}}
		for {
			if err := w.Send(row); err != nil {
				ended <- err
				return core.Result{}, true, err
			}
		}
	})
	d := newDialogue(t, srv, nil)
	d.ready(1)
	d.send(query("select 1"))
	select {
	case err := <-ended:
		assert.ErrorContains(t, err, "timeout")
	case <-time.After(10 * time.Second):
		t.Fatal("the answer of a caller that doesn't read goes on")
	}
}

// Guards against faults in a driver's batches, which have many statements before one Sync.
func TestPgxBatch(t *testing.T) {
	srv := startServer(t)
	conn := srv.connect(t, "")
	for range 2 {
		b := &pgx.Batch{}
		b.Queue("set snipewall.kind = 'quote'")
		b.Queue("insert into t values ($1)", "x")
		b.Queue("select v from t where a = $1", "y")
		b.Queue("insert into t values ($1)", "z")
		res := conn.SendBatch(t.Context(), b)
		for range b.Len() {
			_, err := res.Exec()
			assert.NilError(t, err)
		}
		assert.NilError(t, res.Close())
		assert.Equal(t, srv.router.last().Class, core.ClassWrite)
		assert.Equal(t, srv.router.last().Kind, core.Kind("quote"))
	}
}
