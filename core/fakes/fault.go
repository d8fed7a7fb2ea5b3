package fakes

import (
	"time"

	"snipewall/core"
)

// AnswerFault is what happens to an answer after the call took effect.
type AnswerFault struct {
	// Lost drops the answer.
	Lost bool
	// Late delays the answer.
	Late time.Duration
}

type answerFault struct {
	fault AnswerFault
	count int
	// only limits the fault to one upstream, if set.
	only core.UpstreamID
}

// Kill stops the upstream's process. Its log survives until Start.
func (g *Group) Kill(id core.UpstreamID) { g.with(id, func(n *node) { n.down = true }) }

// Start starts the upstream's process again. A former primary still takes itself for the primary.
func (g *Group) Start(id core.UpstreamID) {
	g.with(id, func(n *node) { n.down = false })
}

// SetDown kills or starts the upstream.
func (g *Group) SetDown(id core.UpstreamID, down bool) {
	if down {
		g.Kill(id)
		return
	}
	g.Start(id)
}

// SetFrozen freezes or thaws the upstream.
func (g *Group) SetFrozen(id core.UpstreamID, frozen bool) {
	if frozen {
		g.Freeze(id)
		return
	}
	g.Thaw(id)
}

// Freeze stops the upstream's process until Thaw.
func (g *Group) Freeze(id core.UpstreamID) {
	g.with(id, func(n *node) {
		if n.thawed == nil {
			n.thawed = make(chan struct{})
		}
	})
}

// Thaw lets a frozen upstream go on.
func (g *Group) Thaw(id core.UpstreamID) {
	g.with(id, func(n *node) {
		if n.thawed != nil {
			close(n.thawed)
			n.thawed = nil
		}
	})
}

// Slow multiplies the processing time of the upstream; 1 is normal.
func (g *Group) Slow(id core.UpstreamID, factor int) { g.with(id, func(n *node) { n.slow = factor }) }

// SetLeaving sets the leaving mark in the upstream's status.
func (g *Group) SetLeaving(id core.UpstreamID, leaving bool) {
	g.with(id, func(n *node) { n.leaving = leaving })
}

// Cut loses, or no longer loses, the messages from one place to another.
func (g *Group) Cut(from, to string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts[route{from, to}] = cut
}

// Isolate cuts, or heals, all routes between the upstream and the other upstreams and the sites.
func (g *Group) Isolate(id core.UpstreamID, cut bool, sites ...string) {
	for _, place := range g.others(id, sites) {
		g.Cut(place, string(id), cut)
		g.Cut(string(id), place, cut)
	}
}

// Mute cuts, or heals, all routes from the upstream: it hears the others but isn't heard.
func (g *Group) Mute(id core.UpstreamID, cut bool, sites ...string) {
	for _, place := range g.others(id, sites) {
		g.Cut(string(id), place, cut)
	}
}

// others returns the places other than the upstream.
func (g *Group) others(id core.UpstreamID, sites []string) []string {
	var places []string
	for _, other := range g.IDs() {
		if other != id {
			places = append(places, string(other))
		}
	}
	return append(places, sites...)
}

// FaultAnswers applies the fault to the next count answers of the kind, from one upstream or from
// all if only is empty.
func (g *Group) FaultAnswers(c Call, only core.UpstreamID, count int, f AnswerFault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers[c] = &answerFault{fault: f, count: count, only: only}
}

func (g *Group) takeAnswerFaultLocked(c Call, id core.UpstreamID) AnswerFault {
	f := g.answers[c]
	if f == nil || f.count == 0 || (f.only != "" && f.only != id) {
		return AnswerFault{}
	}
	f.count--
	return f.fault
}

// Heal ends all faults: it starts, thaws and connects everything.
func (g *Group) Heal() {
	for _, id := range g.IDs() {
		g.Start(id)
		g.Thaw(id)
		g.Slow(id, 1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.cuts)
	clear(g.answers)
}

func (g *Group) with(id core.UpstreamID, f func(n *node)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.node(id))
}

func (g *Group) isCut(r route) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cuts[r]
}

func (g *Group) isDown(n *node) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return n.down
}

func (g *Group) processing(n *node) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.Processing * time.Duration(n.slow)
}

// awaitThaw waits while the node is frozen and reports whether the group is still open.
func (g *Group) awaitThaw(n *node) bool {
	for {
		g.mu.Lock()
		thawed := n.thawed
		g.mu.Unlock()
		if thawed == nil {
			return true
		}
		select {
		case <-g.closed:
			return false
		case <-thawed:
		}
	}
}

// Connected reports whether a majority of the upstreams work, exchange messages in both directions
// with each other, and do so with one of the sites.
func (g *Group) Connected(sites []string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, site := range sites {
		var working []string
		for _, n := range g.nodes {
			id := string(n.info.ID)
			if !n.down && n.thawed == nil && g.linkedLocked(site, id) {
				working = append(working, id)
			}
		}
		if g.clusterLocked(working) > len(g.nodes)/2 {
			return true
		}
	}
	return false
}

// clusterLocked returns the size of the largest set of upstreams that are all linked with one of them.
func (g *Group) clusterLocked(ids []string) int {
	largest := 0
	for _, a := range ids {
		n := 0
		for _, b := range ids {
			if a == b || g.linkedLocked(a, b) {
				n++
			}
		}
		largest = max(largest, n)
	}
	return largest
}

func (g *Group) linkedLocked(a, b string) bool {
	return !g.cuts[route{a, b}] && !g.cuts[route{b, a}]
}
