package peers

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"snipewall/core"
)

// Guards against members whose views stay different, and against a live member that stays dead, after any
// sequence of suspicions, deaths, marks, stops and lost messages.
func TestStatesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		states := make([]*state, rapid.IntRange(2, 6).Draw(t, "members"))
		for i := range states {
			vm := core.VM{ID: core.VMID(fmt.Sprint(i)), Control: fmt.Sprint(i)}
			states[i] = newState(vm, uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")))
		}
		pick := rapid.IntRange(0, len(states)-1)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Second)
			a, b := states[pick.Draw(t, "a")], states[pick.Draw(t, "b")]
			switch rapid.SampledFrom([]string{"tell", "tell", "sync", "suspect", "expire", "mark", "leave"}).Draw(t, "step") {
			case "tell":
				updates, marks := a.nextMessage(now)
				receiveAll(b, append(updates, a.selfUpdate()), marks, now)
			case "sync":
				updates, marks := a.fullState(now)
				receiveAll(b, append(updates, a.selfUpdate()), marks, now)
			case "suspect":
				a.markSuspect(b.self.ID, now)
			case "expire":
				a.expireSuspects(now, 5*time.Second)
			case "mark":
				a.setMark(Mark{Upstream: "ledger-1", Leaving: rapid.Bool().Draw(t, "leaving")})
			case "leave":
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					a.markLeft()
				}
			}
		}
		// Messages are no longer lost: all members sync with each other a few times.
		for range 4 * len(states) {
			for _, a := range states {
				for _, b := range states {
					updates, marks := a.fullState(now)
					g := Gossip{Self: a.selfUpdate(), Updates: updates, Marks: marks}
					back, backMarks := b.missingFrom(g, now)
					receiveAll(b, append(updates, a.selfUpdate()), marks, now)
					receiveAll(a, append(back, b.selfUpdate()), backMarks, now)
				}
			}
		}
		live := 0
		for _, s := range states {
			if !s.left {
				live++
			}
		}
		for _, s := range states {
			assert.Equal(t, s.digest(), states[0].digest())
			assert.Equal(t, len(s.view().alive), live)
			assert.DeepEqual(t, s.view().leaving, states[0].view().leaving)
		}
	})
}

func receiveAll(s *state, updates []Update, marks []Mark, now time.Time) {
	for _, u := range updates {
		s.apply(u, now)
	}
	for _, m := range marks {
		s.applyMark(m, now)
	}
}

// Guards against records from the network that overflow counters or lack their subject.
func TestStateIgnoresBrokenRecords(t *testing.T) {
	s := newState(core.VM{ID: "a", Control: "a"}, 1)
	now := time.Now()
	for _, u := range []Update{
		{VM: core.VM{ID: "a"}, Status: StatusDead, Incarnation: ^uint64(0)},
		{VM: core.VM{Control: "x"}},
		{VM: core.VM{ID: "b"}},
		{VM: core.VM{ID: "b", Control: "b"}, Status: 9},
		{VM: core.VM{ID: "b", Control: "b"}, Status: StatusSuspect},
	} {
		assert.Assert(t, !s.apply(u, now), "%+v", u)
	}
	for _, m := range []Mark{{Stamp: 1, Leaving: true}, {Upstream: "u", VM: "v", Stamp: 1}, {Upstream: "u", Source: 7, Stamp: 1}, {Upstream: "u", Stamp: ^uint64(0)}} {
		assert.Assert(t, !s.applyMark(m, now), "%+v", m)
	}
	assert.Equal(t, s.incarnation, uint64(1))
	assert.Equal(t, s.size(), 1)
}
