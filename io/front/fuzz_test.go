package front

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// pipeServer starts a server whose connections are pipes.
func pipeServer(tb testing.TB, change ...func(*Config)) (*testServer, *pipeListener) {
	l := &pipeListener{conns: make(chan net.Conn)}
	srv := startServer(tb, append(change, func(c *Config) {
		assert.NilError(tb, c.Listener.Close())
		c.Listener = l
	})...)
	return srv, l
}

// feed writes the bytes to a new connection, closes it, and fails if the server doesn't end the
// connection.
func feed(t *testing.T, srv *testServer, l *pipeListener, data []byte) {
	t.Helper()
	conn, err := l.dial()
	assert.NilError(t, err)
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(io.Discard, conn)
	}()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, _ = conn.Write(data)
	// Closing a pipe discards answers that weren't read, so this gives the server time to write them.
	if _, err := conn.Write(mustEncode(&pgproto3.Terminate{})); err == nil {
		time.Sleep(time.Millisecond)
	}
	_ = conn.Close()
	<-read
	deadline := time.Now().Add(5 * time.Second)
	for srv.sessionCount() > 0 {
		if time.Now().After(deadline) {
			t.Fatalf("the connection stays open after %q", data)
		}
		time.Sleep(50 * time.Microsecond)
	}
}

func mustEncode(msgs ...interface{ Encode([]byte) ([]byte, error) }) []byte {
	var buf []byte
	for _, m := range msgs {
		b, err := m.Encode(buf)
		if err != nil {
			panic(err)
		}
		buf = b
	}
	return buf
}

func startupPacket(params ...string) []byte {
	m := map[string]string{"user": "desk", "database": "berth-ledger"}
	for i := 0; i+1 < len(params); i += 2 {
		m[params[i]] = params[i+1]
	}
	return mustEncode(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: m})
}

// Guards against bytes in place of a start-up message that crash the process or keep a connection open.
func FuzzStartup(f *testing.F) {
	f.Add(startupPacket())
	f.Add(startupPacket("options", `-c snipewall.kind=quote --snipewall.session=a\ b`, "_pq_.x", "1"))
	f.Add(mustEncode(&pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}, &pgproto3.SSLRequest{}))
	f.Add(mustEncode(&pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}))
	f.Add([]byte{0, 0, 0, 8, 0, 3, 0, 0})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		srv, l := pipeServer(t, func(c *Config) { c.StartupTimeout = time.Second })
		feed(t, srv, l, data)
	})
}

// Guards against messages after the start-up that crash the process, keep a connection open or leak
// prepared statements.
func FuzzMessages(f *testing.F) {
	for _, msgs := range [][]pgproto3.FrontendMessage{
		{query("begin; insert into t values (1); commit")},
		join(run("insert into t values (1)"), flushMsg, run("commit"), syncMsg, closeMessage('S', ""), syncMsg),
		{parse("a", "select $1"), describe('S', "a"), bind("p", "a", "x"), execute("p"), closeMessage('P', "p"), flushMsg, syncMsg},
		join(run("set snipewall.kind = 'quote'"), run("show snipewall.kind"), run("begin"), flushMsg, run("rollback"), syncMsg),
		{&pgproto3.FunctionCall{}, &pgproto3.CopyDone{}, &pgproto3.PasswordMessage{}},
	} {
		var buf []byte
		for _, m := range msgs {
			buf = append(buf, mustEncode(m)...)
		}
		f.Add(buf)
	}
	f.Add([]byte{'Q', 0x7f, 0xff, 0xff, 0xff, 'x'})
	f.Add([]byte{'B', 0, 0, 0, 4})
	f.Fuzz(func(t *testing.T, data []byte) {
		srv, l := pipeServer(t, func(c *Config) { c.MaxMessage = 4096 })
		feed(t, srv, l, append(startupPacket(), data...))
		if n := srv.stmts.len(); n != 0 {
			t.Fatalf("%d prepared statements are held without a session", n)
		}
	})
}

// answersOf sends the parts and the end of the session, and returns the answers without the keys for CancelRequest, which
// are random.
func answersOf(t *testing.T, l *pipeListener, parts [][]byte) string {
	t.Helper()
	conn, err := l.dial()
	assert.NilError(t, err)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for _, part := range append(parts, mustEncode(&pgproto3.Terminate{})) {
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	}()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Hour)))
	answers, err := io.ReadAll(conn)
	// The end may have been taken for the rest of a message, so that the session waits for the next one.
	waits := errors.Is(err, os.ErrDeadlineExceeded)
	assert.Assert(t, err == nil || waits, "%v", err)
	_ = conn.Close()
	<-written
	var out []byte
	for len(answers) >= 5 {
		n := min(len(answers), 1+int(binary.BigEndian.Uint32(answers[1:])))
		if answers[0] != 'K' {
			out = append(out, answers[:n]...)
		}
		answers = answers[n:]
	}
	return fmt.Sprint(string(out), " waits: ", waits)
}

// Guards against answers that depend on how the network splits or joins messages.
func FuzzSplit(f *testing.F) {
	f.Add([]byte("P\x00\x00\x00\x12a\x001\x00\x00\x00Dse"), []byte{2})
	two := mustEncode(query("select 1"), query("begin"), query("select 2"), query("rollback"))
	for _, data := range [][]byte{
		two, append(two, 'Q', 0, 0), append(append([]byte{'Q', 0, 0, 0x10, 0}, make([]byte, 0x1000)...), two...),
		mustEncode(parse("a", "select $1"), describe('S', "a"), bind("p", "a", "x"), execute("p"), flushMsg, syncMsg, query("select 3")),
		{'Q', 0x7f, 0xff, 0xff, 0xff, 'x'},
	} {
		f.Add(data, []byte{0, 3, 9})
	}
	f.Fuzz(func(t *testing.T, data, sizes []byte) {
		// On the fake clock, a message stalls only if nothing else can happen.
		synctest.Test(t, func(t *testing.T) { checkSplit(t, data, sizes) })
	})
}

// checkSplit compares the answers to the bytes in parts of the sizes with those to all of them at once.
func checkSplit(t *testing.T, data, sizes []byte) {
	t.Helper()
	_, l := pipeServer(t, func(c *Config) { c.MaxMessage = 4096 })
	all := append(startupPacket(), data...)
	var parts [][]byte
	for i, rest := 0, all; len(rest) > 0; i++ {
		n := len(rest)
		if len(sizes) > 0 {
			n = min(n, 1+int(sizes[i%len(sizes)]))
		}
		parts, rest = append(parts, rest[:n]), rest[n:]
	}
	whole := answersOf(t, l, [][]byte{all})
	assert.Equal(t, answersOf(t, l, parts), whole)
}
