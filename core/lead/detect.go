package lead

import (
	"time"

	"snipewall/core"
)

const (
	// probeAfter is how long after the primary was last confirmed it is probed again.
	probeAfter = 200 * time.Millisecond
	// A primary has failed after minFailedProbes consecutive failed probes that span minFailureTime. A
	// period of less than 1 s in which a primary answers 10 times slower must not cause a failover.
	minFailedProbes = 2
	minFailureTime  = 250 * time.Millisecond
	// noPrimaryTimeout is how long a group may be without a known primary. A newly promoted primary
	// reports itself within this time.
	noPrimaryTimeout = 900 * time.Millisecond
	// promotionTime replaces noPrimaryTimeout after a recorded promotion: the platform executes it up to 1 s
	// after its answer.
	promotionTime = 2500 * time.Millisecond
	// startupPeriod is the time after the start of this VM during which startupFailureTime replaces
	// minFailureTime. If all VMs start at once, connections from before the start count against the
	// primary's limit for 3 s, and setting up the new ones keeps it busy.
	startupPeriod      = 3 * time.Second
	startupFailureTime = 1500 * time.Millisecond
	// nonMonitorDelay is how much later than the group's monitors other VMs start a failover. A failover
	// usually takes less time, and each attempt costs calls to the store.
	nonMonitorDelay = 700 * time.Millisecond
)

// Action is a decision of a Detector.
type Action uint8

// Actions.
const (
	// Wait means that there is nothing to do.
	Wait Action = iota
	// Probe means that the primary must be probed.
	Probe
	// Replace means that the primary must be replaced.
	Replace
)

// Group is an entry VM's view of a group, the input of a Detector.
type Group struct {
	ID core.GroupID
	// Primary is the last known primary, or empty.
	Primary core.UpstreamID
	// Leaving is set while the primary is about to be removed.
	Leaving bool
	// IsMonitor is set if this VM monitors the primary all the time. Other VMs do so only while it is
	// Suspect: statements got no answer from it, or it answered that it isn't the primary.
	IsMonitor, Suspect bool
	// PrimaryConfirmedAt is when a primary last answered that it is the primary.
	PrimaryConfirmedAt time.Time
	// Replicas are the candidates for promotion, nearest first.
	Replicas []core.UpstreamID
	// IsHeld is set during a promotion on a platform where it doesn't stop the old primary, IsHeldBySelf if
	// this VM promotes. HoldAge is how long this VM has known of it.
	IsHeld, IsHeldBySelf bool
	HoldAge              time.Duration
	// IsPromoted is set if the primary must be the upstream that was promoted last.
	IsPromoted bool
	// Draining are the replicas that are about to be removed. They receive commits until they end.
	Draining []core.UpstreamID
	// Members is the number of upstreams in the group, leaving ones included.
	Members int
	// SyncReplicas is the number of replicas that must have received a commit before it is acknowledged.
	SyncReplicas int
}

// Detector decides when the primary of one group is probed and replaced. It is not safe for
// concurrent use.
type Detector struct {
	primary        core.UpstreamID
	failures       int
	failedSince    time.Time
	probing        bool
	noPrimarySince time.Time
	leavingSince   time.Time
	// startedAt is when this VM started; zero disables startupPeriod.
	startedAt time.Time
	// reason is the reason of the last Replace.
	reason string
}

// Decide returns what to do now. After it returned Probe, the caller must call Probed with the result.
func (d *Detector) Decide(now time.Time, g Group) Action {
	if g.IsHeld {
		if !g.IsHeldBySelf && g.HoldAge < holdTakeover {
			return Wait
		}
		d.reason = "a promotion was interrupted"
		return Replace
	}
	if g.Primary != d.primary {
		d.primary, d.failures = g.Primary, 0
	}
	wait := time.Duration(0)
	if !g.IsMonitor {
		wait = nonMonitorDelay
	}
	if g.Primary == "" && g.IsPromoted {
		return d.decideNoPrimary(now, promotionTime+wait)
	}
	if g.Primary == "" {
		return d.decideNoPrimary(now, noPrimaryTimeout+wait)
	}
	d.noPrimarySince = time.Time{}
	if g.Leaving {
		return d.decideLeaving(now, wait)
	}
	d.leavingSince = time.Time{}
	if d.failures >= minFailedProbes && now.Sub(d.failedSince) >= d.requiredFailureTime(now)+wait {
		if g.PrimaryConfirmedAt.After(d.failedSince) {
			d.failures = 0
			return Wait
		}
		d.reason = "the primary doesn't answer"
		return Replace
	}
	monitored := g.IsMonitor || g.Suspect
	if d.probing || !monitored || now.Sub(g.PrimaryConfirmedAt) < probeAfter {
		return Wait
	}
	d.probing = true
	return Probe
}

func (d *Detector) decideNoPrimary(now time.Time, wait time.Duration) Action {
	if d.noPrimarySince.IsZero() {
		d.noPrimarySince = now
	}
	if now.Sub(d.noPrimarySince) < wait {
		return Wait
	}
	d.reason = "the group has no primary"
	return Replace
}

// requiredFailureTime returns how long probes must have failed before the primary is replaced.
func (d *Detector) requiredFailureTime(now time.Time) time.Duration {
	if now.Sub(d.startedAt) < startupPeriod {
		return startupFailureTime
	}
	return minFailureTime
}

// decideLeaving decides for a primary that is about to be removed.
func (d *Detector) decideLeaving(now time.Time, wait time.Duration) Action {
	if d.leavingSince.IsZero() {
		d.leavingSince = now
	}
	if now.Sub(d.leavingSince) < wait {
		return Wait
	}
	d.reason = "the primary is leaving"
	return Replace
}

// Probed records the result of a probe of the upstream. began is when the probe was started.
func (d *Detector) Probed(began time.Time, id core.UpstreamID, failed bool) {
	d.probing = false
	if id != d.primary {
		return
	}
	if !failed {
		d.failures = 0
		return
	}
	if d.failures == 0 {
		d.failedSince = began
	}
	d.failures++
}
