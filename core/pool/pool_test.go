package pool

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const dialTime = 30 * time.Millisecond

var (
	errFull = errors.New("too many connections")
	errDown = errors.New("connection refused")
)

// server is the other side of a pool: it counts connections and can be made to fail.
type server struct {
	open, maxOpen, dials atomic.Int32
	dialErr              atomic.Pointer[error]
	silent               atomic.Bool
}

type conn struct {
	label  string
	closed atomic.Bool
}

func (s *server) dial(ctx context.Context, label string) (*conn, error) {
	s.dials.Add(1)
	select {
	case <-time.After(dialTime):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := s.dialErr.Load(); err != nil {
		return nil, *err
	}
	if n := s.open.Add(1); n > s.maxOpen.Load() {
		s.maxOpen.Store(n)
	}
	return &conn{label: label}, nil
}

func (s *server) close(c *conn) error {
	if !c.closed.Swap(true) {
		s.open.Add(-1)
	}
	return nil
}

func (s *server) ping(ctx context.Context, _ *conn) error {
	if s.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// runScenario runs the scenario on the fake clock and checks that the pool closes all connections.
func runScenario(t *testing.T, cfg Config[*conn], scenario func(t *testing.T, p *Pool[*conn], s *server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &server{}
		cfg.Dial, cfg.Close, cfg.Ping = s.dial, s.close, s.ping
		cfg.AtLimit = func(err error) bool { return errors.Is(err, errFull) }
		p := New(cfg)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- p.Run(ctx) }()
		scenario(t, p, s)
		cancel()
		assert.NilError(t, <-ended)
		assert.Equal(t, s.open.Load(), int32(0))
		assert.Equal(t, p.Stats().Total, 0)
	})
}

// Guards against requests that wait for a dial although idle connections are configured.
func TestMinIdleConnections(t *testing.T) {
	runScenario(t, Config[*conn]{Limit: 8, MinIdle: 3}, func(t *testing.T, p *Pool[*conn], _ *server) {
		time.Sleep(2 * dialTime)
		for range 20 {
			start := time.Now()
			h, err := p.Get(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, time.Since(start), time.Duration(0))
			h.Put()
			assert.Assert(t, p.Stats().Idle >= 3)
		}
	})
}

// Guards against waiters that block although no dial succeeds, and against dialing without a backoff.
func TestDialErrorReachesWaiters(t *testing.T) {
	runScenario(t, Config[*conn]{Limit: 4, MinIdle: 1}, func(t *testing.T, p *Pool[*conn], s *server) {
		s.dialErr.Store(&errDown)
		start := time.Now()
		for range 200 {
			_, err := p.Get(t.Context())
			assert.ErrorIs(t, err, errDown)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, time.Since(start) < 4*time.Second)
		assert.Assert(t, s.dials.Load() < 15, "%d dials", s.dials.Load())
		s.dialErr.Store(nil)
		time.Sleep(1100 * time.Millisecond)
		h, err := p.Get(t.Context())
		assert.NilError(t, err)
		h.Put()
	})
}

// Guards against failing at the connection limit although a connection in use is returned soon.
func TestRefusalWaitsForConnectionInUse(t *testing.T) {
	runScenario(t, Config[*conn]{Limit: 4}, func(t *testing.T, p *Pool[*conn], s *server) {
		h, err := p.Get(t.Context())
		assert.NilError(t, err)
		s.dialErr.Store(&errFull)
		go func() { time.Sleep(200 * time.Millisecond); h.Put() }()
		h, err = p.Get(t.Context())
		assert.NilError(t, err)
		h.Discard()
		_, err = p.Get(t.Context())
		assert.ErrorIs(t, err, errFull)
	})
}

// Guards against handing out an idle connection that no longer answers.
func TestHeartbeatClosesSilentConnections(t *testing.T) {
	runScenario(t, Config[*conn]{Limit: 4, MinIdle: 2}, func(t *testing.T, p *Pool[*conn], s *server) {
		time.Sleep(time.Second)
		s.silent.Store(true)
		time.Sleep(defaultHeartbeatInterval + defaultHeartbeatTimeout)
		assert.Assert(t, s.dials.Load() >= 4, "%d dials", s.dials.Load())
	})
}

// Guards against handing out a dead connection just after another one was found dead.
func TestDiscardChecksIdleConnections(t *testing.T) {
	runScenario(t, Config[*conn]{Limit: 8, MinIdle: 3, HeartbeatInterval: time.Minute}, func(t *testing.T, p *Pool[*conn], s *server) {
		time.Sleep(time.Second)
		h, ok := p.TryGet()
		assert.Assert(t, ok)
		old := s.dials.Load()
		s.silent.Store(true)
		time.Sleep(4 * time.Second)
		h.Discard()
		_, ok = p.TryGet()
		assert.Assert(t, !ok, "a connection that may be silent was handed out")
		start := time.Now()
		fresh, err := p.Get(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, s.dials.Load() > old)
		assert.Assert(t, time.Since(start) <= dialTime)
		fresh.Put()
		time.Sleep(2 * time.Second)
		assert.Equal(t, p.Stats().Idle, 3)
	})
}

// Guards against connections in excess of MinIdle that are never closed.
func TestIdleExpiry(t *testing.T) {
	runScenario(t, Config[*conn]{Limit: 6, MinIdle: 2}, func(t *testing.T, p *Pool[*conn], s *server) {
		var handles []*Handle[*conn]
		for range 6 {
			h, err := p.Get(t.Context())
			assert.NilError(t, err)
			handles = append(handles, h)
		}
		for _, h := range handles {
			h.Put()
		}
		time.Sleep(defaultIdleTimeout + 2*defaultHeartbeatInterval)
		assert.Equal(t, s.open.Load(), int32(2))
	})
}

// Guards against a late Put or Discard of a former user that ends the use of the current one.
func TestHandleEndsOnce(t *testing.T) {
	runScenario(t, Config[*conn]{Limit: 1}, func(t *testing.T, p *Pool[*conn], _ *server) {
		first, err := p.Get(t.Context())
		assert.NilError(t, err)
		first.Put()
		second, err := p.Get(t.Context())
		assert.NilError(t, err)
		first.Discard()
		assert.Equal(t, p.Stats().InUse, 1)
		assert.Assert(t, !second.Value.closed.Load())
		second.Put()
	})
}

// Guards against exceeding the limit and against leaks, under any mix of use, failures and timeouts.
func TestPoolLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(rt, "limit")
		minIdle := rapid.IntRange(0, 3).Draw(rt, "minIdle")
		type use struct {
			timeout, hold int
			failed        bool
		}
		uses := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) use {
			return use{
				timeout: rapid.IntRange(1, 200).Draw(rt, "timeout"),
				hold:    rapid.IntRange(0, 60).Draw(rt, "hold"),
				failed:  rapid.Bool().Draw(rt, "failed"),
			}
		}), 1, 30).Draw(rt, "uses")
		runScenario(t, Config[*conn]{Limit: limit, MinIdle: minIdle}, func(t *testing.T, p *Pool[*conn], s *server) {
			ended := make(chan struct{})
			for _, u := range uses {
				go func() {
					defer func() { ended <- struct{}{} }()
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(u.timeout)*time.Millisecond)
					defer cancel()
					h, err := p.Get(ctx)
					if err != nil {
						return
					}
					time.Sleep(time.Duration(u.hold) * time.Millisecond)
					if u.failed {
						h.Discard()
					} else {
						h.Put()
					}
				}()
			}
			for range uses {
				<-ended
			}
			assert.Assert(t, s.maxOpen.Load() <= int32(limit), "%d connections, limit %d", s.maxOpen.Load(), limit)
			assert.Equal(t, p.Stats().InUse, 0)
			assert.Equal(t, p.Stats().Waiting, 0)
		})
	})
}

// Guards against a start at which all waiting requests dial at once: each dial occupies a slot of an
// upstream for 12 to 27 ms, several times as long as a statement.
func TestSlowStart(t *testing.T) {
	runScenario(t, Config[*conn]{Limit: 4, SlowStart: true}, func(t *testing.T, p *Pool[*conn], s *server) {
		ended := make(chan struct{})
		for range 4 {
			go func() {
				h, err := p.Get(t.Context())
				if assert.Check(t, err) {
					time.Sleep(time.Second)
					h.Put()
				}
				ended <- struct{}{}
			}()
		}
		for range 10 {
			time.Sleep(dialTime / 3)
			st := p.Stats()
			assert.Assert(t, st.Dialing <= max(1, st.InUse), "%d dials beside %d connections", st.Dialing, st.InUse)
		}
		assert.Equal(t, p.Stats().InUse, 4)
		for range 4 {
			<-ended
		}
	})
}

// Guards against pools that wake up while nothing uses them: a VM has two for each upstream. One with an idle
// connection and without heartbeats waits for the connection's expiry, however long ago it last answered.
func TestUnusedPoolSleeps(t *testing.T) {
	runScenario(t, Config[*conn]{Limit: 4, IdleTimeout: 20 * time.Second}, func(t *testing.T, p *Pool[*conn], s *server) {
		p.cfg.Ping = nil
		assert.Equal(t, p.untilNextEvent(time.Now()), maxWait)
		h, err := p.Get(t.Context())
		assert.NilError(t, err)
		h.Put()
		time.Sleep(2 * p.cfg.HeartbeatInterval)
		assert.Equal(t, p.untilNextEvent(time.Now()), 20*time.Second-2*p.cfg.HeartbeatInterval)
	})
}
