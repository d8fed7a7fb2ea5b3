package lead

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/eras"
)

const (
	checkInterval = 100 * time.Millisecond
	// probeTimeout is ten times the longest round trip between regions.
	probeTimeout = 300 * time.Millisecond
	// promoteAttempts is how many times a promotion is sent while no answer arrives.
	promoteAttempts = 3
	// reportTimeout is how long the new primary may take to report itself, reportInterval the time between two looks.
	// While the group is paused, its callers wait that much longer.
	reportTimeout  = 2 * time.Second
	reportInterval = 20 * time.Millisecond
	// The delay between failover attempts is random between minRetryDelay and maxRetryDelay, so that
	// entry VMs don't keep alternating.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 900 * time.Millisecond
	// majorityTimeout is how long a failover is put off while fewer than a majority of the group answer.
	// Without a majority, an upstream that lacks the last commits could be promoted. After this time,
	// a group without a primary does more harm than that.
	majorityTimeout = 4 * time.Second
	// receiverTimeout is how long a failover is put off while a replica that may hold acknowledged commits doesn't
	// answer. The entry of a replica that has failed is gone before.
	receiverTimeout = 8 * time.Second
	// maxRetryGap is the longest time between two attempts of one failover. After it, the group has had a primary again.
	maxRetryGap = time.Second
	// leavingJitter spreads the attempts of the entry VMs that see the same primary leave.
	leavingJitter = 150 * time.Millisecond
)

// Cluster gives the driver access to the groups. Implementations are safe for concurrent use.
type Cluster interface {
	// State returns the current view of all groups.
	State() []Group
	// Refresh reads the groups from the store. Afterwards State returns nothing older than the call.
	Refresh(ctx context.Context) error
	// Probe asks the upstream whether it is the primary and for the end of its log. It returns
	// ErrProbeNotSent if there was no connection; any other error means that the upstream didn't answer.
	Probe(ctx context.Context, id core.UpstreamID) (ProbeResult, error)
	// Inspect is Probe, but also asks a replica what it has received, for which the replica needs a free slot.
	Inspect(ctx context.Context, id core.UpstreamID) (ProbeResult, error)
	// StepDown makes a primary a replica, through another VM if necessary. It returns nil once the upstream has
	// refused to act as a primary.
	StepDown(ctx context.Context, id core.UpstreamID) error
	// RelayThrough makes statements for the upstream use the given VMs if it can't be reached directly.
	RelayThrough(id core.UpstreamID, vms []core.VMID)
}

// ErrProbeNotSent means that there was no connection for a probe, so that nothing is known about the
// upstream.
var ErrProbeNotSent = errors.New("no connection for the probe")

// Config configures a Driver.
type Config struct {
	Cluster  Cluster
	Store    core.Store
	Promoter core.Promoter
	// Permits are needed where a promotion doesn't stop the old primary; nil means that it does.
	Permits Permits
	// Branches find the logs that earlier promotions have cut off; nil means that nothing is known of them.
	Branches *Branches
	// Pauser is needed where it does and commits may wait for replicas.
	Pauser Pauser
	// Eras keeps the newest era of the store; nil stands for a store that never comes back from a copy.
	Eras *eras.Tracker
	Self core.VMID
	Log  log.Logger
	// StartedAt is when this VM started, if all other VMs may have started at the same time; zero
	// otherwise.
	StartedAt time.Time
	// Now reads a clock that includes suspend time. The default is core.Now.
	Now func() core.Instant
}

// Driver detects failed and leaving primaries and replaces them. It implements core.Service.
type Driver struct {
	cfg    Config
	groups map[core.GroupID]*groupState
	// completions carries the functions that the tasks of runAsync return; running is the number of tasks.
	completions chan func()
	running     int
}

type groupState struct {
	detector Detector
	// inProgress is set during a failover.
	inProgress bool
	retryAt    time.Time
	lease      lease
	// minoritySince is when a failover was first put off because too little was known of the group's logs, or zero.
	minoritySince time.Time
	pause         groupPause
}

var (
	errAlreadyReplaced = errors.New("the store names another primary")
	errLeaseHeld       = errors.New("another VM holds the group's lease")
	errNewEra          = errors.New("a lease that the store has lost may last")
	errNowSynchronous  = errors.New("commits of the group wait for replicas since")
	errLeaseOfOldEra   = errors.New("the lease is of an older era of the store")
	errPrimaryBack     = errors.New("the primary answers again")
)

// New returns a driver. It does nothing until Run is called.
func New(cfg Config) *Driver {
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	if cfg.Eras == nil {
		cfg.Eras = eras.New(eras.Config{Now: cfg.Now})
	}
	return &Driver{cfg: cfg, groups: make(map[core.GroupID]*groupState), completions: make(chan func(), 16)}
}

// Name implements core.Service.
func (d *Driver) Name() string { return "lead" }

// Run checks the groups until ctx ends, then waits for its tasks and returns nil.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for ; d.running > 0; d.running-- {
				<-d.completions
			}
			return nil
		case complete := <-d.completions:
			d.running--
			complete()
		case <-ticker.C:
			d.checkGroups(ctx)
		}
	}
}

// runAsync runs fn in a new goroutine. The function that fn returns runs in Run's goroutine.
func (d *Driver) runAsync(fn func() func()) {
	d.running++
	go func() { d.completions <- fn() }()
}

func (d *Driver) checkGroups(ctx context.Context) {
	now := time.Now()
	for _, g := range d.cfg.Cluster.State() {
		st, ok := d.groups[g.ID]
		if !ok {
			st = &groupState{detector: Detector{startedAt: d.cfg.StartedAt}}
			d.groups[g.ID] = st
		}
		action := st.detector.Decide(now, g)
		if action == Probe {
			d.probe(ctx, st, g)
		}
		mayStart := !st.inProgress && !now.Before(st.retryAt)
		switch {
		case action == Replace && mayStart:
			d.startFailover(ctx, st, g, st.detector.reason)
		case mayStart && d.isInterrupted(g):
			d.startFailover(ctx, st, g, reasonInterrupted)
		}
	}
}

func (d *Driver) probe(ctx context.Context, st *groupState, g Group) {
	began := time.Now()
	d.runAsync(func() func() {
		result, err := d.probeUpstream(ctx, g.Primary)
		failed := (err == nil && !result.Leads) || (err != nil && !errors.Is(err, ErrProbeNotSent))
		if failed {
			level.Info(d.cfg.Log).Log("Msg", "probe of the primary failed", "Group", g.ID, "Upstream", g.Primary, "Leads", result.Leads, "Err", err)
		}
		return func() { st.detector.Probed(began, g.Primary, failed) }
	})
}

// probeUpstream probes the upstream with a time limit.
func (d *Driver) probeUpstream(ctx context.Context, id core.UpstreamID) (ProbeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return d.cfg.Cluster.Probe(ctx, id)
}

func (d *Driver) startFailover(ctx context.Context, st *groupState, g Group, reason string) {
	st.inProgress = true
	req := failoverRequest{reason: reason, held: st.lease}
	if time.Since(st.retryAt) > maxRetryGap {
		st.minoritySince = time.Time{}
	}
	if !st.minoritySince.IsZero() {
		req.allowMinority = time.Since(st.minoritySince) > majorityTimeout
		req.allowMissing = time.Since(st.minoritySince) > receiverTimeout
	}
	if d.pausesGroup(g) {
		req.pause = &st.pause
		if st.pause.start(g.Primary) {
			d.runAsync(func() func() { d.keepPause(ctx, g, &st.pause); return func() {} })
		}
	}
	d.runAsync(func() func() {
		kept, err := d.failOver(ctx, g, req)
		if err != nil {
			level.Info(d.cfg.Log).Log("Msg", "primary not replaced", "Group", g.ID, "Reason", reason, "Err", err)
		}
		return func() {
			st.inProgress = false
			st.lease = kept
			st.retryAt = time.Now().Add(minRetryDelay + rand.N(maxRetryDelay-minRetryDelay))
			switch {
			case err == nil:
				st.detector.failures = 0
				st.minoritySince = time.Time{}
				d.recordBegins(ctx, g.ID)
			case isUncertain(err) && st.minoritySince.IsZero():
				st.minoritySince = time.Now()
			}
		}
	})
}

// isUncertain reports whether a failover was put off because too little is known of the group's logs.
func isUncertain(err error) bool {
	return errors.Is(err, errMinority) || errors.Is(err, errReceivers) || errors.Is(err, errBranch)
}

// recordBegins records where the term of a promotion begins, once that has had its first commit.
func (d *Driver) recordBegins(ctx context.Context, id core.GroupID) {
	if d.cfg.Branches == nil {
		return
	}
	d.runAsync(func() func() {
		sleep(ctx, recordDelay)
		d.cfg.Branches.Record(ctx, id)
		return func() {}
	})
}

// failoverRequest holds the parameters of one failover.
type failoverRequest struct {
	reason string
	// held is the lease left from the previous attempt.
	held lease
	// allowMinority allows a failover while only a minority of the group answers, allowMissing one while a replica
	// that may hold acknowledged commits doesn't.
	allowMinority, allowMissing bool
	// pause is the group's pause where commits wait for replicas, otherwise nil.
	pause *groupPause
	// begins tells which logs an earlier promotion has cut off.
	begins Begins
}

// failOver promotes the best candidate and returns the lease that this VM still holds.
func (d *Driver) failOver(ctx context.Context, g Group, req failoverRequest) (lease, error) {
	if req.pause != nil {
		defer d.endPause(ctx, g.ID, req.pause)
	}
	if g.Leaving {
		sleep(ctx, rand.N(leavingJitter))
	}
	// Another VM may have replaced the primary already. Without this parallel search, a VM that can't
	// reach the store would find the new primary only after the call to the store has timed out.
	searched := make(chan struct{})
	go func(g Group) {
		defer close(searched)
		d.findLeader(ctx, g)
	}(g)
	defer func() { <-searched }()
	held, err := d.acquireUnlessReached(ctx, g, req.held)
	if err != nil {
		return held, err
	}
	// This VM's view may be older than the failover of the last lease holder, so the group is read again
	// under the lease.
	g, err = d.reloadGroup(ctx, g)
	if err != nil {
		return held, err
	}
	if req.reason == reasonInterrupted && !g.Leaving && d.leads(ctx, g.Primary) {
		err := d.endInterrupted(ctx, g, &held, req.pause)
		return held, err
	}
	if d.cfg.Branches != nil {
		req.begins = d.cfg.Branches.Begins(ctx, g.ID)
	}
	old := d.probeOld(ctx, g)
	defer old.wait()
	target, best, err := d.prepare(ctx, g, req, &held, old)
	if errors.Is(err, errPrimaryBack) {
		d.release(ctx, held)
		return lease{}, err
	}
	if err != nil || best.Leads {
		return held, err
	}
	if err := d.renewToken(ctx, g.ID, target, &held); err != nil {
		return held, err
	}
	level.Info(d.cfg.Log).Log("Msg", "promoting", "Group", g.ID, "Upstream", target, "Position", best.End(), "Applied", best.Log, "Begins", fmt.Sprint(req.begins), "Old", g.Primary, "Reason", req.reason, "Token", held.token)
	if err := d.promote(ctx, g, target, &held, req.pause); err != nil {
		return held, err
	}
	if d.closesLog(g) {
		// The new primary receives what is committed until here before it takes over.
		d.stepDown(ctx, g)
	}
	d.finish(ctx, g, target)
	if err := d.waitForPrimary(ctx, g.ID, target); err != nil {
		return held, err
	}
	level.Info(d.cfg.Log).Log("Msg", "primary replaced", "Group", g.ID, "Upstream", target, "Token", held.token)
	return held, nil
}

// prepare chooses the candidate. Where the old primary might go on, it is kept from committing first.
func (d *Driver) prepare(
	ctx context.Context, g Group, req failoverRequest, held *lease, old *oldProbe,
) (core.UpstreamID, ProbeResult, error) {
	target, best, err := d.selectCandidate(ctx, g, req)
	switch {
	case err != nil || (best.Leads && d.cfg.Permits == nil):
		return target, best, err
	case held.unansweredTarget == "" && old.leads():
		return "", best, errPrimaryBack
	case d.cfg.Permits != nil:
		return d.prepareHeld(ctx, g, target, best, req, held)
	case g.SyncReplicas == 0:
		return target, best, nil
	case req.pause == nil:
		return "", best, errNowSynchronous
	}
	return d.prepareClosed(ctx, g, req)
}

// findLeader probes for an upstream that is already the primary, for the case that another VM has
// replaced the primary and this VM has not read that from the store yet. The result takes effect
// through Cluster.Probe, which records answers for the routing of statements.
func (d *Driver) findLeader(ctx context.Context, g Group) {
	target, best, err := choose(g, ask(ctx, g.Replicas, d.cfg.Cluster.Probe), failoverRequest{allowMinority: true, allowMissing: true})
	if err == nil && best.Leads {
		level.Info(d.cfg.Log).Log("Msg", "another upstream leads", "Group", g.ID, "Upstream", target, "Position", best.Log, "Old", g.Primary)
	}
}

// reloadGroup returns the group as it is in the store now. It returns errAlreadyReplaced if the store
// has another primary than the failed one.
func (d *Driver) reloadGroup(ctx context.Context, old Group) (Group, error) {
	if err := d.cfg.Cluster.Refresh(ctx); err != nil {
		return old, err
	}
	for _, g := range d.cfg.Cluster.State() {
		if g.ID != old.ID {
			continue
		}
		if g.Primary != "" && g.Primary != old.Primary {
			return g, errAlreadyReplaced
		}
		return g, nil
	}
	return old, errors.New("the group no longer exists")
}

// selectCandidate inspects the replicas and chooses one of them. Where commits wait for replicas, a draining one may be
// the only one that has received the last of them.
func (d *Driver) selectCandidate(ctx context.Context, g Group, req failoverRequest) (core.UpstreamID, ProbeResult, error) {
	ids := g.Replicas
	if g.SyncReplicas > 0 {
		ids = append(slices.Clone(ids), g.Draining...)
	}
	answers := ask(ctx, ids, d.cfg.Cluster.Inspect)
	for i := range answers {
		answers[i].isDraining = i >= len(g.Replicas)
		answers[i].probe = d.judge(g.ID, answers[i].id, answers[i].probe)
	}
	return choose(g, answers, req)
}

// ask calls fn for all upstreams at the same time and returns the results in their order.
func ask(
	ctx context.Context, ids []core.UpstreamID, fn func(context.Context, core.UpstreamID) (ProbeResult, error),
) []answer {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make([]answer, len(ids))
	var calls sync.WaitGroup
	for i, id := range ids {
		calls.Go(func() {
			probe, err := fn(ctx, id)
			answers[i] = answer{id: id, probe: probe, err: err}
		})
	}
	calls.Wait()
	return answers
}

// promote asks the platform to promote the target. The call is repeated with the same token and target
// while there is no answer and the lease is certainly valid. A refusal by the fence ends the lease.
func (d *Driver) promote(ctx context.Context, g Group, target core.UpstreamID, held *lease, pause *groupPause) error {
	var err error
	for range promoteAttempts {
		if held.expiresAt.Sub(d.cfg.Now()) <= leaseMargin {
			return errors.New("the lease may have expired")
		}
		if !d.isOfNewestEra(*held) {
			return errLeaseOfOldEra
		}
		err = d.cfg.Promoter.Promote(ctx, g.ID, target, d.cfg.Self, held.token)
		if err == nil && pause != nil {
			pause.noteAnswered()
		}
		if errors.Is(err, core.ErrFenced) {
			d.release(ctx, *held)
			*held = lease{}
		}
		if err == nil || errors.Is(err, core.ErrFenced) {
			return err
		}
		if pause != nil && !errors.Is(err, core.ErrNotExecuted) {
			pause.noteUnanswered(d.cfg.Now().Add(lateCallTime), target)
			if d.closesLog(g) && d.stepDown(ctx, g) {
				pause.noteClosed()
			}
		}
		held.unansweredTarget = target
		sleep(ctx, checkInterval)
	}
	return err
}

// waitForPrimary waits until the cluster's view shows the upstream as the primary.
func (d *Driver) waitForPrimary(ctx context.Context, id core.GroupID, target core.UpstreamID) error {
	end := time.Now().Add(reportTimeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		for _, g := range d.cfg.Cluster.State() {
			if g.ID == id && g.Primary == target {
				return nil
			}
		}
		sleep(ctx, reportInterval)
	}
	return errors.New("the new primary did not report itself within 2 s")
}

func sleep(ctx context.Context, dur time.Duration) {
	timer := time.NewTimer(dur)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
