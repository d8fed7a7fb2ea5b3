package lead

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
)

const (
	// interval is the time between two looks at the groups.
	interval = 100 * time.Millisecond
	// probeTime limits a probe: ten times the longest round trip between regions.
	probeTime = 300 * time.Millisecond
	// leaseTime is the life of a lease. It also keeps others from replacing a primary again before the
	// effect of the last change shows.
	leaseTime = 5 * time.Second
	// leaseMargin is the part of a lease that is left unused, for the time that a call is on its way.
	leaseMargin = time.Second
	// callTries is how often a promotion without an answer is sent.
	callTries = 3
	// settleTime is how long the new primary may take to report itself.
	settleTime = 2 * time.Second
	// retryMin and retryMax limit the wait after a change that didn't happen. Jitter keeps entry VMs
	// from taking turns.
	retryMin = 300 * time.Millisecond
	retryMax = 900 * time.Millisecond
	// minorityTime is how long a change waits for answers of most of the group. With fewer, an upstream
	// that missed the last changes could be promoted; after this time a group without a primary is
	// the greater harm.
	minorityTime = 4 * time.Second
	// startJitter spreads the entry VMs that see the same primary leave.
	startJitter = 150 * time.Millisecond
	// keyPrefix starts the keys of the leases.
	keyPrefix = "snipewall/lead/"
)

// Cluster is what the driver sees of the groups. Implementations are safe for concurrent use.
type Cluster interface {
	// State returns all groups.
	State() []Group
	// Refresh reads the groups from the store, so that State shows nothing older than the call.
	Refresh(ctx context.Context) error
	// Probe asks the upstream whether it leads and for the end of its log. An error means that it
	// didn't answer, ErrNotAsked that it couldn't be asked.
	Probe(ctx context.Context, id core.UpstreamID) (ProbeResult, error)
}

// ProbeResult is an upstream's place in its group.
type ProbeResult struct {
	Leads bool
	Log   core.Position
}

// ErrProbeNotSent says that a probe had no connection, which tells nothing about the upstream.
var ErrProbeNotSent = errors.New("no connection for the probe")

// Config configures a Driver.
type Config struct {
	Cluster  Cluster
	Store    core.Store
	Promoter core.Promoter
	Self     core.VMID
	Log      log.Logger
	// StartedAt is when this VM started, if it may have done so with all others; zero otherwise.
	StartedAt time.Time
	// Now reads a clock that counts suspension; nil stands for core.Now.
	Now func() core.Instant
}

// Driver is the service "lead".
type Driver struct {
	cfg    Config
	groups map[core.GroupID]*groupState
	ends   chan func()
	tasks  int
}

type groupState struct {
	detector Detector
	// busy tells that a change is under way.
	busy      bool
	notBefore time.Time
	lease     lease
	// minorityAt is when a change first lacked the answers of most of the group, or zero.
	minorityAt time.Time
}

var (
	errMinority = errors.New("most of the group doesn't answer")
	errNoNeed   = errors.New("the store names another primary")
	errHeld     = errors.New("another VM holds the group's lease")
)

// lease is the right to promote in a group.
type lease struct {
	id    core.LeaseID
	token core.Version
	until core.Instant
	// unanswered is the target of a call without an answer, which may still be executed.
	unanswered core.UpstreamID
}

// New returns a driver.
func New(cfg Config) *Driver {
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	return &Driver{cfg: cfg, groups: make(map[core.GroupID]*groupState), ends: make(chan func(), 16)}
}

// Name implements core.Service.
func (d *Driver) Name() string { return "lead" }

// Run watches the groups until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for ; d.tasks > 0; d.tasks-- {
				<-d.ends
			}
			return nil
		case end := <-d.ends:
			d.tasks--
			end()
		case <-ticker.C:
			d.look(ctx)
		}
	}
}

// task runs fn in a goroutine; what it returns runs on the goroutine of Run.
func (d *Driver) task(fn func() func()) {
	d.tasks++
	go func() { d.ends <- fn() }()
}

func (d *Driver) look(ctx context.Context) {
	now := time.Now()
	for _, g := range d.cfg.Cluster.State() {
		st, ok := d.groups[g.ID]
		if !ok {
			st = &groupState{detector: Detector{startedAt: d.cfg.StartedAt}}
			d.groups[g.ID] = st
		}
		switch st.detector.Decide(now, g) {
		case Probe:
			d.probe(ctx, st, g)
		case Replace:
			if !st.busy && !now.Before(st.notBefore) {
				d.replace(ctx, st, g)
			}
		}
	}
}

func (d *Driver) probe(ctx context.Context, st *groupState, g Group) {
	began := time.Now()
	d.task(func() func() {
		ctx, cancel := context.WithTimeout(ctx, probeTime)
		defer cancel()
		at, err := d.cfg.Cluster.Probe(ctx, g.Primary)
		failed := (err == nil && !at.Leads) || (err != nil && !errors.Is(err, ErrProbeNotSent))
		if failed {
			level.Info(d.cfg.Log).Log("Msg", "probe of the primary failed", "Group", g.ID, "Upstream", g.Primary, "Leads", at.Leads, "Err", err)
		}
		return func() { st.detector.Probed(began, g.Primary, failed) }
	})
}

// replace starts a change of primary.
func (d *Driver) replace(ctx context.Context, st *groupState, g Group) {
	st.busy = true
	c := change{reason: st.detector.reason, held: st.lease}
	c.minority = !st.minorityAt.IsZero() && time.Since(st.minorityAt) > minorityTime
	reason := c.reason
	d.task(func() func() {
		kept, err := d.change(ctx, g, c)
		if err != nil {
			level.Info(d.cfg.Log).Log("Msg", "primary not replaced", "Group", g.ID, "Reason", reason, "Err", err)
		}
		return func() {
			st.busy = false
			st.lease = kept
			st.notBefore = time.Now().Add(retryMin + rand.N(retryMax-retryMin))
			switch {
			case err == nil:
				st.detector.failures = 0
				st.minorityAt = time.Time{}
			case errors.Is(err, errMinority) && st.minorityAt.IsZero():
				st.minorityAt = time.Now()
			}
		}
	})
}

// change is one change of primary.
type change struct {
	reason string
	held   lease
	// minority allows a change without the answers of most of the group.
	minority bool
}

// change promotes the best replica and returns the lease that is still held.
func (d *Driver) change(ctx context.Context, g Group, c change) (lease, error) {
	if g.Leaving {
		sleep(ctx, rand.N(startJitter))
	}
	// Another VM may have replaced the primary already. A VM that can't reach the store would learn of
	// it only when the store's call has timed out.
	found := make(chan struct{})
	go func(g Group) {
		defer close(found)
		d.findLeader(ctx, g)
	}(g)
	defer func() { <-found }()
	held, err := d.acquire(ctx, g.ID, c.held)
	if err != nil {
		return held, err
	}
	// This VM's view may be from before another holder's change: what was read before the lease was
	// taken doesn't count.
	g, err = d.current(ctx, g)
	if err != nil {
		return held, err
	}
	target, at, err := d.best(ctx, g, c.minority)
	if err != nil || at.Leads {
		return held, err
	}
	if held.unanswered != "" && held.unanswered != target {
		// The old call would pass the fence after the new one if both had the same token.
		d.release(ctx, held)
		if held, err = d.acquire(ctx, g.ID, lease{}); err != nil {
			return held, err
		}
	}
	level.Info(d.cfg.Log).Log("Msg", "promoting", "Group", g.ID, "Upstream", target, "Position", at.Log, "Old", g.Primary, "Reason", c.reason, "Token", held.token)
	if err := d.promote(ctx, g.ID, target, &held); err != nil {
		if errors.Is(err, core.ErrFenced) {
			d.release(ctx, held)
			held = lease{}
		}
		return held, err
	}
	if err := d.settle(ctx, g.ID, target); err != nil {
		return held, err
	}
	level.Info(d.cfg.Log).Log("Msg", "primary replaced", "Group", g.ID, "Upstream", target, "Token", held.token)
	return held, nil
}

// findLeader looks for an upstream that leads. Another VM may have replaced the primary, and the
// store's news of it hasn't arrived here; the probes of it are noted where statements are placed.
func (d *Driver) findLeader(ctx context.Context, g Group) {
	if target, at, err := d.best(ctx, g, true); err == nil && at.Leads {
		level.Info(d.cfg.Log).Log("Msg", "another upstream leads", "Group", g.ID, "Upstream", target, "Position", at.Log, "Old", g.Primary)
	}
}

// current returns the group as the store shows it now. The error is errNoNeed if another primary
// than the failed one is known.
func (d *Driver) current(ctx context.Context, old Group) (Group, error) {
	if err := d.cfg.Cluster.Refresh(ctx); err != nil {
		return old, err
	}
	for _, g := range d.cfg.Cluster.State() {
		if g.ID != old.ID {
			continue
		}
		if g.Primary != "" && g.Primary != old.Primary {
			return g, errNoNeed
		}
		return g, nil
	}
	return old, errors.New("the group is gone")
}

// acquire takes the group's lease, or keeps the one held while it certainly lasts. Its life is
// counted from before the call that granted it.
func (d *Driver) acquire(ctx context.Context, id core.GroupID, held lease) (lease, error) {
	asked := d.cfg.Now()
	if held.until.Sub(asked) > leaseMargin {
		return held, nil
	}
	// Most VMs that see a primary fail come second. Reading the key first spares them two calls.
	switch _, err := d.cfg.Store.Get(ctx, keyPrefix+string(id)); {
	case err == nil:
		return lease{}, errHeld
	case !errors.Is(err, core.ErrNotFound):
		return lease{}, err
	}
	granted, err := d.cfg.Store.Grant(ctx, leaseTime)
	if err != nil {
		return lease{}, err
	}
	token, err := d.cfg.Store.CompareAndSwap(ctx, keyPrefix+string(id), []byte(d.cfg.Self), 0, granted)
	if err != nil {
		d.release(ctx, lease{id: granted})
		return lease{}, err
	}
	return lease{id: granted, token: token, until: asked.Add(leaseTime)}, nil
}

func (d *Driver) release(ctx context.Context, l lease) {
	if err := d.cfg.Store.Revoke(ctx, l.id); err != nil {
		level.Info(d.cfg.Log).Log("Msg", "lease not ended, it will expire", "Err", err)
	}
}

// best returns the replica with the newest log among those that answer, or the one that leads. Unless
// minority is set, most of the group must answer; a primary that is leaving counts as one that does.
func (d *Driver) best(ctx context.Context, g Group, minority bool) (core.UpstreamID, ProbeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	type result struct {
		index int
		at    ProbeResult
		err   error
	}
	results := make(chan result, len(g.Replicas))
	for i, id := range g.Replicas {
		go func() {
			at, err := d.cfg.Cluster.Probe(ctx, id)
			results <- result{i, at, err}
		}()
	}
	found, answers := -1, 0
	if g.Leaving {
		answers++
	}
	var best ProbeResult
	for range g.Replicas {
		r := <-results
		if r.err != nil || best.Leads {
			continue
		}
		answers++
		if found < 0 || r.at.Leads || best.Log.Less(r.at.Log) || (best.Log == r.at.Log && r.index < found) {
			found, best = r.index, r.at
		}
	}
	if found < 0 {
		return "", best, errors.New("no replica answers")
	}
	if !minority && !best.Leads && 2*answers <= g.Members {
		return "", best, errMinority
	}
	return g.Replicas[found], best, nil
}

// promote makes the call. It is repeated with the same token and target while the answer is missing
// and the lease certainly lasts.
func (d *Driver) promote(ctx context.Context, id core.GroupID, target core.UpstreamID, held *lease) error {
	var err error
	for range callTries {
		if held.until.Sub(d.cfg.Now()) <= leaseMargin {
			return errors.New("the lease may have ended")
		}
		err = d.cfg.Promoter.Promote(ctx, id, target, d.cfg.Self, held.token)
		if err == nil || errors.Is(err, core.ErrFenced) {
			return err
		}
		held.unanswered = target
		sleep(ctx, interval)
	}
	return err
}

// settle waits until the upstream is known as the primary.
func (d *Driver) settle(ctx context.Context, id core.GroupID, target core.UpstreamID) error {
	end := time.Now().Add(settleTime)
	for time.Now().Before(end) && ctx.Err() == nil {
		for _, g := range d.cfg.Cluster.State() {
			if g.ID == id && g.Primary == target {
				return nil
			}
		}
		sleep(ctx, interval)
	}
	return errors.New("the new primary doesn't report itself")
}

func sleep(ctx context.Context, dur time.Duration) {
	timer := time.NewTimer(dur)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
