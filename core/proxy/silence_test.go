package proxy

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against statements that go on losing their answers after the open connections to an owner have fallen silent, while
// its port still accepts new ones: reads must be answered by another VM, and of the writes only those under way may be in doubt.
func TestSilentConnectionsToOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, work = 8, 12 * time.Second
		owner := newHarness(t)
		r := newHarness(t, manyVMs()...)
		r.servers = owner.servers
		n, _ := r.proxy.lookup(primaryID)
		first := n.path.owners[0].ID
		var silenced, others disturbance
		r.ownerOf = func(vm core.VM, id core.UpstreamID) (core.LineConn, error) {
			relay, _, ok := owner.proxy.OpenRelay(id)
			assert.Assert(t, ok)
			lc := &relayLine{relay: relay, hop: 2 * time.Millisecond}
			if vm.ID == first {
				return silenced.wrap(lc), nil
			}
			return others.wrap(lc), nil
		}
		var mu sync.Mutex
		var silentAt time.Time
		inDoubt := 0
		var wg sync.WaitGroup
		ends := time.Now().Add(work)
		for i := range callers {
			wg.Go(func() {
				s := r.proxy.Open("own", noKey)
				for j := 0; time.Now().Before(ends); j++ {
					verb, word := VerbWrite, "WRITE"
					if i%2 == 1 {
						verb, word = VerbRead, "READ"
					}
					began := time.Now()
					reply := r.do(s, verb, fmt.Sprintf("%s %d %d", word, i, j))
					took := time.Since(began)
					mu.Lock()
					if isAfter := !silentAt.IsZero() && began.Sub(silentAt) > 50*time.Millisecond; isAfter || verb == VerbRead {
						assert.Check(t, reply.Fault == core.FaultNone && took <= 2*minHedgeDelay, "%s %d: %s after %v", word, j, reply.Fault, took)
					} else if reply.Fault != core.FaultNone {
						inDoubt++
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		time.Sleep(time.Second)
		mu.Lock()
		silentAt = time.Now()
		mu.Unlock()
		silenced.set(func(core.Command) outage { return silent })
		wg.Wait()
		assert.Assert(t, inDoubt > 0 && inDoubt <= callers/2, "%d writes in doubt", inDoubt)
	})
}
