package proxy

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a VM whose memory grows with each statement that another VM prepares through it, and against a relayed
// statement that is unknown, or runs another text, after its text was dropped.
func TestRelayKeepsFewTexts(t *testing.T) {
	for _, size := range []int{20, 1 << 10, maxKeptTexts / 2, maxKeptTexts, 500 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner := newHarness(t)
				other := newHarness(t, manyVMs()...)
				other.relaysTo(owner, nil)
				relays := other.relayLines()
				s := other.proxy.Open("own", noKey)
				text := func(i int) string { return fmt.Sprintf("WRITE %06d%s", i, strings.Repeat("x", size)) }
				prepare := func(i int) {
					s.Execute(t.Context(), &Statement{ID: "1", Verb: VerbPrepare, Name: fmt.Sprint(i % 40), Arg: text(i), Write: true})
				}
				const count = 400
				began := time.Now()
				for i := range count {
					prepare(i)
					// Both the newest statement and an old one run.
					for _, j := range []int{i, max(0, i-39)} {
						reply := s.Execute(t.Context(), &Statement{ID: "1", Verb: VerbExecute, Name: fmt.Sprint(j % 40), Arg: "y"})
						assert.Equal(t, int(reply.Fault), 0, reply.Text)
					}
				}
				if size >= maxKeptTexts {
					took, limit := time.Since(began), 2*count*(owner.servers[primaryID].serviceTime+retryDelay/2)
					assert.Assert(t, took < limit, "%v, limit %v: a text that isn't kept is sent at once, not after a refusal", took, limit)
				}
				runs := owner.servers[primaryID].runs()
				assert.Equal(t, len(runs), 2*count)
				for i := range count {
					assert.Equal(t, runs[2*i].Text, text(i)+" y")
					assert.Equal(t, runs[2*i+1].Text, text(max(0, i-39))+" y")
				}
				assert.Assert(t, len(*relays) > 0)
				for _, l := range *relays {
					assert.Assert(t, l.relay.StateBytes() <= maxKeptTexts, "a relay keeps %d bytes", l.relay.StateBytes())
				}
			})
		})
	}
}
