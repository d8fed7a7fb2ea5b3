package proxy

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/topo"
)

// Guards against taking what a replica has applied for what it has received, directly and through another VM.
func TestInspectTellsReceivedLog(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newHarness(t, core.VM{ID: "vm-2", FailureDomain: "here", Region: "home", Relay: "relay"})
			if relayed {
				r.unreachable = map[core.UpstreamID]bool{farID: true}
				r.owner = r.relayConn
			}
			end := core.Position{Term: 1, Offset: 99}
			r.servers[farID].update(func(s *server) { s.received = end })
			res, err := r.proxy.Inspect(probeContext(t), farID)
			assert.NilError(t, err)
			assert.Assert(t, res.IsReceivedKnown && !res.Leads)
			assert.Equal(t, res.End(), end)
			assert.Equal(t, res.Log, core.Position{Term: 1, Offset: 10})
		})
	}
}

// Guards against a VM that relays a question about the received log as a caller's statement, or drops its answer.
func TestRelayTellsReceivedLog(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		r.servers[nearID].update(func(s *server) { s.received = core.Position{Term: 1, Offset: 99} })
		relay, _, ok := r.proxy.OpenRelay(nearID)
		assert.Assert(t, ok)
		ans := relay.Execute(t.Context(), core.Command{Op: core.OpStatus}, time.Now().Add(time.Second))
		assert.Equal(t, ans.Fault, core.FaultNone)
		assert.Equal(t, ans.Received, core.Position{Term: 1, Offset: 99})
		assert.Equal(t, len(r.texts(nearID)), 0)
	})
}

// Guards against an upstream that counts as silent, or as empty, while it has no free slot to tell what it has received.
func TestInspectWithoutSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t)
		r.servers[nearID].update(func(s *server) { s.noSlot, s.received = true, core.Position{Term: 1, Offset: 99} })
		res, err := r.proxy.Inspect(probeContext(t), nearID)
		assert.NilError(t, err)
		assert.Assert(t, !res.IsReceivedKnown)
		assert.Equal(t, res.End(), core.Position{Term: 1, Offset: 10})
	})
}

// Guards against using a leaving primary for longer, or forgetting that an upstream fails, because the list of VMs changes
// and with it the path to the upstream.
func TestNewPathKeepsStateOfUpstream(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		u := r.dir.Snapshot().Upstreams[primaryID]
		u.Leaving = true
		r.dir.Put(u)
		time.Sleep(leavingGrace / 2)
		n, _ := r.proxy.lookup(primaryID)
		n.noteFailure(nil)
		// Each further VM takes a share of the 20 connections, so that the path changes.
		for i := range 10 {
			r.alive = append(r.alive, core.VM{ID: core.VMID(fmt.Sprintf("vm-x%d", i)), FailureDomain: "there", Relay: "relay"})
			r.proxy.reconcile(r.dir.Snapshot())
		}
		other, _ := r.proxy.lookup(primaryID)
		assert.Assert(t, other != n)
		assert.Equal(t, other.failures, 1)
		assert.Assert(t, r.proxy.group("g").primary(time.Now()) == other)
		time.Sleep(leavingGrace/2 + 10*time.Millisecond)
		assert.Assert(t, r.proxy.group("g").primary(time.Now()) == nil, "the leaving primary is used for too long")
		// Another incarnation starts without the state.
		u.Born, u.Leaving = 2, false
		r.dir.Put(u)
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, r.proxy.group("g").primary(time.Now()) != nil)
	})
}

// Guards against replacing a primary that works, because this VM and the one through which it probes are cut off from it. The
// others reach it.
func TestProbeThroughSeveralVMs(t *testing.T) {
	for cutOff := range maxProbePeers + 1 {
		synctest.Test(t, func(t *testing.T) {
			var others []core.VM
			for i := range 8 {
				domain := []core.FailureDomain{"here", "there"}[i%2]
				others = append(others, core.VM{ID: core.VMID(fmt.Sprintf("vm-%d", i+2)), FailureDomain: domain, Region: testRegions[domain], Relay: "relay"})
			}
			r := newHarness(t, others...)
			r.unreachable = map[core.UpstreamID]bool{primaryID: true}
			n, _ := r.proxy.lookup(primaryID)
			first := r.proxy.relayOrder(primaryID)[0]
			cut := map[core.VMID]bool{}
			for _, vm := range append([]core.VM{first}, n.otherPeers(first.ID)...)[:cutOff] {
				cut[vm.ID] = true
			}
			var mu sync.Mutex
			asked := map[core.VMID]bool{}
			r.ownerOf = func(vm core.VM, id core.UpstreamID) (core.LineConn, error) {
				mu.Lock()
				asked[vm.ID] = true
				mu.Unlock()
				lc, err := r.relayConn(id)
				if cut[vm.ID] {
					lc = &disturbedConn{LineConn: lc, d: &disturbance{}, silent: true}
				}
				return lc, err
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			res, err := r.proxy.Probe(ctx, primaryID)
			assert.Equal(t, err == nil && res.Leads, cutOff < maxProbePeers, "%d VMs cut off: %v", cutOff, err)
			time.Sleep(time.Second)
			mu.Lock()
			defer mu.Unlock()
			assert.Assert(t, len(asked) <= maxProbePeers, "%v", asked)
		})
	}
}

// Guards against a relay that refuses everything once this VM's path to the upstream has changed.
func TestRelayFollowsNewPath(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		relay, _, ok := r.proxy.OpenRelay(primaryID)
		assert.Assert(t, ok)
		deadline := time.Now().Add(time.Minute)
		read := core.Command{Op: core.OpForward, ID: "1", Text: "READ 1", Kind: "own"}
		assert.Equal(t, relay.Execute(t.Context(), read, deadline).Fault, core.FaultNone)
		old, _ := r.proxy.lookup(primaryID)
		for i := range 10 {
			r.alive = append(r.alive, core.VM{ID: core.VMID(fmt.Sprintf("vm-x%d", i)), FailureDomain: "there", Relay: "relay"})
		}
		r.proxy.reconcile(r.dir.Snapshot())
		n, _ := r.proxy.lookup(primaryID)
		assert.Assert(t, n != old)
		// The queue and the pools of the old node end.
		time.Sleep(10 * time.Millisecond)
		ans := relay.Execute(t.Context(), read, deadline)
		assert.Equal(t, ans.Fault, core.FaultNone, ans.Text)
	})
}

// Guards against a VM that meets a primary which is leaving already, and counts the time for which it may be used too late.
func TestNewNodeOfLeavingUpstream(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		u := r.dir.Snapshot().Upstreams[primaryID]
		u.Born, u.Leaving = 2, true
		time.Sleep(10 * time.Millisecond)
		r.dir.Put(u)
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, r.proxy.group("g").primary(time.Now()) != nil)
		time.Sleep(leavingGrace)
		assert.Assert(t, r.proxy.group("g").primary(time.Now()) == nil)
	})
}

// Guards against a driver that doesn't learn that commits wait for replicas, or which replicas are draining.
func TestDriverViewOfReplicas(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		cfg := r.dir.Snapshot().Config
		cfg.Version++
		cfg.Groups = map[core.GroupID]topo.Group{"g": {ID: "g", Connections: 20, SyncReplicas: 1}}
		r.dir.Apply(cfg)
		u := r.dir.Snapshot().Upstreams[farID]
		u.Leaving = true
		r.dir.Put(u)
		time.Sleep(10 * time.Millisecond)
		g := r.proxy.State()[0]
		assert.Equal(t, g.SyncReplicas, 1)
		assert.Equal(t, g.Members, 3)
		assert.DeepEqual(t, g.Replicas, []core.UpstreamID{nearID})
		assert.DeepEqual(t, g.Draining, []core.UpstreamID{farID})
	})
}

// Guards against using a leaving primary for longer than the deployment allows.
func TestLeavingGrace(t *testing.T) {
	for target, want := range map[time.Duration]time.Duration{
		0: leavingGrace, 10 * time.Second: leavingGrace, 7 * time.Second: leavingGrace, 6 * time.Second: 4 * time.Second,
		3 * time.Second: 1500 * time.Millisecond, time.Second: 500 * time.Millisecond,
	} {
		assert.Equal(t, leavingGraceFor(target), want, "%v", target)
	}
}
