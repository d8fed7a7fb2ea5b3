package fakes

import (
	"time"

	"snipewall/core"
)

// AnswerFault is a fault of an answer, after the call has taken effect.
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

// Kill stops the upstream's process. Its log and term are kept.
func (g *Group) Kill(id core.UpstreamID) { g.update(id, func(n *node) { n.down = true }) }

// Start restarts the upstream's process. An upstream that was the primary starts as primary.
func (g *Group) Start(id core.UpstreamID) {
	g.update(id, func(n *node) { n.down = false })
}

// SetDown calls Kill or Start.
func (g *Group) SetDown(id core.UpstreamID, down bool) {
	if down {
		g.Kill(id)
		return
	}
	g.Start(id)
}

// SetFrozen calls Freeze or Thaw.
func (g *Group) SetFrozen(id core.UpstreamID, frozen bool) {
	if frozen {
		g.Freeze(id)
		return
	}
	g.Thaw(id)
}

// Freeze suspends the upstream's process until Thaw.
func (g *Group) Freeze(id core.UpstreamID) {
	g.update(id, func(n *node) {
		if n.thawed == nil {
			n.thawed = make(chan struct{})
		}
	})
}

// Thaw resumes a frozen upstream.
func (g *Group) Thaw(id core.UpstreamID) {
	g.update(id, func(n *node) {
		if n.thawed != nil {
			close(n.thawed)
			n.thawed = nil
		}
	})
}

// Slow multiplies the processing time of the upstream; 1 is normal.
func (g *Group) Slow(id core.UpstreamID, factor int) {
	g.update(id, func(n *node) { n.slowFactor = factor })
}

// SetLeaving sets the leaving mark in the upstream's status.
func (g *Group) SetLeaving(id core.UpstreamID, leaving bool) {
	g.update(id, func(n *node) { n.leaving = leaving })
}

// Cut drops all messages from one endpoint to another, or no longer does.
func (g *Group) Cut(from, to string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts[direction{from, to}] = cut
}

// Isolate cuts, or restores, the connections between the upstream and all other upstreams and the sites.
func (g *Group) Isolate(id core.UpstreamID, cut bool, sites ...string) {
	for _, endpoint := range g.otherEndpoints(id, sites) {
		g.Cut(endpoint, string(id), cut)
		g.Cut(string(id), endpoint, cut)
	}
}

// CutOutgoing drops, or no longer drops, all messages from the upstream. Messages to it are still
// delivered.
func (g *Group) CutOutgoing(id core.UpstreamID, cut bool, sites ...string) {
	for _, endpoint := range g.otherEndpoints(id, sites) {
		g.Cut(string(id), endpoint, cut)
	}
}

// otherEndpoints returns the other upstreams and the sites.
func (g *Group) otherEndpoints(id core.UpstreamID, sites []string) []string {
	var endpoints []string
	for _, other := range g.IDs() {
		if other != id {
			endpoints = append(endpoints, string(other))
		}
	}
	return append(endpoints, sites...)
}

// SetAnswerFault applies the fault to the next count answers to calls of the kind. If only isn't empty, it
// applies to that upstream only.
func (g *Group) SetAnswerFault(c Call, only core.UpstreamID, count int, f AnswerFault) {
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

// Heal ends all faults of the group.
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

func (g *Group) update(id core.UpstreamID, f func(n *node)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.node(id))
}

func (g *Group) isCut(d direction) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cuts[d]
}

func (g *Group) isDown(n *node) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return n.down
}

func (g *Group) processingTime(n *node) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cfg.Processing * time.Duration(n.slowFactor)
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

// HasConnectedMajority reports whether a majority of the upstreams is running and connected, in both
// directions, with each other and with one of the sites.
func (g *Group) HasConnectedMajority(sites []string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, site := range sites {
		var working []string
		for _, n := range g.nodes {
			id := string(n.info.ID)
			if !n.down && n.thawed == nil && g.isLinkedLocked(site, id) {
				working = append(working, id)
			}
		}
		if g.largestClusterLocked(working) > len(g.nodes)/2 {
			return true
		}
	}
	return false
}

// largestClusterLocked returns the size of the largest set of upstreams in which one is linked with all
// others.
func (g *Group) largestClusterLocked(ids []string) int {
	largest := 0
	for _, a := range ids {
		n := 0
		for _, b := range ids {
			if a == b || g.isLinkedLocked(a, b) {
				n++
			}
		}
		largest = max(largest, n)
	}
	return largest
}

func (g *Group) isLinkedLocked(a, b string) bool {
	return !g.cuts[direction{a, b}] && !g.cuts[direction{b, a}]
}
