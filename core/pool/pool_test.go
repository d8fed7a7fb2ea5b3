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
	// limit is the number of connections from which on dials fail; 0 means no limit.
	limit  atomic.Int32
	silent atomic.Bool
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
	if limit := s.limit.Load(); limit > 0 && s.open.Load() >= limit {
		return nil, errFull
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

// Guards against a connection that outlives its idle time because Run sleeps until much later: it has no idle connection to
// wait for when the last user takes it.
func TestExpiryWithoutOtherEvents(t *testing.T) {
	runScenario(t, Config[*conn]{Limit: 4, IdleTimeout: 500 * time.Millisecond}, func(t *testing.T, p *Pool[*conn], s *server) {
		synctest.Wait()
		p.cfg.Ping = nil
		for range 3 {
			h, err := p.Get(t.Context())
			assert.NilError(t, err)
			synctest.Wait()
			time.Sleep(20 * time.Millisecond)
			h.Put()
			time.Sleep(499 * time.Millisecond)
			assert.Equal(t, p.Stats().Total, 1)
			time.Sleep(2 * time.Millisecond)
			assert.Equal(t, p.Stats().Total, 0)
		}
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
		// Run reads the configuration only after it has been woken.
		synctest.Wait()
		p.cfg.Ping = nil
		assert.Equal(t, p.untilNextEvent(time.Now()), maxWait)
		h, err := p.Get(t.Context())
		assert.NilError(t, err)
		h.Put()
		time.Sleep(2 * p.cfg.HeartbeatInterval)
		assert.Equal(t, p.untilNextEvent(time.Now()), 20*time.Second-2*p.cfg.HeartbeatInterval)
	})
}

// getLabeled takes a connection with the label.
func getLabeled(t *testing.T, p *Pool[*conn], label string) *Handle[*conn] {
	t.Helper()
	h, err := p.GetLabeled(t.Context(), label)
	assert.NilError(t, err)
	assert.Equal(t, h.Value.label, label)
	return h
}

// Guards against a connection that serves another label than its own, and against a label that gets none because idle
// connections of others take all of the limit: the one that was unused for the longest time makes room.
func TestLabels(t *testing.T) {
	runScenario(t, Config[*conn]{Limit: 2}, func(t *testing.T, p *Pool[*conn], s *server) {
		a, b := getLabeled(t, p, "a"), getLabeled(t, p, "b")
		a.Put()
		time.Sleep(time.Millisecond)
		b.Put()
		_, ok := p.TryGetLabeled("c")
		assert.Assert(t, !ok)
		c := getLabeled(t, p, "c")
		assert.Equal(t, s.maxOpen.Load(), int32(2))
		assert.Equal(t, p.Stats().Replaced, 1)
		b, ok = p.TryGetLabeled("b")
		assert.Assert(t, ok, "the other one was used later")
		b.Put()
		time.Sleep(time.Millisecond)
		c.Put()
		h, err := p.Get(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, h.Value.label, "c", "any label: the most recently used one")
		h.Put()
		assert.Equal(t, s.dials.Load(), int32(3))
	})
}

// Guards against a label that waits until the idle connections of others expire, when the other side has reached its own
// limit below that of the pool.
func TestLabelsAtLimitOfOtherSide(t *testing.T) {
	runScenario(t, Config[*conn]{Limit: 4}, func(t *testing.T, p *Pool[*conn], s *server) {
		s.limit.Store(1)
		getLabeled(t, p, "a").Put()
		getLabeled(t, p, "b").Put()
		assert.Equal(t, p.Stats().Replaced, 1)
	})
}

// Guards against mixed labels, connections beyond the limit and waiters that are forgotten, under random use.
func TestLabelsRandomUse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(rt, "limit")
		labels := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 30).Draw(rt, "labels")
		hold := rapid.IntRange(0, 40).Draw(rt, "holdMs")
		runScenario(t, Config[*conn]{Limit: limit, SlowStart: rapid.Bool().Draw(rt, "slowStart")}, func(t *testing.T, p *Pool[*conn], s *server) {
			done := make(chan struct{}, len(labels))
			for i, label := range labels {
				go func() {
					time.Sleep(time.Duration(i) * 7 * time.Millisecond)
					h := getLabeled(t, p, label)
					time.Sleep(time.Duration(hold) * time.Millisecond)
					h.Put()
					done <- struct{}{}
				}()
			}
			for range labels {
				<-done
			}
			assert.Assert(t, int(s.maxOpen.Load()) <= limit)
		})
	})
}
