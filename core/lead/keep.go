package lead

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/permit"
)

const (
	// pauseRenewal is the time after which a pause is begun again, a third of the time after which VMs end it by themselves.
	pauseRenewal = time.Second
	// lateCallTime is how long a promotion without an answer may still be executed.
	lateCallTime = 15 * time.Second
)

// groupPause is the pause of a group whose commits wait for replicas, while this VM replaces its primary. It lasts as long as
// a promotion may still be executed: until then the old primary, if it comes back, could acknowledge commits that the
// promoted upstream lacks.
type groupPause struct {
	mu sync.Mutex
	// inUse is set during a failover, begun once that has paused the group, and kept while a goroutine renews the pause.
	inUse, begun, kept bool
	// old is the primary that is replaced.
	old core.UpstreamID
	// lateUntil is until when a promotion of lateTarget without an answer may be executed; 0 if there is none.
	lateUntil  core.Instant
	lateTarget core.UpstreamID
	// isClosed is set once the old primary can't commit any more.
	isClosed bool
	// keepsPrimary is set while the pause serves to end another VM's, and the primary isn't to be replaced.
	keepsPrimary bool
}

// start marks the pause as used by a failover of the primary. It returns true if the caller must start keepPause.
func (p *groupPause) start(old core.UpstreamID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old != p.old {
		p.isClosed = false
	}
	p.inUse, p.old, p.keepsPrimary = true, old, false
	isKept := p.kept
	p.kept = true
	return !isKept
}

func (p *groupPause) oldPrimary() core.UpstreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.old
}

func (p *groupPause) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = true
}

// noteUnanswered records a promotion without an answer that may be executed until the instant.
func (p *groupPause) noteUnanswered(until core.Instant, target core.UpstreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateUntil, p.lateTarget = until, target
}

// keepPrimary marks the failover in progress as one that leaves the primary in place.
func (p *groupPause) keepPrimary() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keepsPrimary = true
}

// mayStepDown reports whether the primary may be told to step down.
func (p *groupPause) mayStepDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.keepsPrimary
}

// noteAnswered records that a promotion was answered. The platform's fence refuses all earlier calls then.
func (p *groupPause) noteAnswered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateUntil = 0
}

// noteClosed records that the old primary can't commit any more.
func (p *groupPause) noteClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
}

// isLate reports whether a promotion without an answer may still cut off commits.
func (p *groupPause) isLate(now core.Instant, leader core.UpstreamID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isLateLocked(now, leader)
}

// isLateLocked is isLate for a caller that holds mu. A promotion of the upstream that leads already changes nothing. Another
// upstream may lead since an earlier call of another VM was executed late; the fence doesn't stop this VM's call then.
func (p *groupPause) isLateLocked(now core.Instant, leader core.UpstreamID) bool {
	switch {
	case now >= p.lateUntil, leader == p.lateTarget:
		return false
	case leader == "", leader == p.old:
		return !p.isClosed
	}
	return true
}

// stop marks the end of a failover.
func (p *groupPause) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse = false
}

// endIfUnneeded reports whether the pause can be ended now.
func (p *groupPause) endIfUnneeded(now core.Instant, leader core.UpstreamID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse || p.isLateLocked(now, leader) {
		return false
	}
	p.begun, p.lateUntil = false, 0
	return true
}

// stopKeeping is endIfUnneeded for the goroutine that keeps the pause. It also returns true if this VM stops: the others end the
// pause by themselves then.
func (p *groupPause) stopKeeping(now core.Instant, leader core.UpstreamID, isStopping bool) bool {
	if !p.endIfUnneeded(now, leader) && !isStopping {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Another failover may have begun since.
	p.kept = p.inUse
	return !p.kept
}

func (p *groupPause) hasBegun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begun
}

// pausesGroup reports whether the group's VMs pause while its primary is replaced.
func (d *Driver) pausesGroup(g Group) bool { return g.SyncReplicas > 0 && d.cfg.Permits == nil }

// pause pauses the group on all VMs and tells which of them keep the pause.
func (d *Driver) pause(ctx context.Context, id core.GroupID, p *groupPause, works bool) permit.PauseResult {
	p.begin()
	return d.cfg.Pauser.Pause(ctx, id, works, lateCallTime)
}

// endPause ends the use of the pause by a failover, and the pause unless a promotion may still be executed.
func (d *Driver) endPause(ctx context.Context, id core.GroupID, p *groupPause) {
	p.stop()
	hadBegun := p.hasBegun()
	leader := d.leader(id)
	if p.endIfUnneeded(d.cfg.Now(), leader) && hadBegun {
		d.resume(ctx, id, p.isReplacedBy(leader))
	}
}

// leader returns the upstream that is known to lead the group, or an empty id.
func (d *Driver) leader(id core.GroupID) core.UpstreamID {
	for _, g := range d.cfg.Cluster.State() {
		if g.ID == id {
			return g.Primary
		}
	}
	return ""
}

// isReplacedBy reports whether the upstream is another one than the old primary.
func (p *groupPause) isReplacedBy(leader core.UpstreamID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return leader != "" && leader != p.old
}

// keepPause renews the pause until no failover uses it and no promotion may still be executed, and then ends it.
func (d *Driver) keepPause(ctx context.Context, g Group, p *groupPause) {
	ticker := time.NewTicker(pauseRenewal)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			// A failover in progress ends soon after the context.
			sleep(context.WithoutCancel(ctx), checkInterval)
		case <-ticker.C:
		}
		g.Primary = p.oldPrimary()
		now, leader := d.cfg.Now(), d.leader(g.ID)
		isLate := p.isLate(now, leader)
		if p.stopKeeping(now, leader, ctx.Err() != nil) {
			if !isLate {
				d.resume(ctx, g.ID, p.isReplacedBy(leader))
			}
			return
		}
		if ctx.Err() == nil && p.hasBegun() {
			d.renewPause(ctx, g, p)
		}
	}
}

// renewPause begins the pause again. If a VM may not keep it, the old primary is told to step down, in case it is back.
func (d *Driver) renewPause(ctx context.Context, g Group, p *groupPause) {
	isComplete := d.cfg.Pauser.Pause(ctx, g.ID, false, lateCallTime).IsComplete()
	if !isComplete && p.mayStepDown() && d.stepDown(ctx, g) {
		level.Info(d.cfg.Log).Log("Msg", "old primary stepped down, since a VM may not pause", "Group", g.ID, "Upstream", g.Primary)
		p.noteClosed()
	}
	if !p.hasBegun() {
		// The failover has ended the pause meanwhile.
		d.resume(ctx, g.ID, false)
	}
}
