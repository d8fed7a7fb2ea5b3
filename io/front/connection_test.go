package front

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"snipewall/core"
)

type hook = func(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, bool, error)

// blocking returns a hook that sends each request to started and blocks it until its context ends or
// release is closed.
func blocking(started chan<- *core.Request, release <-chan struct{}) hook {
	return func(ctx context.Context, req *core.Request, _ core.ResponseWriter) (core.Result, bool, error) {
		req.Attempt.MarkSent()
		started <- req
		select {
		case <-ctx.Done():
			return core.Result{}, true, ctx.Err()
		case <-release:
			return core.Result{}, false, nil
		}
	}
}

func stateOf(err error) string {
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return ""
	}
	return pgErr.Code
}

// Guards against a cancel request that ends the request of another connection, and against a canceled
// write or commit that is reported as having had no effect.
func TestCancel(t *testing.T) {
	for name, tc := range map[string]struct{ before, sql, state string }{
		"read":                 {"", "select 1", "57014"},
		"write":                {"", "insert into t values (1)", "08007"},
		"write in transaction": {"begin", "insert into t values (1)", "57014"},
		"commit":               {"begin", "commit", "08007"},
	} {
		t.Run(name, func(t *testing.T) {
			srv := startServer(t)
			conn, other := srv.connect(t, ""), srv.connect(t, "")
			if tc.before != "" {
				_, err := conn.Exec(t.Context(), tc.before)
				assert.NilError(t, err)
			}
			started, release := make(chan *core.Request, 2), make(chan struct{})
			srv.router.setHook(blocking(started, release))
			end, otherEnd := make(chan error, 1), make(chan error, 1)
			go func() { _, err := conn.Exec(context.Background(), tc.sql); end <- err }()
			go func() { _, err := other.Exec(context.Background(), "select 1"); otherEnd <- err }()
			<-started
			<-started
			assert.NilError(t, conn.PgConn().CancelRequest(t.Context()))
			assert.Equal(t, stateOf(<-end), tc.state)
			srv.router.setHook(nil)
			close(release)
			assert.NilError(t, <-otherEnd)
			_, err := conn.Exec(t.Context(), "rollback")
			assert.NilError(t, err)
			_, err = conn.Exec(t.Context(), "select 1")
			assert.NilError(t, err)
		})
	}
}

// Guards against cancel requests with a wrong secret that take effect.
func TestCancelNeedsSecret(t *testing.T) {
	srv := startServer(t)
	conn := srv.connect(t, "")
	started, release := make(chan *core.Request, 1), make(chan struct{})
	srv.router.setHook(blocking(started, release))
	end := make(chan error, 1)
	go func() { _, err := conn.Exec(context.Background(), "select 1"); end <- err }()
	<-started
	c, err := net.Dial("tcp", srv.addr)
	assert.NilError(t, err)
	secret := append([]byte(nil), conn.PgConn().SecretKey()...)
	secret[0]++
	buf, err := (&pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: secret}).Encode(nil)
	assert.NilError(t, err)
	_, err = c.Write(buf)
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	close(release)
	assert.NilError(t, <-end)
}

// Guards against a transaction or request that continues to hold an upstream connection and its locks
// after the caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	srv := startServer(t)
	t.Run("idle in a transaction", func(t *testing.T) {
		conn := srv.connect(t, "")
		_, err := conn.Exec(t.Context(), "begin")
		assert.NilError(t, err)
		assert.NilError(t, conn.PgConn().Conn().Close())
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			srv.router.mu.Lock()
			defer srv.router.mu.Unlock()
			if srv.router.closed == 1 {
				return poll.Success()
			}
			return poll.Continue("the transaction is open")
		})
	})
	t.Run("while a request runs", func(t *testing.T) {
		// A driver would send a cancel request before it disconnects; a caller that crashes doesn't.
		d := newDialogue(t, srv, nil)
		d.ready(1)
		started := make(chan *core.Request, 1)
		ended := make(chan error, 1)
		srv.router.setHook(func(ctx context.Context, req *core.Request, _ core.ResponseWriter) (core.Result, bool, error) {
			started <- req
			<-ctx.Done()
			ended <- ctx.Err()
			return core.Result{}, true, ctx.Err()
		})
		d.send(query("select 1"))
		<-started
		assert.NilError(t, d.conn.Close())
		select {
		case err := <-ended:
			assert.ErrorIs(t, err, context.Canceled)
		case <-time.After(5 * time.Second):
			t.Fatal("the request goes on although its caller is gone")
		}
	})
}

// Guards against input that arrives while a request runs and is lost or cancels the request.
func TestInputWhileRunning(t *testing.T) {
	srv := startServer(t)
	started, release := make(chan *core.Request, 3), make(chan struct{})
	srv.router.setHook(blocking(started, release))
	d := newDialogue(t, srv, nil)
	d.ready(1)
	d.send(query("select 1"))
	<-started
	time.Sleep(3 * watchDelay)
	d.send(query("select 2"))
	time.Sleep(3 * watchDelay)
	d.send(query("select 3"))
	close(release)
	d.ready(3)
	assert.Equal(t, strings.Count(d.out.String(), `"SELECT 1"`), 3, d.out.String())
}

// Guards against an upstream that fails after a part of the answer was sent: without an error at the
// end, the caller would take the rows for the whole answer.
func TestPartialAnswer(t *testing.T) {
	srv := startServer(t)
	conn := srv.connect(t, "")
	srv.router.setHook(func(_ context.Context, req *core.Request, w core.ResponseWriter) (core.Result, bool, error) {
		req.Attempt.MarkSent()
		if err := w.Send(rowDescription()); err != nil {
			return core.Result{}, true, err
		}
		row := &pgproto3.DataRow{Values: [][]byte{[]byte(strings.Repeat("x", 1000))}}
		for range 100 {
			if err := w.Send(row); err != nil {
				return core.Result{}, true, err
			}
		}
		// The upstream closes its connection with a FATAL error.
		err := w.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01", Message: "shutdown"})
		return core.Result{}, true, errors.Join(errors.New("reset"), err)
	})
	rows, err := conn.Query(t.Context(), "select v from t", pgx.QueryExecModeSimpleProtocol)
	assert.NilError(t, err)
	n := 0
	for rows.Next() {
		n++
	}
	assert.Equal(t, n, 100)
	assert.Equal(t, stateOf(rows.Err()), core.StateUnknownOutcome)
	srv.router.setHook(nil)
	_, err = conn.Exec(t.Context(), "select 1")
	assert.NilError(t, err)
}

// Guards against a planned stop that interrupts requests or transactions in progress.
func TestDrain(t *testing.T) {
	srv := startServer(t)
	idle, busy, inTx := srv.connect(t, ""), srv.connect(t, ""), srv.connect(t, "")
	_, err := inTx.Exec(t.Context(), "begin")
	assert.NilError(t, err)
	started, release := make(chan *core.Request, 1), make(chan struct{})
	srv.router.setHook(blocking(started, release))
	busyEnd := make(chan error, 1)
	go func() { _, err := busy.Exec(context.Background(), "insert into t values (1)"); busyEnd <- err }()
	<-started
	srv.router.setHook(nil)
	drained := make(chan error, 1)
	go func() { drained <- srv.Drain(context.Background()) }()

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if srv.sessionCount() == 2 {
			return poll.Success()
		}
		return poll.Continue("%d connections", srv.sessionCount())
	})
	_, err = idle.Exec(t.Context(), "select 1")
	assert.Assert(t, err != nil)
	_, err = net.Dial("tcp", srv.addr)
	assert.Assert(t, err != nil, "the listener must be closed")
	_, err = inTx.Exec(t.Context(), "insert into t values (1)")
	assert.NilError(t, err)
	_, err = inTx.Exec(t.Context(), "commit")
	assert.NilError(t, err)
	close(release)
	assert.NilError(t, <-busyEnd)
	assert.NilError(t, <-drained)
	assert.Equal(t, srv.sessionCount(), 0)
}

// Guards against idle connections that Drain closes without the error "not run", and against a Drain
// that returns no error although transactions are still open at its deadline.
func TestDrainNotifiesIdle(t *testing.T) {
	srv := startServer(t)
	d, tx := newDialogue(t, srv, nil), srv.connect(t, "")
	d.ready(1)
	_, err := tx.Exec(t.Context(), "begin")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, srv.Drain(ctx), context.DeadlineExceeded)
	d.ready(1)
	assert.Assert(t, strings.Contains(d.out.String(), "FATAL SW002 not run"), d.out.String())
	_, err = tx.Exec(t.Context(), "rollback")
	assert.NilError(t, err)
	assert.NilError(t, srv.Drain(t.Context()))
}

// certificate returns a self-signed certificate for the loopback address.
func certificate(t *testing.T) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// Guards against encrypted connections that fail on large requests or don't react to Drain, and against
// a server without TLS that doesn't refuse it.
func TestTLS(t *testing.T) {
	srv := startServer(t, func(c *Config) {
		c.TLS = &tls.Config{Certificates: []tls.Certificate{certificate(t)}, MinVersion: tls.VersionTLS12}
	})
	url := strings.Replace(srv.url(""), "sslmode=disable", "sslmode=require", 1)
	conn, err := pgx.Connect(t.Context(), url)
	assert.NilError(t, err)
	for range 3 {
		_, err = conn.Exec(t.Context(), "insert into t values ($1)", strings.Repeat("x", 100_000))
		assert.NilError(t, err)
	}
	assert.NilError(t, srv.Drain(t.Context()))
	assert.Assert(t, conn.Ping(t.Context()) != nil)

	plain := startServer(t)
	_, err = pgx.Connect(t.Context(), strings.Replace(plain.url(""), "sslmode=disable", "sslmode=require", 1))
	assert.ErrorContains(t, err, "server refused TLS")
}

// Guards against callers that send statements in clear text where the settings require TLS.
func TestTLSRequired(t *testing.T) {
	srv := startServer(t, func(c *Config) {
		c.TLS = &tls.Config{Certificates: []tls.Certificate{certificate(t)}, MinVersion: tls.VersionTLS12}
		c.TLSRequired = true
	})
	_, err := pgx.Connect(t.Context(), srv.url(""))
	assert.ErrorContains(t, err, "28000")
	conn, err := pgx.Connect(t.Context(), strings.Replace(srv.url(""), "sslmode=disable", "sslmode=require", 1))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close(t.Context()))
}

// Guards against connections that don't work, or don't react to Drain, after they were parked.
func TestParked(t *testing.T) {
	srv := startServer(t, func(c *Config) { c.ParkDelay = 5 * time.Millisecond })
	conn := srv.connect(t, "")
	for _, sql := range []string{"select 1", "begin", "insert into t values (1)", "commit", "select 1"} {
		time.Sleep(20 * time.Millisecond)
		_, err := conn.Exec(t.Context(), sql)
		assert.NilError(t, err)
	}
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, srv.Drain(t.Context()))
	_, err := conn.Exec(t.Context(), "select 1")
	assert.Assert(t, err != nil)
}

// Guards against negotiating TLS inside TLS.
func TestSecondSSLRequest(t *testing.T) {
	srv := startServer(t, func(c *Config) {
		c.TLS = &tls.Config{Certificates: []tls.Certificate{certificate(t)}, MinVersion: tls.VersionTLS12}
	})
	raw, err := net.Dial("tcp", srv.addr)
	assert.NilError(t, err)
	defer func() { _ = raw.Close() }()
	request := mustEncode(&pgproto3.SSLRequest{})
	_, err = raw.Write(request)
	assert.NilError(t, err)
	one := make([]byte, 1)
	_, err = io.ReadFull(raw, one)
	assert.NilError(t, err)
	assert.Equal(t, one[0], byte('S'))
	conn := tls.Client(raw, &tls.Config{InsecureSkipVerify: true})
	_, err = conn.Write(request)
	assert.NilError(t, err)
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(answer), "08P01"), "%q", answer)
}
