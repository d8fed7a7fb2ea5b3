package lead

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// newAbandoned returns a group that a VM has paused before it was killed.
func newAbandoned() *fakeCluster {
	f := newFakeCluster()
	f.view.SyncReplicas = 1
	f.stored = f.view
	f.abandonedAt = time.Now()
	return f
}

// Guards against a group whose writes wait for as long as a pause lasts, although its primary works and the VM that paused it is gone,
// and against ending the pause while a promotion of that VM may still be executed: a call with a higher token must be answered first.
func TestInterruptedPauseIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAbandoned()
		f.onPromote = func() { assert.Check(t, f.paused && !f.abandonedAt.IsZero()) }
		assert.DeepEqual(t, f.run(t, pauseTakeover+500*time.Millisecond), []promotion{{"a", 11}})
		assert.Assert(t, f.abandonedAt.IsZero() && !f.paused)
		assert.Equal(t, len(f.steppedDown), 0)
	})
}

// Guards against taking over the pause of a VM that works, and against an end without the fence: while the lease is taken, or no
// call is answered.
func TestPauseIsNotTakenOver(t *testing.T) {
	for name, change := range map[string]func(f *fakeCluster){
		"renewed":            func(f *fakeCluster) { f.abandonedAt = time.Now().Add(time.Hour) },
		"lease is taken":     func(f *fakeCluster) { f.leaseHeld = true },
		"no call executed":   func(f *fakeCluster) { f.promotionsDown = true },
		"no call answered":   func(f *fakeCluster) { f.unansweredCalls = 1000 },
		"commits don't wait": func(f *fakeCluster) { f.view.SyncReplicas = 0; f.stored = f.view },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAbandoned()
				change(f)
				promotions := f.run(t, pauseTakeover+2*time.Second)
				assert.Assert(t, !f.abandonedAt.IsZero())
				for _, p := range promotions {
					assert.Equal(t, p.ID, core.UpstreamID("a"))
				}
			})
		})
	}
}

// Guards against a group that stays with a primary that leaves or has failed, since the VM that was replacing it is gone.
func TestInterruptedChangeIsFinished(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newAbandoned()
			f.view.Leaving = leaves
			f.stored = f.view
			f.unresponsive["a"] = !leaves
			f.probes["c"] = ProbeResult{Log: f.probes["a"].Log}
			promotions := f.run(t, pauseTakeover+4*time.Second)
			assert.Equal(t, len(promotions), 1)
			assert.Assert(t, promotions[0].ID != "a")
			assert.Assert(t, f.abandonedAt.IsZero())
		})
	}
}

// Guards against stepping down a primary that works, because a VM, such as the one that was killed, doesn't acknowledge the pause with
// which another one's is ended, and the platform is slow.
func TestPrimaryStaysWhilePauseIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowPlatform{fakeCluster: newAbandoned()}
		s.silentVM = true
		ctx, cancel := context.WithTimeout(t.Context(), pauseTakeover+6*time.Second)
		defer cancel()
		d := New(Config{Cluster: s, Store: s, Promoter: s, Pauser: s, Self: "vm", Log: log.NewNopLogger()})
		assert.NilError(t, d.Run(ctx))
		assert.Assert(t, s.calls > 0 && s.pauses > 1)
		assert.Equal(t, len(s.steppedDown), 0)
	})
}
