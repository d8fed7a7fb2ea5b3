package lead

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/permit"
)

// fakeCluster is a group of upstreams, the store and the platform's promotion call, as seen by one VM.
type fakeCluster struct {
	mu sync.Mutex
	// view is the VM's view of the group, stored the group as it is in the store.
	view, stored Group
	probes       map[core.UpstreamID]ProbeResult
	unresponsive map[core.UpstreamID]bool
	// hidesReceived holds the upstreams that don't tell what they have received.
	hidesReceived map[core.UpstreamID]bool
	// storeDown makes calls to the store fail; leaseHeld makes another VM hold the lease.
	storeDown, leaseHeld bool
	// getDelay is the duration of a read of the lease's key; grants counts granted leases.
	getDelay time.Duration
	grants   int
	// leaderProbedAt is when a probe first found a primary other than the one in view.
	leaderProbedAt time.Time
	version        core.Version
	// startedAt is Config.StartedAt.
	startedAt time.Time
	// unansweredCalls is the number of promotions that will get no answer.
	unansweredCalls int
	promotions      []promotion
	steppedDown     []core.UpstreamID
	relayedThrough  []core.VMID
	// permits are nil if a promotion stops the old primary.
	permits Permits
	// onProbe and onPromote are called with mu held; leaseAt is when the lease was taken, promotedAt when a
	// promotion took effect.
	onProbe, onPromote  func()
	leaseAt, promotedAt time.Time
	released            int
	// inspect, if not nil, replaces the result of Inspect. refusesStepDown makes StepDown fail, silentVM makes a VM
	// not acknowledge pauses, and promotionsDown makes all promotions fail.
	inspect                                   func(id core.UpstreamID) ProbeResult
	refusesStepDown, silentVM, promotionsDown bool
	// branches is Config.Branches.
	branches *Branches
	// recordsNoPause makes the store not accept the records of pauses.
	recordsNoPause bool
	// abandonedAt is when another VM was killed that had paused the group, zero if there is none.
	abandonedAt time.Time
	// pauses counts the pauses, paused is set during one.
	pauses int
	paused bool
}

type promotion struct {
	ID    core.UpstreamID
	Token core.Version
}

var errDown = errors.New("store is down")

func (f *fakeCluster) State() []Group {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []Group{f.view}
}

func (f *fakeCluster) Refresh(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		return errDown
	}
	f.view = f.stored
	return nil
}

func (f *fakeCluster) Probe(ctx context.Context, id core.UpstreamID) (ProbeResult, error) {
	f.mu.Lock()
	if f.onProbe != nil {
		f.onProbe()
	}
	silent, probe := f.unresponsive[id], f.probes[id]
	if probe.Leads && !silent && id != f.view.Primary && f.leaderProbedAt.IsZero() {
		f.leaderProbedAt = time.Now()
	}
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ProbeResult{}, ctx.Err()
	}
	return probe, nil
}

func (f *fakeCluster) Inspect(ctx context.Context, id core.UpstreamID) (ProbeResult, error) {
	res, err := f.Probe(ctx, id)
	if err == nil && f.inspect != nil {
		return f.inspect(id), nil
	}
	if err == nil && !f.hidesReceived[id] {
		res.IsReceivedKnown = true
	}
	return res, err
}

func (f *fakeCluster) StepDown(_ context.Context, id core.UpstreamID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unresponsive[id] || f.refusesStepDown {
		return errDown
	}
	f.steppedDown = append(f.steppedDown, id)
	f.probes[id] = ProbeResult{Log: f.probes[id].Log}
	return nil
}

func (f *fakeCluster) Pause(context.Context, core.GroupID, bool, time.Duration) permit.PauseResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pauses++
	f.paused = true
	return permit.PauseResult{Recorded: !f.recordsNoPause, Acknowledged: !f.silentVM}
}

func (f *fakeCluster) Resume(_ context.Context, _ core.GroupID, replaced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused = false
	if replaced {
		f.abandonedAt = time.Time{}
	}
}

func (f *fakeCluster) Unrenewed(core.GroupID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.abandonedAt.IsZero() {
		return 0
	}
	return time.Since(f.abandonedAt)
}

func (f *fakeCluster) RelayThrough(_ core.UpstreamID, vms []core.VMID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relayedThrough = vms
}

func (f *fakeCluster) Promote(_ context.Context, _ core.GroupID, id core.UpstreamID, _ core.VMID, token core.Version) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.promotionsDown {
		return core.ErrNotExecuted
	}
	f.promotions = append(f.promotions, promotion{id, token})
	if f.onPromote != nil {
		f.onPromote()
	}
	if f.unansweredCalls > 0 {
		f.unansweredCalls--
		return errors.New("no answer")
	}
	if id == f.view.Primary {
		return nil
	}
	f.promotedAt = time.Now()
	f.setPrimary(id)
	return nil
}

// setPrimary makes the upstream the primary. The caller holds mu.
func (f *fakeCluster) setPrimary(id core.UpstreamID) {
	g := Group{ID: "g", Primary: id, Members: 3, IsMonitor: true}
	for other, at := range f.probes {
		f.probes[other] = ProbeResult{Leads: other == id, Log: at.Log}
		if other != id {
			g.Replicas = append(g.Replicas, other)
		}
	}
	f.stored, f.view = g, g
}

func (f *fakeCluster) Grant(context.Context, time.Duration) (core.LeaseID, error) {
	f.grants++
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		return "", errDown
	}
	return "1", nil
}

func (f *fakeCluster) CompareAndSwap(context.Context, string, []byte, core.Version, core.LeaseID) (core.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaseHeld {
		return 0, core.ErrVersionConflict
	}
	f.version++
	f.leaseAt = time.Now()
	return f.version, nil
}

func (f *fakeCluster) Revoke(context.Context, core.LeaseID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released++
	return nil
}

func (f *fakeCluster) Get(context.Context, string) (core.Entry, error) {
	time.Sleep(f.getDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.storeDown:
		return core.Entry{}, errDown
	case f.leaseHeld:
		return core.Entry{}, nil
	}
	return core.Entry{}, core.ErrNotFound
}

func (f *fakeCluster) Watch(context.Context, string, core.Version) (core.Entry, error) {
	return core.Entry{}, errDown
}
func (f *fakeCluster) KeepAlive(context.Context, core.LeaseID) error { return nil }
func (f *fakeCluster) VMs(context.Context) ([]core.VM, error)        { return nil, nil }

func newFakeCluster() *fakeCluster {
	g := Group{ID: "g", Primary: "a", Replicas: []core.UpstreamID{"b", "c"}, Members: 3, IsMonitor: true}
	return &fakeCluster{
		view: g, stored: g, version: 10, unresponsive: map[core.UpstreamID]bool{},
		probes: map[core.UpstreamID]ProbeResult{
			"a": {Leads: true, Log: core.Position{Term: 1, Offset: 9}},
			"b": {Log: core.Position{Term: 1, Offset: 7}},
			"c": {Log: core.Position{Term: 1, Offset: 8}},
		},
	}
}

// run runs a driver for the duration and returns the promotions that were requested.
func (f *fakeCluster) run(t *testing.T, d time.Duration) []promotion {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	start := time.Now()
	driver := New(Config{
		Cluster: f, Store: f, Promoter: f, Permits: f.permits, Branches: f.branches, Pauser: f, Self: "vm", Log: log.NewNopLogger(), StartedAt: f.startedAt,
		Now: func() core.Instant { return core.Instant(time.Since(start)) + core.Instant(time.Hour) },
	})
	assert.NilError(t, driver.Run(ctx))
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.promotions
}

// Guards against a failed primary that is not replaced, or is replaced by a replica that lacks commits
// that another one has.
func TestReplaceFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.unresponsive["a"] = true
		got := f.run(t, 2*time.Second)
		assert.DeepEqual(t, []promotion{{"c", 11}}, got)
	})
}

// Guards against replacing a primary that answers.
func TestHealthyPrimaryKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Equal(t, len(newFakeCluster().run(t, 5*time.Second)), 0)
	})
}

// Guards against a VM that returns from a partition and promotes the old primary before it has read
// from the store that another upstream is the primary: the old primary lacks the commits since then,
// and 111 of them were rolled back.
func TestReturnFromPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.storeDown = true
		f.view = Group{ID: "g", Replicas: []core.UpstreamID{"a", "b", "c"}, Members: 3, IsMonitor: true}
		f.stored = Group{ID: "g", Primary: "c", Replicas: []core.UpstreamID{"a", "b"}, Members: 3, IsMonitor: true}
		f.probes["a"] = ProbeResult{Log: core.Position{Term: 1, Offset: 9}}
		f.unresponsive["c"], f.unresponsive["b"] = true, true
		go func() {
			time.Sleep(8 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.storeDown = false
			f.probes["c"] = ProbeResult{Leads: true, Log: core.Position{Term: 2, Offset: 99}}
			// The connection to c is not back yet at the time of the failover.
			time.AfterFunc(600*time.Millisecond, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.unresponsive["c"] = false
			})
		}()
		assert.Equal(t, len(f.run(t, 12*time.Second)), 0)
	})
}

// Guards against a second promotion by a VM whose view is stale, when an upstream already is the primary.
func TestFindLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.unresponsive["a"] = true
		f.probes["b"] = ProbeResult{Leads: true, Log: core.Position{Term: 2, Offset: 8}}
		assert.Equal(t, len(f.run(t, 3*time.Second)), 0)
	})
}

// Guards against a promotion without the lease: its token could be that of another holder.
func TestNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.unresponsive["a"], f.leaseHeld = true, true
		assert.Equal(t, len(f.run(t, 5*time.Second)), 0)
		assert.Equal(t, f.grants, 0, "a failed attempt must not grant a lease")
	})
}

// Guards against promoting the only replica that answers while the others may have a newer log. After
// majorityTimeout it is promoted nevertheless.
func TestMinority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.unresponsive["a"], f.unresponsive["c"] = true, true
		assert.Equal(t, len(f.run(t, 4*time.Second)), 0)
		got := f.run(t, 8*time.Second)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].ID, core.UpstreamID("b"))
	})
}

// Guards against an unanswered promotion that the platform executes after a newer one of another target:
// once a promotion got no answer, its token must not be used for another target.
func TestUnansweredToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.unresponsive["a"] = true
		f.unansweredCalls = 3
		go func() {
			time.Sleep(1500 * time.Millisecond)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.unresponsive["c"], f.unresponsive["a"] = true, false
			f.probes["a"] = ProbeResult{Log: core.Position{Term: 1, Offset: 9}}
			f.probes["b"] = ProbeResult{Log: core.Position{Term: 1, Offset: 10}}
		}()
		got := f.run(t, 10*time.Second)
		targets := map[core.Version]core.UpstreamID{}
		for _, p := range got {
			if first, ok := targets[p.Token]; ok {
				assert.Equal(t, p.ID, first, "token %d", p.Token)
			}
			targets[p.Token] = p.ID
		}
		assert.Equal(t, got[len(got)-1].ID, core.UpstreamID("b"))
	})
}

// Guards against a leaving primary that is replaced only after it has stopped.
func TestReplaceLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.view.Leaving, f.stored.Leaving = true, true
		got := f.run(t, time.Second)
		assert.DeepEqual(t, []promotion{{"c", 11}}, got)
	})
}

// Guards against a VM that reaches neither the store nor the old primary and finds the new primary only
// after the call to the store has timed out, which took 5.4 s to 7 s.
func TestFindLeaderWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.unresponsive["a"] = true
		f.probes["b"] = ProbeResult{Leads: true, Log: core.Position{Term: 2, Offset: 8}}
		f.storeDown, f.getDelay = true, 1500*time.Millisecond
		began := time.Now()
		assert.Equal(t, len(f.run(t, 3*time.Second)), 0)
		assert.Assert(t, !f.leaderProbedAt.IsZero() && f.leaderProbedAt.Sub(began) < 1200*time.Millisecond, "found after %v", f.leaderProbedAt.Sub(began))
	})
}

// Guards against all VMs starting a failover at once: 117 attempts in 10 s failed to get the lease, each
// with three calls to the store.
func TestNonMonitorsActLater(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeCluster()
			f.unresponsive["a"] = !leaving
			f.view.IsMonitor, f.stored.IsMonitor = false, false
			f.view.Suspect, f.stored.Suspect = true, true
			f.view.Leaving, f.stored.Leaving = leaving, leaving
			assert.Equal(t, len(f.run(t, nonMonitorDelay)), 0)
			assert.Equal(t, len(f.run(t, 2*time.Second)), 1)
		})
	}
}

// Guards against a failover of every group when all VMs restart at once and their new connections
// keep the upstreams busy: there were seven promotions within 1.6 s.
func TestSlowFailoverAfterStart(t *testing.T) {
	for _, back := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeCluster()
			f.startedAt = time.Now()
			f.unresponsive["a"] = true
			if back {
				time.AfterFunc(1200*time.Millisecond, func() {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.unresponsive["a"] = false
				})
			}
			promotions := len(f.run(t, startupPeriod))
			assert.Equal(t, promotions == 0, back, "%d promotions", promotions)
		})
	}
}

// Guards against replacing a primary that was silent for a moment and works again before anything was sent.
func TestPrimaryBackBeforePromotion(t *testing.T) {
	for _, syncReplicas := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeCluster()
			f.view.SyncReplicas = syncReplicas
			f.stored = f.view
			f.unresponsive["a"], f.getDelay = true, 500*time.Millisecond
			f.inspect = func(id core.UpstreamID) ProbeResult {
				time.Sleep(5 * time.Millisecond)
				f.mu.Lock()
				defer f.mu.Unlock()
				res := f.probes[id]
				res.IsReceivedKnown = true
				return res
			}
			// The first failover is reading the lease's key.
			time.AfterFunc(1200*time.Millisecond, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.unresponsive["a"] = false
				f.view.PrimaryConfirmedAt = time.Now()
				f.stored = f.view
			})
			assert.Equal(t, len(f.run(t, 3*time.Second)), 0)
			assert.Equal(t, f.grants, 1)
			assert.Equal(t, f.released, 1)
			assert.Equal(t, len(f.steppedDown)+f.pauses, 0)
		})
	}
}
