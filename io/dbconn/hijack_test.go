package dbconn

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/stand/dbsim"
)

// slowWrite is longer than the time after which pgconn starts to read in the background while it writes.
const slowWrite = 50 * time.Millisecond

// slowWriter is a connection whose first write, the start-up message, returns late, as on a busy machine.
type slowWriter struct {
	*net.TCPConn
	written bool
}

func (c *slowWriter) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if !c.written {
		c.written = true
		time.Sleep(slowWrite)
	}
	return n, err
}

// Guards against a connection whose first request hangs without a deadline: when a write of the start-up was
// slow, pgconn's background reader held the descriptor for reading, and the check of the idle connection
// waited for it.
func TestRequestAfterSlowStartup(t *testing.T) {
	ctx := testContext(t)
	_, up := start(t, dbsim.Config{}, dbsim.NewPrimary(1))
	cfg := up.cfg
	cfg.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &slowWriter{TCPConn: c.(*net.TCPConn)}, nil
	}
	slow, err := cfg.New()
	assert.NilError(t, err)
	c, err := slow.Dial(ctx)
	assert.NilError(t, err)
	time.Sleep(2 * idleCheckAfter)
	answered := make(chan string, 1)
	go func() {
		answer, err := runWithTimeout(ctx, time.Second, c, simple(core.ClassRead, "SELECT 1"))
		if err != nil {
			answer = err.Error()
		}
		answered <- answer
	}()
	select {
	case answer := <-answered:
		assert.Equal(t, answer, "RowDescription | (1) | SELECT 1")
	case <-time.After(5 * time.Second):
		t.Error("the request hangs, although its context ended after 1 s")
	}
	assert.NilError(t, c.Close())
	_, err = slow.Status(ctx)
	assert.NilError(t, err, "the control connection")
	assert.NilError(t, slow.Close())
}

// Guards against a check of an idle connection that waits for another reader of it.
func TestIsOpenDuringRead(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = lis.Close() }()
	c, err := net.Dial("tcp", lis.Addr().String())
	assert.NilError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = c.Read(make([]byte, 1))
	}()
	time.Sleep(20 * time.Millisecond)
	checked := make(chan bool, 1)
	go func() { checked <- isOpen(c, false) }()
	select {
	case open := <-checked:
		assert.Assert(t, open)
	case <-time.After(5 * time.Second):
		t.Error("the check waits for the reader")
	}
	assert.NilError(t, c.Close())
	<-ended
}
