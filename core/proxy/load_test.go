package proxy

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/lead"
	"snipewall/core/topo"
)

// Guards against reads that cross regions although the local upstream would answer sooner, and against
// reads that queue locally while another region is idle. Load pattern: a surge in one failure domain.
func TestCheapest(t *testing.T) {
	local := candidate{wait: 20 * time.Millisecond}
	remote := candidate{distance: interRegionRTT, wait: 5 * time.Millisecond}
	tests := []struct {
		name  string
		cands []candidate
		want  int
	}{
		{"none", nil, -1},
		{"the local upstream answers sooner", []candidate{remote, local}, 1},
		{"the local upstream is in a surge", []candidate{remote, {wait: 40 * time.Millisecond}}, 0},
		{"a replica is preferred to the primary", []candidate{{primary: true, wait: 10 * time.Millisecond}, local}, 1},
		{"the primary helps in a surge", []candidate{{primary: true, wait: time.Millisecond}, {wait: 50 * time.Millisecond}}, 0},
		{"an up-to-date replica is preferred to a lagging one", []candidate{{lagging: true}, local}, 1},
		{"a failing upstream is the last choice", []candidate{{failing: true}, {primary: true, lagging: true, distance: interRegionRTT}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i, _ := cheapest(tt.cands)
			assert.Equal(t, i, tt.want)
		})
	}
}

// surge sends reads of the database at a fixed rate for a time and counts the faults of the replies.
func (r *harness) surge(database string, every, length time.Duration) map[core.Fault]int {
	faults := map[core.Fault]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range int(length / every) {
		wg.Go(func() {
			s := r.proxy.Open(database, noKey)
			reply := r.do(s, VerbRead, fmt.Sprintf("READ %d", i))
			mu.Lock()
			defer mu.Unlock()
			faults[reply.Fault]++
		})
		time.Sleep(every)
	}
	wg.Wait()
	return faults
}

// Guards against a surge of bounded reads that overloads the nearest replica while others are idle. At
// 30 ms a read, one upstream serves 133 reads a second with four in progress; 250 arrive.
func TestSurgeSpreadsOverUpstreams(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		for _, s := range r.servers {
			s.update(func(s *server) { s.serviceTime = 30 * time.Millisecond })
		}
		r.must(r.proxy.Open("strict", noKey), VerbRead, "READ 0")
		faults := r.surge("bounded", 4*time.Millisecond, 3*time.Second)
		assert.Equal(t, faults[core.FaultNone], 750, "%v", faults)
		assert.Assert(t, len(r.texts(farID)) > 100, "the far replica served %d", len(r.texts(farID)))
	})
}

// Guards against a surge of the least urgent rank that keeps urgent reads waiting.
func TestUrgentReadsDuringSurge(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		cfg := r.dir.Snapshot().Config
		cfg.Version++
		last, urgent := cfg.Routes["own"], cfg.Routes["strict"]
		last.Rank, last.Reads, urgent.Rank = core.RankLast, topo.Strict, core.RankUrgent
		cfg.Routes = map[string]topo.Route{"own": last, "strict": urgent}
		r.dir.Apply(cfg)
		r.servers[primaryID].update(func(s *server) { s.serviceTime = 20 * time.Millisecond })
		var wg sync.WaitGroup
		// 500 a second arrive, and 200 a second can run.
		wg.Go(func() { r.surge("own", 2*time.Millisecond, 3*time.Second) })
		time.Sleep(500 * time.Millisecond)
		worst := time.Duration(0)
		for range 40 {
			began := time.Now()
			r.must(r.proxy.Open("strict", noKey), VerbRead, "READ urgent")
			worst = max(worst, time.Since(began))
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		assert.Assert(t, worst < 400*time.Millisecond, "an urgent read took %v", worst)
	})
}

// Guards against statements that wait although they can't get a slot in time. They must be refused
// immediately, with a retry hint.
func TestStatementsThatCannotStartAreRefusedImmediately(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		r.servers[primaryID].update(func(s *server) { s.serviceTime = 100 * time.Millisecond })
		var wg sync.WaitGroup
		var mu sync.Mutex
		quick := 0
		for range 200 {
			wg.Go(func() {
				began := time.Now()
				reply := r.do(r.proxy.Open("strict", noKey), VerbRead, "READ")
				mu.Lock()
				defer mu.Unlock()
				if reply.Fault == core.FaultBusy && time.Since(began) < 200*time.Millisecond {
					quick++
				}
			})
			time.Sleep(2 * time.Millisecond)
		}
		wg.Wait()
		assert.Assert(t, quick > 50, "%d of 200 were refused within 200 ms", quick)
	})
}

// Guards against VMs that use up an upstream's connections, and against relaying where each VM could
// dial directly: 6 to 9 VMs share 22 connections, or 74 VMs share 46.
func TestPlanPath(t *testing.T) {
	vms := func(n int) []core.VM {
		var out []core.VM
		for i := range n {
			out = append(out, core.VM{ID: core.VMID(fmt.Sprintf("vm-%02d", i)), FailureDomain: "here", Relay: "x"})
		}
		return out
	}
	u := topo.Upstream{UpstreamInfo: core.UpstreamInfo{ID: "u", FailureDomain: "here"}}
	assert.Equal(t, len(planPath("vm-00", vms(6), u, connBudget{connections: 22}).owners), 0)
	// Three VMs were added, or the list still holds VMs that have stopped.
	assert.Equal(t, len(planPath("vm-00", vms(9), u, connBudget{connections: 22}).owners), 0)
	owners := map[core.VMID]int{}
	for _, vm := range vms(74) {
		p := planPath(vm.ID, vms(74), u, connBudget{connections: 46})
		if len(p.owners) == 0 {
			owners[vm.ID]++
			assert.Assert(t, p.conns < 46, "an owner must leave connections to its successor")
			continue
		}
		assert.Assert(t, p.owners[0].ID != vm.ID)
	}
	assert.Equal(t, len(owners), 1, "one VM must own the upstream: %v", owners)
}

// manyVMs returns more VMs than can dial directly, without the VM of the harness.
func manyVMs() []core.VM {
	var out []core.VM
	for i := range 40 {
		out = append(out, core.VM{ID: core.VMID(fmt.Sprintf("other-%02d", i)), FailureDomain: "here", Relay: "x"})
	}
	return out
}

// Guards against statements that wait for an owner which is paused or unreachable, and against a direct
// connection of each VM to the upstream in that case.
func TestOwnerUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, manyVMs()...)
		began := time.Now()
		r.must(r.proxy.Open("own", noKey), VerbWrite, "WRITE 1")
		assert.Assert(t, time.Since(began) < 700*time.Millisecond, "took %v", time.Since(began))
		began = time.Now()
		r.must(r.proxy.Open("own", noKey), VerbWrite, "WRITE 2")
		assert.Assert(t, time.Since(began) < 50*time.Millisecond, "an owner that did not answer must be skipped for a while")
		r.surge("strict", 5*time.Millisecond, time.Second)
		assert.Assert(t, r.dials.Load() <= 3*maxFallbackConns, "%d direct connections", r.dials.Load())
	})
}

// Guards against direct connections that stay in use after the owner is reachable again.
func TestReturnToReachableOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, manyVMs()...)
		r.must(r.proxy.Open("own", noKey), VerbWrite, "WRITE 1")
		ownerDials := 0
		r.owner = func(id core.UpstreamID) (core.LineConn, error) {
			ownerDials++
			return r.relayConn(id)
		}
		time.Sleep(suspectTTL)
		direct := r.dials.Load()
		r.must(r.proxy.Open("own", noKey), VerbWrite, "WRITE 2")
		assert.Equal(t, ownerDials, 1)
		assert.Equal(t, r.dials.Load(), direct)
	})
}

// otherVMs returns few enough VMs for direct connections.
func otherVMs() []core.VM {
	return []core.VM{
		{ID: "vm-2", FailureDomain: "here", Region: "home", Relay: "x"},
		{ID: "vm-3", FailureDomain: "there", Region: "away", Relay: "x"},
	}
}

// Guards against a VM without connections that refuses its callers while other VMs have idle ones:
// after all VMs lost power, an upstream counts the old connections against its limit for 3 s, and the
// VMs that dial first get the rest.
func TestRelayAtConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, otherVMs()...)
		r.owner = r.relayConn
		r.full.Store(true)
		faults := r.surge("strict", 10*time.Millisecond, time.Second)
		assert.Equal(t, faults[core.FaultNone], 100, "%v", faults)
		r.full.Store(false)
		time.Sleep(connIdleTimeout + maxDialBackoff)
		r.surge("strict", 10*time.Millisecond, time.Second)
		assert.Assert(t, r.dials.Load() > 0, "the VM must dial again once the upstream accepts connections")
	})
}

// Guards against forwarding a relayed statement once more: VMs that all lack connections would forward
// it in a circle until its deadline.
func TestRelayedStatementsAreNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, otherVMs()...)
		ownerDials := 0
		r.full.Store(true)
		r.owner = func(id core.UpstreamID) (core.LineConn, error) {
			ownerDials++
			return r.relayConn(id)
		}
		relay, _, ok := r.proxy.OpenRelay(primaryID)
		assert.Assert(t, ok)
		read := core.Command{Op: core.OpForward, ID: "q", Text: "READ 1", Kind: "strict"}
		ans := relay.Execute(t.Context(), read, time.Now().Add(300*time.Millisecond))
		assert.Equal(t, ans.Fault, core.FaultOverload)
		assert.Equal(t, ownerDials, 0)
		_, _, ok = r.proxy.OpenRelay(primaryID)
		assert.Assert(t, !ok, "a VM without connections must not relay")
	})
}

// Guards against a replica that counts as failed because its connections are all in use: after its
// primary had crashed, a group had no primary for 4 s, since the busiest replica couldn't be probed.
func TestProbeOfReplicaAtConnectionLimit(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		r.must(r.proxy.Open("strict", noKey), VerbRead, "READ 0")
		r.servers[nearID].update(func(s *server) { s.serviceTime = 120 * time.Millisecond })
		var wg sync.WaitGroup
		defer wg.Wait()
		for range maxConns {
			wg.Go(func() { r.must(r.proxy.Open("bounded", noKey), VerbRead, "READ 1") })
		}
		time.Sleep(10 * time.Millisecond)
		r.full.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		res, err := r.proxy.Probe(ctx, nearID)
		assert.NilError(t, err)
		assert.Assert(t, !res.Leads && !res.Log.IsZero())
	})
}

// Guards against a VM that refuses its callers and replaces a working primary because only this VM is
// cut off from it.
func TestCutOffFromPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, otherVMs()...)
		r.owner = r.relayConn
		r.unreachable = map[core.UpstreamID]bool{primaryID: true}
		time.Sleep(2 * dialTimeout)
		began := time.Now()
		r.must(r.proxy.Open("own", noKey), VerbWrite, "WRITE 1")
		t.Logf("first write after %v", time.Since(began))
		faults := r.surge("strict", 10*time.Millisecond, 2*time.Second)
		assert.Equal(t, faults[core.FaultNone], 200, "%v", faults)
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		res, err := r.proxy.Probe(ctx, primaryID)
		assert.NilError(t, err)
		assert.Assert(t, res.Leads)
	})
}

// Guards against a relayed statement that waits in the owner's queue until its deadline: the VM that
// sent it has timed out when the refusal arrives, and reports an unknown outcome.
func TestRelayedStatementIsRefusedInTime(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		r.servers[primaryID].update(func(s *server) { s.serviceTime = 700 * time.Millisecond })
		var wg sync.WaitGroup
		defer wg.Wait()
		for range 3 + extraSlots {
			wg.Go(func() { r.do(r.proxy.Open("own", noKey), VerbWrite, "WRITE 1") })
		}
		time.Sleep(10 * time.Millisecond)
		relay, _, ok := r.proxy.OpenRelay(primaryID)
		assert.Assert(t, ok)
		began := time.Now()
		cmd := core.Command{Op: core.OpForward, ID: "q", Text: "WRITE 2", Kind: "own", StartBy: began.Add(200 * time.Millisecond)}
		ans := relay.Execute(t.Context(), cmd, began.Add(600*time.Millisecond))
		assert.Assert(t, ans.Fault.IsNotRun(), "%v", ans.Fault)
		assert.Assert(t, time.Since(began) <= 250*time.Millisecond, "refused after %v", time.Since(began))
	})
}

// Guards against reads that keep trying lagging replicas: where two replicas lagged by 6 s, lag
// refusals were a third of an upstream's statements. The replicas must be used again soon after they
// have caught up.
func TestBackoffFromLaggingReplicas(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		replicas := []core.UpstreamID{nearID, farID}
		for _, id := range replicas {
			r.servers[id].update(func(s *server) { s.log.Offset = 5 })
		}
		r.must(r.proxy.Open("strict", noKey), VerbRead, "READ 0")
		const length = 3 * time.Second
		faults := r.surge("bounded", 10*time.Millisecond, length)
		assert.Equal(t, faults[core.FaultNone], 300, "%v", faults)
		for _, id := range replicas {
			lagged := r.servers[id].lagged
			assert.Assert(t, lagged <= lagSkipCount+int(length/maxLagBackoff)+1, "%s was tried %d times", id, lagged)
			r.servers[id].update(func(s *server) { s.log.Offset = 10 })
		}
		time.Sleep(maxLagBackoff)
		before := len(r.texts(nearID))
		r.surge("bounded", 10*time.Millisecond, time.Second)
		assert.Assert(t, len(r.texts(nearID))-before > 90)
	})
}

// Guards against VMs that use up the connections of an upstream while its owner has none yet: 71 VMs
// that restarted at once opened two connections each, with a limit of 104. An owner that keeps refusing
// may be cut off itself, so direct connections must follow.
func TestOwnerAtConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, manyVMs()...)
		var refuse atomic.Bool
		refuse.Store(true)
		r.owner = func(id core.UpstreamID) (core.LineConn, error) {
			if refuse.Load() {
				return nil, &core.RefusedError{Upstream: id}
			}
			return r.relayConn(id)
		}
		r.surge("strict", 5*time.Millisecond, time.Second)
		assert.Equal(t, r.dials.Load(), int32(0))
		refuse.Store(false)
		time.Sleep(maxDialBackoff)
		r.must(r.proxy.Open("own", noKey), VerbWrite, "WRITE 1")
		assert.Equal(t, r.dials.Load(), int32(0))
		refuse.Store(true)
		time.Sleep(relayIdleTimeout + time.Second)
		r.surge("strict", 5*time.Millisecond, ownerRefusalWait+time.Second)
		assert.Assert(t, r.dials.Load() > 0)
		r.must(r.proxy.Open("own", noKey), VerbWrite, "WRITE 2")
	})
}

// Guards against a primary that counts as failed although no probe could be sent: its owners refuse,
// and it accepts no connection of this VM.
func TestProbeThatCannotBeSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, manyVMs()...)
		r.full.Store(true)
		r.owner = func(id core.UpstreamID) (core.LineConn, error) { return nil, &core.RefusedError{Upstream: id} }
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := r.proxy.Probe(ctx, primaryID)
		assert.Assert(t, errors.Is(err, lead.ErrProbeNotSent), "%v", err)
	})
}
