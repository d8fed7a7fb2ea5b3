package sock

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a Run that returns while connections are still served, and against connections that
// stay open afterwards.
func TestServerEndsItsConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := 0
	s := NewServer(ServerConfig[*net.TCPConn]{
		Listener: ln, Log: log.NewNopLogger(),
		Open: func(c net.Conn) *net.TCPConn { return c.(*net.TCPConn) },
		Serve: func(_ context.Context, c *net.TCPConn) {
			_, _ = io.Copy(io.Discard, c)
			time.Sleep(50 * time.Millisecond)
			served++
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- s.Run(ctx) }()
	c, err := Dial(t.Context(), ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.Count() == 1 {
			return poll.Success()
		}
		return poll.Continue("connection not accepted yet")
	})
	assert.Assert(t, IsIdle(c))
	cancel()
	assert.NilError(t, <-end)
	assert.Equal(t, served, 1)
	assert.Equal(t, s.Count(), 0)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the connection is open")
	assert.Assert(t, !IsIdle(c))
}

// Guards against a connection whose handling panics and that ends the process, or isn't closed.
func TestPanicEndsItsConnectionOnly(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var logged bytes.Buffer
	s := NewServer(ServerConfig[*net.TCPConn]{
		Listener: ln, Log: log.NewJSONLogger(log.NewSyncWriter(&logged)),
		Open: func(c net.Conn) *net.TCPConn { return c.(*net.TCPConn) },
		Serve: func(_ context.Context, c *net.TCPConn) {
			b := make([]byte, 1)
			for {
				if _, err := c.Read(b); err != nil {
					return
				}
				if b[0] == '!' {
					panic("unexpected")
				}
				if _, err := c.Write(b); err != nil {
					return
				}
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	good, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	bad, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	_, err = bad.Write([]byte("!"))
	assert.NilError(t, err)
	_, err = bad.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	_, err = good.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = good.Read(make([]byte, 1))
	assert.NilError(t, err)
	cancel()
	assert.NilError(t, <-ended)
	assert.Assert(t, strings.Contains(logged.String(), "server_test.go"), "no stack in %s", logged.String())
	assert.NilError(t, bad.Close())
	assert.NilError(t, good.Close())
}
