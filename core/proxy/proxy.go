package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"snipewall/core"
	"snipewall/core/orgs"
	"snipewall/core/retry"
	"snipewall/core/spill"
	"snipewall/core/topo"
)

// Retries inside the proxy are limited to a share of the traffic, since callers retry as well.
const (
	retryRatio = 0.2
	retryBurst = 20
)

// Config configures a Proxy. Metrics and Now may be nil.
type Config struct {
	Directory *topo.Directory
	Dialer    core.LineDialer
	// Self is this entry VM.
	Self core.VM
	// Regions holds the region of each failure domain.
	Regions map[core.FailureDomain]core.Region
	// Members are the entry VMs, and DialOwner connects to one that owns an upstream.
	Members   Members
	DialOwner func(ctx context.Context, owner core.VM, id core.UpstreamID) (core.LineConn, error)
	// MaxText is the length, with the request id, from which on a statement leaves no room in a message for what is longer
	// there than in the caller's: a position to await, the name of a prepared statement. 0 means that there is always room.
	MaxText int
	// DrainTarget is the time after which an upstream that announced its stop must get no new work; 0 means that it is long.
	DrainTarget time.Duration
	// Tariff is the price of bytes between failure domains.
	Tariff spill.Tariff
	// Refresh updates the directory from the store.
	Refresh func(ctx context.Context) error
	// Permits limits the use of primaries where a promotion doesn't stop the old one; nil means no limit.
	Permits core.Permits
	// Keys identifies callers by their keys; nil means that callers have none.
	Keys *orgs.Guard
	// Quota decides whether an operation of the organisation may run, waiting at most until the deadline, and
	// otherwise when its caller should come back; nil means that there are no limits.
	Quota   func(ctx context.Context, organisation core.OrganisationID, deadline time.Time) (retryAfter time.Duration, ok bool)
	Log     log.Logger
	Metrics tally.Scope
	// Now reads a clock that advances while the VM is suspended; nil stands for core.Now.
	Now func() core.Instant
}

// Members are the live entry VMs. Implementations are safe for concurrent use.
type Members interface {
	// Alive returns a list that must not be changed.
	Alive() []core.VM
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Proxy is the service "proxy": it executes the statements of sessions and of other VMs' relays.
type Proxy struct {
	cfg      Config
	metrics  metrics
	budget   *retry.Budget
	suspects suspects

	// taskEnds receives one value for each goroutine that ends; tasks counts those that run.
	taskEnds chan struct{}

	// reconcileMu is held while nodes are reconciled with the directory. ctx is the context of Run,
	// which is the parent of all nodes; nil before Run.
	reconcileMu sync.Mutex
	ctx         context.Context

	mu     sync.Mutex
	tasks  int
	groups map[core.GroupID]*group
	nodes  map[core.UpstreamID]*node
	// relayOnly holds nodes with direct connections for VMs that wrongly take this one for the owner.
	relayOnly map[core.UpstreamID]*node
	changed   chan struct{}
}

// New returns a proxy that serves nothing before Run.
func New(cfg Config) *Proxy {
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	return &Proxy{
		cfg: cfg, metrics: newMetrics(cfg.Metrics),
		budget:   retry.NewBudget(retry.Config{Ratio: retryRatio, Burst: retryBurst}),
		taskEnds: make(chan struct{}, 16),
		groups:   make(map[core.GroupID]*group), nodes: make(map[core.UpstreamID]*node),
		relayOnly: make(map[core.UpstreamID]*node),
		changed:   make(chan struct{}),
	}
}

// Name implements core.Service.
func (p *Proxy) Name() string { return "proxy" }

// Run follows the directory until ctx ends and then waits for its goroutines.
func (p *Proxy) Run(ctx context.Context) error {
	p.reconcileMu.Lock()
	p.ctx = ctx
	p.reconcileMu.Unlock()
	for ctx.Err() == nil {
		snap, members := p.cfg.Directory.Snapshot(), p.cfg.Members.Changed()
		p.reconcile(snap)
		p.awaitChange(ctx, snap, members)
	}
	p.mu.Lock()
	for _, n := range p.nodes {
		n.stop()
	}
	for _, n := range p.relayOnly {
		n.stop()
	}
	p.mu.Unlock()
	for p.runningTasks() > 0 {
		<-p.taskEnds
		p.taskEnded()
	}
	return nil
}

// awaitChange waits for a new snapshot, a change of the members or one second, and collects goroutines
// that ended.
func (p *Proxy) awaitChange(ctx context.Context, snap *topo.Snapshot, members <-chan struct{}) {
	// An upstream whose grace period ended disappears without a change of the directory.
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-snap.Changed:
			return
		case <-members:
			return
		case <-timer.C:
			return
		case <-p.taskEnds:
			p.taskEnded()
		}
	}
}

// spawn runs fn in a goroutine that Run waits for.
func (p *Proxy) spawn(fn func()) {
	p.mu.Lock()
	p.tasks++
	p.mu.Unlock()
	go func() {
		fn()
		p.taskEnds <- struct{}{}
	}()
}

func (p *Proxy) taskEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tasks--
}

func (p *Proxy) runningTasks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tasks
}

// reconcile makes groups and nodes match the snapshot.
func (p *Proxy) reconcile(snap *topo.Snapshot) {
	p.reconcileMu.Lock()
	defer p.reconcileMu.Unlock()
	ctx := p.ctx
	if ctx == nil || ctx.Err() != nil {
		return
	}
	seen := make(map[core.UpstreamID]bool)
	changed := false
	alive := p.cfg.Members.Alive()
	for id, cfg := range snap.Config.Groups {
		g := p.group(id)
		var nodes []*node
		for _, u := range snap.Group(id) {
			seen[u.ID] = true
			n, nodeChanged := p.node(ctx, g, u, planPath(p.cfg.Self.ID, alive, u, connBudget{cfg.Connections, snap.Config.NeedsKeys}))
			changed = changed || nodeChanged
			nodes = append(nodes, n)
		}
		g.nodes.Store(&nodes)
		g.isMonitored.Store(p.isMonitor(id, alive))
	}
	p.mu.Lock()
	for id, n := range p.nodes {
		if !seen[id] {
			n.stop()
			delete(p.nodes, id)
			changed = true
		}
	}
	for id, n := range p.relayOnly {
		if main := p.nodes[id]; main == nil || !main.isSameIncarnation(n.info.Load()) {
			n.stop()
			delete(p.relayOnly, id)
		}
	}
	p.mu.Unlock()
	if changed {
		p.notifyChanged()
	}
}

// PermitsChanged wakes the statements that wait for a primary, after a change of Config.Permits.
func (p *Proxy) PermitsChanged() { p.notifyChanged() }

// ProvedAgo returns how long ago the upstream proved to this VM that it leads its group, or false if another one
// did later or none ever did.
func (p *Proxy) ProvedAgo(id core.UpstreamID) (time.Duration, bool) {
	n, ok := p.lookup(id)
	if !ok {
		return 0, false
	}
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	return time.Since(n.group.provedAt), n.group.provedBy == id
}

// notifyChanged wakes the statements that wait for a change.
func (p *Proxy) notifyChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// group returns the group and creates it if necessary.
func (p *Proxy) group(id core.GroupID) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[id]
	if !ok {
		g = newGroup(id, p.cfg.Permits, leavingGraceFor(p.cfg.DrainTarget))
		p.groups[id] = g
	}
	return g
}

// lookup returns the upstream's node, or false if the upstream is unknown.
func (p *Proxy) lookup(id core.UpstreamID) (*node, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.nodes[id]
	return n, ok
}

// node returns the upstream's node and whether anything about it changed. Another incarnation, address
// or path gets a new node. Only another path keeps what is known about the upstream.
func (p *Proxy) node(ctx context.Context, g *group, u topo.Upstream, via path) (*node, bool) {
	old, ok := p.lookup(u.ID)
	isSame := ok && old.isSameIncarnation(&u)
	if isSame && old.path.equal(via) {
		before := *old.info.Load()
		old.update(u)
		return old, before != u
	}
	n := p.newNode(ctx, g, u, via)
	if isSame {
		old.update(u)
		n.inherit(old)
	}
	if ok {
		old.stop()
	}
	p.mu.Lock()
	p.nodes[u.ID] = n
	p.mu.Unlock()
	return n, true
}

// Changed returns a channel that is closed at the next change of the nodes.
func (p *Proxy) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Policy implements core.Policies for the admission queues: each route is a kind.
func (p *Proxy) Policy(kind core.Kind) (core.KindPolicy, bool) {
	r, ok := p.cfg.Directory.Snapshot().Route(string(kind))
	if !ok {
		return core.KindPolicy{}, false
	}
	return core.KindPolicy{Kind: kind, Rank: r.Rank, Weight: 1, QueueTime: r.StatementTimeout, Deadline: r.StatementTimeout}, true
}

// Kinds implements core.Policies.
func (p *Proxy) Kinds() []core.KindPolicy {
	var out []core.KindPolicy
	for database := range p.cfg.Directory.Snapshot().Config.Routes {
		if k, ok := p.Policy(core.Kind(database)); ok {
			out = append(out, k)
		}
	}
	return out
}
