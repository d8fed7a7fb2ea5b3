package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Doses of the disruption: the share of its requests that the upstream fails, and for how long.
const (
	greyShare = 0.4
	greyTime  = 6 * time.Second
)

// expectation is what a caller's statement must find on its connection.
type expectation struct {
	who    string
	values map[string]string
	// tx is the number of the caller's open transaction, or 0.
	tx int
}

// ledger compares what runs with what the callers were told.
type ledger struct {
	g *group

	mu       sync.Mutex
	expected map[string]expectation
	txs      int
}

func (l *ledger) expect(id string, e expectation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected[id] = e
}

func (l *ledger) nextTx() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.txs++
	return l.txs
}

// check is called for each statement that an upstream runs.
func (l *ledger) check(e execution) {
	l.mu.Lock()
	want, ok := l.expected[e.id]
	l.mu.Unlock()
	switch {
	case !ok:
		l.g.r.breakf("UNASKED", "%s runs %s %q, which nobody sent", e.upstream, e.id, e.text)
	case !maps.Equal(want.values, e.values):
		l.g.r.breakf("PINNED", "%s runs %s of %s with the session values %v; acknowledged were %v", e.upstream, e.id, want.who, e.values, want.values)
	case want.tx == 0 && e.inTx && e.isWrite:
		l.g.r.breakf("PINNED", "%s runs the single statement %s of %s inside a transaction that it didn't open", e.upstream, e.id, want.who)
	case want.tx != 0 && !e.inTx:
		l.g.r.breakf("PINNED", "%s runs %s of %s outside its transaction", e.upstream, e.id, want.who)
	}
}

// playRefusedSetUp lets tablets, each with its own session values, write single readings and short transactions. The
// primary fails part of its requests for some seconds.
func playRefusedSetUp(r *run) {
	g, vms := r.newDeployment()
	l := &ledger{g: g, expected: map[string]expectation{}}
	primary := g.primary()
	var until time.Time
	g.mu.Lock()
	g.hooks.ran = l.check
	g.hooks.refuse = func(u *upstream, id, text string) string {
		if u != primary || time.Now().After(until) || text == "ROLLBACK" || text == "STATUS" || rand.Float64() >= greyShare {
			return ""
		}
		r.notef("%s fails %s %q", u.id, id, text)
		return "FAILED"
	}
	g.mu.Unlock()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	acked := make([][]string, 2*entryCount)
	for i := range acked {
		wg.Go(func() { acked[i] = l.tablet(fmt.Sprintf("tablet-%d", i), vms[i%len(vms)], stop) })
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.notef("%s begins to fail part of its requests", primary.id)
		g.mu.Lock()
		until = time.Now().Add(greyTime)
		g.mu.Unlock()
	}
	time.Sleep(greyTime + 3*time.Second)
	close(stop)
	wg.Wait()
	all := slices.Concat(acked...)
	lost := 0
	for _, id := range all {
		if !g.hasCommitted(id) {
			lost++
			r.notef("write %s was acknowledged and is in no log", id)
		}
	}
	r.notef("%d of %d acknowledged single writes are in no log", lost, len(all))
}

// tablet writes until stop is closed and returns the ids of the acknowledged single writes.
func (l *ledger) tablet(who string, vm *entryVM, stop chan struct{}) (acked []string) {
	var cl *caller
	values := map[string]string{}
	for n := 0; ; n++ {
		select {
		case <-stop:
			if cl != nil {
				cl.close()
			}
			return acked
		case <-time.After(time.Duration(20+rand.IntN(30)) * time.Millisecond):
		}
		if cl == nil {
			var err error
			if cl, err = openSession(vm.front(), strictDatabase); err != nil {
				l.g.r.notef("%s: %v", who, err)
				continue
			}
			values = map[string]string{}
		}
		var ok bool
		switch {
		case len(values) == 0:
			ok = cl.query(newID(), "SET actor "+who).isSuccess()
			values["actor"] = who
		case n%2 == 0:
			res := l.send(who, cl, fmt.Sprintf("WRITE %s reading-%d", who, n), values, 0)
			if ok = res.err == nil; res.isSuccess() {
				acked = append(acked, res.id)
			}
		default:
			ok = l.transaction(who, cl, n, values)
		}
		if !ok {
			cl.close()
			cl = nil
		}
	}
}

// transaction runs a transaction of one write. It reports whether the session can go on.
func (l *ledger) transaction(who string, cl *caller, n int, values map[string]string) bool {
	tx := l.nextTx()
	for _, text := range []string{"BEGIN", fmt.Sprintf("WRITE %s session-%d", who, n), "COMMIT"} {
		res := l.send(who, cl, text, values, tx)
		if res.err != nil {
			return false
		}
		if !res.isSuccess() {
			return res.state == "I" || cl.query(newID(), "ROLLBACK").isSuccess()
		}
	}
	return true
}

// send sends a statement, with what it must find.
func (l *ledger) send(who string, cl *caller, text string, values map[string]string, tx int) result {
	id := newID()
	l.expect(id, expectation{who, maps.Clone(values), tx})
	res := cl.query(id, text)
	l.g.r.notef("%s: %s %q: %s", who, id, text, res)
	if text != "BEGIN" {
		// The proxy may answer BEGIN by itself.
		l.g.checkSigned(who, text, res)
	}
	return res
}
