package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"snipewall/core"
	"snipewall/core/fresh"
)

const (
	// leavingGrace is how long a primary that is leaving still gets new work while no other has taken
	// over, unless the time within which it must get no more work is shorter.
	leavingGrace = 5 * time.Second
	// leavingNotice is how long it may take until a VM knows that an upstream leaves, at most half of that time.
	leavingNotice = 2 * time.Second
	// sampleInterval is the minimum time between two samples of the primary's position, since each one
	// costs a system call.
	sampleInterval = 30 * time.Millisecond
)

// group is one database group with its nodes.
type group struct {
	id core.GroupID
	// permits limits the use of the primary; it may be nil.
	permits core.Permits
	// leavingGrace is how long the primary still gets new work after it was seen leaving.
	leavingGrace time.Duration
	fresh        fresh.Tracker
	nodes        atomic.Pointer[[]*node]
	branch       branch
	// isMonitored is set if this VM probes the primary continuously.
	isMonitored atomic.Bool

	mu sync.Mutex
	// provedAt is when a primary last proved its leadership, and provedBy is that primary.
	provedAt time.Time
	provedBy core.UpstreamID
	// missingSince is when statements first found no primary; zero while there is one.
	missingSince time.Time
	// bytes is the moving average size of a statement with its answer.
	bytes float64
}

func newGroup(id core.GroupID, permits core.Permits, leavingGrace time.Duration) *group {
	g := &group{id: id, permits: permits, leavingGrace: leavingGrace}
	g.nodes.Store(&[]*node{})
	return g
}

// leavingGraceFor returns how long a leaving primary still gets new work if it must get none later than the target after its
// announcement.
func leavingGraceFor(target time.Duration) time.Duration {
	if target <= 0 {
		return leavingGrace
	}
	return min(leavingGrace, target-min(leavingNotice, target/2))
}

// primary returns the node that new work may use as the primary, or nil.
func (g *group) primary(now time.Time) *node {
	if !g.admits() {
		return nil
	}
	return g.believedPrimary(now)
}

// admits reports whether work that needs the primary may start now.
func (g *group) admits() bool {
	if g.permits == nil {
		return true
	}
	_, ok := g.permits.Admits(g.id)
	return ok
}

// isDeposed reports whether another upstream was promoted after this one led. It may still answer as a primary.
func (g *group) isDeposed(id core.UpstreamID) bool {
	return g.permits != nil && g.permits.IsDeposed(g.id, id)
}

// believedPrimary returns the node that is believed to be the primary, or nil: of the nodes that claim or have
// proved leadership and have not denied it since, the one with the newest evidence. Positions can't
// decide: the term of a new primary shows only with its first commit, and the log of the old one may be
// longer. A node that a recorded promotion has deposed isn't one of them.
func (g *group) believedPrimary(now time.Time) *node {
	var best *node
	var bestAt time.Time
	var bestLog core.Position
	for _, n := range *g.nodes.Load() {
		n.mu.Lock()
		claimant, at, log, leavingAt := n.isPrimaryClaimant(), n.evidenceAt, n.position, n.leavingAt
		n.mu.Unlock()
		if !claimant || g.isDeposed(n.id()) || (!leavingAt.IsZero() && now.Sub(leavingAt) > g.leavingGrace) {
			continue
		}
		if best == nil || at.After(bestAt) || (at.Equal(bestAt) && bestLog.Less(log)) {
			best, bestAt, bestLog = n, at, log
		}
	}
	return best
}

// recordProof records that the upstream proved its leadership after requestedAt and held p then.
func (g *group) recordProof(id core.UpstreamID, requestedAt core.Instant, p core.Position) {
	if g.admits() {
		g.fresh.Add(requestedAt, p)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.provedAt, g.provedBy = time.Now(), id
	g.missingSince = time.Time{}
}

// isSampleDue reports whether the next proof of leadership should be sampled.
func (g *group) isSampleDue(now core.Instant) bool {
	at, ok := g.fresh.Newest()
	return !ok || now.Sub(at) >= sampleInterval
}

// noteOutage records that a statement found no primary and returns for how long there has been none.
func (g *group) noteOutage(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.missingSince.IsZero() {
		g.missingSince = now
	}
	return now.Sub(g.missingSince)
}
