package elect_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/elect"
	"snipewall/core/fakes"
	"snipewall/core/quorum"
)

// harness is a fake group with the monitor and driver of one entry VM.
type harness struct {
	group  *fakes.Group
	store  *fakes.Store
	view   *quorum.Monitor
	driver *elect.Driver

	mu      sync.Mutex
	changes []elect.Change
	hook    func(step elect.Step)
}

// start runs the body in a synctest bubble with a group that has run for 3 s.
func start(t *testing.T, cfg fakes.GroupConfig, body func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		cfg.Group = "g"
		cfg.Size = 3
		cfg.Delay = time.Millisecond
		h := &harness{group: fakes.NewGroup(cfg), store: fakes.NewStore()}
		defer h.group.Close()
		defer h.store.Close()
		upstreams := h.group.View("vm")
		h.view = quorum.New(quorum.Config{Group: "g", Upstreams: upstreams})
		h.driver = elect.New(elect.Config{
			Group: "g", Self: "vm", Upstreams: upstreams, View: h.view, Store: h.store,
			Rand: rand.New(rand.NewPCG(1, 2)),
			Hook: func(_ context.Context, s elect.Step, _ core.Term) {
				h.mu.Lock()
				hook := h.hook
				h.mu.Unlock()
				if hook != nil {
					hook(s)
				}
			},
			OnChange: func(c elect.Change) { h.mu.Lock(); h.changes = append(h.changes, c); h.mu.Unlock() },
		})
		ctx, cancel := context.WithCancel(context.Background())
		ends := make(chan error, 2)
		go func() { ends <- h.view.Run(ctx) }()
		go func() { ends <- h.driver.Run(ctx) }()
		defer func() {
			cancel()
			assert.NilError(t, <-ends)
			assert.NilError(t, <-ends)
		}()
		time.Sleep(3 * time.Second)
		body(h)
	})
}

// completed returns the changes of primary that have completed.
func (h *harness) completed() []elect.Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]elect.Change(nil), h.changes...)
}

func (h *harness) primary(t *testing.T) (core.UpstreamID, core.Term) {
	id, term, ok := h.view.Primary()
	assert.Assert(t, ok, "no primary: %+v", h.driver.Dump())
	return id, term
}

// Guards against a change of primary in a healthy group.
func TestHealthyGroupKeepsPrimary(t *testing.T) {
	start(t, fakes.GroupConfig{}, func(h *harness) {
		time.Sleep(time.Minute)
		id, term := h.primary(t)
		assert.Equal(t, id, core.UpstreamID("u1"))
		assert.Equal(t, term, core.Term(1))
		assert.Equal(t, h.store.Calls(), 0)
	})
}

// Guards against a group that stays without a primary after its primary fails, and against an old primary
// that doesn't follow the new one after its restart.
func TestKilledPrimaryIsReplacedAndRejoins(t *testing.T) {
	start(t, fakes.GroupConfig{}, func(h *harness) {
		h.group.Kill("u1")
		time.Sleep(2 * time.Second)
		id, term := h.primary(t)
		assert.Assert(t, id != "u1")
		assert.Equal(t, term, core.Term(2))
		assert.Equal(t, len(h.completed()), 1)
		assert.Assert(t, h.completed()[0].Total() < 1500*time.Millisecond, "%+v", h.completed()[0])
		h.group.Start("u1")
		time.Sleep(2 * time.Second)
		s := h.group.State("u1")
		assert.Equal(t, s.Role, core.RoleReplica)
		assert.Equal(t, s.Log, h.group.State(id).Log)
		assert.Equal(t, len(h.completed()), 1)
	})
}

// Guards against a newly created group that gets no primary without an operator.
func TestNewGroupGetsPrimary(t *testing.T) {
	start(t, fakes.GroupConfig{NoPrimary: true}, func(h *harness) {
		_, term := h.primary(t)
		assert.Equal(t, term, core.Term(1))
	})
}

// Guards against a planned change that loses entries, and against a leaving primary that isn't replaced.
func TestLeavingPrimaryHandsOver(t *testing.T) {
	start(t, fakes.GroupConfig{Lag: 50 * time.Millisecond}, func(h *harness) {
		p, err := h.group.Remote("vm", "u1").Write(context.Background(), "k", 1)
		assert.NilError(t, err)
		h.group.SetLeaving("u1", true)
		time.Sleep(2 * time.Second)
		id, _ := h.primary(t)
		assert.Assert(t, id != "u1")
		v, err := h.group.Remote("vm", id).ReadAt(context.Background(), "k", p)
		assert.NilError(t, err)
		assert.Equal(t, v, 1)
		assert.Equal(t, h.completed()[0].Reason, elect.ReasonLeaving)
	})
}

// Guards against an upstream that can't follow the primary because it has promised a higher term to a
// driver that failed before it could promote.
func TestHigherTermIsRepaired(t *testing.T) {
	start(t, fakes.GroupConfig{}, func(h *harness) {
		_, err := h.group.Remote("vm", "u3").Prepare(context.Background(), 7)
		assert.NilError(t, err)
		time.Sleep(4 * time.Second)
		id, term := h.primary(t)
		assert.Equal(t, id, core.UpstreamID("u1"))
		assert.Assert(t, term > 7)
		assert.Equal(t, h.group.State("u3").Log, h.group.State("u1").Log)
	})
}

// Guards against a driver that was paused during a step and then continues its outdated change.
func TestPausedDriverStartsOver(t *testing.T) {
	for _, step := range []elect.Step{elect.StepDetect, elect.StepLease, elect.StepPrepare, elect.StepPromote, elect.StepFollow} {
		t.Run(string(step), func(t *testing.T) {
			start(t, fakes.GroupConfig{}, func(h *harness) {
				var paused atomic.Bool
				h.mu.Lock()
				h.hook = func(s elect.Step) {
					if s == step && paused.CompareAndSwap(false, true) {
						time.Sleep(time.Minute)
					}
				}
				h.mu.Unlock()
				h.group.Isolate("u1", true, "vm")
				time.Sleep(30 * time.Second)
				assert.Assert(t, paused.Load())
				h.group.Heal()
				time.Sleep(40 * time.Second)
				id, _ := h.primary(t)
				for _, other := range h.group.IDs() {
					assert.Equal(t, h.group.State(other).Log, h.group.State(id).Log)
				}
			})
		})
	}
}

// Guards against a change of primary because one entry VM can't reach a primary that the replicas still
// hear from, and against a veto by the replicas that never ends.
func TestReplicaVetoExpires(t *testing.T) {
	start(t, fakes.GroupConfig{}, func(h *harness) {
		cut := func(on bool) {
			h.group.Cut("vm", "u1", on)
			h.group.Cut("u1", "vm", on)
		}
		cut(true)
		time.Sleep(4500 * time.Millisecond)
		cut(false)
		time.Sleep(3 * time.Second)
		id, term := h.primary(t)
		assert.Equal(t, id, core.UpstreamID("u1"))
		assert.Equal(t, term, core.Term(1))
		cut(true)
		time.Sleep(6 * time.Second)
		id, _ = h.primary(t)
		assert.Assert(t, id != "u1")
	})
}

// Guards against a planned change that loses an entry that a majority holds: the leaving primary and one
// replica have it, the other replica is far behind.
func TestLeavingPrimaryKeepsConfirmed(t *testing.T) {
	start(t, fakes.GroupConfig{}, func(h *harness) {
		h.group.Cut("u1", "u2", true)
		ctx := context.Background()
		p, err := h.group.Remote("vm", "u1").Write(ctx, "k", 7)
		assert.NilError(t, err)
		assert.NilError(t, h.view.Confirm(ctx, p))
		h.group.SetLeaving("u1", true)
		time.Sleep(3 * time.Second)
		id, _ := h.primary(t)
		assert.Equal(t, id, core.UpstreamID("u3"))
		v, err := h.group.Remote("vm", id).ReadAt(ctx, "k", p)
		assert.NilError(t, err)
		assert.Equal(t, v, 7)
	})
}

// Guards against a failover that depends on the store: a store that is down, is slow, loses answers or
// still has the lease of an entry VM that failed may only delay it, by a limited time.
func TestStoreOnlyDelays(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *fakes.Store)
		delay time.Duration
	}{
		{"up", func(*fakes.Store) {}, 10 * time.Millisecond},
		{"down", func(s *fakes.Store) { s.SetDown(true) }, 210 * time.Millisecond},
		{"slow", func(s *fakes.Store) { s.SetDelay(5 * time.Second) }, 410 * time.Millisecond},
		{"answers lost", func(s *fakes.Store) { s.LoseAnswers(9) }, 410 * time.Millisecond},
		{"lease of a dead VM", acquireLeaseAsOther, 1210 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			start(t, fakes.GroupConfig{}, func(h *harness) {
				tt.fault(h.store)
				h.group.Kill("u1")
				time.Sleep(5 * time.Second)
				assert.Equal(t, len(h.completed()), 1)
				delay := h.completed()[0].Delay
				assert.Assert(t, delay <= tt.delay, "delayed by %s", delay)
			})
		})
	}
}

// acquireLeaseAsOther acquires the group's lease for another entry VM that never releases it.
func acquireLeaseAsOther(s *fakes.Store) {
	ctx := context.Background()
	id, err := s.Grant(ctx, time.Minute)
	if err != nil {
		panic(err)
	}
	if _, err := s.CompareAndSwap(ctx, "snipewall/lead/g", []byte("other"), 0, id); err != nil {
		panic(err)
	}
}
