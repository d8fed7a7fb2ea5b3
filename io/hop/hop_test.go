package hop

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/budget"
)

// echoRelay is a relay that answers each command with its text.
type echoRelay struct {
	mu        sync.Mutex
	delay     time.Duration
	remaining time.Duration
	pauses    int
	fault     core.Fault
	closed    chan struct{}
	state     atomic.Int64
}

func (e *echoRelay) Execute(_ context.Context, cmd core.Command, deadline time.Time) core.Answer {
	e.mu.Lock()
	e.remaining = time.Until(deadline)
	delay := e.delay
	e.mu.Unlock()
	time.Sleep(delay)
	return core.Answer{Fault: e.fault, Body: []byte(cmd.Text), Status: core.TxIdle, Position: core.Position{Term: 2, Offset: 5}}
}

func (e *echoRelay) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pauses++
}

func (e *echoRelay) StateBytes() int { return int(e.state.Load()) }

func (e *echoRelay) Close() { close(e.closed) }

func newPair(t *testing.T, e *echoRelay) (*Server, *Conn) {
	t.Helper()
	return newPairWith(t, e, nil)
}

// newPairWith is newPair for a server with a limit of memory.
func newPairWith(t *testing.T, e *echoRelay, memory *budget.Budget) (*Server, *Conn) {
	t.Helper()
	e.closed = make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := NewServer(ServerConfig{
		Listener: ln, Log: log.NewNopLogger(), Memory: memory,
		Open: func(id core.UpstreamID) (Relay, core.Position, bool) {
			return e, core.Position{Term: 1, Offset: 3}, id == "known"
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- srv.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-end)
	})
	_, err = Dial(t.Context(), ln.Addr().String(), "unknown")
	var refused *core.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	c, err := Dial(t.Context(), ln.Addr().String(), "known")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return srv, c
}

// Guards against an answer of another build, with a fault that this one doesn't know, that ends the process or is
// taken for a promise that nothing has run.
func TestUnknownFault(t *testing.T) {
	_, c := newPair(t, &echoRelay{fault: 200})
	assert.NilError(t, c.Send([]core.Command{{Text: "a"}}))
	ans, err := c.Receive(time.Now().Add(5 * time.Second))
	assert.NilError(t, err)
	assert.Equal(t, ans.Fault, core.FaultInDoubt)
}

// Guards against answers that are lost or reordered, and against deadlines that don't reach the owner.
func TestBatch(t *testing.T) {
	e := &echoRelay{}
	_, c := newPair(t, e)
	assert.Equal(t, c.InitialPosition(), core.Position{Term: 1, Offset: 3})
	cmds := []core.Command{{Text: "a"}, {Text: "b", Deadline: time.Now().Add(700 * time.Millisecond)}, {Text: "c"}}
	assert.NilError(t, c.Send(cmds))
	for _, want := range []string{"a", "b", "c"} {
		ans, err := c.Receive(time.Now().Add(5 * time.Second))
		assert.NilError(t, err)
		assert.Equal(t, string(ans.Body), want)
	}
	assert.Assert(t, c.IsIdle())
	e.mu.Lock()
	defer e.mu.Unlock()
	assert.Equal(t, e.pauses, 1)
	assert.Assert(t, e.remaining <= 700*time.Millisecond && e.remaining > 100*time.Millisecond, "%v left", e.remaining)
}

// Guards against a timeout that makes the connection lose an answer which arrives later.
func TestLateAnswer(t *testing.T) {
	_, c := newPair(t, &echoRelay{delay: 150 * time.Millisecond})
	assert.NilError(t, c.Send([]core.Command{{Text: "a"}}))
	_, err := c.Receive(time.Now().Add(30 * time.Millisecond))
	assert.ErrorContains(t, err, "timeout")
	ans, err := c.Receive(time.Now().Add(5 * time.Second))
	assert.NilError(t, err)
	assert.Equal(t, string(ans.Body), "a")
}

// Guards against further use of an owner that shuts down, and against interrupting the statements in
// progress there.
func TestGoodbye(t *testing.T) {
	srv, c := newPair(t, &echoRelay{delay: 100 * time.Millisecond})
	assert.NilError(t, c.Send([]core.Command{{Text: "a"}}))
	time.Sleep(30 * time.Millisecond)
	srv.AnnounceShutdown()
	ans, err := c.Receive(time.Now().Add(5 * time.Second))
	assert.NilError(t, err)
	assert.Equal(t, string(ans.Body), "a")
	assert.Assert(t, !c.IsIdle())
}

// Guards against an owner that keeps a transaction open after the other VM has closed its connection.
func TestPeerGone(t *testing.T) {
	e := &echoRelay{}
	_, c := newPair(t, e)
	assert.NilError(t, c.Close())
	select {
	case <-e.closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the relay wasn't closed")
	}
}

// Guards against memory that relays keep for other VMs beyond the limit of this one: the connection that keeps the most is
// closed while it is idle, and one that would exceed the limit by itself.
func TestRelayStateCountsAgainstMemory(t *testing.T) {
	const limit = 1 << 20
	memory := budget.New(budget.Config{Limit: limit})
	ask := func(c *Conn) error {
		if err := c.Send([]core.Command{{Text: "a"}}); err != nil {
			return err
		}
		_, err := c.Receive(time.Now().Add(5 * time.Second))
		return err
	}
	first, second := &echoRelay{}, &echoRelay{}
	_, a := newPairWith(t, first, memory)
	_, b := newPairWith(t, second, memory)
	first.state.Store(limit * 3 / 4)
	assert.NilError(t, ask(a))
	waitFor(t, func() bool { return memory.Used() == limit*3/4 })
	second.state.Store(limit / 2)
	assert.NilError(t, ask(b))
	waitFor(t, func() bool { return memory.Used() <= limit/2 })
	<-first.closed
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "timeout")
	}
}

// Guards against a large answer that fails at once because the time to write the last one is over.
func TestLargeAnswerAfterPause(t *testing.T) {
	_, c := newPair(t, &echoRelay{})
	for range 2 {
		for _, size := range []int{64 * bufferSize, bufferSize, 1} {
			text := strings.Repeat("x", size)
			assert.NilError(t, c.Send([]core.Command{{Text: text}}))
			ans, err := c.Receive(time.Now().Add(5 * time.Second))
			assert.NilError(t, err)
			assert.Equal(t, len(ans.Body), size)
		}
		time.Sleep(writeTimeout + 100*time.Millisecond)
	}
}
