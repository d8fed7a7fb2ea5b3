package quorum_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/fakes"
	"snipewall/core/quorum"
)

// run runs the body in a synctest bubble with a monitored group of three upstreams.
func run(t *testing.T, cfg fakes.GroupConfig, body func(ctx context.Context, g *fakes.Group, m *quorum.Monitor)) {
	synctest.Test(t, func(t *testing.T) {
		cfg.Group = "g"
		cfg.Size = 3
		cfg.Delay = time.Millisecond
		g := fakes.NewGroup(cfg)
		defer g.Close()
		m := quorum.New(quorum.Config{Group: "g", Upstreams: g.View("vm")})
		ctx, cancel := context.WithCancel(context.Background())
		end := make(chan error, 1)
		go func() { end <- m.Run(ctx) }()
		defer func() {
			cancel()
			assert.NilError(t, <-end)
		}()
		time.Sleep(time.Second)
		body(ctx, g, m)
	})
}

// write commits a value on u1, the primary of a new group.
func write(t *testing.T, g *fakes.Group) core.Position {
	p, err := g.Remote("vm", "u1").Write(context.Background(), "k", 1)
	assert.NilError(t, err)
	return p
}

// Guards against a write that is confirmed before a majority holds it, or only with the next periodic poll.
func TestConfirmFollowsReplication(t *testing.T) {
	run(t, fakes.GroupConfig{Lag: 40 * time.Millisecond}, func(ctx context.Context, g *fakes.Group, m *quorum.Monitor) {
		p := write(t, g)
		start := time.Now()
		assert.NilError(t, m.Confirm(ctx, p))
		took := time.Since(start)
		assert.Assert(t, took >= 40*time.Millisecond && took < 55*time.Millisecond, "took %s", took)
	})
}

// Guards against confirming a write of an old primary after a majority has promised a higher term.
func TestConfirmFailsAfterHigherTerm(t *testing.T) {
	run(t, fakes.GroupConfig{}, func(ctx context.Context, g *fakes.Group, m *quorum.Monitor) {
		for _, id := range []core.UpstreamID{"u2", "u3"} {
			_, err := g.Remote("vm", id).Prepare(ctx, 2)
			assert.NilError(t, err)
		}
		p := write(t, g)
		err := m.Confirm(ctx, p)
		var unknown *core.UnknownOutcomeError
		assert.Assert(t, errors.As(err, &unknown), "got %v", err)
	})
}

// Guards against a read index from a poll that started before the call: it may miss an earlier write.
func TestReadIndexCoversEarlierWrites(t *testing.T) {
	run(t, fakes.GroupConfig{}, func(ctx context.Context, g *fakes.Group, m *quorum.Monitor) {
		for range 50 {
			p := write(t, g)
			q, err := m.ReadIndex(ctx)
			assert.NilError(t, err)
			assert.Assert(t, q.Covers(p), "%s does not cover %s", q, p)
		}
	})
}

// Guards against a read index without a majority that can be reached.
func TestReadIndexNeedsMajority(t *testing.T) {
	run(t, fakes.GroupConfig{}, func(ctx context.Context, g *fakes.Group, m *quorum.Monitor) {
		g.Cut("vm", "u2", true)
		g.Cut("u3", "vm", true)
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		_, err := m.ReadIndex(ctx)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

// Guards against an age of a replica's data that is lower than the actual one.
func TestAgeGrowsWithLag(t *testing.T) {
	run(t, fakes.GroupConfig{Lag: 300 * time.Millisecond}, func(ctx context.Context, g *fakes.Group, m *quorum.Monitor) {
		stop := time.Now().Add(3 * time.Second)
		for time.Now().Before(stop) {
			write(t, g)
			time.Sleep(10 * time.Millisecond)
		}
		age, ok := m.Age("u2")
		assert.Assert(t, ok)
		assert.Assert(t, age >= 300*time.Millisecond && age < 600*time.Millisecond, "age %s", age)
		g.Cut("u1", "u2", true)
		before, _ := m.Age("u2")
		for range 100 {
			write(t, g)
			time.Sleep(100 * time.Millisecond)
		}
		after, ok := m.Age("u2")
		assert.Assert(t, ok)
		assert.Assert(t, after >= before+9*time.Second, "before %s, after %s", before, after)
	})
}

// Guards against a wait for a replica that ends too early or never.
func TestWaitApplied(t *testing.T) {
	run(t, fakes.GroupConfig{Lag: 100 * time.Millisecond}, func(ctx context.Context, g *fakes.Group, m *quorum.Monitor) {
		p := write(t, g)
		assert.NilError(t, m.WaitApplied(ctx, "u3", p))
		assert.Assert(t, g.State("u3").Applied.Covers(p))
		assert.ErrorContains(t, m.WaitApplied(ctx, "u9", p), "no upstream")
	})
}

// Guards against an upstream that doesn't answer and thereby delays the polls of the others.
func TestSilentUpstreamDoesNotDelayOthers(t *testing.T) {
	run(t, fakes.GroupConfig{}, func(ctx context.Context, g *fakes.Group, m *quorum.Monitor) {
		g.Freeze("u3")
		for range 20 {
			p := write(t, g)
			start := time.Now()
			assert.NilError(t, m.Confirm(ctx, p))
			assert.Assert(t, time.Since(start) < 10*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		g.Thaw("u3")
	})
}

// Guards against callers that wait forever after the monitor has stopped.
func TestStopEndsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := fakes.NewGroup(fakes.GroupConfig{Group: "g", Size: 3})
		defer g.Close()
		m := quorum.New(quorum.Config{Group: "g", Upstreams: g.View("vm")})
		ctx, cancel := context.WithCancel(context.Background())
		end := make(chan error, 1)
		go func() { end <- m.Run(ctx) }()
		waited := make(chan error, 1)
		go func() { waited <- m.Confirm(context.Background(), core.Position{Term: 1, Offset: 99}) }()
		time.Sleep(time.Second)
		cancel()
		assert.ErrorContains(t, <-waited, "stopped")
		assert.NilError(t, <-end)
	})
}

// Guards against frequent polls of idle groups, against a slow first request to such a group, and against
// counting its long poll interval as silence of the primary.
func TestIdleGroupIsPolledLess(t *testing.T) {
	run(t, fakes.GroupConfig{}, func(ctx context.Context, g *fakes.Group, m *quorum.Monitor) {
		polls := func(span time.Duration) uint64 {
			before := m.Dump().(quorum.State).Polls
			time.Sleep(span)
			return m.Dump().(quorum.State).Polls - before
		}
		busy := polls(5 * time.Second)
		assert.Assert(t, busy >= 144 && busy <= 153, "%d polls", busy)
		time.Sleep(10 * time.Second)
		idle := polls(10 * time.Second)
		assert.Assert(t, idle >= 27 && idle <= 33, "%d polls", idle)
		for _, r := range m.Reports() {
			assert.Assert(t, time.Since(r.SilentSince) > time.Hour || time.Since(r.SilentSince) < 150*time.Millisecond)
		}
		start := time.Now()
		_, err := m.ReadIndex(ctx)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) < 10*time.Millisecond)
		g.Freeze("u1")
		time.Sleep(1200 * time.Millisecond)
		silent := time.Since(m.Reports()[0].SilentSince)
		assert.Assert(t, silent >= 1100*time.Millisecond && silent <= 1200*time.Millisecond, "%s", silent)
		g.Thaw("u1")
	})
}

// Guards against a flood of polls, caused by failing requests, to an upstream that refuses connections.
func TestSuspectDoesNotFlood(t *testing.T) {
	run(t, fakes.GroupConfig{}, func(_ context.Context, g *fakes.Group, m *quorum.Monitor) {
		g.Kill("u1")
		before := m.Dump().(quorum.State).Polls
		for range 1000 {
			m.Suspect("u1")
			time.Sleep(time.Millisecond)
		}
		polls := m.Dump().(quorum.State).Polls - before
		assert.Assert(t, polls >= 40 && polls <= 100, "%d polls", polls)
	})
}
