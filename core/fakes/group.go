package fakes

import (
	"fmt"
	"sync"
	"time"

	"snipewall/core"
)

// GroupConfig configures a Group.
type GroupConfig struct {
	Group core.GroupID
	// Size is the number of upstreams. Their ids are u1, u2 and so on.
	Size int
	// Delay is the one-way delay between any two endpoints.
	Delay time.Duration
	// Lag is the replication lag in addition to Delay.
	Lag time.Duration
	// Heartbeat is the interval at which a primary sends its log to its replicas, besides each write. The
	// default is 20 ms.
	Heartbeat time.Duration
	// Processing is the time that an upstream takes for one call.
	Processing time.Duration
	// NoPrimary starts the group without a primary. Otherwise u1 is the primary of term 1.
	NoPrimary bool
	// AcceptAnyTerm makes upstreams accept terms that they must refuse, for tests of the checkers.
	AcceptAnyTerm bool
}

// Entry is an entry of a log. The first entry of a term has no key.
type Entry struct {
	Term  core.Term
	Key   string
	Value int
}

// Group is an in-memory database group. It is safe for concurrent use.
type Group struct {
	cfg    GroupConfig
	closed chan struct{}
	wg     sync.WaitGroup

	mu      sync.Mutex
	nodes   []*node
	cuts    map[direction]bool
	answers map[Call]*answerFault
	// primaries records the primaries of each term, for the check that a term has only one.
	primaries map[core.Term]map[core.UpstreamID]bool
}

// direction is one direction of the connection between two endpoints.
type direction struct{ from, to string }

// node is one upstream of the group.
type node struct {
	info     core.UpstreamInfo
	role     core.Role
	promised core.Term
	// primaryTerm is the last term in which the node was primary.
	primaryTerm core.Term
	log         []Entry
	applied     int
	following   core.UpstreamID
	heard       bool
	heardAt     time.Time
	down        bool
	leaving     bool
	// thawed is set while the node is frozen. Thaw closes it.
	thawed     chan struct{}
	slowFactor int
}

// NewGroup starts a group. It must be closed.
func NewGroup(cfg GroupConfig) *Group {
	if cfg.Heartbeat <= 0 {
		cfg.Heartbeat = 20 * time.Millisecond
	}
	g := &Group{
		cfg:       cfg,
		closed:    make(chan struct{}),
		cuts:      make(map[direction]bool),
		answers:   make(map[Call]*answerFault),
		primaries: make(map[core.Term]map[core.UpstreamID]bool),
	}
	for i := range cfg.Size {
		id := core.UpstreamID(fmt.Sprintf("u%d", i+1))
		info := core.UpstreamInfo{ID: id, Group: cfg.Group, Address: string(id) + ":5432"}
		g.nodes = append(g.nodes, &node{info: info, slowFactor: 1, role: core.RoleReplica})
	}
	if !cfg.NoPrimary {
		g.startPrimary()
	}
	for _, n := range g.nodes {
		g.wg.Add(1)
		go g.heartbeat(n)
	}
	return g
}

// startPrimary makes u1 the primary of term 1 and the others its replicas.
func (g *Group) startPrimary() {
	first := g.nodes[0]
	for _, n := range g.nodes {
		n.promised = 1
		n.log = []Entry{{Term: 1}}
		n.applied = 1
		n.following = first.info.ID
		n.heard = true
		n.heardAt = time.Now()
	}
	first.role = core.RolePrimary
	first.primaryTerm = 1
	first.following = ""
	g.recordPrimary(first)
}

// Close drops all messages in flight and waits for the group's goroutines.
func (g *Group) Close() {
	close(g.closed)
	g.wg.Wait()
}

// recordPrimary records the node as primary of its term.
func (g *Group) recordPrimary(n *node) {
	if g.primaries[n.primaryTerm] == nil {
		g.primaries[n.primaryTerm] = make(map[core.UpstreamID]bool)
	}
	g.primaries[n.primaryTerm][n.info.ID] = true
}

// PrimariesByTerm returns the upstreams that were primary in each term.
func (g *Group) PrimariesByTerm() map[core.Term][]core.UpstreamID {
	g.mu.Lock()
	defer g.mu.Unlock()
	byTerm := make(map[core.Term][]core.UpstreamID, len(g.primaries))
	for t, ids := range g.primaries {
		for id := range ids {
			byTerm[t] = append(byTerm[t], id)
		}
	}
	return byTerm
}

// Log returns a copy of the upstream's log.
func (g *Group) Log(id core.UpstreamID) []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Entry(nil), g.node(id).log...)
}

// State returns the upstream's current status without sending a message.
func (g *Group) State(id core.UpstreamID) core.UpstreamStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node(id).status()
}

// IDs returns the ids of the upstreams.
func (g *Group) IDs() []core.UpstreamID {
	ids := make([]core.UpstreamID, len(g.nodes))
	for i, n := range g.nodes {
		ids[i] = n.info.ID
	}
	return ids
}

func (g *Group) node(id core.UpstreamID) *node {
	for _, n := range g.nodes {
		if n.info.ID == id {
			return n
		}
	}
	panic(fmt.Sprintf("no upstream %q", id))
}

// position returns the position of the log's first n entries.
func position(log []Entry, n int) core.Position {
	if n == 0 {
		return core.Position{}
	}
	return core.Position{Term: log[n-1].Term, Offset: core.Offset(n)}
}

// status returns the node's status. The caller holds the group's mu.
func (n *node) status() core.UpstreamStatus {
	s := core.UpstreamStatus{
		Role: n.role, Promised: n.promised, Log: position(n.log, len(n.log)),
		Applied: position(n.log, n.applied), Leaving: n.leaving, Heard: -1,
	}
	switch {
	case n.role == core.RolePrimary:
		s.Heard = 0
	case n.heard:
		s.Heard = time.Since(n.heardAt)
	}
	return s
}
