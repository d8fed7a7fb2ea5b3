package fakes

import (
	"fmt"
	"sync"
	"time"

	"snipewall/core"
)

// GroupConfig constructs a Group.
type GroupConfig struct {
	Group core.GroupID
	// Size is the number of upstreams, named u1, u2 and so on.
	Size int
	// Delay is the one-way delay between any two places.
	Delay time.Duration
	// Lag is the time that replication takes in addition to Delay.
	Lag time.Duration
	// Heartbeat is the time between messages of a primary to its replicas when there are no writes.
	Heartbeat time.Duration
	// Processing is the time that an upstream takes for one call.
	Processing time.Duration
	// Blank starts the group without a primary. Otherwise u1 is primary of term 1.
	Blank bool
	// AnyTerm lets upstreams accept terms that they must refuse, to show that checks notice.
	AnyTerm bool
}

// Entry is one entry of a log. The first entry of a term has no key.
type Entry struct {
	Term  core.Term
	Key   string
	Value int
}

// Group is a database group in memory.
type Group struct {
	cfg    GroupConfig
	closed chan struct{}
	wg     sync.WaitGroup

	mu      sync.Mutex
	nodes   []*node
	cuts    map[route]bool
	answers map[Call]*answerFault
	// reigns records each promotion, for the check that a term has one primary.
	reigns map[core.Term]map[core.UpstreamID]bool
}

// route is a direction between two places: names of upstreams or of sites.
type route struct{ from, to string }

// node is one upstream of the group.
type node struct {
	info     core.UpstreamInfo
	role     core.Role
	promised core.Term
	// reign is the term in which the node is or was primary.
	reign     core.Term
	log       []Entry
	applied   int
	following core.UpstreamID
	heard     bool
	heardAt   time.Time
	down      bool
	leaving   bool
	thawed    chan struct{}
	slow      int
}

// NewGroup starts a group. Close ends it.
func NewGroup(cfg GroupConfig) *Group {
	if cfg.Heartbeat <= 0 {
		cfg.Heartbeat = 20 * time.Millisecond
	}
	g := &Group{
		cfg:     cfg,
		closed:  make(chan struct{}),
		cuts:    make(map[route]bool),
		answers: make(map[Call]*answerFault),
		reigns:  make(map[core.Term]map[core.UpstreamID]bool),
	}
	for i := range cfg.Size {
		id := core.UpstreamID(fmt.Sprintf("u%d", i+1))
		info := core.UpstreamInfo{ID: id, Group: cfg.Group, Address: string(id) + ":5432"}
		g.nodes = append(g.nodes, &node{info: info, slow: 1, role: core.RoleReplica})
	}
	if !cfg.Blank {
		g.start()
	}
	for _, n := range g.nodes {
		g.wg.Add(1)
		go g.heartbeat(n)
	}
	return g
}

// start makes u1 the primary of term 1 and the others its replicas.
func (g *Group) start() {
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
	first.reign = 1
	first.following = ""
	g.noteReign(first)
}

// Close ends all messages in flight and waits for the group's goroutines.
func (g *Group) Close() {
	close(g.closed)
	g.wg.Wait()
}

// noteReign records that the node is primary of its term.
func (g *Group) noteReign(n *node) {
	if g.reigns[n.reign] == nil {
		g.reigns[n.reign] = make(map[core.UpstreamID]bool)
	}
	g.reigns[n.reign][n.info.ID] = true
}

// Reigns returns the upstreams that were primary, by term.
func (g *Group) Reigns() map[core.Term][]core.UpstreamID {
	g.mu.Lock()
	defer g.mu.Unlock()
	reigns := make(map[core.Term][]core.UpstreamID, len(g.reigns))
	for t, ids := range g.reigns {
		for id := range ids {
			reigns[t] = append(reigns[t], id)
		}
	}
	return reigns
}

// Log returns the upstream's log.
func (g *Group) Log(id core.UpstreamID) []Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Entry(nil), g.node(id).log...)
}

// State returns the upstream's status without a message.
func (g *Group) State(id core.UpstreamID) core.UpstreamStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node(id).status()
}

// IDs returns the names of the upstreams.
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

// status must be called with the group locked.
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
