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
	// over. An upstream must get no work more than 7 s after it announced that it leaves.
	leavingGrace = 5 * time.Second
	// sampleInterval is the minimum time between two samples of the primary's position, since each one
	// costs a system call.
	sampleInterval = 30 * time.Millisecond
)

// group is one database group with its nodes.
type group struct {
	id    core.GroupID
	fresh fresh.Tracker
	nodes atomic.Pointer[[]*node]

	mu sync.Mutex
	// provedAt is when a primary last proved its leadership, and provedBy is that primary.
	provedAt time.Time
	provedBy core.UpstreamID
	// missingSince is when statements first found no primary; zero while there is one.
	missingSince time.Time
}

func newGroup(id core.GroupID) *group {
	g := &group{id: id}
	g.nodes.Store(&[]*node{})
	return g
}

// primary returns the node that is believed to be the primary, or nil: of the nodes that claim or have
// proved leadership and have not denied it since, the one with the newest evidence. Positions can't
// decide: the term of a new primary shows only with its first commit, and the log of the old one may be
// longer.
func (g *group) primary(now time.Time) *node {
	var best *node
	var bestAt time.Time
	var bestLog core.Position
	for _, n := range *g.nodes.Load() {
		n.mu.Lock()
		claimant, at, log, leavingAt := n.isPrimaryClaimant(), n.evidenceAt, n.position, n.leavingAt
		n.mu.Unlock()
		if !claimant || (!leavingAt.IsZero() && now.Sub(leavingAt) > leavingGrace) {
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
	g.fresh.Add(requestedAt, p)
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
