package proxy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// refuseOwn makes the upstreams fail the share of the commands with the op that the proxy sends by itself. The returned
// function ends that.
func (r *harness) refuseOwn(seed uint64, op core.Op, share float64) (end func()) {
	for _, srv := range r.servers {
		rnd := rand.New(rand.NewPCG(seed, seed))
		srv.update(func(s *server) {
			s.refuse = func(c core.Command) core.Fault {
				if c.Op != op || rnd.Float64() >= share {
					return core.FaultNone
				}
				return []core.Fault{core.FaultFailed, core.FaultTimeout, core.FaultBusy}[rnd.IntN(3)]
			}
		})
	}
	return func() {
		for _, srv := range r.servers {
			srv.update(func(s *server) { s.refuse = nil })
		}
	}
}

// tablet is a caller with a session value of its own. The texts of its statements contain its name.
type tablet struct {
	r    *harness
	name string
	s    *Session
	n    int
	// acked and notRun hold the texts of the single writes that succeeded, and of those that were refused as not run.
	acked, notRun []string
	problems      []string
}

func newTablet(r *harness, database, name string) *tablet {
	c := &tablet{r: r, name: name, s: r.proxy.Open(database, noKey)}
	c.s.Execute(r.t.Context(), &Statement{ID: "0", Verb: VerbSet, Name: "actor", Arg: name})
	c.s.Execute(r.t.Context(), &Statement{ID: "0", Verb: VerbPrepare, Name: "s", Arg: "WRITE shape", Write: true})
	return c
}

// run executes a statement. All that the upstreams refuse comes before it, so that its outcome is known.
func (c *tablet) run(st Statement) core.Fault {
	st.ID = "q"
	reply := c.s.Execute(c.r.t.Context(), &st)
	switch reply.Fault {
	case core.FaultNone, core.FaultBusy, core.FaultAborted:
	default:
		c.problems = append(c.problems, fmt.Sprintf("%s: %q got %s: %s", c.name, st.Text, reply.Fault, reply.Text))
	}
	return reply.Fault
}

func (c *tablet) next(word string) string {
	c.n++
	return fmt.Sprintf("%s %s %d", word, c.name, c.n)
}

func (c *tablet) write() {
	text := c.next("WRITE")
	c.record(text, c.run(Statement{Verb: VerbWrite, Text: text}))
}

func (c *tablet) executePrepared() {
	arg := strings.TrimPrefix(c.next("WRITE"), "WRITE ")
	c.record("WRITE shape "+arg, c.run(Statement{Verb: VerbExecute, Text: "EXECUTE s " + arg, Name: "s", Arg: arg}))
}

func (c *tablet) record(text string, fault core.Fault) {
	switch fault {
	case core.FaultNone:
		c.acked = append(c.acked, text)
	case core.FaultBusy:
		c.notRun = append(c.notRun, text)
	}
}

func (c *tablet) read() { c.run(Statement{Verb: VerbRead, Text: c.next("READ")}) }

// transact runs a transaction of one write, and reports whether it was committed.
func (c *tablet) transact() bool {
	c.s.Execute(c.r.t.Context(), &Statement{ID: "q", Verb: VerbBegin, Text: "BEGIN"})
	if c.run(Statement{Verb: VerbWrite, Text: c.next("WRITE") + " tx"}) == core.FaultNone {
		if c.run(Statement{Verb: VerbCommit, Text: "COMMIT"}) == core.FaultNone {
			return true
		}
	}
	c.s.Execute(c.r.t.Context(), &Statement{ID: "q", Verb: VerbRollback, Text: "ROLLBACK"})
	return false
}

// work runs the number of rounds of all kinds of statements.
func (c *tablet) work(rounds int) {
	for range rounds {
		c.write()
		c.executePrepared()
		c.read()
		c.transact()
		time.Sleep(10 * time.Millisecond)
	}
}

// ownRuns returns the caller's statements among those that ran.
func (c *tablet) ownRuns(ran []run) []run {
	return slices.DeleteFunc(slices.Clone(ran), func(x run) bool { return !strings.Contains(x.Text, c.name+" ") })
}

// checkTransactions checks that writes ran inside a transaction only if the caller had opened it.
func (c *tablet) checkTransactions(ran []run) (problems []string) {
	for _, x := range c.ownRuns(ran) {
		if want := strings.HasSuffix(x.Text, " tx"); x.InTx != want && strings.HasPrefix(x.Text, "WRITE") {
			problems = append(problems, fmt.Sprintf("%q ran with an open transaction: %v", x.Text, x.InTx))
		}
	}
	return problems
}

// checkOutcomes checks that statements ran with the caller's value, and compares what has run with what the caller was told.
func (c *tablet) checkOutcomes(ran []run) (problems []string) {
	count := map[string]int{}
	for _, x := range c.ownRuns(ran) {
		count[x.Text]++
		if want := "map[actor:" + c.name + "]"; x.Values != want {
			problems = append(problems, fmt.Sprintf("%q ran with %s, acknowledged is %s", x.Text, x.Values, want))
		}
	}
	for _, text := range c.acked {
		if count[text] != 1 {
			problems = append(problems, fmt.Sprintf("%q was acknowledged and ran %d times", text, count[text]))
		}
	}
	for _, text := range c.notRun {
		if count[text] != 0 {
			problems = append(problems, fmt.Sprintf("%q was refused as not run, and ran", text))
		}
	}
	return append(problems, c.problems...)
}

// Guards against connections that return to their pool with an open transaction after the upstream refused a command of a
// batch: writes of other sessions run inside it, are acknowledged and never committed. Half of the callers are on a VM that
// relays.
func TestRefusedCommandsLeaveNoTransaction(t *testing.T) {
	testRefusals(t, (*tablet).checkTransactions, core.OpReset, core.OpSet, core.OpPrepare, core.OpBegin, core.OpBeginRead, core.OpRollback)
}

// Guards against statements that run although the upstream refused what they depend on, with the values of another session
// or with none, and against callers that can't tell whether such a statement ran. Half of the callers are on a VM that
// relays.
func TestStatementsAwaitSetUp(t *testing.T) {
	testRefusals(t, (*tablet).checkOutcomes, core.OpReset, core.OpSet, core.OpPrepare)
}

// testRefusals lets the upstreams refuse part of the commands with each of the ops, and checks what the callers saw.
func testRefusals(t *testing.T, check func(*tablet, []run) []string, ops ...core.Op) {
	t.Helper()
	for _, op := range ops {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", op, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					problems := playRefusals(t, seed, op, check)
					assert.Equal(t, len(problems), 0, "%s", strings.Join(problems, "\n"))
				})
			})
		}
	}
}

func playRefusals(t *testing.T, seed uint64, op core.Op, check func(*tablet, []run) []string) (problems []string) {
	t.Helper()
	owner := newHarness(t)
	other := newHarness(t, manyVMs()...)
	other.relaysTo(owner, nil)
	var tablets []*tablet
	for i := range 12 {
		r := owner
		if i%2 == 1 {
			r = other
		}
		tablets = append(tablets, newTablet(r, []string{"strict", "bounded", "own"}[i%3], fmt.Sprintf("tablet-%02d", i)))
	}
	work := func() {
		var wg sync.WaitGroup
		for _, c := range tablets {
			wg.Go(func() { c.work(6) })
		}
		wg.Wait()
	}
	work()
	end := owner.refuseOwn(seed, op, 0.4)
	work()
	end()
	time.Sleep(time.Second)
	for _, c := range tablets {
		assert.Assert(t, c.transact(), "a transaction of %s after the last refusal", c.name)
	}
	var ran []run
	for id, srv := range owner.servers {
		ran = append(ran, srv.runs()...)
		srv.update(func(s *server) {
			for _, fc := range s.open {
				if fc.status != core.TxIdle {
					problems = append(problems, fmt.Sprintf("a pooled connection to %s has the transaction status %c", id, fc.status))
				}
			}
		})
	}
	for _, c := range tablets {
		problems = append(problems, check(c, ran)...)
	}
	return problems
}

// Guards against telling a caller that a statement which it has prepared is unknown, and against using a connection again
// and again that lacks it, after an upstream lost the prepared statements of its connections. Half of the callers are on a
// VM that relays.
func TestUpstreamLosesPreparedStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner := newHarness(t)
		other := newHarness(t, manyVMs()...)
		other.relaysTo(owner, nil)
		for i, r := range []*harness{owner, other} {
			c := newTablet(r, "own", fmt.Sprintf("tablet-%02d", i))
			for range 5 {
				c.executePrepared()
				owner.servers[primaryID].update(func(s *server) {
					for _, fc := range s.open {
						clear(fc.prepared)
					}
				})
				c.executePrepared()
				assert.Equal(t, c.run(Statement{Verb: VerbBegin, Text: "BEGIN"}), core.FaultNone)
				c.run(Statement{Verb: VerbExecute, Text: "EXECUTE s x", Name: "s", Arg: "x tx"})
				c.run(Statement{Verb: VerbRollback, Text: "ROLLBACK"})
			}
			assert.Equal(t, len(c.acked), 10)
			assert.Equal(t, len(c.problems), 0, "%v", c.problems)
		}
	})
}
