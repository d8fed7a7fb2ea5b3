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
	"snipewall/core/permit"
)

// slowPlatform is a group whose primary "a" is silent for a while, and a platform that executes promotions late and answers
// none of them. Commits wait for one replica.
type slowPlatform struct {
	*fakeCluster
	// late is the time from a call until its execution, 0 if it is never executed. callTimeout limits the wait for the answer.
	// Of the calls that are never executed, the first lost ones get no answer, unless that is 0.
	late time.Duration
	lost int
	// other is the upstream that another VM has asked to promote, if any.
	other core.UpstreamID
	// killed is set once the VM is gone.
	killed bool
	// outstanding counts the calls that may still be executed, pausedUntil is when the VMs end the pause by themselves.
	outstanding int
	pausedUntil time.Time
	calls       int
	// pauseDelay is how long the VMs take to acknowledge a pause.
	pauseDelay time.Duration
	// onResume is called at the end of a pause, with mu held.
	onResume func()
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

func (s *slowPlatform) Pause(_ context.Context, _ core.GroupID, _ bool, lasts time.Duration) permit.PauseResult {
	time.Sleep(s.pauseDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return permit.PauseResult{}
	}
	s.pauses++
	s.pausedUntil = time.Now().Add(max(pauseTime, lasts))
	return permit.PauseResult{Recorded: true, Acknowledged: !s.silentVM}
}

func (s *slowPlatform) Resume(context.Context, core.GroupID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return
	}
	s.pausedUntil = time.Time{}
	if s.onResume != nil {
		s.onResume()
	}
}

func (s *slowPlatform) Promote(_ context.Context, _ core.GroupID, id core.UpstreamID, _ core.VMID, _ core.Version) error {
	s.mu.Lock()
	if s.killed {
		s.mu.Unlock()
		return errDown
	}
	s.calls++
	if s.lost > 0 && s.calls > s.lost {
		s.setPrimary(id)
		s.mu.Unlock()
		return nil
	}
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

// canCommit reports whether the old primary could acknowledge commits, or the one that another VM has promoted. The caller
// holds mu.
func (s *slowPlatform) canCommit() bool {
	isOther := s.other != "" && s.view.Primary == s.other
	return (!s.unresponsive["a"] && s.probes["a"].Leads || isOther) && !time.Now().Before(s.pausedUntil)
}

// play lets the primary be silent for the time and the VM be killed at another one, and watches the group.
func (s *slowPlatform) play(t *testing.T, silence, killedAt, length time.Duration) {
	t.Helper()
	s.view.SyncReplicas = 1
	s.stored = s.view
	s.unresponsive["a"] = true
	ctx, cancel := context.WithTimeout(t.Context(), killedAt)
	defer cancel()
	start := time.Now()
	time.AfterFunc(killedAt, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.killed = true
	})
	time.AfterFunc(silence, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unresponsive["a"] = false
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ; time.Since(start) < length; time.Sleep(5 * time.Millisecond) {
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
					s.play(t, silence, 40*time.Second, 40*time.Second)
					assert.Assert(t, s.calls > 0)
					assert.Equal(t, len(s.problems), 0, "the old primary could commit at %v", s.problems)
					assert.Assert(t, s.view.Primary != "a", "the primary wasn't replaced")
					assert.Assert(t, s.pausedUntil.IsZero(), "the pause wasn't ended")
				})
			})
		}
	}
}

// Guards against a group that stays paused after promotions that are never executed, once a later one is.
func TestPauseEndsAfterLostPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowPlatform{fakeCluster: newFakeCluster(), lost: 2}
		var endedAt time.Duration
		start := time.Now()
		s.onResume = func() { endedAt = time.Since(start) }
		s.play(t, 2*time.Second, 30*time.Second, 30*time.Second)
		assert.Equal(t, s.calls, 3)
		assert.Assert(t, s.pausedUntil.IsZero(), "the pause wasn't ended")
		assert.Assert(t, endedAt < 7*time.Second, "the pause ended after %v", endedAt)
		assert.Assert(t, s.view.Primary != "a")
	})
}

// Guards against commits that an old primary acknowledges once it is back, after the VM that asked for a promotion was killed
// and before that is executed.
func TestPauseOutlastsKilledVM(t *testing.T) {
	for _, late := range []time.Duration{1200 * time.Millisecond, 5 * time.Second, 12 * time.Second} {
		for _, silence := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
			for killedAt := time.Second; killedAt < 4*time.Second; killedAt += 300 * time.Millisecond {
				t.Run(fmt.Sprintf("%v late, %v silent, killed at %v", late, silence, killedAt), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := &slowPlatform{fakeCluster: newFakeCluster(), late: late}
						s.play(t, silence, killedAt, 40*time.Second)
						assert.Assert(t, s.calls > 0)
						assert.Equal(t, len(s.problems), 0, "the old primary could commit at %v", s.problems)
						assert.Assert(t, s.view.Primary != "a", "the primary wasn't replaced")
						assert.Assert(t, time.Now().After(s.pausedUntil), "the group stays paused")
					})
				})
			}
		}
	}
}

// Guards against commits of an upstream that leads since another VM's promotion was executed late, while this VM's own one, of
// another upstream, may still be executed and cut them off.
func TestPauseOutlastsOtherPromotion(t *testing.T) {
	for _, otherAt := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		for _, late := range []time.Duration{5 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprintf("other at %v, %v late", otherAt, late), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &slowPlatform{fakeCluster: newFakeCluster(), late: late, other: "b"}
					time.AfterFunc(otherAt, func() {
						s.mu.Lock()
						defer s.mu.Unlock()
						s.setPrimary(s.other)
					})
					s.play(t, time.Hour, 40*time.Second, 40*time.Second)
					assert.Assert(t, s.calls > 0)
					assert.Equal(t, len(s.problems), 0, "commits could be cut off at %v", s.problems)
					assert.Assert(t, s.pausedUntil.IsZero(), "the pause wasn't ended")
				})
			})
		}
	}
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
		assert.Assert(t, d.pause(t.Context(), "g", &p, false).IsComplete())
		time.Sleep(pauseRenewal - s.pauseDelay + 100*time.Millisecond)
		d.endPause(t.Context(), "g", &p)
		time.Sleep(s.pauseDelay)
		s.mu.Lock()
		assert.Assert(t, s.pausedUntil.IsZero(), "the group is paused after the failover")
		s.mu.Unlock()
		<-ended
	})
}
