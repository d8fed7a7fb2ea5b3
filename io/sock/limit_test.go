package sock

import (
	"bytes"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core/budget"
)

// Guards against a limit that keeps newcomers out, or that closes a connection in use while silent ones are open.
func TestLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := 0
	ln := Limit(LimitConfig{Listener: inner, Max: 3, Closed: func() { closed++ }})
	defer func() { assert.Check(t, ln.Close()) }()
	open := func(text string) (client, server net.Conn) {
		client, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		server, err = ln.Accept()
		assert.NilError(t, err)
		t.Cleanup(func() { _ = server.Close() })
		if text != "" {
			_, err = client.Write([]byte(text))
			assert.NilError(t, err)
			var b [1]byte
			_, err = server.Read(b[:])
			assert.NilError(t, err)
		}
		return client, server
	}
	isOpen := func(c net.Conn) bool {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err := c.Read(make([]byte, 1))
		var netErr net.Error
		return errors.As(err, &netErr) && netErr.Timeout()
	}
	first, _ := open("a")
	silent, _ := open("")
	second, secondServer := open("b")
	open("c")
	assert.Assert(t, isOpen(first) && !isOpen(silent) && isOpen(second))
	third, _ := open("d")
	assert.Assert(t, !isOpen(first) && isOpen(second) && isOpen(third), "the longest silent one is closed")
	assert.NilError(t, secondServer.Close())
	open("e")
	assert.Equal(t, closed, 2, "a connection that has ended makes room")
}

// Guards against a limit that closes a connection whose peer waits for an answer, because it has sent nothing since.
func TestLimitKeepsBusyConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := make(chan struct{}, 10)
	ln := Limit(LimitConfig{Listener: inner, Max: 2, Closed: func() { closed <- struct{}{} }})
	accepted := make(chan net.Conn, 10)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			SetBusy(c, true)
			accepted <- c
		}
	}()
	t.Cleanup(func() {
		assert.Check(t, ln.Close())
		<-ended
	})
	open := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	hasEnded := func(c net.Conn) bool {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err := c.Read(make([]byte, 1))
		return !errors.Is(err, os.ErrDeadlineExceeded)
	}
	first, second := open(), open()
	server := <-accepted
	<-accepted
	third := open()
	<-closed
	assert.Assert(t, !hasEnded(first) && !hasEnded(second) && hasEnded(third), "the new connection is closed while all are busy")
	SetBusy(server, false)
	fourth := open()
	<-closed
	assert.Assert(t, hasEnded(first) && !hasEnded(second) && !hasEnded(fourth), "the one that isn't busy is closed")
}

// Guards against frames above the limit, and against frames in progress that aren't accounted for.
func TestFrameReader(t *testing.T) {
	b := budget.New(budget.Config{Limit: 200 << 10})
	r := &FrameReader{R: bytes.NewReader(make([]byte, 1<<20)), Account: b.Open(nil)}
	buf := make([]byte, 64<<10)
	r.Begin(64<<10 + 1)
	n, err := r.Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, n, len(buf))
	assert.Equal(t, b.Used(), int64(128<<10))
	_, err = r.ReadByte()
	assert.NilError(t, err)
	_, err = r.Read(buf)
	assert.ErrorIs(t, err, errFrameTooLarge)
	r.Begin(1 << 20)
	assert.Equal(t, b.Used(), int64(0))
	_, err = r.Read(buf)
	assert.NilError(t, err)
	_, err = r.Read(buf)
	assert.ErrorIs(t, err, budget.ErrSpent)
}
