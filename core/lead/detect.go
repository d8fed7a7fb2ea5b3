package lead

import (
	"time"

	"snipewall/core"
)

const (
	// probeAfter is the time without a proof of leadership after which the primary is probed.
	probeAfter = 200 * time.Millisecond
	// failAfter is the number of failed probes in a row that make a primary failed, and failTime the
	// least time that they must span. Spells in which a primary answers 10 times slower, shorter than
	// 1 s, must not cause a change.
	failAfter = 2
	failTime  = 250 * time.Millisecond
	// missingTime is how long a group may be without a known primary: one that was just promoted
	// reports itself within this time.
	missingTime = 900 * time.Millisecond
	// startTime is how long after the start of this VM a primary must have failed for startFailTime
	// before it is replaced. If all VMs start at once, connections of before count against its limit
	// for 3 s and the new ones' set-up keeps it busy.
	startTime     = 3 * time.Second
	startFailTime = 1500 * time.Millisecond
	// othersAfter is how much later VMs without the duty act than those that have it: a change usually
	// takes less, and each attempt costs calls to the store.
	othersAfter = 700 * time.Millisecond
)

// Action is what a Detector asks for.
type Action uint8

// Actions.
const (
	// Wait asks for nothing.
	Wait Action = iota
	// Probe asks whether the primary still leads.
	Probe
	// Replace asks for another primary.
	Replace
)

// Group is what an entry VM knows of a group when it decides.
type Group struct {
	ID core.GroupID
	// Primary is the upstream that is believed to lead, or empty.
	Primary core.UpstreamID
	// Leaving tells that the primary is about to be taken away.
	Leaving bool
	// IsMonitor tells that this VM watches the primary all the time. Others do only once it is Suspect:
	// statements got no answer from it, or it denied to lead.
	IsMonitor, Suspect bool
	// PrimaryConfirmedAt is when a primary last proved its leadership.
	PrimaryConfirmedAt time.Time
	// Replicas may take over, nearest first.
	Replicas []core.UpstreamID
	// Members is the number of the group's upstreams, leaving ones included.
	Members int
}

// Detector decides about one group. It is used by one goroutine at a time.
type Detector struct {
	primary   core.UpstreamID
	failures  int
	failedAt  time.Time
	probing   bool
	missingAt time.Time
	leavingAt time.Time
	// startedAt is when this VM started, or zero if that doesn't matter.
	startedAt time.Time
	// reason explains the last Replace.
	reason string
}

// Decide returns what to do now. A Probe must be answered by Probed.
func (d *Detector) Decide(now time.Time, g Group) Action {
	if g.Primary != d.primary {
		d.primary, d.failures = g.Primary, 0
	}
	wait := time.Duration(0)
	if !g.IsMonitor {
		wait = othersAfter
	}
	if g.Primary == "" {
		return d.missing(now, missingTime+wait)
	}
	d.missingAt = time.Time{}
	if g.Leaving {
		return d.leaving(now, wait)
	}
	d.leavingAt = time.Time{}
	if d.failures >= failAfter && now.Sub(d.failedAt) >= d.failTime(now)+wait {
		if g.PrimaryConfirmedAt.After(d.failedAt) {
			d.failures = 0
			return Wait
		}
		d.reason = "the primary doesn't answer"
		return Replace
	}
	watched := g.IsMonitor || g.Suspect
	if d.probing || !watched || now.Sub(g.PrimaryConfirmedAt) < probeAfter {
		return Wait
	}
	d.probing = true
	return Probe
}

func (d *Detector) missing(now time.Time, wait time.Duration) Action {
	if d.missingAt.IsZero() {
		d.missingAt = now
	}
	if now.Sub(d.missingAt) < wait {
		return Wait
	}
	d.reason = "the group has no primary"
	return Replace
}

// failTime returns how long a primary must have failed.
func (d *Detector) failTime(now time.Time) time.Duration {
	if now.Sub(d.startedAt) < startTime {
		return startFailTime
	}
	return failTime
}

// leaving decides for a primary that is about to be taken away.
func (d *Detector) leaving(now time.Time, wait time.Duration) Action {
	if d.leavingAt.IsZero() {
		d.leavingAt = now
	}
	if now.Sub(d.leavingAt) < wait {
		return Wait
	}
	d.reason = "the primary is leaving"
	return Replace
}

// Probed records the result of a probe of the upstream that began at the given time.
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
		d.failedAt = began
	}
	d.failures++
}
