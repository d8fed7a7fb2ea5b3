package dbconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/stand/dbsim"
)

// testTimeout limits each test.
const testTimeout = 20 * time.Second

// start runs a simulated database on loopback until the test ends.
func start(t testing.TB, cfg dbsim.Config, db *dbsim.Database) (*dbsim.Server, *Upstream) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := cfg.New(db)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, lis) }()
	up := newUpstream(t, lis.Addr().String())
	t.Cleanup(func() {
		_ = up.Close()
		cancel()
		assert.NilError(t, <-done)
	})
	return srv, up
}

func newUpstream(t testing.TB, address string) *Upstream {
	t.Helper()
	up, err := Config{Info: core.UpstreamInfo{ID: "berth-1", Group: "berth-ledger", Address: address}}.New()
	assert.NilError(t, err)
	return up
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func dial(ctx context.Context, t testing.TB, up *Upstream) core.Conn {
	t.Helper()
	c, err := up.Dial(ctx)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// recorder records an answer, one word per message.
type recorder struct {
	words []string
}

func (r *recorder) Send(msg pgproto3.BackendMessage) error {
	word := strings.TrimPrefix(fmt.Sprintf("%T", msg), "*pgproto3.")
	switch msg := msg.(type) {
	case *pgproto3.DataRow:
		values := make([]string, len(msg.Values))
		for i, v := range msg.Values {
			values[i] = string(v)
		}
		word = "(" + strings.Join(values, ",") + ")"
	case *pgproto3.CommandComplete:
		word = string(msg.CommandTag)
	case *pgproto3.ErrorResponse:
		word = msg.Code
	}
	r.words = append(r.words, word)
	return nil
}

func (r *recorder) String() string { return strings.Join(r.words, " | ") }

func simple(class core.Class, sql string) *core.Request {
	return &core.Request{
		Class:    class,
		Attempt:  &core.Attempt{},
		Messages: []pgproto3.FrontendMessage{&pgproto3.Query{String: sql}},
	}
}

// extended builds a request that refers to a named statement without preparing it.
func extended(class core.Class, name, sql string, params ...string) *core.Request {
	bind := &pgproto3.Bind{PreparedStatement: name}
	for _, p := range params {
		bind.Parameters = append(bind.Parameters, []byte(p))
	}
	return &core.Request{
		Class:    class,
		Attempt:  &core.Attempt{},
		Messages: []pgproto3.FrontendMessage{bind, &pgproto3.Execute{}, &pgproto3.Sync{}},
		Prepared: map[string]*pgproto3.Parse{name: {Name: name, Query: sql}},
	}
}

// run runs a request that must not break the connection, and returns its answer.
func run(ctx context.Context, t testing.TB, c core.Conn, req *core.Request) (core.Result, string) {
	t.Helper()
	var rec recorder
	res, err := c.Run(ctx, req, &rec)
	assert.NilError(t, err)
	return res, rec.String()
}

// Guards against control calls that misinterpret the upstream's answer.
func TestControl(t *testing.T) {
	ctx := testContext(t)
	_, up := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
	s, err := up.Status(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, s, core.UpstreamStatus{
		Role: core.RolePrimary, Promised: 1, Log: core.Position{Term: 1, Offset: 1}, Applied: core.Position{Term: 1, Offset: 1},
	})
	s, err = up.Prepare(ctx, 4)
	assert.NilError(t, err)
	assert.Equal(t, s.Promised, core.Term(4))
	_, err = up.Prepare(ctx, 4)
	var refused *core.SQLError
	assert.Assert(t, errors.As(err, &refused))
	s, err = up.Promote(ctx, 4)
	assert.NilError(t, err)
	assert.Equal(t, s.Log, core.Position{Term: 4, Offset: 2})
	s, err = up.Follow(ctx, 5, core.UpstreamInfo{Address: "127.0.0.1:1"})
	assert.NilError(t, err)
	assert.Equal(t, s.Role, core.RoleReplica)
	assert.Equal(t, s.Heard, time.Duration(-1))
}

// Guards against lost answers or commit positions in both forms of the protocol.
func TestRunSimpleAndExtended(t *testing.T) {
	ctx := testContext(t)
	_, up := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
	c := dial(ctx, t, up)
	res, answer := run(ctx, t, c, simple(core.ClassWrite, "CREATE TABLE berths (id int8 PRIMARY KEY, name text)"))
	assert.Equal(t, answer, "CREATE TABLE")
	assert.Equal(t, res.Position, core.Position{Term: 1, Offset: 2})
	assert.Equal(t, res.Status, core.TxIdle)
	res, answer = run(ctx, t, c, extended(core.ClassWrite, "ins", "INSERT INTO berths VALUES ($1, $2)", "1", "quay"))
	assert.Equal(t, answer, "BindComplete | INSERT 0 1")
	assert.Equal(t, res.Position, core.Position{Term: 1, Offset: 3})
	res, answer = run(ctx, t, c, simple(core.ClassRead, "SELECT id, name FROM berths"))
	assert.Equal(t, answer, "RowDescription | (1,quay) | SELECT 1")
	assert.Equal(t, res.Position, core.Position{})
	res, answer = run(ctx, t, c, simple(core.ClassWrite, "INSERT INTO berths VALUES (1, 'pier')"))
	assert.Equal(t, answer, "23505")
	assert.Equal(t, res.Err.State, "23505")
	assert.NilError(t, c.Ping(ctx))
}

// Guards against a write that runs twice although both requests have the same id.
func TestRequestIDRunsOnce(t *testing.T) {
	ctx := testContext(t)
	_, up := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
	c := dial(ctx, t, up)
	run(ctx, t, c, simple(core.ClassWrite, "CREATE TABLE bills (id int8 PRIMARY KEY, amount int8); INSERT INTO bills VALUES (1, 0)"))
	const add = "UPDATE bills SET amount = amount + 5 WHERE id = 1"
	for _, build := range []func() *core.Request{
		func() *core.Request { return simple(core.ClassWrite, add) },
		func() *core.Request { return extended(core.ClassWrite, "add", add) },
	} {
		first := build()
		first.RequestID = core.RequestID(fmt.Sprintf("r-%d", len(first.Messages)))
		res, answer := run(ctx, t, c, first)
		assert.Equal(t, strings.TrimPrefix(answer, "BindComplete | "), "UPDATE 1")
		assert.Assert(t, !res.Position.IsZero())
		again := build()
		again.RequestID = first.RequestID
		_, err := c.Run(ctx, again, &recorder{})
		var dup *core.DuplicateError
		assert.Assert(t, errors.As(err, &dup), "%v", err)
		assert.Equal(t, dup.ID, first.RequestID)
	}
	_, answer := run(ctx, t, c, simple(core.ClassRead, "SELECT amount FROM bills"))
	assert.Equal(t, answer, "RowDescription | (10) | SELECT 1")
}

// Guards against a transaction that runs twice when its caller repeats it with the same request id, and
// against a recorded id that remains although its transaction was rolled back.
func TestRequestIDInTransaction(t *testing.T) {
	ctx := testContext(t)
	_, up := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
	run(ctx, t, dial(ctx, t, up), simple(core.ClassWrite, "CREATE TABLE bills (id int8 PRIMARY KEY, amount int8); INSERT INTO bills VALUES (1, 0)"))
	for _, build := range []func() *core.Request{
		func() *core.Request {
			return simple(core.ClassWrite, "UPDATE bills SET amount = amount + 5 WHERE id = 1")
		},
		func() *core.Request {
			return extended(core.ClassWrite, "add", "UPDATE bills SET amount = amount + 5 WHERE id = 1")
		},
	} {
		id := core.RequestID(fmt.Sprintf("tx-%d", len(build().Messages)))
		for _, end := range []string{"ROLLBACK", "COMMIT"} {
			c := dial(ctx, t, up)
			run(ctx, t, c, simple(core.ClassBegin, "BEGIN"))
			write := build()
			write.RequestID, write.InTx = id, true
			res, answer := run(ctx, t, c, write)
			assert.Equal(t, strings.TrimPrefix(answer, "BindComplete | "), "UPDATE 1")
			assert.Equal(t, res.Status, core.TxOpen)
			run(ctx, t, c, simple(core.ClassEnd, end))
		}
		c := dial(ctx, t, up)
		run(ctx, t, c, simple(core.ClassBegin, "BEGIN"))
		again := build()
		again.RequestID, again.InTx = id, true
		_, err := c.Run(ctx, again, &recorder{})
		var dup *core.DuplicateError
		assert.Assert(t, errors.As(err, &dup), "%v", err)
	}
	_, answer := run(ctx, t, dial(ctx, t, up), simple(core.ClassRead, "SELECT amount FROM bills"))
	assert.Equal(t, answer, "RowDescription | (10) | SELECT 1")
}

// Guards against treating an upstream at its connection limit as one that has failed.
func TestConnectionLimit(t *testing.T) {
	ctx := testContext(t)
	srv, up := start(t, dbsim.Config{Connections: 2}, dbsim.NewPrimary(1))
	dial(ctx, t, up)
	second := dial(ctx, t, up)
	_, err := up.Dial(ctx)
	var refused *core.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Upstream, core.UpstreamID("berth-1"))
	_, err = up.Status(ctx)
	assert.NilError(t, err, "control calls have connections of their own")
	assert.NilError(t, second.Close())
	for srv.Stats().Connections > 1 {
		time.Sleep(time.Millisecond)
	}
	dial(ctx, t, up)
}
