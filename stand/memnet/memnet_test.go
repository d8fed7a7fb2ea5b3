package memnet

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const readTimeout = time.Second

// openConn returns both ends of a connection from host a to host b.
func openConn(t *testing.T, n *Network) (near, far net.Conn) {
	t.Helper()
	lis, err := n.Listen("b:1")
	assert.NilError(t, err)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := lis.Accept()
		if err == nil {
			accepted <- c
		}
		close(accepted)
	}()
	near, err = n.Dial(context.Background(), "a", "b:1")
	assert.NilError(t, err)
	return near, <-accepted
}

// readWithin reads once, with a deadline d from now.
func readWithin(c net.Conn, d time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(d))
	p := make([]byte, 64)
	n, err := c.Read(p)
	return string(p[:n]), err
}

// Guards against links that lose data, deliver it before the delay has passed or ignore a cut.
func TestLinks(t *testing.T) {
	tests := []struct {
		name string
		// before runs before "x" is sent from a to b, after runs while it is in flight.
		before, after func(n *Network)
		want          string
		err           error
	}{
		{name: "open", want: "x"},
		{name: "delay", before: func(n *Network) { n.SetLinkDelay("a", "b", readTimeout/2) }, want: "x"},
		{name: "long delay", before: func(n *Network) { n.SetDelay(2 * readTimeout) }, err: os.ErrDeadlineExceeded},
		{name: "cut", before: func(n *Network) { n.Cut("a", "b") }, err: os.ErrDeadlineExceeded},
		{name: "cut the other way", before: func(n *Network) { n.Cut("b", "a") }, want: "x"},
		{name: "cut on the way", after: func(n *Network) { n.CutBoth("a", "b") }, err: os.ErrDeadlineExceeded},
		{name: "healed", before: func(n *Network) { n.CutBoth("a", "b") }, after: func(n *Network) { n.HealBoth("a", "b") }, want: "x"},
		{name: "silent", before: func(n *Network) { n.Silence("a", "b") }, err: os.ErrDeadlineExceeded},
		{name: "crash", before: func(n *Network) { n.Crash("a") }, err: io.EOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New()
				near, far := openConn(t, n)
				if tt.before != nil {
					tt.before(n)
				}
				_, _ = near.Write([]byte("x"))
				if tt.after != nil {
					tt.after(n)
				}
				got, err := readWithin(far, readTimeout)
				assert.Equal(t, got, tt.want)
				assert.ErrorIs(t, err, tt.err)
			})
		})
	}
}

// Guards against dials, reads and writes that succeed although the other host is down or its link is cut.
func TestDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		_, err := n.Dial(ctx, "a", "b:1")
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
		near, _ := openConn(t, n)
		n.Cut("b", "a")
		_, err = n.Dial(ctx, "a", "b:1")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		n.Heal("b", "a")
		n.Crash("b")
		_, err = readWithin(near, readTimeout)
		assert.ErrorIs(t, err, io.EOF)
		_, err = near.Write([]byte("x"))
		assert.ErrorIs(t, err, io.ErrClosedPipe)
	})
}
