package dbconn

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"math/big"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/stand/dbsim"
	"snipewall/stand/memnet"
)

// host is the address of the upstream in simulated tests.
const host = "berth-1:5432"

// runSimulated runs a test on the fake clock against one upstream on an in-memory network.
func runSimulated(t *testing.T, cfg dbsim.Config, scenario func(ctx context.Context, n *memnet.Network, srv *dbsim.Server, up *Upstream)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n := memnet.New()
		lis, err := n.Listen(host)
		assert.NilError(t, err)
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return n.Dial(ctx, "berth-1", addr) }
		srv := cfg.New(dbsim.NewPrimary(1))
		done := make(chan error, 1)
		go func() { done <- srv.Serve(ctx, lis) }()
		up, err := Config{Info: core.UpstreamInfo{ID: "berth-1", Group: "berth-ledger", Address: host}, Dial: n.Dialer("entry-1")}.New()
		assert.NilError(t, err)
		// This is deferred because a failed assertion would otherwise deadlock the fake clock, which
		// hides the failure.
		defer func() {
			_ = up.Close()
			cancel()
			assert.Check(t, <-done)
		}()
		scenario(ctx, n, srv, up)
	})
}

// runWithTimeout runs a request with a timeout and returns its answer.
func runWithTimeout(ctx context.Context, d time.Duration, c core.Conn, req *core.Request) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var rec recorder
	_, err := c.Run(ctx, req, &rec)
	return rec.String(), err
}

// Guards against a late answer that reaches the next request on the connection, against requests that
// hang on a connection without an answer, and against errors that claim that nothing was sent.
func TestUnansweredRequests(t *testing.T) {
	const limit = 200 * time.Millisecond
	tests := []struct {
		name string
		// fault is set to value once the connection is open.
		fault, value string
		// deadline sets the deadline in the request instead of the context.
		deadline bool
		cancel   bool
		want     error
	}{
		{name: "late answer", fault: dbsim.FaultLateAnswer, value: "300ms", want: context.DeadlineExceeded},
		{name: "late answer, request's deadline", fault: dbsim.FaultLateAnswer, value: "300ms", deadline: true, want: context.DeadlineExceeded},
		{name: "canceled", fault: dbsim.FaultLateAnswer, value: "300ms", cancel: true, want: context.Canceled},
		{name: "silent connection", fault: dbsim.FaultSilent, value: "callers", want: context.DeadlineExceeded},
		{name: "cut off", fault: dbsim.FaultCut, value: "both@1s", want: context.DeadlineExceeded},
		{name: "frozen", fault: dbsim.FaultFreeze, value: "on@1s", want: context.DeadlineExceeded},
		{name: "answer lost", fault: dbsim.FaultLoseAnswer, value: "commit", want: nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSimulated(t, dbsim.Config{}, func(ctx context.Context, _ *memnet.Network, srv *dbsim.Server, up *Upstream) {
				c, err := up.Dial(ctx)
				assert.NilError(t, err)
				assert.NilError(t, srv.Fault(tt.fault, tt.value))
				req := simple(core.ClassWrite, "CREATE TABLE t (id int8)")
				runCtx, cancel := context.WithTimeout(ctx, limit)
				defer cancel()
				if tt.deadline {
					runCtx = ctx
					req.Deadline = time.Now().Add(limit)
				}
				if tt.cancel {
					time.AfterFunc(limit/2, cancel)
				}
				begin := time.Now()
				var rec recorder
				_, err = c.Run(runCtx, req, &rec)
				assert.Assert(t, err != nil)
				assert.Assert(t, time.Since(begin) <= limit)
				if tt.want != nil {
					assert.ErrorIs(t, err, tt.want)
				}
				assert.Equal(t, rec.String(), "")
				assert.Assert(t, req.Attempt.IsSent())
				time.Sleep(2 * time.Second)
				next := simple(core.ClassRead, "SELECT 1")
				_, err = runWithTimeout(ctx, limit, c, next)
				assert.ErrorIs(t, err, errUnusable)
				assert.Assert(t, !next.Attempt.IsSent())
				assert.NilError(t, srv.Fault(dbsim.FaultLateAnswer, "off"))
				fresh, err := up.Dial(ctx)
				assert.NilError(t, err)
				answer, err := runWithTimeout(ctx, limit, fresh, next)
				assert.NilError(t, err)
				assert.Equal(t, answer, "RowDescription | (1) | SELECT 1")
			})
		})
	}
}

// Guards against control calls that hang on a connection without answers, or that don't recover after a
// fault.
func TestControlRecovers(t *testing.T) {
	runSimulated(t, dbsim.Config{}, func(ctx context.Context, n *memnet.Network, srv *dbsim.Server, up *Upstream) {
		status := func() error {
			ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			_, err := up.Status(ctx)
			return err
		}
		assert.NilError(t, status())
		assert.NilError(t, srv.Fault(dbsim.FaultSilent, "callers"))
		assert.ErrorIs(t, status(), context.DeadlineExceeded)
		assert.NilError(t, status())
		n.CutBoth("entry-1", "berth-1")
		assert.ErrorIs(t, status(), context.DeadlineExceeded)
		n.HealBoth("entry-1", "berth-1")
		assert.NilError(t, status())
		assert.NilError(t, srv.Fault(dbsim.FaultLoseAnswer, "status"))
		assert.NilError(t, status(), "a status may be asked again")
		for i, name := range []string{"prepare", "promote", "follow"} {
			assert.NilError(t, srv.Fault(dbsim.FaultLoseAnswer, name))
			term := core.Term(2)
			calls := []func() (core.UpstreamStatus, error){
				func() (core.UpstreamStatus, error) { return up.Prepare(ctx, term) },
				func() (core.UpstreamStatus, error) { return up.Promote(ctx, term) },
				func() (core.UpstreamStatus, error) {
					return up.Follow(ctx, term+1, core.UpstreamInfo{Address: "x:1"})
				},
			}
			_, err := calls[i]()
			assert.Assert(t, err != nil && !isRefusal(err), "%s: %v", name, err)
			s, err := calls[i]()
			assert.Equal(t, err == nil, name != "prepare", "the lost %s took effect: %v", name, err)
			assert.Assert(t, s.Promised == 0 || s.Promised >= term)
		}
		n.Crash("berth-1")
		assert.ErrorIs(t, status(), syscall.ECONNREFUSED)
	})
}

// Guards against a statement that continues to occupy a slot after its request has timed out.
func TestTimedOutStatementIsCanceled(t *testing.T) {
	runSimulated(t, dbsim.Config{Slots: 1}, func(ctx context.Context, _ *memnet.Network, _ *dbsim.Server, up *Upstream) {
		c, err := up.Dial(ctx)
		assert.NilError(t, err)
		_, err = runWithTimeout(ctx, 50*time.Millisecond, c, simple(core.ClassRead, "SELECT pg_sleep(10)"))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		next, err := up.Dial(ctx)
		assert.NilError(t, err)
		_, err = runWithTimeout(ctx, 50*time.Millisecond, next, simple(core.ClassRead, "SELECT 1"))
		assert.NilError(t, err)
		assert.NilError(t, next.Close())
	})
}

// Guards against an unknown outcome of the first request after the upstream has closed an idle
// connection.
func TestRestartWhileIdle(t *testing.T) {
	ctx := testContext(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	serveCtx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- dbsim.Config{}.New(dbsim.NewPrimary(1)).Serve(serveCtx, lis) }()
	c := dial(ctx, t, newUpstream(t, lis.Addr().String()))
	stop()
	assert.NilError(t, <-done)
	time.Sleep(2 * idleCheckAfter)
	req := simple(core.ClassWrite, "CREATE TABLE t (id int8)")
	_, err = c.Run(ctx, req, &recorder{})
	assert.ErrorIs(t, err, errUnusable)
	assert.Assert(t, !req.Attempt.IsSent())
}

// Guards against acknowledging a write whose commit was refused.
func TestRefusedCommit(t *testing.T) {
	for _, id := range []core.RequestID{"", "r-1"} {
		cfg := dbsim.Config{ServiceTime: 100 * time.Millisecond}
		runSimulated(t, cfg, func(ctx context.Context, _ *memnet.Network, srv *dbsim.Server, up *Upstream) {
			c, err := up.Dial(ctx)
			assert.NilError(t, err)
			run(ctx, t, c, simple(core.ClassWrite, "CREATE TABLE t (id int8); CREATE TABLE snipewall_requests (id text PRIMARY KEY)"))
			req := extended(core.ClassWrite, "ins", "INSERT INTO t VALUES (1)")
			wait := extended(core.ClassWrite, "wait", "SELECT pg_sleep(0.5)")
			req.Messages = append(req.Messages[:2:2], wait.Messages...)
			req.Prepared["wait"] = wait.Prepared["wait"]
			req.RequestID = id
			time.AfterFunc(300*time.Millisecond, func() { _, _ = srv.Database().Prepare(2) })
			res, answer := run(ctx, t, c, req)
			assert.Equal(t, res.Err.State, core.StateReadOnly)
			assert.Equal(t, res.Position, core.Position{})
			assert.Equal(t, answer, "BindComplete | INSERT 0 1 | BindComplete | () | 25006", "the last CommandComplete is void")
			assert.Equal(t, res.Status, core.TxIdle)
		})
	}
}

// Guards against answers that don't match the request when Parse messages are added or omitted.
func TestPreparedStatements(t *testing.T) {
	ctx := testContext(t)
	_, up := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
	up.cfg.MaxPrepared = 2
	c := dial(ctx, t, up)
	parse := func(name, sql string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: sql} }
	bind := func(name string) []pgproto3.FrontendMessage {
		return []pgproto3.FrontendMessage{&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}}
	}
	one, two, three := parse("s1", "SELECT 1"), parse("s2", "SELECT 2"), parse("s3", "SELECT 3")
	bad := parse("s4", "SELEC")
	known := map[string]*pgproto3.Parse{"s1": one, "s2": two, "s3": three, "s4": bad}
	tests := []struct {
		name string
		msgs []pgproto3.FrontendMessage
		want string
	}{
		{"missing", bind("s1"), "BindComplete | (1) | SELECT 1"},
		{"present", bind("s1"), "BindComplete | (1) | SELECT 1"},
		{"prepared again", append([]pgproto3.FrontendMessage{one, one}, bind("s1")...), "ParseComplete | ParseComplete | BindComplete | (1) | SELECT 1"},
		{"parse only", []pgproto3.FrontendMessage{one}, "ParseComplete"},
		{"several", append(append(bind("s2"), one), bind("s1")...), "BindComplete | (2) | SELECT 1 | ParseComplete | BindComplete | (1) | SELECT 1"},
		{"described", []pgproto3.FrontendMessage{&pgproto3.Describe{ObjectType: 'S', Name: "s2"}, one}, "ParameterDescription | RowDescription | ParseComplete"},
		{"beyond the limit", bind("s3"), "BindComplete | (3) | SELECT 1"},
		{"evicted", append(bind("s1"), bind("s2")...), "BindComplete | (1) | SELECT 1 | BindComplete | (2) | SELECT 1"},
		{"closed", append([]pgproto3.FrontendMessage{&pgproto3.Close{ObjectType: 'S', Name: "s1"}}, bind("s1")...), "CloseComplete | BindComplete | (1) | SELECT 1"},
		{"error before", append([]pgproto3.FrontendMessage{&pgproto3.Execute{Portal: "nope"}, one}, bind("s2")...), "34000"},
		{"error in a missing one", append(bind("s4"), one), "42601"},
		{"error in a missing one again", bind("s4"), "42601"},
		{"error after", append([]pgproto3.FrontendMessage{one}, &pgproto3.Execute{Portal: "nope"}, two), "ParseComplete | 34000"},
		{"unnamed", append([]pgproto3.FrontendMessage{parse("", "SELECT 9")}, bind("")...), "ParseComplete | BindComplete | (9) | SELECT 1"},
		{"unknown", bind("s9"), "26000"},
		{"still in step", bind("s1"), "BindComplete | (1) | SELECT 1"},
	}
	for _, tt := range tests {
		req := &core.Request{Attempt: &core.Attempt{}, Prepared: known, Messages: append(tt.msgs[:len(tt.msgs):len(tt.msgs)], &pgproto3.Sync{})}
		_, answer := run(ctx, t, c, req)
		assert.Equal(t, answer, tt.want, tt.name)
	}
	run(ctx, t, c, simple(core.ClassRead, "DEALLOCATE ALL"))
	_, answer := run(ctx, t, c, extended(core.ClassRead, "s1", "SELECT 1"))
	assert.Equal(t, answer, "26000")
	_, answer = run(ctx, t, c, extended(core.ClassRead, "s1", "SELECT 1"))
	assert.Equal(t, answer, "BindComplete | (1) | SELECT 1", "a statement that the upstream lost is prepared again")
}

// Guards against a deadlock in which both sides block in a write, when a long pipeline has long answers.
func TestLongPipeline(t *testing.T) {
	runSimulated(t, dbsim.Config{}, func(ctx context.Context, _ *memnet.Network, _ *dbsim.Server, up *Upstream) {
		c, err := up.Dial(ctx)
		assert.NilError(t, err)
		const n = 1000
		text := strings.Repeat("x", 4000)
		req := extended(core.ClassRead, "echo", "SELECT $1::text", text)
		part := req.Messages[:2:2]
		req.Messages = nil
		for range n {
			req.Messages = append(req.Messages, part...)
		}
		req.Messages = append(req.Messages, &pgproto3.Sync{})
		_, answer := run(ctx, t, c, req)
		assert.Equal(t, strings.Count(answer, text), n)
		_, answer = run(ctx, t, c, simple(core.ClassRead, "SELECT 1"))
		assert.Equal(t, answer, "RowDescription | (1) | SELECT 1")
	})
}

// Guards against sending requests that make both sides wait for each other, or that aren't supported.
func TestIncompleteRequest(t *testing.T) {
	ctx := testContext(t)
	_, up := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
	for _, msgs := range [][]pgproto3.FrontendMessage{
		nil, {&pgproto3.Parse{Query: "SELECT 1"}}, {&pgproto3.CopyDone{}, &pgproto3.Sync{}},
	} {
		req := &core.Request{Messages: msgs, Attempt: &core.Attempt{}}
		_, err := dial(ctx, t, up).Run(ctx, req, discard{})
		assert.Assert(t, err != nil)
		assert.Assert(t, !req.Attempt.IsSent())
	}
}

// failingWriter returns an error for all messages after the first.
type failingWriter struct{ sent int }

func (f *failingWriter) Send(pgproto3.BackendMessage) error {
	f.sent++
	if f.sent > 1 {
		return errors.New("caller is gone")
	}
	return nil
}

// Guards against treating a caller that has disconnected as a fault of the upstream, and against reuse of
// the connection, on which the rest of the answer is still to come.
func TestCallerGone(t *testing.T) {
	ctx := testContext(t)
	_, up := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
	c := dial(ctx, t, up)
	_, err := c.Run(ctx, simple(core.ClassRead, "SELECT 1"), &failingWriter{})
	assert.Assert(t, core.ErrCaller.Has(err) && !core.ErrUpstream.Has(err), "%v", err)
	_, err = c.Run(ctx, simple(core.ClassRead, "SELECT 1"), &recorder{})
	assert.ErrorIs(t, err, errUnusable)
}

// Guards against a wrong transaction status, and against a commit whose position gets lost.
func TestTransaction(t *testing.T) {
	ctx := testContext(t)
	_, up := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
	c := dial(ctx, t, up)
	steps := []struct {
		class    core.Class
		sql      string
		status   core.TxStatus
		position bool
	}{
		{core.ClassWrite, "CREATE TABLE t (id int8)", core.TxIdle, true},
		{core.ClassBegin, "BEGIN", core.TxOpen, false},
		{core.ClassWrite, "INSERT INTO t VALUES (1)", core.TxOpen, false},
		{core.ClassEnd, "COMMIT", core.TxIdle, true},
		{core.ClassBegin, "BEGIN", core.TxOpen, false},
		{core.ClassRead, "SELECT nope FROM t", core.TxFailed, false},
		{core.ClassEnd, "COMMIT", core.TxIdle, false},
	}
	for i, s := range steps {
		req := simple(s.class, s.sql)
		req.InTx = i > 1
		res, _ := run(ctx, t, c, req)
		assert.Equal(t, res.Status, s.status, s.sql)
		assert.Equal(t, !res.Position.IsZero(), s.position, s.sql)
	}
}

// Guards against requests in clear text although TLS is configured.
func TestTLS(t *testing.T) {
	ctx := testContext(t)
	cert, pool := certificate(t)
	_, plain := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
	_, encrypted := start(t, dbsim.Config{TLS: &tls.Config{Certificates: []tls.Certificate{cert}}}, dbsim.NewPrimary(1))
	for _, up := range []*Upstream{plain, encrypted} {
		cfg := up.cfg
		cfg.TLS = &tls.Config{RootCAs: pool, ServerName: "berth-1"}
		secure, err := cfg.New()
		assert.NilError(t, err)
		c, err := secure.Dial(ctx)
		if up == plain {
			assert.ErrorContains(t, err, "tls error")
			continue
		}
		assert.NilError(t, err)
		time.Sleep(2 * idleCheckAfter)
		_, answer := run(ctx, t, c, simple(core.ClassRead, "SELECT 1"))
		assert.Equal(t, answer, "RowDescription | (1) | SELECT 1")
		assert.NilError(t, c.Close())
	}
}

func certificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"berth-1"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	parsed, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}
