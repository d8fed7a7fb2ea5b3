package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"snipewall/core"
)

// division is some VMs and the keepers that they ask, without a network.
type division struct {
	now  core.Instant
	vms  []*rights
	term Term
	// ledgers are those of the terms whose keepers haven't given up, until untilOf.
	ledgers map[Term]*Ledger
	untilOf map[Term]core.Instant
	began   core.Instant
	answers []lateAnswer
	sent    []*AskRequest
}

type lateAnswer struct {
	vm     *rights
	q      *AskRequest
	a      AskAnswer
	sentAt core.Instant
}

var testLimit = Limit{Rate: 20, Burst: 15}

func testLimits(core.OrganisationID) (Limit, bool) { return testLimit, true }

func newDivision() *division {
	d := &division{
		now: core.Instant(time.Hour), vms: make([]*rights, 4), ledgers: make(map[Term]*Ledger),
		untilOf: make(map[Term]core.Instant), term: Term{Keeper: "k"},
	}
	for i := range d.vms {
		d.start(i)
	}
	d.begin()
	d.ledgers[d.term].Settle(d.now)
	return d
}

// use runs operations on a VM, which asks the keeper of the term twice and gets its answers.
func (d *division) use(i int, t Term) {
	for range 2 {
		for range 30 {
			d.vms[i].bucket(d.now, "o").note(d.now)
		}
		d.ask(d.vms[i], t, false, false)
		d.apply()
	}
}

// apply lets all answers arrive.
func (d *division) apply() {
	for _, l := range d.answers {
		l.vm.apply(d.now, l.sentAt, l.q, &l.a)
	}
	d.answers = nil
}

// begin begins a term. The keeper of the last one goes on until it gives up by its own clock.
func (d *division) begin() {
	for t := range d.untilOf {
		d.untilOf[t] = min(d.untilOf[t], d.now.Add(leaseTTL-leaseMargin))
	}
	d.term.Began++
	d.began = d.now
	d.ledgers[d.term], d.untilOf[d.term] = NewLedger(testBound, testLimits), d.now.Add(time.Hour)
}

func (d *division) start(i int) {
	d.vms[i] = newRights(core.VMID(rune('a'+i)), testBound, int64(d.now), testLimits)
}

// advance lets time pass. A keeper doesn't hear from all VMs, so that it waits as long as it has to.
func (d *division) advance(by time.Duration) {
	d.now = d.now.Add(by)
	l := d.ledgers[d.term]
	if d.now.Sub(d.began) >= leaseTTL {
		l.Rebase()
	}
	// The store has lost the older keeper's lease, so that the rights of that term may begin until its clock ends it.
	if d.now.Sub(d.began) >= leaseTTL+settleTime {
		l.Settle(d.now)
	}
	for t, until := range d.untilOf {
		if d.now >= until {
			delete(d.ledgers, t)
		}
	}
}

func (d *division) ask(vm *rights, t Term, partial, isLost bool) {
	l := d.ledgers[t]
	if l == nil || !vm.follow(d.now, t) {
		return
	}
	q := vm.request(d.now, partial, true)
	d.sent = append(d.sent, q)
	if a, ok := l.Ask(d.now, q, true); ok && !isLost {
		d.answers = append(d.answers, lateAnswer{vm, q, a, d.now})
	}
}

func (d *division) sum() (sum Right) {
	for _, vm := range d.vms {
		if b := vm.buckets["o"]; b != nil && d.now < b.until {
			sum.Rate += b.right.Rate
			sum.Burst += b.right.Burst
		}
	}
	return sum
}

// Guards against VMs that together hold more than the whole limit: after lost and late answers, restarts, expired
// rights, with a keeper that doesn't know yet that there is another one, and with a new keeper that knows only what some
// of the VMs have reported.
func TestSharesSumUp(t *testing.T) {
	play := func(rt *rapid.T) {
		d := newDivision()
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			d.advance(time.Duration(rapid.IntRange(1, 700).Draw(rt, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(d.vms)-1).Draw(rt, "vm")
			vm := d.vms[i]
			switch action := rapid.IntRange(0, 11).Draw(rt, "action"); action {
			default:
				for range rapid.IntRange(0, 30).Draw(rt, "operations") {
					vm.bucket(d.now, "o").note(d.now)
				}
				term := d.term
				if action < 3 {
					term.Began--
				}
				d.ask(vm, term, rapid.Bool().Draw(rt, "partial"), rapid.IntRange(0, 3).Draw(rt, "lost") == 0)
			case 7:
				// An earlier request arrives once more.
				if len(d.sent) > 0 {
					q := d.sent[max(0, len(d.sent)-1-rapid.IntRange(0, 5).Draw(rt, "age"))]
					if l := d.ledgers[q.Term]; l != nil {
						l.Ask(d.now, q, true)
					}
				}
			case 8, 9:
				d.apply()
			case 10:
				d.start(i)
			case 11:
				if d.now.Sub(d.began) > leaseTTL {
					d.begin()
				}
			}
			if sum := d.sum(); sum.join(assignable) != assignable {
				rt.Fatalf("the VMs hold %+v", sum)
			}
		}
	}
	// Faults that need two keepers show in one of some thousand cases.
	for range 20 {
		rapid.Check(t, play)
	}
}

// Guards against a keeper that assigns what a VM reported to it, while that VM has restarted and got the same rights from an
// older keeper.
func TestRestartedVMAsksOlderKeeper(t *testing.T) {
	d := newDivision()
	d.use(0, d.term)
	older := d.term
	d.begin()
	d.use(0, d.term)
	d.advance(2 * time.Second)
	d.start(0)
	d.use(0, older)
	d.advance(6300 * time.Millisecond)
	d.use(1, d.term)
	assert.Equal(t, d.sum().join(assignable), assignable)
}

// Guards against a keeper that renews rights which an older keeper assigns again once they expire.
func TestOlderKeeperDoesNotKnowRenewal(t *testing.T) {
	d := newDivision()
	d.use(0, d.term)
	older := d.term
	d.advance(6 * time.Second)
	d.begin()
	d.use(0, d.term)
	d.advance(2200 * time.Millisecond)
	d.use(1, older)
	sum := d.sum()
	assert.Equal(t, sum.join(assignable), assignable)
	assert.Assert(t, sum.Burst > 0, "the older keeper assigned nothing")
}
