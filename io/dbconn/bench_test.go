package dbconn

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/stand/dbsim"
)

// BenchmarkRun measures one request on a connection over loopback, against the simulator and
// against a server that always sends the same bytes, which shows the cost of the adapter alone.
func BenchmarkRun(b *testing.B) {
	tests := []struct {
		name string
		req  *core.Request
	}{
		{"simple", simple(core.ClassRead, "SELECT name FROM t WHERE id = 1")},
		{"extended", extended(core.ClassRead, "get", "SELECT name FROM t WHERE id = $1", "1")},
		{"ping", pingRequest},
	}
	for _, tt := range tests {
		b.Run("dbsim/"+tt.name, func(b *testing.B) {
			_, up := start(b, dbsim.Config{}, dbsim.NewPrimary(1))
			c := dial(b.Context(), b, up)
			run(b.Context(), b, c, simple(core.ClassWrite, "CREATE TABLE t (id int8 PRIMARY KEY, name text); INSERT INTO t VALUES (1, 'quay')"))
			repeat(b, c, tt.req)
		})
		b.Run("canned/"+tt.name, func(b *testing.B) {
			if tt.req == pingRequest {
				b.Skip("the answer has no rows")
			}
			up := serveCanned(b, len(tt.req.Messages))
			c := dial(b.Context(), b, up)
			c.(*Conn).markPrepared("get")
			repeat(b, c, tt.req)
		})
	}
}

func repeat(b *testing.B, c core.Conn, req *core.Request) {
	ctx, cancel := context.WithTimeout(b.Context(), testTimeout)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		_, err := c.Run(ctx, req, discard{})
		assert.NilError(b, err)
	}
}

// serveCanned runs a server that answers each read on a connection with the same row.
func serveCanned(b *testing.B, messages int) *Upstream {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	b.Cleanup(func() { _ = lis.Close() })
	var first pgproto3.BackendMessage = &pgproto3.BindComplete{}
	if messages == 1 {
		first = &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("name"), DataTypeOID: 25}}}
	}
	answer := encode(b, first,
		&pgproto3.DataRow{Values: [][]byte{[]byte("quay")}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
	greeting := encode(b, &pgproto3.AuthenticationOk{}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		p := make([]byte, 4096)
		for out := greeting; ; out = answer {
			if _, err := c.Read(p); err != nil {
				return
			}
			if _, err := c.Write(out); err != nil {
				return
			}
		}
	}()
	return newUpstream(b, lis.Addr().String())
}

func encode(b *testing.B, msgs ...pgproto3.BackendMessage) (buf []byte) {
	var err error
	for _, m := range msgs {
		buf, err = m.Encode(buf)
		assert.NilError(b, err)
	}
	return buf
}

// countingConn counts the bytes of both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkStatus measures a call of Status: its time, which includes the simulator in the same process,
// and the bytes of both directions without TCP headers.
func BenchmarkStatus(b *testing.B) {
	_, up := start(b, dbsim.Config{}, dbsim.NewPrimary(1))
	var bytes atomic.Int64
	cfg := up.cfg
	cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, address)
		return countingConn{Conn: conn, bytes: &bytes}, err
	}
	counted, err := cfg.New()
	assert.NilError(b, err)
	defer func() { _ = counted.Close() }()
	_, err = counted.Status(b.Context())
	assert.NilError(b, err)
	bytes.Store(0)
	n := 0
	for b.Loop() {
		_, err := counted.Status(b.Context())
		assert.NilError(b, err)
		n++
	}
	b.ReportMetric(float64(bytes.Load())/float64(n), "wire-B/op")
}
