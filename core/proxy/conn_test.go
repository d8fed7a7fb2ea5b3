package proxy

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// scriptedConn answers with the next of its answers, and doesn't answer once there is none.
type scriptedConn struct {
	core.LineConn
	answers []core.Answer
}

func (*scriptedConn) Send([]core.Command) error { return nil }

func (sc *scriptedConn) Receive(time.Time) (core.Answer, error) {
	if len(sc.answers) == 0 {
		return core.Answer{}, os.ErrDeadlineExceeded
	}
	ans := sc.answers[0]
	sc.answers = sc.answers[1:]
	return ans, nil
}

// Guards against a connection that serves another session after its state was lost: for each command, by each outcome,
// what is recorded of the connection and whether it may be used again.
func TestConnectionAfterEachOutcome(t *testing.T) {
	succeeds := func(s core.TxStatus) core.Answer { return core.Answer{Status: s} }
	runs := func(s core.TxStatus) core.Answer { return core.Answer{Status: s, Signed: true} }
	fails := func(s core.TxStatus) core.Answer { return core.Answer{Fault: core.FaultFailed, Status: s} }
	lost := []core.Answer(nil)
	value, statement := keyPart("actor")+keyPart("a"), "r_1"
	set := core.Command{Op: core.OpSet, Name: "actor", Text: "a"}
	prepare := core.Command{Op: core.OpPrepare, Name: statement, Text: "READ x"}
	tests := []struct {
		name     string
		cmds     []core.Command
		answers  []core.Answer
		reusable bool
		valueKey string
		prepared bool
	}{
		{"SET", []core.Command{set}, []core.Answer{succeeds('I')}, true, value, true},
		{"SET refused", []core.Command{set}, []core.Answer{fails('I')}, false, "", true},
		{"SET lost", []core.Command{set}, lost, false, "", true},
		{"SET refused, BEGIN accepted", []core.Command{set, {Op: core.OpBegin}}, []core.Answer{fails('I'), succeeds('T')}, false, "", true},
		{"SET in a failed transaction", []core.Command{set}, []core.Answer{fails('E')}, false, "", true},
		{"RESET", []core.Command{{Op: core.OpReset}}, []core.Answer{succeeds('I')}, true, "", false},
		{"RESET refused", []core.Command{{Op: core.OpReset}, set}, []core.Answer{fails('I'), succeeds('I')}, false, value, true},
		{"RESET lost", []core.Command{{Op: core.OpReset}, set}, []core.Answer{succeeds('I')}, false, "", false},
		{"PREPARE", []core.Command{{Op: core.OpReset}, prepare}, []core.Answer{succeeds('I'), succeeds('I')}, true, "", true},
		{"PREPARE refused", []core.Command{{Op: core.OpReset}, prepare}, []core.Answer{succeeds('I'), fails('I')}, false, "", false},
		{"PREPARE lost", []core.Command{{Op: core.OpReset}, prepare}, []core.Answer{succeeds('I')}, false, "", false},
		{"BEGIN", []core.Command{{Op: core.OpBegin}}, []core.Answer{succeeds('T')}, false, "", true},
		{"BEGIN refused", []core.Command{{Op: core.OpBegin}}, []core.Answer{fails('I')}, true, "", true},
		{"BEGIN refused, failed", []core.Command{{Op: core.OpBegin}}, []core.Answer{fails('E')}, false, "", true},
		{"BEGIN lost", []core.Command{{Op: core.OpBegin}}, lost, false, "", true},
		{"ROLLBACK", []core.Command{{Op: core.OpBegin}, {Op: core.OpRollback}}, []core.Answer{succeeds('T'), succeeds('I')}, true, "", true},
		{"ROLLBACK refused", []core.Command{{Op: core.OpBegin}, {Op: core.OpRollback}}, []core.Answer{succeeds('T'), fails('T')}, false, "", true},
		{"ROLLBACK refused, idle", []core.Command{{Op: core.OpRollback}}, []core.Answer{fails('I')}, false, "", true},
		{"ROLLBACK lost", []core.Command{{Op: core.OpBegin}, {Op: core.OpRollback}}, []core.Answer{succeeds('T')}, false, "", true},
		{"statement", []core.Command{{Op: core.OpForward}}, []core.Answer{runs('I')}, true, "", true},
		{"statement lost, ROLLBACK answered", []core.Command{{Op: core.OpForward}, {Op: core.OpRollback}}, []core.Answer{succeeds('I')}, false, "", true},
		{"prepared statement lost, ROLLBACK answered", []core.Command{{Op: core.OpExecute}, {Op: core.OpRollback}}, []core.Answer{succeeds('I')}, false, "", true},
		{"BEGIN lost, ROLLBACK answered", []core.Command{{Op: core.OpBegin}, {Op: core.OpRollback}}, []core.Answer{succeeds('I')}, false, "", true},
		{"SET lost, statement answered", []core.Command{set, {Op: core.OpForward}}, []core.Answer{runs('I')}, false, "", true},
		{"ROLLBACK answered in a transaction", []core.Command{{Op: core.OpRollback}}, []core.Answer{succeeds('T')}, false, "", true},
		{"statement failed", []core.Command{{Op: core.OpForward}}, []core.Answer{fails('I')}, true, "", true},
		{"statement leaves a transaction", []core.Command{{Op: core.OpForward}}, []core.Answer{runs('T')}, false, "", true},
		{"statement lost", []core.Command{{Op: core.OpForward}}, lost, false, "", true},
		{"statement isn't prepared", []core.Command{{Op: core.OpExecute, Name: statement}}, []core.Answer{{Fault: core.FaultUnprepared, Status: 'I'}}, true, "", false},
		{"STEPDOWN failed", []core.Command{{Op: core.OpStepDown}}, []core.Answer{fails('I')}, true, "", true},
		{"STATUS lost", []core.Command{{Op: core.OpStatus}}, lost, false, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &conn{LineConn: &scriptedConn{answers: tt.answers}, status: core.TxIdle, prepared: map[string]bool{statement: true}}
			assert.NilError(t, c.Send(tt.cmds))
			for range tt.cmds {
				if _, err := c.Receive(time.Time{}); err != nil {
					break
				}
			}
			assert.Equal(t, c.isReusable(), tt.reusable)
			assert.Equal(t, c.valueKey, tt.valueKey)
			assert.Equal(t, c.prepared[statement], tt.prepared)
		})
	}
}

// Guards against an answer that nothing was sent for and that is taken for the next statement's.
func TestUnexpectedAnswer(t *testing.T) {
	c := &conn{LineConn: &scriptedConn{answers: []core.Answer{{Status: core.TxIdle}}}, status: core.TxIdle}
	_, err := c.Receive(time.Time{})
	assert.ErrorIs(t, err, errNothingAsked)
}

// Guards against closing a connection for each transaction that is rolled back.
func TestRollbackKeepsConnection(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		for range 3 {
			s := r.proxy.Open("own", noKey)
			r.must(s, VerbBegin, "BEGIN")
			r.must(s, VerbWrite, "WRITE 1")
			r.must(s, VerbRollback, "ROLLBACK")
			r.must(s, VerbWrite, "WRITE 2")
		}
		assert.Equal(t, r.dials.Load(), int32(1))
	})
}

// Guards against a write that is sent to an old primary: the permit has ended while the connection was set up.
func TestPermitEndsDuringSetUp(t *testing.T) {
	withPermits(t, func(t *testing.T, r *harness, p *fakePermits) {
		r.servers[primaryID].update(func(s *server) {
			s.refuse = func(c core.Command) core.Fault {
				if c.Op == core.OpSet {
					p.mu.Lock()
					defer p.mu.Unlock()
					p.admits, p.covers = false, false
				}
				return core.FaultNone
			}
		})
		s := r.proxy.Open("own", noKey)
		s.Execute(t.Context(), &Statement{ID: "0", Verb: VerbSet, Name: "actor", Arg: "a"})
		assert.Equal(t, r.do(s, VerbWrite, "WRITE 1").Fault, core.FaultBusy)
		assert.Equal(t, len(r.texts(primaryID)), 0)
	})
}

// Guards against a read that succeeds without rows, because the answer to the command behind it is taken for its own: the
// upstream loses the answers to some reads, and sends the next ones on the same connection.
func TestLostAnswers(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		lost := 0
		for _, srv := range r.servers {
			srv.update(func(s *server) {
				s.loses = func(c core.Command) bool {
					if c.Op != core.OpForward {
						return false
					}
					lost++
					return lost%3 == 1
				}
			})
		}
		for _, database := range []string{"strict", "bounded", "own"} {
			s := r.proxy.Open(database, noKey)
			for range 9 {
				reply := r.do(s, VerbRead, "READ 1")
				assert.Assert(t, reply.Fault != core.FaultNone || len(reply.Body) > 0, "a success without rows")
			}
		}
		assert.Assert(t, lost > 27)
	})
}

// Guards against round trips for session values that an idle connection has already: two callers take turns, each with its
// own values, after two connections were opened.
func TestCallersKeepTheirConnections(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		sets := 0
		r.servers[primaryID].update(func(s *server) {
			s.refuse = func(c core.Command) core.Fault {
				if c.Op == core.OpSet || c.Op == core.OpPrepare {
					sets++
				}
				return core.FaultNone
			}
		})
		tablets := []*tablet{newTablet(r, "own", "tablet-00"), newTablet(r, "own", "tablet-01")}
		var wg sync.WaitGroup
		for _, c := range tablets {
			wg.Go(func() { c.executePrepared() })
		}
		wg.Wait()
		for range 10 {
			for _, c := range tablets {
				c.executePrepared()
				assert.Assert(t, c.transact())
			}
		}
		assert.Equal(t, sets, 4, "SET and PREPARE")
	})
}

// Guards against memory that grows, here and at the upstream, with each statement that callers ever prepare on a connection.
func TestPreparedNamesAreLimited(t *testing.T) {
	inBubble(t, func(t *testing.T, r *harness) {
		c := newTablet(r, "own", "tablet-00")
		for i := range 2*maxPreparedNames + 10 {
			c.s.Execute(t.Context(), &Statement{ID: "0", Verb: VerbPrepare, Name: "s", Arg: fmt.Sprintf("WRITE shape %d", i), Write: true})
			assert.Equal(t, c.run(Statement{Verb: VerbExecute, Text: "EXECUTE s", Name: "s", Arg: c.name + " 1"}), core.FaultNone)
		}
		r.servers[primaryID].update(func(s *server) {
			assert.Equal(t, len(s.open), 1)
			assert.Assert(t, len(s.open[0].prepared) <= maxPreparedNames, "%d", len(s.open[0].prepared))
		})
		assert.Equal(t, len(c.checkOutcomes(r.servers[primaryID].runs())), 0)
	})
}

// Guards against running another caller's statement under the short name that long ones share, and against losing short ones
// that are prepared beside them. Half of the callers are on a VM that relays.
func TestLongPreparedStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := newHarness(t)
		other := newHarness(t, manyVMs()...)
		other.relaysTo(owner, nil)
		owner.proxy.cfg.MaxText, other.proxy.cfg.MaxText = 60, 60
		var tablets []*tablet
		for i, r := range []*harness{owner, other, owner, other} {
			c := newTablet(r, "own", fmt.Sprintf("tablet-%02d", i))
			c.s.Execute(t.Context(), &Statement{ID: "0", Verb: VerbPrepare, Name: "long", Arg: "WRITE " + strings.Repeat(c.name+" ", 8), Write: true})
			tablets = append(tablets, c)
		}
		want := map[string]int{}
		for i := range 5 {
			for _, c := range tablets {
				c.executePrepared()
				assert.Equal(t, c.run(Statement{Verb: VerbExecute, Text: "EXECUTE long 1", Name: "long", Arg: fmt.Sprint(i)}), core.FaultNone)
				want[fmt.Sprintf("WRITE %s %d", strings.Repeat(c.name+" ", 8), i)]++
				arg := fmt.Sprintf("%s%d", strings.Repeat(c.name+" ", 8), i)
				assert.Equal(t, c.run(Statement{Verb: VerbExecute, Text: "EXECUTE s " + arg, Name: "s", Arg: arg}), core.FaultNone)
				want["WRITE shape "+arg]++
			}
		}
		ran := owner.servers[primaryID].runs()
		got := map[string]int{}
		for _, x := range ran {
			if len(x.Text) > 60 {
				got[x.Text]++
			}
		}
		assert.DeepEqual(t, got, want)
		for _, c := range tablets {
			assert.Equal(t, len(c.acked), 5)
			assert.Equal(t, len(c.checkOutcomes(ran)), 0)
		}
	})
}
