package front

import (
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against requests for encryption that get no answer, and against invalid start-up packets that
// get no error.
func TestStartupPackets(t *testing.T) {
	srv := startServer(t, func(c *Config) { c.StartupTimeout = 500 * time.Millisecond })
	ssl, gss := &pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}
	for name, tc := range map[string]struct {
		packet []byte
		answer string
		state  string
	}{
		"no TLS, no GSS encryption": {packet: mustEncode(gss, ssl), answer: "NN"},
		"too many requests":         {packet: mustEncode(gss, ssl, gss), answer: "NNN", state: "08P01"},
		"too short":                 {packet: []byte{0, 0, 0, 7, 0, 3, 0}, state: "08P01"},
		"too long":                  {packet: []byte{0, 1, 0, 0, 0, 3, 0, 0}, state: "08P01"},
		"negative length":           {packet: []byte{0xff, 0xff, 0xff, 0xff}, state: "08P01"},
		"version 2":                 {packet: []byte{0, 0, 0, 8, 0, 2, 0, 0}, state: "08P01"},
		"another protocol":          {packet: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), state: "08P01"},
		"no end":                    {packet: []byte{0, 0, 0, 13, 0, 3, 0, 0, 'u', 's', 'e', 'r', 0}, state: "08P01"},
		"no user":                   {packet: append([]byte{0, 0, 0, 13, 0, 3, 0, 0}, "a\x00b\x00\x00"...), state: "28000"},
		"short cancel request":      {packet: []byte{0, 0, 0, 8, 4, 210, 22, 46}},
		"nothing":                   {},
		"half a packet":             {packet: []byte{0, 0, 0, 40, 0, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", srv.addr)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = conn.Write(tc.packet)
			assert.NilError(t, err)
			answer := make([]byte, len(tc.answer))
			_, err = io.ReadFull(conn, answer)
			assert.NilError(t, err)
			assert.Equal(t, string(answer), tc.answer)
			if tc.state == "" {
				rest, err := io.ReadAll(conn)
				assert.NilError(t, err)
				assert.Equal(t, string(rest), "")
				return
			}
			msg, err := pgproto3.NewFrontend(conn, conn).Receive()
			assert.NilError(t, err)
			failure, ok := msg.(*pgproto3.ErrorResponse)
			assert.Assert(t, ok, "%T", msg)
			assert.Equal(t, failure.Severity, "FATAL")
			assert.Equal(t, failure.Code, tc.state)
		})
	}
}

// countingConn counts the writes of the server.
type countingConn struct {
	net.Conn
	writes *atomic.Int32
}

func (c countingConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// Guards against short answers that take more than one write, each of which is a system call and a
// packet.
func TestOneWritePerAnswer(t *testing.T) {
	srv, l := pipeServer(t)
	here, there := net.Pipe()
	var writes atomic.Int32
	l.conns <- countingConn{there, &writes}
	fe := pgproto3.NewFrontend(here, here)
	exchange := func(msgs ...pgproto3.FrontendMessage) int32 {
		t.Helper()
		before := writes.Load()
		for _, m := range msgs {
			fe.Send(m)
		}
		assert.NilError(t, fe.Flush())
		for {
			msg, err := fe.Receive()
			assert.NilError(t, err)
			if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
				return writes.Load() - before
			}
		}
	}
	assert.Equal(t, exchange(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "desk", "database": "berth-ledger"}}), int32(1))
	assert.Equal(t, exchange(query("select 1; insert into t values (1)")), int32(1))
	assert.Equal(t, exchange(join(run("select 1"), run("insert into t values (1)"), run("show snipewall.kind"), syncMsg)...), int32(1))
	srv.router.setHook(failWith(&core.NotRunError{State: core.StateOverload}))
	assert.Equal(t, exchange(query("select 1")), int32(1))
	assert.NilError(t, here.Close())
}

// failingListener returns EMFILE a number of times before it accepts.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a server that stops accepting for good when the process runs out of descriptors.
func TestAcceptRetries(t *testing.T) {
	srv := startServer(t, func(c *Config) {
		l := &failingListener{Listener: c.Listener}
		l.failures.Store(2)
		c.Listener = l
	})
	srv.connect(t, "")
	dump, err := json.Marshal(srv.Dump())
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(dump), `{"Connections":1,`), "%s", dump)
}
