package proxy

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/topo"
)

func inBubble(t *testing.T, test func(t *testing.T, r *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t, newHarness(t)) })
}

// Guards against a strict read on an upstream that no longer leads: its log lacks later commits.
func TestStrictReadNeedsLeader(t *testing.T) {
	for _, canPipelineBegin := range []bool{false, true} {
		inBubble(t, func(t *testing.T, r *harness) {
			r.canPipelineBegin = canPipelineBegin
			r.servers[primaryID].update(func(s *server) { s.leads = false })
			s := r.proxy.Open("strict", noKey)
			reply := r.do(s, VerbRead, "READ 1")
			assert.Equal(t, reply.Fault, core.FaultBusy)
			if !canPipelineBegin {
				assert.Equal(t, len(r.servers[primaryID].runs()), 0)
			}
			assert.Equal(t, reply.Status, core.TxIdle)
		})
	}
}

// Guards against a transaction that must see the newest commits on an upstream that no longer leads, which accepts one that only
// reads.
func TestStrictTransactionNeedsLeader(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		r.servers[primaryID].update(func(s *server) { s.leads = false })
		for _, database := range []string{"strict", "bounded", "own"} {
			s := r.proxy.Open(database, noKey)
			r.must(s, VerbBegin, "BEGIN")
			assert.Equal(t, r.do(s, VerbRead, "READ 1").Fault, core.FaultBusy)
		}
		s := r.proxy.Open("strict", noKey)
		r.must(s, VerbBeginRead, "BEGIN READ")
		assert.Equal(t, r.do(s, VerbRead, "READ 2").Fault, core.FaultBusy)
		for id := range r.servers {
			assert.Equal(t, len(r.texts(id)), 0, "%s ran %v", id, r.texts(id))
		}
	})
}

// Guards against reads that miss commits acknowledged before their maximum age: the awaited position
// must come from a leader that was queried late enough.
func TestBoundedReadAwaitsSample(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		r.must(r.proxy.Open("strict", noKey), VerbRead, "READ 1")
		r.servers[primaryID].update(func(s *server) { s.log.Offset = 20 })
		s := r.proxy.Open("bounded", noKey)
		r.must(s, VerbRead, "READ 2")
		assert.DeepEqual(t, r.texts(nearID), []string{"READ 2"})
		// The sample at offset 10 is too old now, and the replica lacks the new position.
		time.Sleep(1600 * time.Millisecond)
		r.must(s, VerbRead, "READ 3")
		assert.DeepEqual(t, r.texts(nearID), []string{"READ 2"})
		assert.Equal(t, len(r.texts(farID)), 0)
	})
}

// Guards against an old sample that counts as recent because the monotonic clock stopped while the VM
// was suspended.
func TestSuspensionCountsTowardsSampleAge(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		r.must(r.proxy.Open("strict", noKey), VerbRead, "READ 1")
		r.servers[primaryID].update(func(s *server) { s.log.Offset = 20 })
		r.suspended.Store(int64(10 * time.Second))
		r.must(r.proxy.Open("bounded", noKey), VerbRead, "READ 2")
		assert.Equal(t, len(r.texts(nearID)), 0)
		assert.Equal(t, len(r.texts(farID)), 0)
	})
}

// Guards against a session that doesn't see its own commit on a lagging replica.
func TestReadYourOwnWrites(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		s := r.proxy.Open("own", noKey)
		r.must(s, VerbWrite, "WRITE 1 x")
		r.must(s, VerbRead, "READ 1")
		assert.DeepEqual(t, r.texts(primaryID), []string{"WRITE 1 x", "READ 1"})
		r.servers[nearID].update(func(s *server) { s.log.Offset = 11 })
		time.Sleep(2 * lagBackoff)
		r.must(s, VerbRead, "READ 2")
		assert.DeepEqual(t, r.texts(nearID), []string{"READ 2"})
	})
}

// Guards against running a write twice, and against reporting it as not run when it may have run.
func TestLostWriteIsInDoubt(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		r.servers[primaryID].update(func(s *server) { s.broken = true })
		reply := r.do(r.proxy.Open("own", noKey), VerbWrite, "WRITE 1 x")
		assert.Equal(t, reply.Fault, core.FaultInDoubt)
		assert.DeepEqual(t, r.texts(primaryID), []string{"WRITE 1 x"})
	})
}

// Guards against failing a write that an upstream was too busy to run.
func TestBusyWriteIsRetried(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		r.servers[primaryID].update(func(s *server) { s.busy = 2 })
		r.must(r.proxy.Open("own", noKey), VerbWrite, "WRITE 1 x")
		assert.DeepEqual(t, r.texts(primaryID), []string{"WRITE 1 x"})
	})
}

// Guards against a read with a lost answer that waits until its deadline.
func TestUnansweredReadIsRetriedElsewhere(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		r.must(r.proxy.Open("strict", noKey), VerbRead, "READ 0")
		r.servers[nearID].update(func(s *server) { s.silent = true })
		began := time.Now()
		r.must(r.proxy.Open("bounded", noKey), VerbRead, "READ 1")
		assert.Assert(t, time.Since(began) < 400*time.Millisecond, "took %v", time.Since(began))
	})
}

// setBoundedRoute replaces the routes by one with the objective and the statement timeout.
func (r *harness) setBoundedRoute(objective, timeout time.Duration) {
	cfg := r.dir.Snapshot().Config
	cfg.Version++
	route := testRoute("bounded", topo.Bounded, 1500*time.Millisecond)
	route.Objective, route.StatementTimeout = objective, timeout
	cfg.Routes = map[string]topo.Route{"bounded": route}
	r.dir.Apply(cfg)
}

// Guards against reads that end with TIMEOUT long before their time is over, although an upstream is about to answer: all upstreams
// turn slow at once, and no retry is allowed any more, either since it would begin too late for the route's objective or since
// the retry budget is spent.
func TestSlowReadAwaitsAnswer(t *testing.T) {
	const usual, slow = 5 * time.Millisecond, 220 * time.Millisecond
	for _, tt := range []struct {
		name      string
		objective time.Duration
		retries   int
	}{
		{"too late for a retry", 400 * time.Millisecond, retryBurst},
		{"retry budget spent", 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, r *harness) {
				r.setBoundedRoute(tt.objective, 3*time.Second)
				for i := range 10 {
					r.must(r.proxy.Open("bounded", noKey), VerbRead, fmt.Sprint("READ ", i))
				}
				for _, srv := range r.servers {
					srv.update(func(s *server) { s.serviceTime = slow })
				}
				for r.proxy.budget.Left() > float64(tt.retries) && r.proxy.budget.Withdraw() {
				}
				began := time.Now()
				r.must(r.proxy.Open("bounded", noKey), VerbRead, "READ slow")
				assert.Check(t, time.Since(began) <= 2*minHedgeDelay+slow+usual, "took %v", time.Since(began))
			})
		})
	}
}

// Guards against a read that is given up for a retry which gets no connection, while its answer is on the way.
func TestSlowReadWhileRetryHasNoConnection(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		r.setBoundedRoute(400*time.Millisecond, 3*time.Second)
		for i := range 3 {
			r.must(r.proxy.Open("bounded", noKey), VerbRead, fmt.Sprint("READ ", i))
		}
		for _, srv := range r.servers {
			srv.update(func(s *server) { s.serviceTime = 220 * time.Millisecond })
		}
		// The connections that exist go on, and no new one can be opened.
		r.unreachable = map[core.UpstreamID]bool{primaryID: true, nearID: true, farID: true}
		r.must(r.proxy.Open("bounded", noKey), VerbRead, "READ slow")
	})
}

// Guards against running a statement with the session values of another session.
func TestSessionValuesAreIsolated(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		a, b, c := r.proxy.Open("own", noKey), r.proxy.Open("own", noKey), r.proxy.Open("own", noKey)
		a.Execute(t.Context(), &Statement{ID: "1", Verb: VerbSet, Name: "zone", Arg: "a"})
		b.Execute(t.Context(), &Statement{ID: "1", Verb: VerbSet, Name: "lang", Arg: "b"})
		r.must(a, VerbWrite, "WRITE a")
		r.must(b, VerbWrite, "WRITE b")
		r.must(c, VerbWrite, "WRITE c")
		r.must(a, VerbWrite, "WRITE a")
		want := map[string]string{"WRITE a": "map[zone:a]", "WRITE b": "map[lang:b]", "WRITE c": "map[]"}
		for _, x := range r.servers[primaryID].runs() {
			assert.Equal(t, x.Values, want[x.Text], x.Text)
		}
	})
}

// Guards against running the prepared statement of another session with the same name.
func TestPreparedNamesCollide(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		a, b := r.proxy.Open("own", noKey), r.proxy.Open("own", noKey)
		for s, text := range map[*Session]string{a: "shape-a", b: "shape-b"} {
			s.Execute(t.Context(), &Statement{ID: "1", Verb: VerbPrepare, Name: "s1", Arg: text, Write: true})
		}
		for _, s := range []*Session{a, b, a} {
			reply := s.Execute(t.Context(), &Statement{ID: "2", Verb: VerbExecute, Name: "s1", Arg: "x"})
			assert.Equal(t, reply.Fault, core.FaultNone, reply.Text)
		}
		assert.DeepEqual(t, r.texts(primaryID), []string{"shape-a x", "shape-b x", "shape-a x"})
		reply := a.Execute(t.Context(), &Statement{ID: "3", Verb: VerbExecute, Name: "s2", Arg: "x"})
		assert.Equal(t, reply.Fault, core.FaultUnprepared)
	})
}

// Guards against stale reads on a VM whose callers only read, before upstreams whose answer to BEGIN tells no position: a
// missing position isn't one that every replica has.
func TestBeginWithoutPosition(t *testing.T) {
	for _, canPipelineBegin := range []bool{false, true} {
		inBubble(t, func(t *testing.T, r *harness) {
			r.canPipelineBegin = canPipelineBegin
			for _, srv := range r.servers {
				srv.update(func(s *server) { s.hidesBeginPosition = true })
			}
			end := core.Position{Term: 1, Offset: 50}
			r.servers[primaryID].update(func(s *server) { s.log = end })
			s := r.proxy.Open("bounded", noKey)
			for i := range 20 {
				r.must(s, VerbRead, fmt.Sprintf("READ %d", i))
				time.Sleep(100 * time.Millisecond)
			}
			for id := range r.servers {
				for _, x := range r.servers[id].runs() {
					assert.Assert(t, !x.Log.Less(end), "%s ran on %s with %v", x.Text, id, x.Log)
				}
			}
			// The answers of strict reads tell the position that replicas must have.
			r.servers[nearID].update(func(s *server) { s.log = end })
			time.Sleep(time.Second)
			for i := range 10 {
				r.must(s, VerbRead, fmt.Sprintf("READ near %d", i))
			}
			assert.Assert(t, len(r.texts(nearID)) > 5, "%d reads on the replica", len(r.texts(nearID)))
		})
	}
}

// Guards against idle sessions, and relays, that keep the memory of a large answer.
func TestIdleSessionKeepsNoLargeAnswer(t *testing.T) {
	for _, size := range []int{0, 100, maxIdleBody, maxIdleBody + 1, 3 << 20} {
		inBubble(t, func(t *testing.T, r *harness) {
			for _, srv := range r.servers {
				srv.update(func(s *server) { s.body = make([]byte, size) })
			}
			s := r.proxy.Open("own", noKey)
			assert.Equal(t, len(r.must(s, VerbWrite, "WRITE 1").Body), size)
			r.must(s, VerbBegin, "BEGIN")
			assert.Equal(t, len(r.must(s, VerbRead, "READ 1").Body), size)
			assert.Assert(t, cap(s.body) <= maxIdleBody)
			relay, _, _ := r.proxy.OpenRelay(primaryID)
			read := core.Command{Op: core.OpForward, ID: "1", Text: "READ 1", Kind: "own"}
			assert.Equal(t, len(relay.Execute(t.Context(), read, time.Now().Add(time.Second)).Body), size)
			assert.Assert(t, cap(relay.body) <= maxIdleBody)
		})
	}
}

// Guards against names that a caller's text ends early, or that two statements share.
func TestPreparedNames(t *testing.T) {
	seen := map[string]bool{}
	for _, text := range []string{"", "a", "a b", "a WRITE b", "A", "a\t", "\r\n", "a\x00", "\xff", strings.Repeat("x", 1<<20)} {
		for _, write := range []bool{false, true} {
			name := newPreparedStmt(write, text).name
			assert.Assert(t, !seen[name], "%q", text)
			assert.Assert(t, len(name) < 40 && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' }), "%q", name)
			seen[name] = true
		}
	}
}

// Guards against a transaction whose statements run on several connections or outside of it, and
// against statements of other sessions inside it.
func TestTransactionHasItsOwnConnection(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		a, b := r.proxy.Open("own", noKey), r.proxy.Open("own", noKey)
		r.must(a, VerbBegin, "BEGIN")
		r.must(a, VerbWrite, "WRITE a1")
		r.must(b, VerbWrite, "WRITE b1")
		r.must(a, VerbRead, "READ a2")
		r.must(b, VerbWrite, "WRITE b2")
		r.must(a, VerbCommit, "COMMIT")
		conns := map[string]int{}
		for _, x := range r.servers[primaryID].runs() {
			owner := "b"
			if x.Text == "COMMIT" || x.Text[len(x.Text)-2] == 'a' {
				owner = "a"
			}
			assert.Equal(t, x.InTx, owner == "a", x.Text)
			if n, ok := conns[owner]; ok {
				assert.Equal(t, x.Conn, n, x.Text)
			}
			conns[owner] = x.Conn
		}
		assert.Assert(t, conns["a"] != conns["b"])
	})
}

// Guards against reporting a transaction as rolled back after its COMMIT was sent, and as in doubt when
// it is certainly rolled back.
func TestTransactionOnLostConnection(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		s := r.proxy.Open("own", noKey)
		r.must(s, VerbBegin, "BEGIN")
		r.must(s, VerbWrite, "WRITE 1")
		r.servers[primaryID].update(func(s *server) { s.broken = true })
		reply := r.do(s, VerbWrite, "WRITE 2")
		assert.Equal(t, reply.Fault, core.FaultAborted)
		assert.Equal(t, reply.Status, core.TxFailed)
		assert.Equal(t, r.do(s, VerbRead, "READ 1").Fault, core.FaultMalformed)
		assert.Equal(t, r.must(s, VerbRollback, "ROLLBACK").Status, core.TxIdle)

		r.servers[primaryID].update(func(s *server) { s.broken = false })
		r.must(s, VerbBegin, "BEGIN")
		r.must(s, VerbWrite, "WRITE 3")
		r.servers[primaryID].update(func(s *server) { s.broken = true })
		reply = r.do(s, VerbCommit, "COMMIT")
		assert.Equal(t, reply.Fault, core.FaultInDoubt)
		assert.Equal(t, reply.Status, core.TxIdle)
	})
}

// Guards against idle transactions that hold connections which others need. Clients do pause inside
// transactions.
func TestAbortedTransaction(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		s := r.proxy.Open("own", noKey)
		assert.Equal(t, s.TxIdle(), time.Duration(0))
		r.must(s, VerbBegin, "BEGIN")
		assert.Equal(t, s.TxIdle(), time.Duration(0), "the transaction must not hold a connection yet")
		r.must(s, VerbWrite, "WRITE 1")
		assert.Equal(t, s.TxIdle(), time.Second)
		s.Abort("idle")
		assert.Assert(t, !s.Busy())
		assert.Equal(t, r.do(s, VerbWrite, "WRITE 2").Fault, core.FaultAborted)
		assert.Equal(t, r.do(s, VerbCommit, "COMMIT").Fault, core.FaultAborted)
		assert.Equal(t, s.Status(), core.TxIdle)
		assert.DeepEqual(t, r.texts(primaryID), []string{"WRITE 1"})
	})
}

// Guards against delaying statements when a group has been without a primary for too long to expect
// one, and against refusing statements that a promotion would serve in time.
func TestOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		setRole := func(role core.Role) {
			u := r.dir.Snapshot().Upstreams[primaryID]
			u.Role = role
			r.dir.Put(u)
			time.Sleep(time.Millisecond)
		}
		setRole(core.RoleReplica)
		s := r.proxy.Open("own", noKey)
		time.AfterFunc(300*time.Millisecond, func() { setRole(core.RolePrimary) })
		began := time.Now()
		r.must(s, VerbWrite, "WRITE 1")
		assert.Assert(t, time.Since(began) < 400*time.Millisecond)

		setRole(core.RoleReplica)
		for time.Since(began) < 5*time.Second {
			assert.Equal(t, r.do(s, VerbWrite, "WRITE 2").Fault, core.FaultBusy)
			time.Sleep(10 * time.Millisecond)
		}
		began = time.Now()
		assert.Equal(t, r.do(s, VerbWrite, "WRITE 3").Fault, core.FaultBusy)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// Guards against serving a route that was dropped, and against another fault than FaultNoDatabase for a
// missing route.
func TestRouteChanges(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		s := r.proxy.Open("own", noKey)
		r.must(s, VerbWrite, "WRITE 1")
		assert.Equal(t, r.proxy.Admit(t.Context(), "gone", noKey), core.FaultNoDatabase)
		cfg := r.dir.Snapshot().Config
		cfg.Version++
		cfg.Routes = map[string]topo.Route{"strict": cfg.Routes["strict"]}
		r.dir.Apply(cfg)
		assert.Equal(t, r.do(s, VerbWrite, "WRITE 2").Fault, core.FaultNoDatabase)
		assert.DeepEqual(t, r.texts(primaryID), []string{"WRITE 1"})
	})
}

// Guards against an owner that runs a statement after its BEGIN was refused.
func TestRelayRunsNothingAfterRefusedBegin(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		relay, _, ok := r.proxy.OpenRelay(nearID)
		assert.Assert(t, ok)
		deadline := time.Now().Add(time.Second)
		begin := relay.Execute(t.Context(), core.Command{Op: core.OpBegin, Kind: "strict"}, deadline)
		assert.Equal(t, begin.Fault, core.FaultReadOnly)
		read := core.Command{Op: core.OpForward, ID: "q", Text: "READ 1", Kind: "strict"}
		assert.Equal(t, relay.Execute(t.Context(), read, deadline).Fault, core.FaultMalformed)
		assert.Equal(t, relay.Execute(t.Context(), core.Command{Op: core.OpRollback}, deadline).Status, core.TxIdle)
		assert.Equal(t, len(r.texts(nearID)), 0)
		assert.Equal(t, relay.Execute(t.Context(), read, deadline).Fault, core.FaultNone)
	})
}

// Guards against a relay that reports a transaction as rolled back when the connection failed at
// COMMIT.
func TestRelayLostCommit(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		relay, _, _ := r.proxy.OpenRelay(primaryID)
		deadline := time.Now().Add(time.Second)
		for _, c := range []core.Command{
			{Op: core.OpBegin, Kind: "own"}, {Op: core.OpForward, ID: "1", Text: "WRITE 1", Kind: "own"},
		} {
			assert.Equal(t, relay.Execute(t.Context(), c, deadline).Fault, core.FaultNone)
		}
		r.servers[primaryID].update(func(s *server) { s.broken = true })
		ans := relay.Execute(t.Context(), core.Command{Op: core.OpForward, ID: "2", Text: "COMMIT", Kind: "own", Commit: true}, deadline)
		assert.Equal(t, ans.Fault, core.FaultInDoubt)
	})
}

// Guards against statements that go to a silent old primary until its entry expires, although another
// upstream proved that it leads. The term of the new primary shows only with its first commit, and the
// log of the old one is longer.
func TestNewPrimaryBeforeItsFirstCommit(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		s := r.proxy.Open("own", noKey)
		r.must(s, VerbWrite, "WRITE 1")
		r.servers[primaryID].update(func(s *server) { s.silent, s.leads = true, false })
		r.servers[nearID].update(func(s *server) { s.leads = true })
		time.Sleep(silenceTime)
		res, err := r.proxy.Probe(t.Context(), nearID)
		assert.NilError(t, err)
		assert.Assert(t, res.Leads)
		r.must(s, VerbWrite, "WRITE 2")
		assert.DeepEqual(t, r.texts(nearID), []string{"WRITE 2"})
	})
}

// silenceTime is shorter than the time after which a silent primary is replaced.
const silenceTime = 500 * time.Millisecond

// Guards against a session that stays in a failed transaction after its COMMIT was refused: callers
// close a session that isn't idle after an operation.
func TestRefusedCommitEndsTransaction(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		s := r.proxy.Open("own", noKey)
		r.must(s, VerbBegin, "BEGIN")
		r.must(s, VerbWrite, "WRITE 1")
		r.servers[primaryID].update(func(s *server) { s.busy = 1000 })
		reply := r.do(s, VerbCommit, "COMMIT")
		assert.Equal(t, reply.Fault, core.FaultBusy)
		assert.Equal(t, reply.Status, core.TxIdle)
		assert.DeepEqual(t, r.texts(primaryID), []string{"WRITE 1"})
	})
}

// Guards against sending work to a leaving primary after a few seconds without a successor: the
// platform stops the upstream 7 s after it announced that it leaves.
func TestLeavingPrimaryGetsNoWorkLater(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		u := r.dir.Snapshot().Upstreams[primaryID]
		u.Leaving = true
		r.dir.Put(u)
		time.Sleep(leavingGrace - time.Second)
		r.must(r.proxy.Open("strict", noKey), VerbRead, "READ 1")
		time.Sleep(time.Second)
		ran := len(r.texts(primaryID))
		for range 20 {
			reply := r.do(r.proxy.Open("own", noKey), VerbWrite, "WRITE 1")
			assert.Assert(t, reply.Fault.IsNotRun(), "%v", reply.Fault)
		}
		assert.Equal(t, len(r.texts(primaryID)), ran)
		assert.Assert(t, leavingGrace < 7*time.Second)
	})
}

// Guards against a statement that waits in vain because the new primary became known between its look at the nodes and its
// wait.
func TestChangeBeforeTheWait(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		s := r.proxy.Open("own", noKey)
		w, fault := s.newWork(&Statement{ID: "1", Verb: VerbWrite, Text: "WRITE 1"}, time.Now())
		assert.Assert(t, fault == nil)
		changed := r.proxy.Changed()
		r.proxy.notifyChanged()
		began := time.Now()
		assert.Assert(t, s.awaitPrimary(t.Context(), w, changed))
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}
