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
	defaultPingInterval  = 500 * time.Millisecond
	defaultPingTimeout   = 250 * time.Millisecond
	defaultRetryInterval = 2 * time.Second
	defaultListInterval  = 2 * time.Second
	defaultForgetAfter   = 3 * time.Hour
)

// Limits that keep the traffic of an entry VM bounded.
const (
	// suspicionFactor is the suspicion timeout in ping intervals for up to 9 members.
	suspicionFactor = 5
	// helpers is the number of members that are asked to ping a member that didn't answer.
	helpers = 2
	// fanout is the number of members to which urgent updates are sent at once.
	fanout = 3
	// leaveFanout is the number of members that are told at once that this one leaves.
	leaveFanout = 8
	// minUrgentInterval is the shortest time between two rounds of urgent updates.
	minUrgentInterval = 100 * time.Millisecond
	// maxProbes is the maximum number of concurrent probes.
	maxProbes = 4
	// The interval between comparisons of digests is syncIntervalPerMember times the number of members, at
	// least minSyncInterval, since the full state grows with the number of members.
	minSyncInterval       = 30 * time.Second
	syncIntervalPerMember = 500 * time.Millisecond
	// The delay from a change of the view to an additional comparison is quickSyncDelayPerMember times the
	// number of members, at least minQuickSyncDelay. The comparison finds what gossip missed when much
	// changed at once.
	minQuickSyncDelay       = 10 * time.Second
	quickSyncDelayPerMember = 40 * time.Millisecond
	// listers is the number of entry VMs in each failure domain that poll the platform's list often.
	listers = 2
	// The poll interval of the other entry VMs is slowListIntervalPerMember times the number of members,
	// at least minSlowListInterval.
	minSlowListInterval       = time.Minute
	slowListIntervalPerMember = 2 * time.Second
	// callTimeout limits calls that carry a full state or the table.
	callTimeout = 3 * time.Second
	// leaveTimeout limits the pings that announce that this member leaves.
	leaveTimeout = 400 * time.Millisecond
)

// Config configures a Peers.
type Config struct {
	// Self describes this entry VM; ID and Control are required.
	Self core.VM
	// Seeds are control addresses of other entry VMs from the settings.
	Seeds     []string
	Transport Transport
	// Platform lists VMs. If it is nil, the seeds are the only candidates.
	Platform Platform
	// Table is the operators' table. If it is nil, no table is distributed.
	Table Table
	// PingInterval is the time between two pings. The default is 500 ms.
	PingInterval time.Duration
	// PingTimeout limits a ping. The default is 250 ms.
	PingTimeout time.Duration
	// RetryInterval is the time between two pings of dead members or candidates. The default is 2 s.
	RetryInterval time.Duration
	// ListInterval is the time between two polls of the platform's list on the entry VMs that poll it
	// often. The default is 2 s.
	ListInterval time.Duration
	// ForgetAfter is how long dead members are kept and pinged. The default is 3 h.
	ForgetAfter time.Duration
	// Logger logs changes of the membership. The default discards them.
	Logger log.Logger
}

func (cfg *Config) setDefaults() {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&cfg.PingInterval, defaultPingInterval)
	set(&cfg.PingTimeout, defaultPingTimeout)
	set(&cfg.RetryInterval, defaultRetryInterval)
	set(&cfg.ListInterval, defaultListInterval)
	set(&cfg.ForgetAfter, defaultForgetAfter)
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
}

// Peers is this entry VM's view of all entry VMs. It implements core.Members, core.Service and Handler and
// is safe for concurrent use.
type Peers struct {
	cfg  Config
	view atomic.Pointer[view]
	// urgent requests a round of urgent updates.
	urgent chan struct{}
	// runCtx is canceled when Run returns.
	runCtx     context.Context
	cancelRun  context.CancelFunc
	probeSlots chan struct{}
	stats      stats

	tasksMu sync.Mutex
	// tasks counts the goroutines that make calls. After stopped is set, no more are started.
	tasks   sync.WaitGroup
	stopped bool

	mu           sync.Mutex
	state        *state
	pingOrder    []core.VMID
	priorityTurn bool
	candidates   map[string]core.VMID
	fetching     bool
	// rejected is the last version of the table that couldn't be adopted, rejectedAt when that was.
	rejected   core.Version
	rejectedAt time.Time
}

var (
	_ core.Members = (*Peers)(nil)
	_ core.Service = (*Peers)(nil)
	_ core.Dumper  = (*Peers)(nil)
	_ Handler      = (*Peers)(nil)
)

// New returns a Peers whose only member is this entry VM. It makes no calls until Run is called.
func New(cfg Config) (*Peers, error) {
	if cfg.Self.ID == "" || cfg.Self.Control == "" {
		return nil, core.ErrPeer.New("this entry VM needs an id and a control address")
	}
	if cfg.Transport == nil {
		return nil, core.ErrPeer.New("no transport")
	}
	cfg.setDefaults()
	p := &Peers{
		cfg:        cfg,
		urgent:     make(chan struct{}, 1),
		probeSlots: make(chan struct{}, maxProbes),
		state:      newState(cfg.Self, uint64(time.Now().UnixMilli())),
		candidates: make(map[string]core.VMID),
	}
	p.runCtx, p.cancelRun = context.WithCancel(context.Background())
	for _, address := range cfg.Seeds {
		p.addCandidate(address, "")
	}
	p.view.Store(&view{})
	p.publishView()
	return p, nil
}

// Name implements core.Service.
func (p *Peers) Name() string { return "peers" }

// Self implements core.Members.
func (p *Peers) Self() core.VM { return p.cfg.Self }

// Alive implements core.Members. The caller must not modify the result.
func (p *Peers) Alive() []core.VM { return p.view.Load().alive }

// Generation implements core.Members.
func (p *Peers) Generation() uint64 { return p.view.Load().generation }

// IsLeaving implements core.Members.
func (p *Peers) IsLeaving(id core.UpstreamID) bool { return p.view.Load().leaving[id] }

// MarkLeaving implements core.Members. It sends nothing if the mark changes nothing.
func (p *Peers) MarkLeaving(id core.UpstreamID, leaving bool) {
	if p.mark(Mark{Upstream: id, Source: SourceStatus, Leaving: leaving}) {
		p.Announce()
	}
}

// Announce makes this entry VM send its pending updates to a few members at once, instead of with the next
// pings.
func (p *Peers) Announce() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// mark sets a mark and reports whether that changed anything.
func (p *Peers) mark(m Mark) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.state.setMark(m) {
		return false
	}
	p.publishView()
	return true
}

// Run implements core.Service. When ctx ends, it calls Leave, waits for its goroutines and returns nil.
func (p *Peers) Run(ctx context.Context) error {
	p.start(func() { p.runList(ctx) })
	defer p.stop()
	ticker := time.NewTicker(p.cfg.PingInterval)
	defer ticker.Stop()
	sched := schedule{sync: time.Now().Add(p.syncInterval())}
	p.tick(ctx, &sched)
	for {
		select {
		case <-ctx.Done():
			p.Leave(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
			p.tick(ctx, &sched)
		case <-p.urgent:
			p.pingRandom(ctx, fanout)
			sleep(ctx, minUrgentInterval)
		}
	}
}

// start runs f in a goroutine that stop waits for. It does nothing after stop.
func (p *Peers) start(f func()) {
	p.tasksMu.Lock()
	defer p.tasksMu.Unlock()
	if !p.stopped {
		p.tasks.Go(f)
	}
}

// stop cancels the fetches and waits for all goroutines.
func (p *Peers) stop() {
	p.cancelRun()
	p.tasksMu.Lock()
	p.stopped = true
	p.tasksMu.Unlock()
	p.tasks.Wait()
}

// schedule holds when the less frequent tasks are due.
type schedule struct {
	retry time.Time
	sync  time.Time
	// seenGeneration is the generation of the view at the last tick.
	seenGeneration uint64
}

// tick starts the tasks that are due in this ping interval.
func (p *Peers) tick(ctx context.Context, sched *schedule) {
	now := time.Now()
	p.expire(now)
	alone := p.isAlone()
	if !alone {
		p.probeNext(ctx)
	}
	if alone || !now.Before(sched.retry) {
		sched.retry = now.Add(p.cfg.RetryInterval)
		p.retry(ctx, alone)
	}
	if gen := p.Generation(); gen != sched.seenGeneration {
		sched.seenGeneration = gen
		if soon := now.Add(p.quickSyncDelay()); soon.Before(sched.sync) {
			sched.sync = soon
		}
	}
	if !alone && !now.Before(sched.sync) {
		sched.sync = now.Add(p.syncInterval())
		p.syncRandom(ctx)
	}
}

func (p *Peers) isAlone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.size() <= 1
}

// expire declares members dead that have been suspect for the suspicion timeout, and removes old records.
func (p *Peers) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	dead := p.state.expireSuspects(now, p.suspicionTimeout())
	p.state.forget(now.Add(-p.cfg.ForgetAfter))
	for _, id := range dead {
		level.Info(p.cfg.Logger).Log("Msg", "member is dead", "VM", id)
	}
	if len(dead) > 0 {
		p.publishView()
	}
}

// suspicionTimeout returns how long a member is suspect before it counts as dead. It grows with the
// logarithm of the number of members, like the time that a refutation takes to spread.
func (p *Peers) suspicionTimeout() time.Duration {
	n := float64(p.state.size() + 1)
	return time.Duration(suspicionFactor * max(1, math.Log10(n)) * float64(p.cfg.PingInterval))
}

// Leave tells other members at once that this one is leaving. Calls of other members are still answered.
// Only the first call has an effect.
func (p *Peers) Leave(ctx context.Context) {
	p.mu.Lock()
	first := p.state.markLeft()
	p.publishView()
	p.mu.Unlock()
	if !first {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, vm := range p.randomMembers(leaveFanout, "") {
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
