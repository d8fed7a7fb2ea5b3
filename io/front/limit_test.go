package front

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core/budget"
)

// partOf returns a session's begin and a message of the stated length that isn't complete.
func partOf(length, sent int) []byte {
	return append(append(startupPacket(), binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(length))...), strings.Repeat("x", sent)...)
}

// finalAnswer sends the bytes and returns what the server answers until it closes the connection.
func finalAnswer(t *testing.T, srv *testServer, sent []byte) string {
	t.Helper()
	conn, err := net.Dial("tcp", srv.cfg.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write(sent)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err, "the connection stays open")
	return string(answer)
}

// Guards against messages that stop half-way, within or above the limit of one message, and hold their sessions for ever, and
// against a time limit that ends sessions between messages.
func TestMessageStopsHalfWay(t *testing.T) {
	srv := startServer(t, func(c *Config) { c.StallTimeout = 100 * time.Millisecond })
	idle, err := net.Dial("tcp", srv.cfg.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = idle.Close() }()
	_, err = idle.Write(startupPacket())
	assert.NilError(t, err)
	for _, length := range []int{100, 1 << 20, 1<<31 - 1} {
		answer := finalAnswer(t, srv, partOf(length, 50))
		assert.Assert(t, strings.Contains(answer, "SW001"), "%q", answer)
	}
	answer := finalAnswer(t, srv, append(startupPacket(), 'Q', 0))
	assert.Assert(t, strings.Contains(answer, "SW001"), "%q", answer)
	assert.NilError(t, idle.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	_, err = io.ReadAll(idle)
	assert.ErrorContains(t, err, "timeout")
}

// Guards against a message that finds no memory and is neither refused nor said not to have run, and against memory that is
// kept afterwards.
func TestMessageWithoutMemory(t *testing.T) {
	memory := budget.New(budget.Config{Limit: 100 << 10})
	srv := startServer(t, func(c *Config) { c.Memory = memory })
	answer := finalAnswer(t, srv, partOf(1<<20, 1<<18))
	assert.Assert(t, strings.Contains(answer, "SW001") && strings.Contains(answer, "not run"), "%q", answer)
	assert.Equal(t, memory.Used(), int64(0))
}
