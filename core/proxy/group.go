package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"snipewall/core"
	"snipewall/core/fresh"
)

const (
	// leavingTime is how long a primary that is leaving still gets new work while no other has taken
	// over. Upstreams that leave must not get work for more than 7 s after they said so.
	leavingTime = 5 * time.Second
	// sampleInterval is the least time between two samples of the primary's position: taking one
	// costs a system call.
	sampleInterval = 30 * time.Millisecond
)

// group is one database group with its nodes.
type group struct {
	id    core.GroupID
	fresh fresh.Tracker
	nodes atomic.Pointer[[]*node]

	mu sync.Mutex
	// provedAt is when a primary last proved its leadership, and provedBy that primary.
	provedAt time.Time
	provedBy core.UpstreamID
	// lostAt is when the primary was first missed; zero while there is one.
	lostAt time.Time
}

func newGroup(id core.GroupID) *group {
	g := &group{id: id}
	g.nodes.Store(&[]*node{})
	return g
}

// primary returns the node that is believed to lead, or nil: of the nodes that claim to be primary or
// proved it, and have not denied it since, the one with the newest evidence. The position doesn't tell:
// a new primary's term shows only with its first commit, and the old one's log may be longer.
func (g *group) primary(now time.Time) *node {
	var best *node
	var bestAt time.Time
	var bestLog core.Position
	for _, n := range *g.nodes.Load() {
		n.mu.Lock()
		claims, at, log, leavingAt := n.claims(), n.evidenceAt, n.position, n.leavingAt
		n.mu.Unlock()
		if !claims || (!leavingAt.IsZero() && now.Sub(leavingAt) > leavingTime) {
			continue
		}
		if best == nil || at.After(bestAt) || (at.Equal(bestAt) && bestLog.Less(log)) {
			best, bestAt, bestLog = n, at, log
		}
	}
	return best
}

// prove records that the upstream proved its leadership after asked and held p then.
func (g *group) prove(id core.UpstreamID, asked core.Instant, p core.Position) {
	g.fresh.Add(asked, p)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.provedAt, g.provedBy = time.Now(), id
	g.lostAt = time.Time{}
}

// wantsSample reports whether the next proof of leadership should be sampled.
func (g *group) wantsSample(now core.Instant) bool {
	at, ok := g.fresh.Newest()
	return !ok || now.Sub(at) >= sampleInterval
}

// outage returns for how long statements have found no primary, starting now if they hadn't.
func (g *group) outage(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lostAt.IsZero() {
		g.lostAt = now
	}
	return now.Sub(g.lostAt)
}
