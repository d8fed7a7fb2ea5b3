package dbsim

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// Guards against client messages that make a session panic, or that keep it open after the client has
// closed the connection.
func FuzzSession(f *testing.F) {
	var seed []byte
	for _, msg := range []pgproto3.FrontendMessage{
		&pgproto3.Query{String: "CREATE TABLE t (id int8); INSERT INTO t VALUES (1)"},
		&pgproto3.Parse{Name: "s", Query: "SELECT * FROM t WHERE id = $1"},
		&pgproto3.Describe{ObjectType: 'S', Name: "s"},
		&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{{'1'}}, ResultFormatCodes: []int16{1}},
		&pgproto3.Execute{MaxRows: 1}, &pgproto3.Close{ObjectType: 'P'}, &pgproto3.Sync{},
	} {
		seed, _ = msg.Encode(seed)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, src []byte) {
		srv := Config{}.New(NewPrimary(1))
		near, far := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			srv.serveConn(context.Background(), far)
		}()
		start, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "app"}}).Encode(nil)
		assert.NilError(t, err)
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_ = near.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = near.Write(append(start, src...))
		assert.NilError(t, near.Close())
		select {
		case <-done:
		case <-time.After(testTimeout):
			t.Fatal("the session still runs after the client closed the connection")
		}
		assert.Equal(t, srv.Stats().Connections, 0)
	})
}

// Guards against fault names and values that panic, or for which CheckFault and Fault disagree.
func FuzzFault(f *testing.F) {
	f.Add(FaultCut, "callers:in@1ms")
	f.Add(FaultSlow, "2.5")
	f.Add(FaultLoseAnswer, "prepare:silent")
	f.Fuzz(func(t *testing.T, name, value string) {
		srv := Config{}.New(NewPrimary(1))
		assert.Equal(t, CheckFault(name, value) == nil, srv.Fault(name, value) == nil)
	})
}
