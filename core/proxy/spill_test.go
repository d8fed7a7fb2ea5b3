package proxy

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// spillResult is what callers got in a replay of a load pattern.
type spillResult struct {
	// late are reads that took longer than the objective, and refused those that got no answer.
	late, refused int
	// served and left count the reads that ran, and those of them that ran in another failure domain.
	served, left int
}

// replaySpill sends reads of many VMs through the owners of a group's upstreams for three seconds: here reads a second from
// the failure domain of the near ones, and there from that of the far one. Each VM has few statements. Owners know
// their queues; with before, what they tell is removed, as for VMs of an earlier version.
func replaySpill(t *testing.T, here, there int, before bool) spillResult {
	t.Helper()
	const (
		objective = 200 * time.Millisecond
		vms       = 12
	)
	var out spillResult
	synctest.Test(t, func(t *testing.T) {
		owner := newHarness(t)
		for _, s := range owner.servers {
			s.update(func(s *server) { s.serviceTime = 28 * time.Millisecond })
		}
		owner.must(owner.proxy.Open("strict", noKey), VerbRead, "READ 0")
		var mu sync.Mutex
		var wg sync.WaitGroup
		send := func(domain core.FailureDomain, perSecond int) {
			var readers []*harness
			for range vms {
				r := newHarnessIn(t, domain, manyVMs()...)
				r.relaysWithHops(owner, domain, before)
				readers = append(readers, r)
			}
			wg.Go(func() {
				for i := range 3 * perSecond {
					wg.Go(func() {
						r := readers[i%vms]
						began := time.Now()
						reply := r.do(r.proxy.Open("bounded", noKey), VerbRead, fmt.Sprintf("READ %s %d", domain, i))
						mu.Lock()
						defer mu.Unlock()
						switch {
						case reply.Fault != core.FaultNone:
							out.refused++
						case time.Since(began) > objective:
							out.late++
						}
					})
					time.Sleep(time.Second / time.Duration(perSecond))
				}
			})
		}
		send("here", here)
		if there > 0 {
			send("there", there)
		}
		wg.Wait()
		for id, s := range owner.servers {
			for _, x := range s.runs() {
				out.served++
				if strings.HasPrefix(x.Text, "READ here") == (id == farID) {
					out.left++
				}
			}
		}
	})
	return out
}

// relaysWithHops makes the VM reach the upstreams through the owner's proxy, with a round trip to other failure domains.
func (r *harness) relaysWithHops(owner *harness, domain core.FailureDomain, before bool) {
	r.owner = func(id core.UpstreamID) (core.LineConn, error) {
		relay, _, ok := owner.proxy.OpenRelay(id)
		if !ok {
			return nil, &core.RefusedError{Upstream: id}
		}
		l := &relayLine{relay: relay}
		if (id == farID) != (domain == "there") {
			l.hop = interRegionRTT
		}
		if before {
			l.before = func(ans *core.Answer) { ans.Load = core.Load{} }
			l.ignoresPatience = true
		}
		return l, nil
	}
}

// Guards against reads that wait at the nearest upstream while another one has room. Load pattern: a surge in one failure
// domain, spread over so many VMs that none of them sees the queue. An upstream with four statements in progress serves
// 143 reads a second. The baseline is the choice by what each VM measures itself.
func TestSurgeOfManyVMsLeavesItsDomain(t *testing.T) {
	now, before := replaySpill(t, 330, 0, false), replaySpill(t, 330, 0, true)
	t.Logf("now %+v, before %+v", now, before)
	assert.Equal(t, now.late+now.refused, 0, "%+v", now)
	assert.Assert(t, before.late+before.refused > 100, "the baseline: %+v", before)
}

// Guards against work that leaves its failure domain without need, and against two failure domains that send to each
// other while both have a queue. In the second load both get 5% more than their upstreams serve.
func TestDomainsDoNotSendToEachOther(t *testing.T) {
	for _, load := range []struct{ here, there int }{{100, 60}, {300, 150}} {
		now, before := replaySpill(t, load.here, load.there, false), replaySpill(t, load.here, load.there, true)
		t.Logf("%+v: now %+v, before %+v", load, now, before)
		assert.Assert(t, now.left <= now.served/16 && now.left <= before.left, "%+v: now %+v, before %+v", load, now, before)
		assert.Assert(t, now.late+now.refused <= before.late+before.refused, "%+v: now %+v, before %+v", load, now, before)
	}
}

// Guards against writes that wait behind reads which a replica would serve. Load
// pattern: a surge of reads in the failure domain of the primary, with one replica that lags.
func TestReadsKeepSlotsOfPrimaryFree(t *testing.T) {
	worst := func(before bool) (worst time.Duration, refused int) {
		synctest.Test(t, func(t *testing.T) {
			owner := newHarness(t)
			owner.servers[nearID].update(func(s *server) { s.log = core.Position{} })
			for _, s := range owner.servers {
				s.update(func(s *server) { s.serviceTime = 28 * time.Millisecond })
			}
			owner.must(owner.proxy.Open("strict", noKey), VerbRead, "READ 0")
			var wg sync.WaitGroup
			for range 12 {
				r := newHarnessIn(t, "here", manyVMs()...)
				r.relaysWithHops(owner, "here", before)
				wg.Go(func() { r.surge("bounded", 50*time.Millisecond, 3*time.Second) })
			}
			strict := newHarnessIn(t, "here", manyVMs()...)
			strict.relaysWithHops(owner, "here", before)
			for range 50 {
				began := time.Now()
				if strict.do(strict.proxy.Open("bounded", noKey), VerbWrite, "WRITE 1").Fault != core.FaultNone {
					refused++
				}
				worst = max(worst, time.Since(began))
				log := core.Position{Term: 2}
				owner.servers[farID].update(func(s *server) { s.log = log })
				time.Sleep(50 * time.Millisecond)
			}
			wg.Wait()
		})
		return worst, refused
	}
	now, refused := worst(false)
	before, refusedBefore := worst(true)
	t.Logf("now %v, %d refused; before %v, %d refused", now, refused, before, refusedBefore)
	assert.Assert(t, now < 100*time.Millisecond, "%v", now)
	assert.Equal(t, refused, 0)
	assert.Assert(t, before > now, "the baseline: %v", before)
}

// Guards against reads that go on trying a replica which refuses every second statement while its health is good. The
// baseline is an owner that doesn't tell it.
func TestUpstreamThatFailsPartOfItsRequests(t *testing.T) {
	tries := func(before bool) (n int) {
		inBubble(t, func(t *testing.T, owner *harness) {
			owner.must(owner.proxy.Open("strict", noKey), VerbRead, "READ 0")
			near := owner.servers[nearID]
			for i := range 200 {
				r := newHarnessIn(t, "here", manyVMs()...)
				r.relaysWithHops(owner, "here", before)
				for range 4 {
					near.update(func(s *server) { s.busy = i % 2 })
					refusals := near.busy
					r.must(r.proxy.Open("bounded", noKey), VerbRead, "READ 1")
					n += refusals - near.busy
				}
			}
		})
		return n
	}
	now, before := tries(false), tries(true)
	t.Logf("now %d, before %d tries in vain", now, before)
	assert.Assert(t, now*3 < before*2, "now %d, before %d", now, before)
}
