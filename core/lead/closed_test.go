package lead

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// release is a group whose primary "a" leaves while callers write. Commits wait for one replica; "b" receives them 12 ms
// after the primary, "c" 50 ms after it.
type release struct {
	*fakeCluster
	start time.Time
	// lost is the number of commits that the promoted upstream hadn't received.
	lost int
	// deaf is set if the replicas receive nothing.
	deaf bool
	// isSteppedDownFirst is set if the primary had stepped down before the promotion was sent.
	isSteppedDownFirst bool
	// closedAt is when the primary's log ended, or zero.
	closedAt time.Time
}

func newRelease() *release {
	r := &release{fakeCluster: newFakeCluster(), start: time.Now()}
	r.view.SyncReplicas, r.view.Leaving = 1, true
	r.stored = r.view
	r.inspect = func(id core.UpstreamID) ProbeResult {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.status(id)
	}
	r.onPromote = func() {
		id := r.promotions[len(r.promotions)-1].ID
		r.isSteppedDownFirst = len(r.steppedDown) > 0
		// The promotion takes effect 300 ms after the call, with what was received by the call.
		r.lost = int(r.end(time.Now().Add(300*time.Millisecond)).Offset - r.status(id).Received.Offset)
	}
	return r
}

// end returns the end of the primary's log: it commits once a millisecond until it is closed. The caller holds mu.
func (r *release) end(now time.Time) core.Position {
	isClosed := r.paused || len(r.steppedDown) > 0
	if !isClosed {
		r.closedAt = time.Time{}
	} else if r.closedAt.IsZero() {
		r.closedAt = time.Now()
	}
	if !r.closedAt.IsZero() && r.closedAt.Before(now) {
		now = r.closedAt
	}
	return core.Position{Term: 1, Offset: core.Offset(100 + now.Sub(r.start)/time.Millisecond)}
}

// status returns the result of inspecting an upstream. The caller holds mu.
func (r *release) status(id core.UpstreamID) ProbeResult {
	now := time.Now()
	switch {
	case id == "a":
		return ProbeResult{Leads: len(r.steppedDown) == 0, Log: r.end(now), Received: r.end(now), IsReceivedKnown: true}
	case r.deaf:
		return ProbeResult{Log: core.Position{Term: 1, Offset: 99}, Received: core.Position{Term: 1, Offset: 99}, IsReceivedKnown: true}
	case id == "b":
		now = now.Add(-12 * time.Millisecond)
	default:
		now = now.Add(-50 * time.Millisecond)
	}
	at := r.end(now)
	return ProbeResult{Log: at, Received: at, IsReceivedKnown: true}
}

// Guards against acknowledged commits of a leaving primary that the promoted replica hasn't received. The log is closed by
// all VMs, or at the primary if one of them is silent.
func TestReleaseLosesNoCommit(t *testing.T) {
	for _, silentVM := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRelease()
			r.silentVM = silentVM
			promotions := r.run(t, 2*time.Second)
			assert.DeepEqual(t, promotions, []promotion{{"b", 11}})
			assert.Equal(t, r.lost, 0)
			assert.Equal(t, r.isSteppedDownFirst, silentVM)
			// A VM that has just started may not know of the pause.
			assert.Assert(t, len(r.steppedDown) > 0, "the old primary wasn't stepped down")
			assert.Assert(t, !r.paused, "the pause wasn't ended")
		})
	}
}

// Guards against a promotion that relies on a leaving primary to tell the end of its log although it doesn't answer: all
// replicas are needed then.
func TestSilentLeavingPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelease()
		r.unresponsive["a"], r.unresponsive["c"] = true, true
		assert.Equal(t, len(r.run(t, 3*time.Second)), 0)
	})
}

// Guards against a promotion while a replica that may be the only one with acknowledged commits is silent, and against a group
// that stays without a primary because of it.
func TestSilentReceiverDelaysPromotion(t *testing.T) {
	for _, tt := range []struct {
		length time.Duration
		want   int
	}{{receiverTimeout, 0}, {receiverTimeout + 4*time.Second, 1}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeCluster()
			f.view.SyncReplicas, f.view.Members = 1, 5
			f.view.Replicas = []core.UpstreamID{"b", "c", "d", "e"}
			f.probes["d"], f.probes["e"] = f.probes["b"], f.probes["b"]
			f.stored = f.view
			f.unresponsive["a"], f.unresponsive["c"] = true, true
			assert.Equal(t, len(f.run(t, tt.length)), tt.want)
		})
	}
}

// Guards against a failover that doesn't wait for silent replicas because an earlier one did, after which the primary answered
// again.
func TestEachFailoverWaitsForReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.unresponsive["a"], f.unresponsive["c"] = true, true
		setPrimarySilent := func(silent bool) func() {
			return func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.unresponsive["a"] = silent
				if !silent {
					f.view.PrimaryConfirmedAt = time.Now()
					f.stored = f.view
				}
			}
		}
		time.AfterFunc(2*time.Second, setPrimarySilent(false))
		time.AfterFunc(time.Minute, setPrimarySilent(true))
		start := time.Now()
		assert.Equal(t, len(f.run(t, time.Minute+majorityTimeout)), 0, "promoted after %v", f.promotedAt.Sub(start))
	})
}

// Guards against a promotion while a VM may still write to the leaving primary, which can't step down.
func TestReleaseNeedsClosedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelease()
		r.refusesStepDown, r.silentVM = true, true
		assert.Equal(t, len(r.run(t, 3*time.Second)), 0)
		assert.Assert(t, r.pauses > 1 && !r.paused)
	})
}

// Guards against a group without a primary while the platform promotes nothing, or while no replica has caught up: the
// leaving primary serves on.
func TestReleaseKeepsPrimaryWithoutSuccessor(t *testing.T) {
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRelease()
			r.promotionsDown, r.deaf = down, !down
			assert.Equal(t, len(r.run(t, 3*time.Second)), 0)
			assert.Equal(t, len(r.steppedDown), 0)
			assert.Assert(t, !r.paused)
		})
	}
}

// Guards against commits of a leaving primary that goes on after the pause, while a promotion that got no answer may still be
// executed.
func TestUnansweredPromotionOfClosedLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelease()
		r.unansweredCalls = 1
		promotions := r.run(t, 2*time.Second)
		assert.DeepEqual(t, promotions, []promotion{{"b", 11}, {"b", 11}})
		assert.Assert(t, r.isSteppedDownFirst)
		assert.Equal(t, r.lost, 0)
	})
}

// Guards against writes of other VMs to a primary that this VM takes for failed while it is replaced.
func TestFailoverPausesVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.view.SyncReplicas = 1
		f.stored = f.view
		f.unresponsive["a"] = true
		paused := false
		f.onPromote = func() { paused = f.paused }
		assert.Equal(t, len(f.run(t, 3*time.Second)), 1)
		assert.Assert(t, paused && !f.paused)
	})
}

// Guards against a promotion during which VMs that start may use the old primary, since the store hasn't accepted the record of
// the pause: a leaving primary steps down first, one that doesn't answer isn't replaced until the record is written.
func TestPromotionNeedsRecordedPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelease()
		r.recordsNoPause = true
		assert.Equal(t, len(r.run(t, 2*time.Second)), 1)
		assert.Assert(t, r.isSteppedDownFirst)
		assert.Equal(t, r.lost, 0)
	})
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.view.SyncReplicas = 1
		f.stored = f.view
		f.unresponsive["a"], f.recordsNoPause = true, true
		time.AfterFunc(3*time.Second, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			assert.Check(t, len(f.promotions) == 0, "promoted without a recorded pause")
			f.recordsNoPause = false
		})
		assert.Equal(t, len(f.run(t, 5*time.Second)), 1)
	})
}

// Guards against the cost of a closed log where commits don't wait for replicas.
func TestAsynchronousReleaseIsNotClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelease()
		r.view.SyncReplicas = 0
		r.stored = r.view
		assert.Equal(t, len(r.run(t, 2*time.Second)), 1)
		assert.Equal(t, len(r.steppedDown)+r.pauses, 0)
	})
}
