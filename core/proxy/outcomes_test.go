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
	"gotest.tools/v3/golden"

	"snipewall/core"
)

// disturbedCommands are the commands that a session's statements make the product send.
var disturbedCommands = []struct {
	name  string
	match func(c core.Command) bool
}{
	{"SET", isOp(core.OpSet)},
	{"RESET", isOp(core.OpReset)},
	{"PREPARE", isOp(core.OpPrepare)},
	{"BEGIN", isOp(core.OpBegin)},
	{"BEGIN READ", isOp(core.OpBeginRead)},
	{"ROLLBACK", isOp(core.OpRollback)},
	{"read", func(c core.Command) bool { return strings.HasPrefix(c.Text, "READ ") && !isInTx(c) }},
	{"write", func(c core.Command) bool { return strings.HasPrefix(c.Text, "WRITE tablet") && !isInTx(c) }},
	{"EXECUTE", isOp(core.OpExecute)},
	{"read in a transaction", func(c core.Command) bool { return strings.HasPrefix(c.Text, "READ ") && isInTx(c) }},
	{"write in a transaction", func(c core.Command) bool { return strings.HasPrefix(c.Text, "WRITE ") && isInTx(c) }},
	{"COMMIT", func(c core.Command) bool { return c.Commit }},
}

func isOp(op core.Op) func(core.Command) bool {
	return func(c core.Command) bool { return c.Op == op }
}

func isInTx(c core.Command) bool { return strings.HasSuffix(c.Text, " tx") }

// failure is what happens to one command: it is refused with a fault and leaves a transaction status, or its answer is
// disturbed.
type failure struct {
	name   string
	fault  core.Fault
	status core.TxStatus
	outage outage
}

func failures() []failure {
	var out []failure
	for _, fault := range []core.Fault{core.FaultFailed, core.FaultBusy} {
		for _, status := range []core.TxStatus{core.TxIdle, core.TxOpen, core.TxFailed} {
			out = append(out, failure{name: fmt.Sprintf("%s in %c", fault, status), fault: fault, status: status})
		}
	}
	for _, o := range []outage{lost, silent, late, cut} {
		out = append(out, failure{name: outageNames[o], outage: o})
	}
	return out
}

// disturbed is a VM that owns the upstreams, and one that relays to it, with disturbances on the connections of each.
type disturbed struct {
	owner, other *harness
	// upstream disturbs the owner's connections to upstreams, and hop those between the VMs.
	upstream, hop disturbance
}

func newDisturbed(t *testing.T) *disturbed {
	t.Helper()
	d := &disturbed{owner: newHarness(t)}
	d.owner.wrap = d.upstream.wrap
	for _, srv := range d.owner.servers {
		srv.update(func(s *server) { s.echoes = true })
	}
	d.other = newHarness(t, manyVMs()...)
	// Without an owner that it can reach, the VM connects to the upstreams itself.
	d.other.servers, d.other.wrap = d.owner.servers, d.upstream.wrap
	d.other.relaysTo(d.owner, nil)
	dial := d.other.owner
	d.other.owner = func(id core.UpstreamID) (core.LineConn, error) {
		lc, err := dial(id)
		if err != nil {
			return nil, err
		}
		return d.hop.wrap(lc), nil
	}
	return d
}

// refuse makes the upstreams refuse the commands for which next returns a fault.
func (d *disturbed) refuse(status core.TxStatus, next func(c core.Command) core.Fault) {
	for _, srv := range d.owner.servers {
		srv.update(func(s *server) { s.refuse, s.refusedStatus = next, status })
	}
}

// settle ends the disturbances and waits until late answers have been read.
func (d *disturbed) settle() {
	d.upstream.set(nil)
	d.hop.set(nil)
	d.refuse(0, nil)
	time.Sleep(3 * time.Second)
}

// check compares what the upstreams ran with what the callers were told, and looks for transactions that are open on
// connections in pools.
func (d *disturbed) check(tablets []*tablet) (problems []string) {
	var ran []run
	for id, srv := range d.owner.servers {
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
		problems = append(problems, c.checkTransactions(ran)...)
		problems = append(problems, c.checkOutcomes(ran)...)
	}
	return problems
}

// runAll runs one statement or transaction of each kind, and returns the faults of those that failed.
func (c *tablet) runAll() string {
	var told []string
	note := func(name string, faults ...core.Fault) {
		for _, f := range faults {
			if f != core.FaultNone {
				told = append(told, name+" "+f.String())
				return
			}
		}
	}
	note("write", c.write())
	note("read", c.read(""))
	note("EXECUTE", c.executePrepared())
	c.begin(VerbBegin)
	note("transaction", c.readTx(), c.writeTx(), c.commit())
	c.begin(VerbBegin)
	note("rolled back", c.writeTx())
	c.rollback()
	c.begin(VerbBeginRead)
	note("read-only transaction", c.readTx(), c.commit())
	if len(told) == 0 {
		return "all succeed"
	}
	return strings.Join(told, ", ")
}

// TestOutcomes plays each failure of each command, on a connection to an upstream (direct), on one of an owner (owner) and on
// one between VMs (hop), for each consistency of reads. The golden file lists what the caller is told, and how many
// connections are closed, of those between VMs too. Guards against a combination that nobody has decided about, and in each against a broken promise.
func TestOutcomes(t *testing.T) {
	var b strings.Builder
	for _, cmd := range disturbedCommands {
		for _, f := range failures() {
			// cells holds the places and databases by their result.
			cells, results := map[string][]string{}, []string(nil)
			for _, place := range []string{"direct", "owner", "hop"} {
				if place == "hop" && f.outage == noOutage {
					continue
				}
				for _, database := range []string{"strict", "bounded", "own"} {
					synctest.Test(t, func(t *testing.T) {
						result := playOutcome(t, cmd.match, f, place, database)
						if cells[result] == nil {
							results = append(results, result)
						}
						cells[result] = append(cells[result], place+" "+database)
					})
				}
			}
			for _, result := range results {
				fmt.Fprintf(&b, "%s, %s: %s [%s]\n", cmd.name, f.name, result, strings.Join(cells[result], ", "))
			}
		}
	}
	golden.Assert(t, b.String(), "outcomes.golden")
}

// playOutcome lets the failure happen to the first command that matches, and returns what follows.
func playOutcome(t *testing.T, match func(core.Command) bool, f failure, place, database string) string {
	t.Helper()
	d := newDisturbed(t)
	r, conns := d.owner, &d.upstream
	if place != "direct" {
		r = d.other
	}
	if place == "hop" {
		conns = &d.hop
	}
	// The connections that the second caller uses have the values of the first one.
	first, second := newTablet(r, database, "tablet-00"), newTablet(r, database, "tablet-01")
	first.mayFail, second.mayFail = true, true
	assert.Equal(t, first.runAll(), "all succeed")
	before := d.upstream.discarded() + d.hop.discarded()
	hit := false
	isNext := func(c core.Command) bool {
		isHit := !hit && match(c)
		hit = hit || isHit
		return isHit
	}
	if f.outage != noOutage {
		conns.set(func(c core.Command) outage {
			if !isNext(c) {
				return noOutage
			}
			return f.outage
		})
	} else {
		d.refuse(f.status, func(c core.Command) core.Fault {
			if !isNext(c) {
				return core.FaultNone
			}
			return f.fault
		})
	}
	told := second.runAll()
	if !hit {
		return "isn't sent"
	}
	d.settle()
	closed := d.upstream.discarded() + d.hop.discarded() - before
	assert.Equal(t, first.runAll(), "all succeed", "after the failure")
	problems := d.check([]*tablet{first, second})
	assert.Equal(t, len(problems), 0, "%s %s %s: %s", f.name, place, database, strings.Join(problems, "\n"))
	if closed == 0 {
		return told + "; kept"
	}
	return fmt.Sprintf("%s; %d closed", told, closed)
}

// Guards against broken promises in sequences of failures that the single ones of TestOutcomes don't show: for each seed,
// twelve callers on two VMs, while a part of all commands is refused and a part of all answers is disturbed.
func TestRandomOutcomes(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				problems := playRandomOutcomes(t, seed)
				assert.Equal(t, len(problems), 0, "%s", strings.Join(problems, "\n"))
			})
		})
	}
}

func playRandomOutcomes(t *testing.T, seed uint64) []string {
	t.Helper()
	d := newDisturbed(t)
	var tablets []*tablet
	for i := range 12 {
		r := []*harness{d.owner, d.other}[i%2]
		tablets = append(tablets, newTablet(r, []string{"strict", "bounded", "own"}[i%3], fmt.Sprintf("tablet-%02d", i)))
		tablets[i].mayFail = true
	}
	rnd := rand.New(rand.NewPCG(seed, seed))
	var mu sync.Mutex
	all := failures()
	outages := slices.DeleteFunc(slices.Clone(all), func(f failure) bool { return f.outage == noOutage })
	draw := func(of []failure, share float64) (failure, bool) {
		mu.Lock()
		defer mu.Unlock()
		return of[rnd.IntN(len(of))], rnd.Float64() < share
	}
	next := func(core.Command) outage {
		if f, ok := draw(outages, 0.03); ok {
			return f.outage
		}
		return noOutage
	}
	d.upstream.set(next)
	d.hop.set(next)
	for _, status := range []core.TxStatus{core.TxIdle, core.TxOpen, core.TxFailed} {
		refusals := slices.DeleteFunc(slices.Clone(all), func(f failure) bool { return f.outage != noOutage || f.status != status })
		d.refuse(status, func(core.Command) core.Fault {
			if f, ok := draw(refusals, 0.03); ok {
				return f.fault
			}
			return core.FaultNone
		})
		var wg sync.WaitGroup
		for _, c := range tablets {
			wg.Go(func() {
				for range 4 {
					c.runAll()
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		wg.Wait()
	}
	d.settle()
	for _, c := range tablets {
		c.runAll()
	}
	return d.check(tablets)
}
