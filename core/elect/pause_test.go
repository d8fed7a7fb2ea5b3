package elect

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/quorum"
)

// fixedView is a View with reports that the test sets.
type fixedView struct{ reports []quorum.Report }

func (v *fixedView) Reports() []quorum.Report                     { return v.reports }
func (v *fixedView) Changed() <-chan struct{}                     { return nil }
func (v *fixedView) Confirm(context.Context, core.Position) error { return nil }
func (v *fixedView) Age(core.UpstreamID) (time.Duration, bool)    { return 0, true }
func (v *fixedView) Suspect(core.UpstreamID)                      {}

// Guards against an entry VM that was paused and takes the pause for a failure of the primary, when the
// replicas' first statuses after the pause arrive before the primary's.
func TestPausedVMDoesNotSuspectPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		status := func(role core.Role) core.UpstreamStatus {
			return core.UpstreamStatus{Role: role, Promised: 1, Log: core.Position{Term: 1, Offset: 3}, Heard: time.Minute}
		}
		v := &fixedView{}
		d := New(Config{Group: "g", Upstreams: make([]core.Upstream, 3), View: v})
		report := func(silence time.Duration) {
			now := time.Now()
			fresh := quorum.Report{Known: true, Status: status(core.RoleReplica), PollAt: now, At: now}
			primary := quorum.Report{Known: true, Status: status(core.RolePrimary), At: now.Add(-silence)}
			if silence > 0 {
				primary.SilentSince = now.Add(-silence)
			}
			v.reports = []quorum.Report{primary, fresh, fresh}
		}
		for range 10 {
			report(0)
			d.detectPause(time.Now())
			time.Sleep(d.cfg.Timing.HealthyTick)
		}
		time.Sleep(time.Minute)
		report(time.Minute)
		now := time.Now()
		d.detectPause(now)
		a := d.assess(now)
		assert.Equal(t, a.reason, ReasonSilent)
		assert.Assert(t, !a.ready)
		for range 80 {
			time.Sleep(d.cfg.Timing.Tick)
			report(time.Since(now))
			d.detectPause(time.Now())
		}
		assert.Assert(t, d.assess(time.Now()).ready, "the silence after the pause must count")
	})
}
