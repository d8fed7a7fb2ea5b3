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

// tablet is a caller with a session value of its own, whose name it shares with half of the others. The texts of its
// statements contain its name.
type tablet struct {
	r    *harness
	name string
	// values is what the upstreams must have of its session values.
	values string
	s      *Session
	n      int
	// acked and notRun hold the texts of the single writes that succeeded, and of those that were refused as not run.
	acked, notRun []string
	// wrote is set while the open transaction has a write.
	wrote bool
	// mayFail is set where statements may end with an unknown outcome.
	mayFail  bool
	problems []string
}

func newTablet(r *harness, database, name string) *tablet {
	c := &tablet{r: r, name: name, s: r.proxy.Open(database, noKey)}
	valueName := "actor"
	if (name[len(name)-1]-'0')%2 == 1 {
		valueName = "actor of " + name
	}
	c.values = "map[" + valueName + ":" + name + "]"
	c.s.Execute(r.t.Context(), &Statement{ID: "0", Verb: VerbSet, Name: valueName, Arg: name})
	c.s.Execute(r.t.Context(), &Statement{ID: "0", Verb: VerbPrepare, Name: "s", Arg: "WRITE shape", Write: true})
	return c
}

// run executes a statement, and checks its outcome unless it may fail, and its answer.
func (c *tablet) run(st Statement) core.Fault {
	st.ID = "q"
	reply := c.s.Execute(c.r.t.Context(), &st)
	switch reply.Fault {
	case core.FaultNone:
		c.checkAnswer(st, string(reply.Body))
	case core.FaultBusy, core.FaultAborted:
	default:
		if !c.mayFail {
			c.problems = append(c.problems, fmt.Sprintf("%s: %q got %s: %s", c.name, st.Text, reply.Fault, reply.Text))
		}
	}
	return reply.Fault
}

// checkAnswer checks that a success has the answer of an upstream if it needs one, and that an answer which repeats a
// statement repeats this one.
func (c *tablet) checkAnswer(st Statement, body string) {
	want, needsAnswer := st.Text, false
	switch st.Verb {
	case VerbExecute:
		want, needsAnswer = "WRITE shape "+st.Arg, true
	case VerbRead, VerbWrite:
		needsAnswer = true
	case VerbCommit:
		needsAnswer = c.wrote
	}
	answered, repeats := strings.CutPrefix(strings.TrimSuffix(body, "\r\n"), "COMPLETE ")
	if repeats && strings.Contains(answered, " ") && answered != want {
		c.problems = append(c.problems, fmt.Sprintf("%s: %q was answered with %q", c.name, want, answered))
	}
	if needsAnswer && body == "" {
		c.problems = append(c.problems, fmt.Sprintf("%s: %q succeeded without an answer of an upstream", c.name, want))
	}
}

func (c *tablet) next(word string) string {
	c.n++
	return fmt.Sprintf("%s %s %d", word, c.name, c.n)
}

func (c *tablet) write() core.Fault {
	text := c.next("WRITE")
	return c.record(text, c.run(Statement{Verb: VerbWrite, Text: text}))
}

func (c *tablet) executePrepared() core.Fault {
	arg := strings.TrimPrefix(c.next("WRITE"), "WRITE ")
	return c.record("WRITE shape "+arg, c.run(Statement{Verb: VerbExecute, Text: "EXECUTE s " + arg, Name: "s", Arg: arg}))
}

func (c *tablet) record(text string, fault core.Fault) core.Fault {
	switch {
	case fault == core.FaultNone:
		c.acked = append(c.acked, text)
	case fault.IsNotRun():
		c.notRun = append(c.notRun, text)
	}
	return fault
}

func (c *tablet) read(suffix string) core.Fault {
	return c.run(Statement{Verb: VerbRead, Text: c.next("READ") + suffix})
}

func (c *tablet) begin(verb Verb) { c.run(Statement{Verb: verb, Text: "BEGIN"}) }

func (c *tablet) readTx() core.Fault { return c.read(" tx") }

func (c *tablet) writeTx() core.Fault {
	c.wrote = true
	return c.run(Statement{Verb: VerbWrite, Text: c.next("WRITE") + " tx"})
}

func (c *tablet) commit() core.Fault {
	defer func() { c.wrote = false }()
	fault := c.run(Statement{Verb: VerbCommit, Text: "COMMIT"})
	c.rollback()
	return fault
}

func (c *tablet) rollback() {
	c.run(Statement{Verb: VerbRollback, Text: "ROLLBACK"})
	c.wrote = false
}

// transact runs a transaction of one write, and reports whether it was committed.
func (c *tablet) transact() bool {
	c.begin(VerbBegin)
	if c.writeTx() != core.FaultNone {
		c.rollback()
		return false
	}
	return c.commit() == core.FaultNone
}

// work runs the number of rounds of all kinds of statements.
func (c *tablet) work(rounds int) {
	for range rounds {
		c.write()
		c.executePrepared()
		c.read("")
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
		if x.Values != c.values {
			problems = append(problems, fmt.Sprintf("%q ran with %s, acknowledged is %s", x.Text, x.Values, c.values))
		}
	}
	for text, n := range count {
		if n > 1 && strings.HasPrefix(text, "WRITE") {
			problems = append(problems, fmt.Sprintf("%q ran %d times", text, n))
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
