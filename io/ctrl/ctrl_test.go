package ctrl

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/peers"
)

// fakePeers answers a ping with the sender's id.
type fakePeers struct {
	peers.Handler
	calls atomic.Int32
	// block makes Ping wait for the end of its context.
	block bool
}

func (f *fakePeers) Ping(ctx context.Context, req *peers.PingRequest) (*peers.PingAnswer, error) {
	f.calls.Add(1)
	if f.block {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if req.To == "nobody" {
		return nil, errors.New("no such member")
	}
	return &peers.PingAnswer{Gossip: peers.Gossip{Self: req.Self, Table: req.Table}}, nil
}

// pipes connects clients to a server over net.Pipe and counts the connections.
type pipes struct {
	server *Server
	dials  atomic.Int32
	conns  sync.WaitGroup
}

func (p *pipes) dial(context.Context, string) (net.Conn, error) {
	p.dials.Add(1)
	a, b := net.Pipe()
	p.conns.Go(func() { p.server.ServeConn(b) })
	return a, nil
}

func newPair(t *testing.T, handler peers.Handler, sc ServerConfig, cc ClientConfig) (*pipes, *Client) {
	sc.Peers = handler
	p := &pipes{server: NewServer(sc)}
	cc.Dial = p.dial
	c := NewClient(cc)
	t.Cleanup(func() {
		assert.Check(t, c.Close())
		p.server.closeAll()
		p.conns.Wait()
	})
	return p, c
}

func ping(id core.VMID) *peers.PingRequest {
	return &peers.PingRequest{To: id, Gossip: peers.Gossip{Self: peers.Update{VM: core.VM{ID: "vm-1"}}, Table: 7}}
}

// Guards against opening a connection for each call, and against idle connections that accumulate.
func TestConnectionsAreReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, c := newPair(t, &fakePeers{}, ServerConfig{}, ClientConfig{MaxIdle: 2})
		for range 5 {
			answer, err := c.Ping(t.Context(), "a", ping(""))
			assert.NilError(t, err)
			assert.Equal(t, answer.Table, core.Version(7))
		}
		assert.Equal(t, p.dials.Load(), int32(1))
		for _, address := range []string{"b", "c"} {
			_, err := c.Ping(t.Context(), address, ping(""))
			assert.NilError(t, err)
		}
		synctest.Wait()
		assert.Equal(t, len(p.server.conns), 2)
		_, err := c.Ping(t.Context(), "c", ping("nobody"))
		var fromMethod rpc.ServerError
		assert.Assert(t, errors.As(err, &fromMethod) && core.ErrPeer.Has(err), "%v", err)
		assert.Equal(t, p.dials.Load(), int32(3))
		// The server closes idle connections before the client uses them again.
		time.Sleep(10 * time.Minute)
		_, err = c.Ping(t.Context(), "c", ping(""))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, len(p.server.conns), 1)
	})
}

// Guards against a call that outlives its deadline or its context, and against reusing a connection
// that still owes an answer.
func TestCallEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := &fakePeers{block: true}
		p, c := newPair(t, handler, ServerConfig{HandlerTimeout: 2 * time.Second}, ClientConfig{})
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		_, err := c.Ping(ctx, "a", ping(""))
		assert.Assert(t, err != nil)
		assert.Equal(t, time.Since(start), 250*time.Millisecond)
		ctx, cancel = context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err = c.Ping(ctx, "a", ping(""))
		assert.ErrorIs(t, err, context.Canceled)
		assert.Equal(t, p.dials.Load(), int32(2))
		assert.Equal(t, c.idle.Len(), 0)
		// The server's own timeout ends the handler and answers, so that the connection stays usable.
		start = time.Now()
		_, err = c.Ping(t.Context(), "a", ping(""))
		assert.ErrorContains(t, err, context.DeadlineExceeded.Error())
		assert.Equal(t, time.Since(start), 2*time.Second)
		assert.Equal(t, c.idle.Len(), 1)
	})
}

// Guards against a member that exhausts the server's memory with a large request or many connections.
func TestServerLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, c := newPair(t, &fakePeers{}, ServerConfig{MaxRequestBytes: 4096, MaxConns: 1}, ClientConfig{})
		_, err := c.Ping(t.Context(), "a", ping(core.VMID(strings.Repeat("x", 5000))))
		assert.Assert(t, err != nil)
		_, err = c.Ping(t.Context(), "a", ping(""))
		assert.NilError(t, err)
		_, err = c.Ping(t.Context(), "b", ping(""))
		assert.Assert(t, err != nil)
		synctest.Wait()
		assert.Equal(t, len(p.server.conns), 1)
	})
}

// Guards against a server that doesn't stop while connections are open. It uses a real network.
func TestServeStops(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	handler := &fakePeers{}
	server := NewServer(ServerConfig{Peers: handler})
	go func() { end <- server.Serve(ctx, l) }()
	c := NewClient(ClientConfig{})
	defer func() { assert.Check(t, c.Close()) }()
	_, err = c.Ping(t.Context(), l.Addr().String(), ping(""))
	assert.NilError(t, err)
	cancel()
	select {
	case err := <-end:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("Serve did not return")
	}
	_, err = c.Ping(t.Context(), l.Addr().String(), ping(""))
	assert.Assert(t, err != nil)
}

// Guards against bytes that make the server panic or hang.
func FuzzServeConn(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add(recordedPing(f))
	f.Fuzz(func(t *testing.T, data []byte) {
		server := NewServer(ServerConfig{Peers: &fakePeers{}, MaxRequestBytes: 1 << 16, IdleTimeout: time.Second})
		a, b := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			server.ServeConn(b)
		}()
		go func() {
			buf := make([]byte, 4096)
			for {
				if _, err := a.Read(buf); err != nil {
					return
				}
			}
		}()
		_ = a.SetDeadline(time.Now().Add(time.Second))
		_, _ = a.Write(data)
		_ = a.Close()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("the connection is still served")
		}
	})
}

// recordedPing returns the bytes of a valid request.
func recordedPing(f *testing.F) []byte {
	a, b := net.Pipe()
	sent := make(chan []byte, 1)
	go func() {
		var data []byte
		buf := make([]byte, 4096)
		for {
			n, err := b.Read(buf)
			data = append(data, buf[:n]...)
			if err != nil {
				sent <- data
				return
			}
		}
	}()
	c := NewClient(ClientConfig{Dial: func(context.Context, string) (net.Conn, error) { return a, nil }})
	ctx, cancel := context.WithTimeout(f.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Ping(ctx, "a", ping(""))
	assert.Assert(f, err != nil)
	return <-sent
}
