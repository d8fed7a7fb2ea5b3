package fakes

import (
	"time"

	"snipewall/core"
)

// heartbeat sends the primary's log to its replicas at intervals.
func (g *Group) heartbeat(n *node) {
	defer g.wg.Done()
	ticker := time.NewTicker(g.cfg.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-g.closed:
			return
		case <-ticker.C:
		}
		g.mu.Lock()
		g.shipLocked(n)
		g.mu.Unlock()
	}
}

// shipLocked sends the log of a reigning primary to all others.
func (g *Group) shipLocked(n *node) {
	if n.role != core.RolePrimary || n.promised != n.reign || n.down || n.thawed != nil {
		return
	}
	log := n.log[:len(n.log):len(n.log)]
	reign := n.reign
	for _, to := range g.nodes {
		if to.following != n.info.ID || g.cuts[route{string(n.info.ID), string(to.info.ID)}] {
			continue
		}
		if g.cfg.Lag > 0 {
			time.AfterFunc(g.cfg.Delay, func() { g.hear(n, to, reign) })
		}
		time.AfterFunc(g.cfg.Delay+g.cfg.Lag, func() { g.receive(n, to, reign, log) })
	}
}

// follows reports whether the message of a primary counts at the replica.
func (g *Group) followsLocked(n, to *node, reign core.Term) bool {
	return !to.down && to.thawed == nil && to.role == core.RoleReplica &&
		to.following == n.info.ID && to.promised == reign &&
		!g.cuts[route{string(n.info.ID), string(to.info.ID)}]
}

func (g *Group) hear(n, to *node, reign core.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.followsLocked(n, to, reign) {
		to.heard = true
		to.heardAt = time.Now()
	}
}

// receive replaces the replica's log by the primary's, which extends it or drops its diverging tail.
func (g *Group) receive(n, to *node, reign core.Term, log []Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.followsLocked(n, to, reign) {
		return
	}
	if g.cfg.Lag == 0 {
		to.heard = true
		to.heardAt = time.Now()
	}
	extends := len(to.log) > 0 && to.log[len(to.log)-1].Term == reign
	if extends && len(log) <= len(to.log) {
		return
	}
	to.log = log
	to.applied = len(log)
}
