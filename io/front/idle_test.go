package front

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// maxIdleConnBytes is the limit of the memory for an idle connection. 256 MB for the 6,730 connections
// of an entry VM are 38 KB each, but the control tasks need most of that.
const maxIdleConnBytes = 8 << 10

// parkDelay keeps the measurements short.
const parkDelay = 50 * time.Millisecond

// openIdle opens n connections that have each run a query.
func openIdle(tb testing.TB, dial func() (net.Conn, error), n int) []net.Conn {
	tb.Helper()
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{"user": "desk", "database": "berth-ledger",
			"snipewall.session": "desk-4"}}).Encode(nil)
	assert.NilError(tb, err)
	sql, err := query("select 1").Encode(nil)
	assert.NilError(tb, err)
	conns := make([]net.Conn, n)
	buf := make([]byte, 4096)
	for i := range conns {
		conns[i], err = dial()
		assert.NilError(tb, err)
		for _, msg := range [][]byte{startup, sql} {
			_, err = conns[i].Write(msg)
			assert.NilError(tb, err)
			readReady(tb, conns[i], buf)
		}
	}
	return conns
}

// readReady reads up to ReadyForQuery, which the server sends at the end of a write.
func readReady(tb testing.TB, conn net.Conn, buf []byte) {
	tb.Helper()
	for {
		n, err := conn.Read(buf)
		assert.NilError(tb, err)
		if n >= 6 && buf[n-6] == 'Z' {
			return
		}
	}
}

// heldMemory returns the memory of heap and stacks in use after several garbage collections, which
// empty the pools and shrink the stacks.
func heldMemory() uint64 {
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// idleMemory measures the bytes per idle connection over loopback, without those of the test's own
// sockets.
func idleMemory(tb testing.TB, n int) uint64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	defer func() { assert.NilError(tb, l.Close()) }()
	peer := socketMemory(tb, l, n)
	srv := startServer(tb, func(c *Config) { c.ParkDelay = parkDelay })
	return measureIdle(tb, srv, func() (net.Conn, error) { return net.Dial("tcp", srv.addr) }, n) - peer
}

func measureIdle(tb testing.TB, srv *testServer, dial func() (net.Conn, error), n int) uint64 {
	tb.Helper()
	srv.router.discardRequests = true
	before := heldMemory()
	conns := openIdle(tb, dial, n)
	time.Sleep(2 * parkDelay)
	held := heldMemory() - before
	for _, c := range conns {
		assert.NilError(tb, c.Close())
	}
	// Sessions that are still open would distort the next measurement.
	for srv.sessionCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	return held / uint64(n)
}

// pipeListener accepts the ends of net.Pipe.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.conns) })
	return nil
}

func (l *pipeListener) dial() (net.Conn, error) {
	here, there := net.Pipe()
	l.conns <- there
	return here, nil
}

// socketMemory measures the bytes of one dialed socket, which is what the test's own side takes.
func socketMemory(tb testing.TB, l net.Listener, n int) uint64 {
	tb.Helper()
	conns := make([]net.Conn, 0, 2*n)
	before := heldMemory()
	for range n {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(tb, err)
		s, err := l.Accept()
		assert.NilError(tb, err)
		conns = append(conns, c, s)
	}
	held := heldMemory() - before
	for _, c := range conns {
		assert.NilError(tb, c.Close())
	}
	return held / uint64(2*n)
}

// Guards against idle connections whose memory grows: thousands must fit into an entry VM.
func TestIdleMemory(t *testing.T) {
	if testing.Short() {
		t.Skip("opens 1,000 connections")
	}
	perConn := idleMemory(t, 1000)
	t.Logf("%d bytes per idle connection", perConn)
	assert.Assert(t, perConn < maxIdleConnBytes)
}

// BenchmarkIdle reports the bytes per idle connection over loopback, where the limit of 20,000
// descriptors allows 9,900 connections, and over net.Pipe including both ends. Only the first
// measurement of a process is exact, since the runtime keeps the goroutines and stacks of earlier ones.
func BenchmarkIdle(b *testing.B) {
	report := func(name string, measure func(b *testing.B) uint64) {
		b.Run(name, func(b *testing.B) {
			var perConn uint64
			for b.Loop() {
				perConn = measure(b)
			}
			b.ReportMetric(float64(perConn), "bytes/conn")
			b.ReportMetric(0, "ns/op")
		})
	}
	for _, n := range []int{1000, 5000, 9900} {
		report(fmt.Sprintf("Loopback/%d", n), func(b *testing.B) uint64 { return idleMemory(b, n) })
	}
	for _, n := range []int{1000, 5000, 10000} {
		report(fmt.Sprintf("Pipe/%d", n), func(b *testing.B) uint64 {
			srv, l := pipeServer(b, func(c *Config) { c.ParkDelay = parkDelay })
			return measureIdle(b, srv, l.dial, n)
		})
	}
}

// BenchmarkQuery measures a request over loopback with a router that answers at once. BenchmarkLoopback
// shows the cost of the sockets alone.
func BenchmarkQuery(b *testing.B) {
	for name, sql := range map[string]string{"Read": "select 1", "Write": "insert into t values (1)"} {
		b.Run(name, func(b *testing.B) {
			srv := startServer(b)
			srv.router.discardRequests = true
			srv.router.setHook(answerAtOnce)
			conn := openIdle(b, func() (net.Conn, error) { return net.Dial("tcp", srv.addr) }, 1)[0]
			msg, err := query(sql).Encode(nil)
			assert.NilError(b, err)
			benchExchange(b, conn, msg)
		})
	}
}

// answerAtOnce is a hook that answers a write or a read of one row with few allocations.
func answerAtOnce(_ context.Context, req *core.Request, w core.ResponseWriter) (core.Result, bool, error) {
	res := core.Result{Status: core.TxIdle}
	if req.Class == core.ClassWrite {
		res.Position = core.Position{Term: 1, Offset: 1}
		return res, true, w.Send(insertDone)
	}
	for _, m := range rowAnswer {
		if err := w.Send(m); err != nil {
			return res, true, err
		}
	}
	return res, true, nil
}

var (
	insertDone = &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}
	rowAnswer  = []pgproto3.BackendMessage{rowDescription(),
		&pgproto3.DataRow{Values: [][]byte{[]byte("1")}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}}
)

func benchExchange(b *testing.B, conn net.Conn, msg []byte) {
	buf := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(msg); err != nil {
			b.Fatal(err)
		}
		readReady(b, conn, buf)
	}
}

func BenchmarkLoopback(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer func() { assert.NilError(b, l.Close()) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(b, err)
	defer func() { assert.NilError(b, conn.Close()) }()
	s, err := l.Accept()
	assert.NilError(b, err)
	go func() { _, _ = io.Copy(s, s) }()
	msg := append(make([]byte, 80), 'Z', 0, 0, 0, 5, 'I')
	benchExchange(b, conn, msg)
}
