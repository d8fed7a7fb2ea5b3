package proxy

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
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
