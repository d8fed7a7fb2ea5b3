package proxy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// refuseSet makes the primary refuse the next n commands that set a session value.
func (r *harness) refuseSet(n int) {
	r.servers[primaryID].update(func(s *server) {
		s.refuse = func(c core.Command) core.Fault {
			if c.Op != core.OpSet || n == 0 {
				return core.FaultNone
			}
			n--
			return core.FaultBusy
		}
	})
}

// openAheadOfReplicas returns a session that has written what the replicas lack, and whose next statement needs a connection
// that is set up for it. The primary refuses the next n set-ups.
func (r *harness) openAheadOfReplicas(verb Verb, n int) *Session {
	s := r.proxy.Open("own", noKey)
	r.must(s, VerbWrite, "WRITE 1")
	s.Execute(r.t.Context(), &Statement{ID: "0", Verb: VerbSet, Name: "actor", Arg: "a"})
	r.refuseSet(n)
	if verb == VerbBeginRead {
		r.must(s, VerbBeginRead, "BEGIN READ")
	}
	return s
}

// Guards against reads that are refused after a few milliseconds, with most of their time left, because tries on lagging
// replicas and refused set-ups on the primary together used up the immediate retries, although waits lay between them.
func TestReadOutlastsRefusedSetUps(t *testing.T) {
	for _, verb := range []Verb{VerbRead, VerbBeginRead} {
		for refusals := range 7 {
			t.Run(fmt.Sprintf("verb %d, %d refusals", verb, refusals), func(t *testing.T) {
				inBubble(t, func(t *testing.T, r *harness) {
					s := r.openAheadOfReplicas(verb, refusals)
					r.must(s, VerbRead, "READ 1")
				})
			})
		}
	}
}

// Guards against telling a caller that an upstream lags, which it can't act upon, and against giving up early: while the
// primary refuses the set-up of connections and the replicas lack the caller's write, a read ends as busy, after its time to start.
func TestReadOfLaggingGroupIsBusy(t *testing.T) {
	for _, verb := range []Verb{VerbRead, VerbBeginRead} {
		t.Run(fmt.Sprintf("verb %d", verb), func(t *testing.T) {
			inBubble(t, func(t *testing.T, r *harness) {
				for i := range 20 {
					s := r.openAheadOfReplicas(verb, 1000)
					began := time.Now()
					reply := r.do(s, VerbRead, "READ 1")
					took := time.Since(began)
					r.refuseSet(0)
					assert.Equal(t, reply.Fault, core.FaultBusy, "read %d: %s", i, reply.Text)
					assert.Assert(t, took >= 300*time.Millisecond && took <= 400*time.Millisecond, "read %d was refused after %v", i, took)
					time.Sleep(time.Duration(i) * 7 * time.Millisecond)
				}
			})
		})
	}
}
