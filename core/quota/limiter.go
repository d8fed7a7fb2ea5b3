package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"snipewall/core"
	"snipewall/core/eras"
	"snipewall/core/place"
	"snipewall/core/topo"
)

const (
	// candidates is the number of VMs that may become the keeper: the first ones in rendezvous order.
	candidates = 3
	// keeperTask is the name whose rendezvous order that is.
	keeperTask = "snipewall/quota/keeper"
	// maxWaiting limits the operations of one organisation that wait on a VM.
	maxWaiting = 1024
)

// Config configures a Limiter. Metrics and Now may be nil.
type Config struct {
	Self    core.VM
	Members Members
	// Call calls a method of another entry VM at its control address.
	Call  func(ctx context.Context, address, method string, req, answer any) error
	Store core.Store
	// Eras keeps the newest era of the store; nil stands for a store that never comes back from a copy.
	Eras *eras.Tracker
	// Directory has the limits of the organisations.
	Directory *topo.Directory
	// Window, Excess and Slack are the settings of the bound: an organisation runs fewer than
	// (Rate*Window+Burst)*(1+Excess)+Slack operations in any window.
	Window        time.Duration
	Excess, Slack float64
	// IsServing reports whether callers of organisations are served at all; nil means that they always are. While they
	// aren't, their demand is unknown, and the VM keeps its rights for the time after that.
	IsServing func() bool
	Log       log.Logger
	Metrics   tally.Scope
	// Now reads a clock that advances while the VM is suspended; nil stands for core.Now.
	Now func() core.Instant
}

// Members are the live entry VMs.
type Members interface {
	// Alive returns a list that must not be changed.
	Alive() []core.VM
	// EnlistedAt returns since when other VMs find this one in the store, or false if they don't yet.
	EnlistedAt() (core.Instant, bool)
	// Refresh updates the list with all VMs that are in the store at the time of the call.
	Refresh(ctx context.Context) error
}

// Verdict says whether an operation may run. Otherwise its caller should come back after RetryAfter.
type Verdict struct {
	OK         bool
	RetryAfter time.Duration
}

// Limiter decides whether operations may run, and is the keeper if this VM is elected. It implements core.Service and
// is safe for concurrent use.
type Limiter struct {
	cfg     Config
	bound   Bound
	metrics metrics
	// wake wakes the loop that asks the keeper, keepWake the one that acquires the lease.
	wake, keepWake chan struct{}
	keeper         *keeper

	mu      sync.Mutex
	rights  *rights
	contact contact
}

var _ core.Service = (*Limiter)(nil)

// New returns a limiter without rights.
func New(cfg Config) *Limiter {
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	if cfg.Eras == nil {
		cfg.Eras = eras.New(eras.Config{Now: cfg.Now})
	}
	l := &Limiter{
		cfg: cfg, bound: Bound{Window: cfg.Window, Excess: cfg.Excess, Slack: cfg.Slack}, metrics: newMetrics(cfg.Metrics),
		wake: make(chan struct{}, 1), keepWake: make(chan struct{}, 1),
	}
	l.rights = newRights(cfg.Self.ID, l.bound, time.Now().UnixNano(), l.limit)
	l.keeper = newKeeper(l)
	return l
}

// Name implements core.Service.
func (l *Limiter) Name() string { return "quota" }

// limit returns the present limit of an organisation, or false if it has none.
func (l *Limiter) limit(id core.OrganisationID) (Limit, bool) {
	o, ok := l.cfg.Directory.Snapshot().Config.Organisations[id]
	return Limit{Rate: o.Rate, Burst: o.Burst}, ok && o.Rate > 0
}

// holdDemand keeps the measured demand as it is while callers aren't served. The caller holds mu.
func (l *Limiter) holdDemand(now core.Instant) {
	if l.cfg.IsServing == nil || l.cfg.IsServing() {
		return
	}
	for _, b := range l.rights.buckets {
		b.demand.hold(now)
		b.lastUse = now
	}
}

// Take decides about one operation of the organisation. While a request for rights is in progress, it waits at most
// until the deadline; an organisation whose demand is above its limit is refused at once.
func (l *Limiter) Take(ctx context.Context, organisation core.OrganisationID, deadline time.Time) Verdict {
	if organisation == "" {
		return Verdict{OK: true}
	}
	limit, ok := l.limit(organisation)
	if !ok {
		return Verdict{OK: true}
	}
	l.mu.Lock()
	now := l.cfg.Now()
	b := l.rights.bucket(now, organisation)
	b.note(now)
	if len(b.waiting) == 0 && b.take(now, limit) {
		l.mu.Unlock()
		l.metrics.granted.Inc(1)
		return Verdict{OK: true}
	}
	wait := time.Until(deadline)
	isFull := b.isOver(now) && (len(b.waiting) > 0 || !b.isSoon(now, limit))
	if isFull || len(b.waiting) >= maxWaiting || wait <= 0 {
		v := b.refusal(now)
		l.mu.Unlock()
		l.metrics.refused.Inc(1)
		return v
	}
	w := &waiter{granted: make(chan Verdict, 1)}
	b.waiting = append(b.waiting, w)
	l.mu.Unlock()
	l.metrics.waited.Inc(1)
	signal(l.wake)
	return l.await(ctx, organisation, w, wait)
}

// await waits for the decision about an operation.
func (l *Limiter) await(ctx context.Context, organisation core.OrganisationID, w *waiter, wait time.Duration) Verdict {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case v := <-w.granted:
		return l.count(v)
	case <-ctx.Done():
	case <-timer.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case v := <-w.granted:
		return l.count(v)
	default:
	}
	var v Verdict
	if b := l.rights.buckets[organisation]; b != nil {
		b.waiting = slices.DeleteFunc(b.waiting, func(o *waiter) bool { return o == w })
		b.asked = min(b.asked, len(b.waiting))
		v = b.refusal(l.cfg.Now())
	}
	return l.count(v)
}

func (l *Limiter) count(v Verdict) Verdict {
	if v.OK {
		l.metrics.granted.Inc(1)
	} else {
		l.metrics.refused.Inc(1)
	}
	return v
}

// Dump implements core.Dumper.
func (l *Limiter) Dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := make(map[core.OrganisationID]Right, len(l.rights.buckets))
	for id, b := range l.rights.buckets {
		held[id] = b.right
	}
	return struct {
		Keeper core.VMID
		Held   map[core.OrganisationID]Right
	}{l.rights.term.Keeper, held}
}

// Run asks the keeper for rights, and keeps them for all VMs if this one is elected, until ctx ends. It returns nil.
func (l *Limiter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s := l.cfg.Directory.Snapshot()
		if !hasLimits(s) {
			select {
			case <-ctx.Done():
			case <-s.Changed:
			}
			continue
		}
		l.runLimited(ctx)
	}
	return nil
}

// runLimited runs until ctx ends or no organisation has a limit.
func (l *Limiter) runLimited(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		l.keeper.run(ctx)
		close(ended)
	}()
	l.askLoop(ctx)
	cancel()
	<-ended
}

func hasLimits(s *topo.Snapshot) bool {
	for _, o := range s.Config.Organisations {
		if o.Rate > 0 {
			return true
		}
	}
	return false
}

// elected returns the candidates, the preferred one first.
func (l *Limiter) elected() []core.VM {
	return place.Owners(core.UpstreamInfo{ID: keeperTask}, l.cfg.Members.Alive(), candidates)
}

// rank returns this VM's place among the candidates, or false if it is none of them.
func (l *Limiter) rank() (int, bool) {
	i := slices.IndexFunc(l.elected(), func(vm core.VM) bool { return vm.ID == l.cfg.Self.ID })
	return i, i >= 0
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// refusal returns the answer to an operation that may not run. Callers that are refused at the same time come back at
// different times, later the farther the demand is above the limit.
func (b *bucket) refusal(now core.Instant) Verdict {
	base := 500 * time.Millisecond
	if b.isOver(now) {
		base = time.Duration(min(max(b.over, 1), 10) * float64(base))
	}
	return Verdict{RetryAfter: base/2 + rand.N(base)}
}
