package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/topo"
)

// checkNothingHeld fails the test if a connection, a slot or an open transaction of an upstream is held although no
// session is open.
func (r *harness) checkNothingHeld() {
	r.t.Helper()
	r.proxy.mu.Lock()
	defer r.proxy.mu.Unlock()
	for id, n := range r.proxy.nodes {
		q := n.queue.Dump()
		assert.Equal(r.t, q.Running+q.OpenTransactions+q.Waiting, 0, "queue of %s: %+v", id, q)
		assert.Equal(r.t, n.pending.Load(), int32(0), "%s", id)
		assert.Equal(r.t, n.direct.Stats().InUse+n.relayed.Stats().InUse, 0, "connections of %s", id)
	}
}

// setRoutes writes a new version of the configuration with these routes only.
func (r *harness) setRoutes(databases ...string) {
	cfg := r.dir.Snapshot().Config
	cfg.Version++
	cfg.Routes = map[string]topo.Route{}
	for _, database := range databases {
		cfg.Routes[database] = testRoute(database, topo.ReadYourWrites, time.Second)
	}
	r.dir.Apply(cfg)
}

// Guards against a transaction that is refused because its route changes: a change applies from the next one on.
func TestTransactionKeepsItsRoute(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		s := r.proxy.Open("own", noKey)
		r.must(s, VerbBegin, "BEGIN")
		r.must(s, VerbWrite, "WRITE 1")
		r.setRoutes("strict")
		r.must(s, VerbWrite, "WRITE 2")
		r.must(s, VerbCommit, "COMMIT")
		assert.DeepEqual(t, r.texts(primaryID), []string{"WRITE 1", "WRITE 2", "COMMIT"})
		assert.Equal(t, r.do(s, VerbWrite, "WRITE 3").Fault, core.FaultNoDatabase)
		r.must(s, VerbBegin, "BEGIN")
		assert.Equal(t, r.do(s, VerbWrite, "WRITE 4").Fault, core.FaultNoDatabase)
		assert.Equal(t, r.do(s, VerbCommit, "COMMIT").Fault, core.FaultAborted)
		s.Close()
		r.checkNothingHeld()
	})
}

// Guards against a failed transaction that keeps its upstream connection and its place in the queue, so that after two
// of them no transaction of the group is served any more. Each way in which a transaction fails is followed by each way in
// which it ends.
func TestFailedTransactionHoldsNothing(t *testing.T) {
	failures := map[string]func(r *harness, s *Session){
		"unknown prepared statement": func(r *harness, s *Session) {
			reply := s.Execute(r.t.Context(), &Statement{ID: "1", Verb: VerbExecute, Name: "none"})
			assert.Equal(r.t, reply.Fault, core.FaultUnprepared)
		},
		"abort": func(_ *harness, s *Session) { s.Abort("idle") },
		"lost connection": func(r *harness, s *Session) {
			r.servers[primaryID].update(func(s *server) { s.broken = true })
			assert.Equal(r.t, r.do(s, VerbWrite, "WRITE 2").Fault, core.FaultAborted)
			r.servers[primaryID].update(func(s *server) { s.broken = false })
		},
	}
	ends := map[string]func(r *harness, s *Session){
		"commit":   func(r *harness, s *Session) { r.do(s, VerbCommit, "COMMIT") },
		"rollback": func(r *harness, s *Session) { r.must(s, VerbRollback, "ROLLBACK") },
		"close":    func(_ *harness, s *Session) { s.Close() },
		"silence":  func(*harness, *Session) {},
	}
	t.Run("open transaction", func(t *testing.T) {
		inBubble(t, func(t *testing.T, r *harness) {
			for _, end := range []string{"commit", "rollback", "close"} {
				s := r.proxy.Open("own", noKey)
				r.must(s, VerbBegin, "BEGIN")
				r.must(s, VerbWrite, "WRITE 1")
				ends[end](r, s)
				r.checkNothingHeld()
			}
		})
	})
	for failure, fail := range failures {
		for end, finish := range ends {
			t.Run(failure+", "+end, func(t *testing.T) {
				inBubble(t, func(t *testing.T, r *harness) {
					for range 2 * maxConns {
						s := r.proxy.Open("own", noKey)
						r.must(s, VerbBegin, "BEGIN")
						r.must(s, VerbWrite, "WRITE 1")
						fail(r, s)
						assert.Assert(t, !s.Busy() && s.TxIdle() == 0)
						finish(r, s)
					}
					r.checkNothingHeld()
				})
			})
		}
	}
}
