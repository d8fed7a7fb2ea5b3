package lead

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/permit"
)

// resumeTimeout limits ending a pause, also after this VM was told to stop.
const resumeTimeout = 500 * time.Millisecond

// Pauser keeps all VMs from using a group's primary for a short time. *permit.Pauses implements it.
type Pauser interface {
	// Pause begins or renews a pause and tells which VMs keep it. If the primary works, work in progress gets time to end.
	// The VMs end it by themselves after the longer one of lasts and a default.
	Pause(ctx context.Context, id core.GroupID, works bool, lasts time.Duration) permit.PauseResult
	// Unrenewed returns for how long another process hasn't renewed its pause of the group, or 0 if there is none.
	Unrenewed(id core.GroupID) time.Duration
	// Resume ends the pause, and those of other VMs if another upstream leads since.
	Resume(ctx context.Context, id core.GroupID, replaced bool)
}

var (
	errNotClosed   = errors.New("the leaving primary may still commit")
	errNotCaughtUp = errors.New("no replica has received what the leaving primary has committed")
	errNotRecorded = errors.New("VMs that start may use the old primary, since the pause isn't in the store")
)

// closesLog reports whether the log of the group's leaving primary is closed before a promotion.
func (d *Driver) closesLog(g Group) bool {
	return g.Leaving && g.SyncReplicas > 0 && d.cfg.Permits == nil
}

// prepareClosed chooses the candidate of a group whose commits wait for replicas. Until a promotion takes effect, the old
// primary acknowledges what any replica has received, which need not be the candidate. Its log is therefore closed first.
func (d *Driver) prepareClosed(ctx context.Context, g Group, req failoverRequest) (core.UpstreamID, ProbeResult, error) {
	if !g.Leaving {
		if err := d.closeFailed(ctx, g, req.pause); err != nil {
			return "", ProbeResult{}, err
		}
		return d.selectCandidate(ctx, g, req)
	}
	// While no replica has caught up, the leaving primary is better than none.
	if target, best, err := d.selectCaughtUp(ctx, g, req); err != nil || best.Leads {
		return target, best, err
	}
	// A pause can be ended if the platform promotes nothing. A primary that has stepped down can't be used again without
	// a promotion.
	if !d.pause(ctx, g.ID, req.pause, true).IsComplete() && !d.stepDown(ctx, g) {
		return "", ProbeResult{}, errNotClosed
	}
	return d.selectCaughtUp(ctx, g, req)
}

// closeFailed keeps a primary that doesn't answer this VM from committing more, as far as that is possible: VMs that don't
// acknowledge the pause may reach it. It returns an error if VMs that start later could, too.
func (d *Driver) closeFailed(ctx context.Context, g Group, pause *groupPause) error {
	var calls sync.WaitGroup
	isSteppedDown := false
	if g.Primary != "" {
		calls.Go(func() { isSteppedDown = d.stepDown(ctx, g) })
	}
	result := d.pause(ctx, g.ID, pause, false)
	calls.Wait()
	if !result.Recorded && !isSteppedDown {
		return errNotRecorded
	}
	return nil
}

// selectCaughtUp waits for a candidate that has received all that the leaving primary has committed, and chooses it. If the
// primary doesn't tell the end of its log, all replicas must tell what they have received.
func (d *Driver) selectCaughtUp(ctx context.Context, g Group, req failoverRequest) (core.UpstreamID, ProbeResult, error) {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	primary, err := d.cfg.Cluster.Inspect(probeCtx, g.Primary)
	if err != nil || !primary.IsReceivedKnown {
		level.Info(d.cfg.Log).Log("Msg", "leaving primary doesn't tell the end of its log", "Group", g.ID, "Upstream", g.Primary, "Err", err)
		g.Leaving = false
		return d.selectCandidate(ctx, g, req)
	}
	for until := time.Now().Add(catchUpTime); ; sleep(ctx, catchUpDelay) {
		target, best, err := d.selectCandidate(ctx, g, req)
		if err != nil || best.Leads || !best.End().Less(primary.End()) {
			return target, best, err
		}
		if time.Now().After(until) || ctx.Err() != nil {
			return "", best, errNotCaughtUp
		}
	}
}

// resume ends this VM's pause of the group.
func (d *Driver) resume(ctx context.Context, id core.GroupID, replaced bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resumeTimeout)
	defer cancel()
	d.cfg.Pauser.Resume(ctx, id, replaced)
}
