package fakes

import (
	"time"

	"snipewall/core"
)

// heartbeat sends the node's log to its replicas every Heartbeat while it is the primary.
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
		g.replicateLocked(n)
		g.mu.Unlock()
	}
}

// replicateLocked sends the node's log to its replicas if it is the primary of its promised term.
func (g *Group) replicateLocked(n *node) {
	if n.role != core.RolePrimary || n.promised != n.primaryTerm || n.down || n.thawed != nil {
		return
	}
	log := n.log[:len(n.log):len(n.log)]
	term := n.primaryTerm
	for _, to := range g.nodes {
		if to.following != n.info.ID || g.cuts[direction{string(n.info.ID), string(to.info.ID)}] {
			continue
		}
		if g.cfg.Lag > 0 {
			time.AfterFunc(g.cfg.Delay, func() { g.receiveHeartbeat(n, to, term) })
		}
		time.AfterFunc(g.cfg.Delay+g.cfg.Lag, func() { g.receiveLog(n, to, term, log) })
	}
}

// isFollowingLocked reports whether the replica accepts a message that the primary n sent in the term.
func (g *Group) isFollowingLocked(n, to *node, term core.Term) bool {
	return !to.down && to.thawed == nil && to.role == core.RoleReplica &&
		to.following == n.info.ID && to.promised == term &&
		!g.cuts[direction{string(n.info.ID), string(to.info.ID)}]
}

func (g *Group) receiveHeartbeat(n, to *node, term core.Term) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isFollowingLocked(n, to, term) {
		to.heard = true
		to.heardAt = time.Now()
	}
}

// receiveLog replaces the replica's log by the primary's, unless that is an older state of the same log.
// Entries that the primary doesn't have are dropped.
func (g *Group) receiveLog(n, to *node, term core.Term, log []Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isFollowingLocked(n, to, term) {
		return
	}
	if g.cfg.Lag == 0 {
		to.heard = true
		to.heardAt = time.Now()
	}
	extends := len(to.log) > 0 && to.log[len(to.log)-1].Term == term
	if extends && len(log) <= len(to.log) {
		return
	}
	to.log = log
	to.applied = len(log)
}
