package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipewall/core"
)

// Guards against VMs that together hold more than the whole limit: after lost and late answers, restarts, expired
// rights, and a new keeper that knows only what some of the VMs have reported.
func TestSharesSumUp(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 15}
	limits := func(core.OrganisationID) (Limit, bool) { return limit, true }
	rapid.Check(t, func(rt *rapid.T) {
		now := core.Instant(time.Hour)
		ledger, term := NewLedger(testBound, limits), Term{Keeper: "k", Began: 1}
		ledger.Settle(now)
		settleAt := now
		vms := make([]*rights, 5)
		start := func(i int) {
			vms[i] = newRights(core.VMID(rune('a'+i)), testBound, int64(now), limits)
			vms[i].follow(now, term)
		}
		for i := range vms {
			start(i)
		}
		type late struct {
			vm     *rights
			q      *AskRequest
			a      AskAnswer
			sentAt core.Instant
		}
		var answers []late
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			if !ledger.IsSettled() && now >= settleAt {
				ledger.Settle(now)
			}
			i := rapid.IntRange(0, len(vms)-1).Draw(rt, "vm")
			vm := vms[i]
			switch rapid.IntRange(0, 9).Draw(rt, "action") {
			default:
				for range rapid.IntRange(0, 30).Draw(rt, "operations") {
					vm.bucket(now, "o").note(now)
				}
				vm.follow(now, term)
				q := vm.request(now, rapid.Bool().Draw(rt, "partial"), true)
				a, ok := ledger.Ask(now, q, true)
				if !ok || rapid.IntRange(0, 3).Draw(rt, "lost") == 0 {
					break
				}
				answers = append(answers, late{vm, q, a, now})
			case 6, 7:
				for _, l := range answers {
					l.vm.apply(now, l.sentAt, l.q, &l.a)
				}
				answers = nil
			case 8:
				start(i)
			case 9:
				term.Began++
				ledger, settleAt = NewLedger(testBound, limits), now.Add(settleTime)
			}
			var sum Right
			for _, vm := range vms {
				if b := vm.buckets["o"]; b != nil && now < b.until {
					sum.Rate += b.right.Rate
					sum.Burst += b.right.Burst
				}
			}
			if sum.join(assignable) != assignable {
				rt.Fatalf("the VMs hold %+v", sum)
			}
		}
	})
}
