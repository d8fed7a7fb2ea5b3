package lead

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// slowPlatform is a group whose primary "a" is silent for a while, and a platform that executes promotions late and answers
// none of them. Commits wait for one replica.
type slowPlatform struct {
	*fakeCluster
	// late is the time from a call until its execution, 0 if it is never executed. callTimeout limits the wait for the answer.
	late time.Duration
	// outstanding counts the calls that may still be executed, pausedUntil is when the VMs end the pause by themselves.
	outstanding int
	pausedUntil time.Time
	calls       int
	// pauseDelay is how long the VMs take to acknowledge a pause.
	pauseDelay time.Duration
	// problems holds the times at which the old primary could commit while a call was outstanding.
	problems []time.Duration
}

const (
	// callTimeout is how long the platform adapter waits for an answer, pauseTime how long a VM pauses if nobody ends it.
	callTimeout = 1500 * time.Millisecond
	pauseTime   = 3 * time.Second
	// takeOverTime is the time from the execution of a promotion until the upstream leads.
	takeOverTime = 300 * time.Millisecond
)

func (s *slowPlatform) Pause(context.Context, core.GroupID, bool) bool {
	time.Sleep(s.pauseDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauses++
	s.pausedUntil = time.Now().Add(pauseTime)
	return true
}

func (s *slowPlatform) Resume(context.Context, core.GroupID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Time{}
}

func (s *slowPlatform) Promote(_ context.Context, _ core.GroupID, id core.UpstreamID, _ core.VMID, _ core.Version) error {
	s.mu.Lock()
	s.calls++
	if s.late > 0 {
		s.outstanding++
		time.AfterFunc(s.late+takeOverTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.outstanding--
			if id != s.view.Primary {
				s.setPrimary(id)
			}
		})
	}
	s.mu.Unlock()
	time.Sleep(callTimeout)
	return errors.New("no answer")
}

// canCommit reports whether the old primary could acknowledge commits. The caller holds mu.
func (s *slowPlatform) canCommit() bool {
	return !s.unresponsive["a"] && s.probes["a"].Leads && !time.Now().Before(s.pausedUntil)
}

// play lets the primary be silent for the time, and watches the group.
func (s *slowPlatform) play(t *testing.T, silence, length time.Duration) {
	t.Helper()
	s.view.SyncReplicas = 1
	s.stored = s.view
	s.unresponsive["a"] = true
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	start := time.Now()
	time.AfterFunc(silence, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unresponsive["a"] = false
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
			s.mu.Lock()
			if s.outstanding > 0 && s.canCommit() {
				s.problems = append(s.problems, time.Since(start))
			}
			s.mu.Unlock()
		}
	}()
	driver := New(Config{
		Cluster: s, Store: s, Promoter: s, Pauser: s, Self: "vm", Log: log.NewNopLogger(),
		Now: func() core.Instant { return core.Instant(time.Since(start)) + core.Instant(time.Hour) },
	})
	assert.NilError(t, driver.Run(ctx))
	<-ended
}

// Guards against commits that an old primary acknowledges once it is back, while a promotion that got no answer may still be
// executed: the promoted upstream needn't have received them.
func TestPauseOutlastsLatePromotion(t *testing.T) {
	for _, late := range []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second, 12 * time.Second} {
		for _, silence := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 7 * time.Second} {
			t.Run(fmt.Sprintf("%v late, %v silent", late, silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &slowPlatform{fakeCluster: newFakeCluster(), late: late}
					s.play(t, silence, 40*time.Second)
					assert.Assert(t, s.calls > 0)
					assert.Equal(t, len(s.problems), 0, "the old primary could commit at %v", s.problems)
					assert.Assert(t, s.view.Primary != "a", "the primary wasn't replaced")
					assert.Assert(t, s.pausedUntil.IsZero(), "the pause wasn't ended")
				})
			})
		}
	}
}

// Guards against a group that stays paused, although its primary is back, after a promotion that is never executed.
func TestPauseEndsAfterLostPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowPlatform{fakeCluster: newFakeCluster()}
		s.play(t, 2*time.Second, 30*time.Second)
		assert.Assert(t, s.calls > 0)
		assert.Assert(t, s.pausedUntil.IsZero(), "the pause wasn't ended")
		assert.Equal(t, s.view.Primary, core.UpstreamID("a"))
	})
}

// Guards against a pause that goes on after a failover, because its renewal was under way when the failover ended it.
func TestRenewalDoesNotOutlastFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowPlatform{fakeCluster: newFakeCluster(), pauseDelay: 300 * time.Millisecond}
		d := New(Config{Cluster: s, Store: s, Promoter: s, Pauser: s, Self: "vm", Log: log.NewNopLogger()})
		var p groupPause
		assert.Assert(t, p.start("a"))
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.keepPause(t.Context(), s.view, &p)
		}()
		assert.Assert(t, d.pause(t.Context(), "g", &p, false))
		time.Sleep(pauseRenewal - s.pauseDelay + 100*time.Millisecond)
		d.endPause(t.Context(), "g", &p)
		time.Sleep(s.pauseDelay)
		s.mu.Lock()
		assert.Assert(t, s.pausedUntil.IsZero(), "the group is paused after the failover")
		s.mu.Unlock()
		<-ended
	})
}
