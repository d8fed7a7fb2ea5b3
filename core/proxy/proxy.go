package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"snipewall/core"
	"snipewall/core/retry"
	"snipewall/core/topo"
)

// Retries inside the proxy are limited to a share of the traffic, since callers retry as well.
const (
	retryRatio = 0.2
	retryBurst = 20
)

// Config configures a Proxy.
type Config struct {
	Directory *topo.Directory
	Dialer    core.LineDialer
	// Self is this entry VM.
	Self core.VM
	// Regions holds the region of each failure domain.
	Regions map[core.FailureDomain]core.Region
	// Members are the entry VMs, and DialOwner reaches one that owns an upstream.
	Members   Members
	DialOwner func(ctx context.Context, owner core.VM, id core.UpstreamID) (core.LineConn, error)
	// Refresh brings the directory up to date with the store.
	Refresh func(ctx context.Context) error
	Log     log.Logger
	Metrics tally.Scope
	// Now reads a clock that counts suspension; nil stands for core.Now.
	Now func() core.Instant
}

// Members are the live entry VMs. Implementations are safe for concurrent use.
type Members interface {
	Alive() []core.VM
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Proxy is the service "proxy".
type Proxy struct {
	cfg     Config
	metrics metrics
	budget  *retry.Budget
	// suspects are owners that didn't answer.
	suspects suspects

	// ends receives one value for each goroutine that ends; tasks counts the ones that run.
	ends chan struct{}

	// reconciling is held while nodes are made to match the directory. ctx is the context of Run,
	// which nodes end with; nil before Run.
	reconciling sync.Mutex
	ctx         context.Context

	mu     sync.Mutex
	tasks  int
	groups map[core.GroupID]*group
	nodes  map[core.UpstreamID]*node
	// spare are direct nodes for other VMs that take this one for an owner when it isn't.
	spare   map[core.UpstreamID]*node
	changed chan struct{}
}

// New returns a proxy that serves nothing before Run.
func New(cfg Config) *Proxy {
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	return &Proxy{
		cfg: cfg, metrics: newMetrics(cfg.Metrics),
		budget: retry.NewBudget(retry.Config{Ratio: retryRatio, Burst: retryBurst}),
		ends:   make(chan struct{}, 16),
		groups: make(map[core.GroupID]*group), nodes: make(map[core.UpstreamID]*node),
		spare:   make(map[core.UpstreamID]*node),
		changed: make(chan struct{}),
	}
}

// Name implements core.Service.
func (p *Proxy) Name() string { return "proxy" }

// Run follows the directory until ctx ends and then waits for its goroutines.
func (p *Proxy) Run(ctx context.Context) error {
	p.reconciling.Lock()
	p.ctx = ctx
	p.reconciling.Unlock()
	for ctx.Err() == nil {
		snap, members := p.cfg.Directory.Snapshot(), p.cfg.Members.Changed()
		p.reconcile(snap)
		p.await(ctx, snap, members)
	}
	p.mu.Lock()
	for _, n := range p.nodes {
		n.cancel()
	}
	for _, n := range p.spare {
		n.cancel()
	}
	p.mu.Unlock()
	for p.running() > 0 {
		<-p.ends
		p.ended()
	}
	return nil
}

// await waits for a newer snapshot and for ends of goroutines.
func (p *Proxy) await(ctx context.Context, snap *topo.Snapshot, members <-chan struct{}) {
	// Upstreams whose grace ended disappear without a change of the directory.
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
		case <-p.ends:
			p.ended()
		}
	}
}

// spawn runs fn in a goroutine that reports its end to Run.
func (p *Proxy) spawn(fn func()) {
	p.mu.Lock()
	p.tasks++
	p.mu.Unlock()
	go func() {
		fn()
		p.ends <- struct{}{}
	}()
}

func (p *Proxy) ended() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tasks--
}

func (p *Proxy) running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tasks
}

// reconcile makes groups and nodes match the snapshot.
func (p *Proxy) reconcile(snap *topo.Snapshot) {
	p.reconciling.Lock()
	defer p.reconciling.Unlock()
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
			n, fresh := p.node(ctx, g, u, planPath(p.cfg.Self.ID, alive, u, cfg.Connections))
			changed = changed || fresh
			nodes = append(nodes, n)
		}
		g.nodes.Store(&nodes)
	}
	p.mu.Lock()
	for id, n := range p.nodes {
		if !seen[id] {
			n.cancel()
			delete(p.nodes, id)
			changed = true
		}
	}
	for id, n := range p.spare {
		if main := p.nodes[id]; main == nil || !main.sameIncarnation(n.info.Load()) {
			n.cancel()
			delete(p.spare, id)
		}
	}
	p.mu.Unlock()
	if changed {
		p.announce()
	}
}

// announce wakes the statements that wait for a change.
func (p *Proxy) announce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// group returns the group, which is created if it is new.
func (p *Proxy) group(id core.GroupID) *group {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[id]
	if !ok {
		g = newGroup(id)
		p.groups[id] = g
	}
	return g
}

// node returns the upstream's node and whether anything about it changed. Another incarnation,
// address or path gets a new node, so that nothing known of the old one is used for it.
func (p *Proxy) node(ctx context.Context, g *group, u topo.Upstream, at path) (*node, bool) {
	p.mu.Lock()
	n, ok := p.nodes[u.ID]
	p.mu.Unlock()
	if ok {
		old := n.info.Load()
		if n.sameIncarnation(&u) && n.path.equal(at) {
			n.update(u)
			return n, *old != u
		}
		n.cancel()
	}
	n = p.newNode(ctx, g, u, at)
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

// Policy implements core.Policies for the admission queues: each route is a kind of its own.
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
