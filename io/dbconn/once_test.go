package dbconn

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/stand/dbsim"
)

// Guards against reporting the missing table of request ids instead of the replica's refusal.
func TestRequestIDOnReplica(t *testing.T) {
	ctx := testContext(t)
	_, up := start(t, dbsim.Config{}, dbsim.NewReplica(1, ""))
	req := simple(core.ClassWrite, "CREATE TABLE t (id int8)")
	req.RequestID = "r-1"
	res, answer := run(ctx, t, dial(ctx, t, up), req)
	assert.Equal(t, answer, core.StateReadOnly)
	assert.Equal(t, res.Err.State, core.StateReadOnly)
}

// Guards against two concurrent requests with the same id that both run, and against the id of a failed
// write that prevents its repetition.
func TestRequestIDConcurrent(t *testing.T) {
	ctx := testContext(t)
	_, up := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
	c := dial(ctx, t, up)
	run(ctx, t, c, simple(core.ClassWrite, "CREATE TABLE bills (id bigserial PRIMARY KEY, n int8)"))
	var wg sync.WaitGroup
	var mu sync.Mutex
	ran, duplicates := 0, 0
	for range 8 {
		c := dial(ctx, t, up)
		wg.Go(func() {
			req := simple(core.ClassWrite, "INSERT INTO bills (n) VALUES (1)")
			req.RequestID = "r-1"
			_, err := c.Run(ctx, req, &recorder{})
			mu.Lock()
			defer mu.Unlock()
			var dup *core.DuplicateError
			switch {
			case err == nil:
				ran++
			case errors.As(err, &dup):
				duplicates++
			}
		})
	}
	wg.Wait()
	assert.Equal(t, ran, 1)
	assert.Equal(t, duplicates, 7)
	prepare := &core.Request{Class: core.ClassWrite, RequestID: "r-2", Messages: []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "ins", Query: "INSERT INTO bills (n) VALUES (2)"}, &pgproto3.Sync{},
	}}
	_, answer := run(ctx, t, c, prepare)
	assert.Equal(t, answer, "ParseComplete")
	for _, want := range []string{"22P02", "INSERT 0 1"} {
		value := map[string]string{"22P02": "'x'", "INSERT 0 1": "2"}[want]
		req := simple(core.ClassWrite, "INSERT INTO bills (n) VALUES ("+value+")")
		req.RequestID = "r-2"
		res, answer := run(ctx, t, c, req)
		assert.Equal(t, answer, want)
		assert.Equal(t, res.Err == nil, want != "22P02")
		assert.Equal(t, res.Status, core.TxIdle)
	}
}

// Guards against preparing the statement that records request ids a second time after it was evicted,
// while it is not yet closed on the upstream.
func TestRecordStatementEvicted(t *testing.T) {
	ctx := testContext(t)
	_, up := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
	up.cfg.MaxPrepared = 1
	c := dial(ctx, t, up)
	run(ctx, t, c, simple(core.ClassWrite, "CREATE TABLE bills (id bigserial PRIMARY KEY, n int8)"))
	for i := range 3 {
		req := simple(core.ClassWrite, "INSERT INTO bills (n) VALUES (1)")
		req.RequestID = core.RequestID(fmt.Sprint("r-", i))
		_, answer := run(ctx, t, c, req)
		assert.Equal(t, answer, "INSERT 0 1")
		run(ctx, t, c, extended(core.ClassRead, "get", "SELECT count(*) FROM bills"))
	}
}

// beginFails is a connection on which the upstream refuses BEGIN.
type beginFails struct{ net.Conn }

func (c beginFails) Write(b []byte) (int, error) {
	return c.Conn.Write(bytes.ReplaceAll(b, []byte("BEGIN\x00"), []byte("BEG--\x00")))
}

// Guards against a write that commits without its request id, or runs a second time, although the caller is told that it
// failed, on an upstream that refuses the BEGIN before it.
func TestRequestIDWithoutTransaction(t *testing.T) {
	for name, write := range map[string]func() *core.Request{
		"simple": func() *core.Request { return simple(core.ClassWrite, "INSERT INTO bills (n) VALUES (1)") },
		"extended": func() *core.Request {
			return extended(core.ClassWrite, "ins", "INSERT INTO bills (n) VALUES ($1)", "1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx := testContext(t)
			_, up := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
			c := dial(ctx, t, up).(*Conn)
			run(ctx, t, c, simple(core.ClassWrite, "CREATE TABLE bills (id bigserial PRIMARY KEY, n int8)"))
			runAs := func(id core.RequestID) (core.Result, string) {
				req := write()
				req.RequestID = id
				return run(ctx, t, c, req)
			}
			checkCount := func(want int) {
				_, answer := run(ctx, t, c, simple(core.ClassRead, "SELECT count(*) FROM bills"))
				assert.Assert(t, strings.Contains(answer, fmt.Sprintf("(%d)", want)), "%d writes succeeded: %s", want, answer)
			}
			_, answer := runAs("first")
			assert.Assert(t, strings.HasSuffix(answer, "INSERT 0 1"), answer)
			healthy := c.conn
			c.conn = beginFails{healthy}
			for _, id := range []core.RequestID{"first", "second"} {
				res, answer := runAs(id)
				assert.Equal(t, answer, "42601")
				assert.Equal(t, res.Status, core.TxIdle)
				checkCount(1)
			}
			c.conn = healthy
			_, answer = runAs("second")
			assert.Assert(t, strings.HasSuffix(answer, "INSERT 0 1"), "the id of a write that hasn't run is free: %s", answer)
			checkCount(2)
		})
	}
}
