package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// fakeRouter answers requests like a database with one column "v". It records the requests.
type fakeRouter struct {
	mu       sync.Mutex
	requests []*core.Request
	pos      core.Position
	closed   int
	// discardRequests disables the record of requests.
	discardRequests bool
	// hook, if set, is called first. If it returns true, its result is the answer.
	hook func(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, bool, error)
}

func (f *fakeRouter) Execute(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	return f.run(ctx, req, w, nil)
}

// fakeTx is an open transaction of the fakeRouter.
type fakeTx struct {
	f      *fakeRouter
	status core.TxStatus
	wrote  bool
	ended  bool
}

func (t *fakeTx) Run(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if t.ended {
		return core.Result{}, errors.New("the transaction has ended")
	}
	return t.f.run(ctx, req, w, t)
}

func (t *fakeTx) Close() error {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	if !t.ended {
		t.ended = true
		t.f.closed++
	}
	return nil
}

func (f *fakeRouter) run(ctx context.Context, req *core.Request, w core.ResponseWriter, tx *fakeTx) (core.Result, error) {
	f.mu.Lock()
	if !f.discardRequests {
		f.requests = append(f.requests, req)
	}
	hook := f.hook
	f.mu.Unlock()
	if hook != nil {
		if res, ok, err := hook(ctx, req, w); ok {
			return res, err
		}
	}
	if req.Class != core.ClassRead {
		req.Attempt.MarkSent()
	}
	r := fakeRun{f: f, w: w, tx: tx, unnamed: "", portals: map[string]string{}, req: req}
	for _, msg := range req.Messages {
		if err := r.message(msg); err != nil {
			return core.Result{}, err
		}
	}
	res := core.Result{Status: core.TxIdle, Upstream: "u1", Err: r.err}
	if r.tx != nil && !r.tx.ended {
		res.Status, res.Tx = r.tx.status, r.tx
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.commits {
		f.pos.Term = 1
		f.pos.Offset++
		res.Position = f.pos
	}
	return res, nil
}

// fakeRun is the state of one request.
type fakeRun struct {
	f       *fakeRouter
	w       core.ResponseWriter
	req     *core.Request
	tx      *fakeTx
	unnamed string
	portals map[string]string
	commits bool
	err     *core.SQLError
}

func (r *fakeRun) send(msgs ...pgproto3.BackendMessage) error {
	for _, m := range msgs {
		if err := r.w.Send(m); err != nil {
			return err
		}
	}
	return nil
}

func (r *fakeRun) message(msg pgproto3.FrontendMessage) error {
	if r.err != nil {
		return nil
	}
	sqlOf := func(name string) string {
		if name == "" {
			return r.unnamed
		}
		return r.req.Prepared[name].Query
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		for sql := range strings.SplitSeq(strings.TrimSuffix(strings.TrimSpace(m.String), ";"), ";") {
			if err := r.statement(strings.TrimSpace(sql), true); err != nil || r.err != nil {
				return err
			}
		}
	case *pgproto3.Parse:
		if m.Name == "" {
			r.unnamed = m.Query
		}
		if strings.Contains(m.Query, "syntax error") {
			return r.fail("42601", "syntax error")
		}
		return r.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		r.portals[m.DestinationPortal] = sqlOf(m.PreparedStatement)
		return r.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		sql := r.portals[m.Name]
		if m.ObjectType == 'S' {
			sql = sqlOf(m.Name)
			oids := make([]uint32, strings.Count(sql, "$"))
			for i := range oids {
				oids[i] = 25
			}
			if err := r.send(&pgproto3.ParameterDescription{ParameterOIDs: oids}); err != nil {
				return err
			}
		}
		if isSelect(sql) {
			return r.send(rowDescription())
		}
		return r.send(&pgproto3.NoData{})
	case *pgproto3.Execute:
		return r.statement(r.portals[m.Portal], false)
	case *pgproto3.Close:
		return r.send(&pgproto3.CloseComplete{})
	}
	return nil
}

func isSelect(sql string) bool {
	if _, after, ok := strings.Cut(sql, "*/"); ok {
		sql = strings.TrimSpace(after)
	}
	return strings.HasPrefix(strings.ToLower(sql), "select")
}

func rowDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

func (r *fakeRun) fail(state, msg string) error {
	r.err = &core.SQLError{State: state, Message: msg}
	if r.tx != nil {
		r.tx.status = core.TxFailed
	}
	return r.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: state, Message: msg})
}

func (r *fakeRun) statement(sql string, describe bool) error {
	if _, after, ok := strings.Cut(sql, "*/"); ok {
		sql = strings.TrimSpace(after)
	}
	word, _, _ := strings.Cut(strings.ToUpper(sql), " ")
	done := func(tag string) error { return r.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)}) }
	if r.tx != nil && r.tx.status == core.TxFailed && word != "ROLLBACK" && word != "COMMIT" {
		return r.fail("25P02", "current transaction is aborted")
	}
	switch {
	case word == "BEGIN":
		r.tx = &fakeTx{f: r.f, status: core.TxOpen}
		return done(word)
	case word == "COMMIT", word == "ROLLBACK":
		if r.tx != nil {
			if r.tx.status == core.TxFailed {
				word = "ROLLBACK"
			}
			r.commits = word == "COMMIT" && r.tx.wrote
			r.tx.ended = true
		}
		return done(word)
	case strings.Contains(sql, "missing"):
		return r.fail("42P01", `relation "missing" does not exist`)
	case isSelect(sql):
		if describe {
			if err := r.send(rowDescription()); err != nil {
				return err
			}
		}
		if err := r.send(&pgproto3.DataRow{Values: [][]byte{[]byte("1")}}); err != nil {
			return err
		}
		return done("SELECT 1")
	case word == "INSERT":
		if r.tx != nil {
			r.tx.wrote = true
		} else {
			r.commits = true
		}
		return done("INSERT 0 1")
	}
	return done(word)
}

// fakePolicies implements core.Policies.
type fakePolicies map[core.Kind]core.KindPolicy

func (p fakePolicies) Policy(kind core.Kind) (core.KindPolicy, bool) {
	row, ok := p[kind]
	return row, ok
}

func (p fakePolicies) Kinds() []core.KindPolicy { return nil }

type fakeGroups struct{}

func (fakeGroups) Has(id core.GroupID) bool { return id == "berth-ledger" }

var testPolicies = fakePolicies{
	"booking": {Kind: "booking", Rank: core.RankUrgent, Deadline: 10 * time.Second},
	"quote": {Kind: "quote", Rank: core.RankMiddle, AcceptedAge: time.Second, Idempotent: true,
		Deadline: 5 * time.Second},
}

// testServer runs a Server on a loopback listener until the test ends.
type testServer struct {
	*Server
	router *fakeRouter
	addr   string
}

func startServer(tb testing.TB, change ...func(*Config)) *testServer {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	router := &fakeRouter{}
	cfg := Config{Listener: l, Router: router, Policies: testPolicies, Groups: fakeGroups{},
		DefaultKind: "booking"}
	for _, c := range change {
		c(&cfg)
	}
	srv := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		assert.NilError(tb, <-done)
	})
	return &testServer{Server: srv, router: router, addr: l.Addr().String()}
}

func (t *testServer) url(params string) string {
	return fmt.Sprintf("postgres://desk@%s/berth-ledger?sslmode=disable%s", t.addr, params)
}

func (t *testServer) connect(tb testing.TB, params string) *pgx.Conn {
	tb.Helper()
	conn, err := pgx.Connect(tb.Context(), t.url(params))
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// seen returns the requests so far.
func (f *fakeRouter) seen() []*core.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*core.Request(nil), f.requests...)
}

func (f *fakeRouter) last() *core.Request {
	all := f.seen()
	return all[len(all)-1]
}

func (f *fakeRouter) setHook(h hook) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = h
}

// failWith is a hook that fails every request.
func failWith(err error) hook {
	return func(context.Context, *core.Request, core.ResponseWriter) (core.Result, bool, error) {
		return core.Result{}, true, err
	}
}
