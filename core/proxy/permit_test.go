package proxy

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// fakePermits are permits that a test sets.
type fakePermits struct {
	mu             sync.Mutex
	admits, covers bool
	epoch          core.Version
	leader         core.UpstreamID
	hold           *core.Hold
	// target is the one of the hold.
	target core.UpstreamID
}

func (p *fakePermits) Admits(core.GroupID) (core.Version, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch, p.admits
}

func (p *fakePermits) Covers(_ core.GroupID, epoch core.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.covers && epoch == p.epoch
}

func (p *fakePermits) Leader(core.GroupID) (core.UpstreamID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader, p.leader != ""
}

func (p *fakePermits) IsDeposed(_ core.GroupID, id core.UpstreamID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hold != nil {
		return id != p.hold.Old && id != p.target
	}
	return p.leader != "" && p.leader != id
}

func (p *fakePermits) Hold(core.GroupID) (core.Hold, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hold == nil {
		return core.Hold{}, false
	}
	return *p.hold, true
}

// set changes the permits and wakes the statements that wait for them.
func (p *fakePermits) set(r *harness, change func()) {
	p.mu.Lock()
	change()
	p.mu.Unlock()
	r.proxy.PermitsChanged()
}

// withPermits runs a test with permits that are valid at first.
func withPermits(t *testing.T, test func(t *testing.T, r *harness, p *fakePermits)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &fakePermits{admits: true, covers: true}
		test(t, newHarnessWithPermits(t, p), p)
	})
}

// Guards against statements that run on an old primary, which still answers, once the permit has ended: writes,
// strict reads and the first statements of transactions.
func TestNoStatementsWithoutPermit(t *testing.T) {
	withPermits(t, func(t *testing.T, r *harness, p *fakePermits) {
		p.set(r, func() { p.admits, p.covers = false, false })
		assert.Equal(t, r.do(r.proxy.Open("own", noKey), VerbWrite, "WRITE 1 x").Fault, core.FaultBusy)
		assert.Equal(t, r.do(r.proxy.Open("strict", noKey), VerbRead, "READ 1").Fault, core.FaultBusy)
		s := r.proxy.Open("strict", noKey)
		r.must(s, VerbBegin, "BEGIN")
		assert.Equal(t, r.do(s, VerbRead, "READ 2").Fault, core.FaultBusy)
		assert.Equal(t, len(r.texts(primaryID)), 0)
	})
}

// Guards against refusing statements that wait while the permit comes back.
func TestStatementsWaitForPermit(t *testing.T) {
	withPermits(t, func(t *testing.T, r *harness, p *fakePermits) {
		p.set(r, func() { p.admits, p.covers = false, false })
		timer := time.AfterFunc(100*time.Millisecond, func() { p.set(r, func() { p.admits, p.covers = true, true }) })
		defer timer.Stop()
		r.must(r.proxy.Open("own", noKey), VerbWrite, "WRITE 1 x")
	})
}

// Guards against acknowledging a write whose answer arrives after the permit has ended: it may have been committed
// after another upstream began to lead.
func TestAnswerWithoutPermitIsInDoubt(t *testing.T) {
	withPermits(t, func(t *testing.T, r *harness, p *fakePermits) {
		r.servers[primaryID].update(func(s *server) { s.serviceTime = 200 * time.Millisecond })
		timer := time.AfterFunc(100*time.Millisecond, func() { p.set(r, func() { p.admits, p.covers = false, false }) })
		defer timer.Stop()
		assert.Equal(t, r.do(r.proxy.Open("own", noKey), VerbWrite, "WRITE 1 x").Fault, core.FaultInDoubt)
		assert.DeepEqual(t, r.texts(primaryID), []string{"WRITE 1 x"})
	})
}

// Guards against a transaction that commits on an old primary: its COMMIT isn't sent, which is a true refusal, or its
// answer is in doubt.
func TestCommitWithoutPermit(t *testing.T) {
	withPermits(t, func(t *testing.T, r *harness, p *fakePermits) {
		s := r.proxy.Open("own", noKey)
		r.must(s, VerbBegin, "BEGIN")
		r.must(s, VerbWrite, "WRITE 1 x")
		p.set(r, func() { p.admits, p.covers = false, false })
		assert.Equal(t, r.do(s, VerbCommit, "COMMIT").Fault, core.FaultAborted)
		assert.DeepEqual(t, r.texts(primaryID), []string{"WRITE 1 x"})

		p.set(r, func() { p.admits, p.covers = true, true })
		r.must(s, VerbBegin, "BEGIN")
		r.must(s, VerbWrite, "WRITE 2 x")
		r.servers[primaryID].update(func(s *server) { s.serviceTime = 200 * time.Millisecond })
		timer := time.AfterFunc(100*time.Millisecond, func() { p.set(r, func() { p.admits, p.covers = false, false }) })
		defer timer.Stop()
		assert.Equal(t, r.do(s, VerbCommit, "COMMIT").Fault, core.FaultInDoubt)
	})
}

// Guards against work that started on an old primary and ends after the new one is recorded, when permits are valid
// again: the old one may have committed it after the new one began to lead.
func TestWorkOfOldPrimaryEndsAfterPromotion(t *testing.T) {
	withPermits(t, func(t *testing.T, r *harness, p *fakePermits) {
		s := r.proxy.Open("own", noKey)
		r.must(s, VerbBegin, "BEGIN")
		r.must(s, VerbWrite, "WRITE 1 x")
		p.set(r, func() { p.leader, p.epoch = nearID, 7 })
		assert.Equal(t, r.do(s, VerbCommit, "COMMIT").Fault, core.FaultAborted)

		p.set(r, func() { p.leader, p.epoch = primaryID, 8 })
		r.servers[primaryID].update(func(s *server) { s.serviceTime = 200 * time.Millisecond })
		timer := time.AfterFunc(100*time.Millisecond, func() { p.set(r, func() { p.leader, p.epoch = nearID, 9 }) })
		defer timer.Stop()
		assert.Equal(t, r.do(r.proxy.Open("own", noKey), VerbWrite, "WRITE 2 x").Fault, core.FaultInDoubt)
	})
}

// Guards against refusing a transaction in progress while a planned promotion lets it end.
func TestCommitWhilePermitEnds(t *testing.T) {
	withPermits(t, func(t *testing.T, r *harness, p *fakePermits) {
		s := r.proxy.Open("own", noKey)
		r.must(s, VerbBegin, "BEGIN")
		r.must(s, VerbWrite, "WRITE 1 x")
		p.set(r, func() { p.admits = false })
		r.must(s, VerbCommit, "COMMIT")
	})
}

// Guards against taking the position of an old primary, which still answers, for that of the leader: bounded reads
// would miss commits.
func TestNoSampleOfDeposedPrimary(t *testing.T) {
	withPermits(t, func(t *testing.T, r *harness, p *fakePermits) {
		r.servers[nearID].update(func(s *server) { s.leads, s.log = true, core.Position{Term: 2, Offset: 12} })
		u := r.dir.Snapshot().Upstreams[nearID]
		u.Role, u.Revision = core.RolePrimary, u.Revision+1
		r.dir.Put(u)
		p.set(r, func() { p.leader = nearID })
		time.Sleep(10 * time.Millisecond)
		r.must(r.proxy.Open("bounded", noKey), VerbRead, "READ 1")
		r.must(r.proxy.Open("strict", noKey), VerbRead, "READ 2")
		r.must(r.proxy.Open("own", noKey), VerbWrite, "WRITE 3 x")
		for _, run := range r.servers[primaryID].runs() {
			t.Errorf("%s ran on the old primary", run.Text)
		}
	})
}

// Guards against the same while the next primary is promoted: what an earlier one answers isn't a proof, and the group isn't led by it.
func TestNoSampleOfDeposedPrimaryDuringHold(t *testing.T) {
	withPermits(t, func(t *testing.T, r *harness, p *fakePermits) {
		p.set(r, func() {
			p.hold, p.target, p.admits = &core.Hold{Old: nearID, Holder: "vm-2", Since: r.proxy.cfg.Now()}, farID, false
		})
		r.servers[primaryID].update(func(s *server) { s.log.Offset += 100 })
		res, err := r.proxy.Probe(probeContext(t), primaryID)
		assert.NilError(t, err)
		assert.Assert(t, !res.Leads && res.IsDeposed)
		assert.Assert(t, r.proxy.State()[0].Primary != primaryID)
		if sample, ok := r.proxy.group("g").fresh.MinPosition(0); ok {
			assert.Assert(t, sample.Offset < 100, "a position of the old primary counts as a sample: %v", sample)
		}
	})
}

// Guards against a driver that takes an old primary for the leader because it answers, and against one that starts
// while another VM promotes.
func TestDriverViewOfPermits(t *testing.T) {
	withPermits(t, func(t *testing.T, r *harness, p *fakePermits) {
		p.set(r, func() { p.hold = &core.Hold{Old: primaryID, Holder: "vm-2", Since: r.proxy.cfg.Now()} })
		time.Sleep(300 * time.Millisecond)
		g := r.proxy.State()[0]
		assert.Assert(t, g.IsHeld && !g.IsHeldBySelf)
		assert.Equal(t, g.HoldAge, 300*time.Millisecond)

		p.set(r, func() { p.hold, p.leader = nil, nearID })
		ctx := probeContext(t)
		res, err := r.proxy.Probe(ctx, primaryID)
		assert.NilError(t, err)
		assert.Assert(t, !res.Leads)
		assert.Assert(t, r.proxy.State()[0].Primary != primaryID)
	})
}

// Guards against drivers that never finish an interrupted promotion since, while both the old primary and its successor answer as
// primaries, each look finds the other one in place (seen in a trace of TestUnfencedStepSoak).
func TestPrimaryOfHeldGroup(t *testing.T) {
	withPermits(t, func(t *testing.T, r *harness, p *fakePermits) {
		p.set(r, func() {
			p.hold, p.target = &core.Hold{Old: primaryID, Holder: "vm-2", Since: r.proxy.cfg.Now()}, nearID
		})
		r.servers[nearID].update(func(s *server) { s.leads = true })
		for range 3 {
			for _, id := range []core.UpstreamID{nearID, primaryID} {
				res, err := r.proxy.Probe(probeContext(t), id)
				assert.NilError(t, err)
				assert.Assert(t, res.Leads)
				g := r.proxy.State()[0]
				assert.Equal(t, g.Primary, primaryID)
				assert.Assert(t, slices.Contains(g.Replicas, nearID))
			}
		}
	})
}

// Guards against a VM that is cut off from a primary and never asks the only ones that reach it.
func TestRelayThroughKnownVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var others []core.VM
		for _, id := range []core.VMID{"vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8", "vm-9"} {
			others = append(others, core.VM{ID: id, FailureDomain: "there", Region: "away", Relay: string(id)})
		}
		r := newHarness(t, others...)
		r.unreachable = map[core.UpstreamID]bool{primaryID: true}
		lender := r.proxy.relayOrder(primaryID)[len(others)-1].ID
		r.ownerOf = func(vm core.VM, id core.UpstreamID) (core.LineConn, error) {
			if vm.ID != lender {
				return nil, &core.RefusedError{Upstream: id, Message: "no connection"}
			}
			return r.relayConn(id)
		}
		assert.Assert(t, r.do(r.proxy.Open("own", noKey), VerbWrite, "WRITE 1 x").Fault != core.FaultNone)
		r.proxy.RelayThrough(primaryID, []core.VMID{lender})
		time.Sleep(time.Second)
		r.must(r.proxy.Open("own", noKey), VerbWrite, "WRITE 2 x")
	})
}
