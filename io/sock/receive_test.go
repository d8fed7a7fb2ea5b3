package sock

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	smallBuffer = 8 << 10
	largeBuffer = 64 << 10
)

// unread returns how many of n bytes that the peer sends arrive on an accepted connection while nobody reads. grow makes its receive
// buffer large before.
func unread(t *testing.T, n int, grow bool) int {
	t.Helper()
	inner, err := Listen(t.Context(), "127.0.0.1:0", smallBuffer)
	assert.NilError(t, err)
	ln := Limit(LimitConfig{Listener: inner, Max: 10})
	peer, err := Dial(t.Context(), ln.Addr().String())
	assert.NilError(t, err)
	c, err := ln.Accept()
	assert.NilError(t, err)
	defer func() {
		assert.Check(t, c.Close())
		assert.Check(t, ln.Close())
	}()
	if grow {
		assert.NilError(t, GrowReceiveBuffer(c, largeBuffer))
	}
	// A write ends once the peer's send buffer has taken the rest, which is lost when the connection is reset.
	assert.NilError(t, peer.(*net.TCPConn).SetWriteBuffer(4<<10))
	assert.NilError(t, peer.SetWriteDeadline(time.Now().Add(500*time.Millisecond)))
	sent, _ := peer.Write(make([]byte, n))
	assert.NilError(t, peer.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, peer.Close())
	_, _ = io.Copy(io.Discard, c)
	return sent
}

// Guards against connections on which the kernel receives far more than is counted for them, and against a receive buffer that stays
// small.
func TestReceiveBuffer(t *testing.T) {
	const size = 1 << 20
	const sendBuffer = 16 << 10
	small, large := unread(t, size, false), unread(t, size, true)
	assert.Assert(t, small <= smallBuffer*3/2+sendBuffer, "%d bytes sent", small)
	assert.Assert(t, large > smallBuffer*3/2+sendBuffer, "%d bytes sent", large)
}

// Guards against a connection without a file descriptor that ends the program, or counts as one with a large buffer.
func TestGrowWithoutDescriptor(t *testing.T) {
	a, b := net.Pipe()
	t.Cleanup(func() {
		_ = a.Close()
		_ = b.Close()
	})
	assert.Assert(t, GrowReceiveBuffer(b, largeBuffer) != nil)
	assert.Assert(t, GrowReceiveBuffer(&limitConn{Conn: b}, largeBuffer) != nil)
}
