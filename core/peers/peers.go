package peers

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
)

// Defaults of Config.
const (
	defaultInterval    = 500 * time.Millisecond
	defaultPingTimeout = 250 * time.Millisecond
	defaultRetryTime   = 2 * time.Second
	defaultListTime    = 2 * time.Second
	defaultForgetTime  = 3 * time.Hour
)

// Limits that keep the traffic of an entry VM bounded.
const (
	// suspicionFactor is the suspicion time in intervals for a fleet of up to 9.
	suspicionFactor = 5
	// helpers is the number of members that are asked to ping one that didn't answer.
	helpers = 2
	// fanout is the number of members that hear urgent news at once.
	fanout = 3
	// leaveFanout is the number of members that hear at once that this one leaves.
	leaveFanout = 8
	// urgentSpacing is the least time between two rounds of urgent news.
	urgentSpacing = 100 * time.Millisecond
	// maxProbes is the number of probes that may be under way.
	maxProbes = 4
	// minSyncTime and syncStep give the time between two comparisons of digests. It grows with the
	// fleet, as the full state does.
	minSyncTime = 30 * time.Second
	syncStep    = 500 * time.Millisecond
	// minQuickSync and quickSyncStep give the time until the comparison that follows a change of the
	// own view. It finds what gossip missed when much changed at once.
	minQuickSync  = 10 * time.Second
	quickSyncStep = 40 * time.Millisecond
	// listers is how many entry VMs of each failure domain poll the platform's list often.
	listers = 2
	// minSlowListTime and slowListStep give the time between two polls of the others.
	minSlowListTime = time.Minute
	slowListStep    = 2 * time.Second
	// callTimeout limits calls that carry a full state or the table.
	callTimeout = 3 * time.Second
	// leaveTimeout limits the spreading of the last message.
	leaveTimeout = 400 * time.Millisecond
)

// Config sets up a Peers.
type Config struct {
	// Self describes this entry VM; ID and Control are required.
	Self core.VM
	// Seeds are control addresses of other entry VMs from the settings.
	Seeds []string
	// Transport makes the calls.
	Transport Transport
	// Platform lists VMs; nil means that there are only the seeds.
	Platform Platform
	// Table is the operators' table; nil means none.
	Table Table
	// PingInterval is the time between two pings, 500 ms if 0.
	PingInterval time.Duration
	// PingTimeout limits a ping, 250 ms if 0.
	PingTimeout time.Duration
	// RetryTime is the time between two tries of a dead member or candidate, 2 s if 0.
	RetryTime time.Duration
	// ListInterval is the time between two polls of the platform's list by those that poll often, 2 s if 0.
	ListInterval time.Duration
	// ForgetTime is how long dead members are tried again, 3 h if 0.
	ForgetTime time.Duration
	// Logger is for changes of the membership; nil means none.
	Logger log.Logger
}

func (cfg *Config) setDefaults() {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&cfg.PingInterval, defaultInterval)
	set(&cfg.PingTimeout, defaultPingTimeout)
	set(&cfg.RetryTime, defaultRetryTime)
	set(&cfg.ListInterval, defaultListTime)
	set(&cfg.ForgetTime, defaultForgetTime)
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
}

// Peers is the view of the entry VMs from this one. It implements core.Members, is the core service
// "peers" and serves the calls of other members.
type Peers struct {
	cfg  Config
	view atomic.Pointer[view]
	// urgent asks for a round of urgent news.
	urgent chan struct{}
	// life ends with Run.
	life   context.Context
	end    context.CancelFunc
	probes chan struct{}
	stats  stats

	tasksMu sync.Mutex
	// tasks counts the goroutines of calls. None is started once the service has stopped.
	tasks   sync.WaitGroup
	stopped bool

	mu         sync.Mutex
	state      *state
	order      []core.VMID
	turn       bool
	candidates map[string]core.VMID
	fetching   bool
	// rejected is a version of the table that could not be adopted, and when that was.
	rejected   core.Version
	rejectedAt time.Time
}

var (
	_ core.Members = (*Peers)(nil)
	_ core.Service = (*Peers)(nil)
	_ core.Dumper  = (*Peers)(nil)
	_ Handler      = (*Peers)(nil)
)

// New returns a Peers that knows only itself.
func New(cfg Config) (*Peers, error) {
	if cfg.Self.ID == "" || cfg.Self.Control == "" {
		return nil, core.ErrPeer.New("the own entry VM needs an id and a control address")
	}
	if cfg.Transport == nil {
		return nil, core.ErrPeer.New("no transport")
	}
	cfg.setDefaults()
	p := &Peers{
		cfg:        cfg,
		urgent:     make(chan struct{}, 1),
		probes:     make(chan struct{}, maxProbes),
		state:      newState(cfg.Self, uint64(time.Now().UnixMilli())),
		candidates: make(map[string]core.VMID),
	}
	p.life, p.end = context.WithCancel(context.Background())
	for _, address := range cfg.Seeds {
		p.addCandidate(address, "")
	}
	p.view.Store(&view{})
	p.refresh()
	return p, nil
}

// Name implements core.Service.
func (p *Peers) Name() string { return "peers" }

// Self implements core.Members.
func (p *Peers) Self() core.VM { return p.cfg.Self }

// Alive implements core.Members. The caller must not change the result.
func (p *Peers) Alive() []core.VM { return p.view.Load().alive }

// Generation implements core.Members.
func (p *Peers) Generation() uint64 { return p.view.Load().generation }

// IsLeaving implements core.Members.
func (p *Peers) IsLeaving(id core.UpstreamID) bool { return p.view.Load().leaving[id] }

// MarkLeaving implements core.Members. A mark that changes nothing costs nothing.
func (p *Peers) MarkLeaving(id core.UpstreamID, leaving bool) {
	if p.mark(Mark{Upstream: id, Source: SourceStatus, Leaving: leaving}) {
		p.Announce()
	}
}

// Announce spreads what is new on this entry VM to a few members at once, instead of with the next
// pings.
func (p *Peers) Announce() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// mark changes a mark and reports whether that is news.
func (p *Peers) mark(m Mark) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.state.setMark(m) {
		return false
	}
	p.refresh()
	return true
}

// Run implements core.Service. At its end it tells other members that this one has left.
func (p *Peers) Run(ctx context.Context) error {
	p.start(func() { p.runList(ctx) })
	defer p.stop()
	ticker := time.NewTicker(p.cfg.PingInterval)
	defer ticker.Stop()
	c := clockwork{sync: time.Now().Add(p.syncTime())}
	p.tick(ctx, &c)
	for {
		select {
		case <-ctx.Done():
			p.Leave(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
			p.tick(ctx, &c)
		case <-p.urgent:
			p.spread(ctx, fanout)
			sleep(ctx, urgentSpacing)
		}
	}
}

// start runs f in a goroutine that stop waits for.
func (p *Peers) start(f func()) {
	p.tasksMu.Lock()
	defer p.tasksMu.Unlock()
	if !p.stopped {
		p.tasks.Go(f)
	}
}

// stop ends the goroutines and waits for them.
func (p *Peers) stop() {
	p.end()
	p.tasksMu.Lock()
	p.stopped = true
	p.tasksMu.Unlock()
	p.tasks.Wait()
}

// clockwork holds when the rare tasks are due.
type clockwork struct {
	retry time.Time
	sync  time.Time
	// seen is the generation of the view at the last tick.
	seen uint64
}

// tick starts the tasks of one interval.
func (p *Peers) tick(ctx context.Context, c *clockwork) {
	now := time.Now()
	p.expire(now)
	alone := p.isAlone()
	if !alone {
		p.probeNext(ctx)
	}
	if alone || !now.Before(c.retry) {
		c.retry = now.Add(p.cfg.RetryTime)
		p.retry(ctx, alone)
	}
	if gen := p.Generation(); gen != c.seen {
		c.seen = gen
		if soon := now.Add(p.quickSyncTime()); soon.Before(c.sync) {
			c.sync = soon
		}
	}
	if !alone && !now.Before(c.sync) {
		c.sync = now.Add(p.syncTime())
		p.syncRandom(ctx)
	}
}

func (p *Peers) isAlone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.size() <= 1
}

// expire turns suspects whose time is over into dead members and forgets old records.
func (p *Peers) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	dead := p.state.expireSuspects(now, p.suspicionTime())
	p.state.forget(now.Add(-p.cfg.ForgetTime))
	for _, id := range dead {
		level.Info(p.cfg.Logger).Log("Msg", "member is dead", "VM", id)
	}
	if len(dead) > 0 {
		p.refresh()
	}
}

// suspicionTime grows with the logarithm of the fleet, since a refutation takes that long to spread.
func (p *Peers) suspicionTime() time.Duration {
	n := float64(p.state.size() + 1)
	return time.Duration(suspicionFactor * max(1, math.Log10(n)) * float64(p.cfg.PingInterval))
}

// Leave tells other members at once that this one is leaving. It keeps answering afterwards.
func (p *Peers) Leave(ctx context.Context) {
	p.mu.Lock()
	first := p.state.leave()
	p.refresh()
	p.mu.Unlock()
	if !first {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, vm := range p.sample(leaveFanout, "") {
		calls.Go(func() { _ = p.ping(ctx, vm) })
	}
	calls.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
