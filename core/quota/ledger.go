package quota

import (
	"math"
	"time"

	"snipewall/core"
)

const (
	// assignedInCalm is the sum of the VMs' burst shares while the demand is below the limit, and assignedAbove the
	// sum otherwise, when the reserve is used up between two requests of a VM.
	assignedInCalm = whole * 87 / 100
	assignedAbove  = whole * 70 / 100
	// headroom is the ratio of a VM's share to its part of the demand while enough is left.
	headroom = 1.2
	// wantedBurst is the capacity that a bucket gets whatever its part of the demand.
	wantedBurst = 2.0
	// sumInterval is the time between two sums over all holdings, which notice expired ones.
	sumInterval = 200 * time.Millisecond
	// demandLife is how long the demand counts that a VM has reported.
	demandLife = 2500 * time.Millisecond
	// drawFactor is how many times its part of the demand a VM gets of the reserve at once when demand is above the
	// limit, so that the first of several VMs doesn't take it all.
	drawFactor = 4
)

// assignable is the sum of the VMs' rights at most. What is never assigned can be used by the next keeper while it
// doesn't know yet what the VMs hold.
var assignable = Right{Rate: whole * 75 / 100, Burst: whole * 90 / 100}

// maxShare is the most that one VM holds. It tells a new keeper how much silent VMs may hold. A VM whose callers need more
// gets it as tokens of the reserve.
var maxShare = Right{Rate: whole * 20 / 100, Burst: whole * 20 / 100}

// maxSilent is the number of silent VMs up to which a new keeper counts them with maxShare.
const maxSilent = 3

// hardReserve is what is never assigned.
var hardReserve = Right{whole - assignable.Rate, whole - assignable.Burst}

// Ledger holds the decisions of a keeper: what the VMs hold of each limit, and the reserves. It is not safe for
// concurrent use.
type Ledger struct {
	bound    Bound
	limits   func(core.OrganisationID) (Limit, bool)
	vms      map[core.VMID]process
	accounts map[core.OrganisationID]*account
	// isBased is set once no other VM believes to be the keeper. Before, VMs keep what they report. settled is set once
	// the ledger has all rights that VMs may hold. Before, nothing is assigned beyond what VMs have reported.
	isBased, settled bool
	// silent is the number of VMs that haven't reported, valid if isCounted is set: all others have.
	silent    int
	isCounted bool
	// changes are the organisations whose over has changed.
	changes []core.OrganisationID
}

// process identifies the latest request of a VM.
type process struct {
	incarnation int64
	seq         uint64
	// isKnown is set if the VM's rights are part of what accounts know.
	isKnown bool
	// items are the organisations of which the VM has holdings.
	items map[core.OrganisationID]bool
}

// holding is what a VM may hold of one organisation's limit until a time: what it reported, or the answer to that.
type holding struct {
	reported, answered Right
	demand, recent     float64
	at, until          core.Instant
}

func (h *holding) inUse() Right { return h.reported.join(h.answered) }

// account is the division of one organisation's limit.
type account struct {
	holdings map[core.VMID]*holding
	// used, demand, recent and users are sums over the holdings, computed at summedAt and adjusted since.
	// Holdings that have expired may still be in them. users is the number of VMs with demand.
	used           Right
	demand, recent float64
	users          int
	summedAt       core.Instant
	// known is the sum of what VMs held when they reported first since the ledger is based. It may be divided before the
	// ledger is settled.
	known Right
	// tokens is what the reserve held at refilledAt.
	tokens     float64
	refilledAt core.Instant
	// over is set while the demand is above the limit and the reserve is used up.
	over bool
}

// NewLedger returns a ledger for a term that begins at now. Its reserves are empty, since the last keeper may have used
// them up.
func NewLedger(bound Bound, limits func(core.OrganisationID) (Limit, bool)) *Ledger {
	return &Ledger{bound: bound, limits: limits, vms: make(map[core.VMID]process), accounts: make(map[core.OrganisationID]*account)}
}

// Settle notes that the ledger has the rights of all VMs that may hold any.
func (g *Ledger) Settle(now core.Instant) {
	for id, a := range g.accounts {
		if limit, ok := g.limits(id); ok {
			g.refill(now, a, limit)
		}
	}
	g.isBased, g.settled = true, true
}

// Rebase notes that no other VM believes to be the keeper any more. What VMs report from now on may be divided anew: an
// earlier report may be of a VM that has restarted since and got its rights from another keeper.
func (g *Ledger) Rebase() { g.isBased = true }

// SetSilent notes that all VMs but n have reported since the ledger is based.
func (g *Ledger) SetSilent(n int) {
	if g.isBased && n <= maxSilent {
		g.silent, g.isCounted = n, true
	}
}

// available is what silent VMs don't hold.
func (g *Ledger) available() Right {
	n := Share(g.silent)
	return Right{whole - n*maxShare.Rate, whole - n*maxShare.Burst}
}

// IsSettled reports whether Settle was called.
func (g *Ledger) IsSettled() bool { return g.settled }

// Report records all rights that a VM holds. It returns false if a later request of the VM is known.
func (g *Ledger) Report(now core.Instant, r *AskRequest) bool {
	if _, ok := g.begin(now, r); !ok {
		return false
	}
	for i := range r.Items {
		item := &r.Items[i]
		if limit, ok := g.limits(item.Organisation); ok {
			a := g.account(now, item.Organisation)
			g.refill(now, a, limit)
			a.set(now, r.VM, holding{reported: item.Held, demand: item.Demand.float(), recent: item.Recent.float()})
			g.vms[r.VM].items[item.Organisation] = true
		}
	}
	return true
}

// Ask records the rights that a VM reports and assigns it others. Tokens of the reserve are given only if mayDraw is
// set. It returns false if a later request of the VM is known.
func (g *Ledger) Ask(now core.Instant, r *AskRequest, mayDraw bool) (AskAnswer, bool) {
	if p, ok := g.vms[r.VM]; r.Partial && (!ok || p.incarnation != r.Incarnation || g.isBased && !p.isKnown) {
		return AskAnswer{NeedsAll: true, Keeper: r.Term}, false
	}
	if known, ok := g.begin(now, r); !ok {
		return AskAnswer{Incarnation: known, Keeper: r.Term}, false
	}
	out := AskAnswer{OK: true, Keeper: r.Term, Keep: !g.isBased, Settling: !g.settled, Items: make([]AnswerItem, 0, len(r.Items))}
	for i := range r.Items {
		item := &r.Items[i]
		limit, ok := g.limits(item.Organisation)
		if !ok {
			continue
		}
		a := g.account(now, item.Organisation)
		g.refill(now, a, limit)
		a.set(now, r.VM, holding{reported: item.Held, demand: item.Demand.float(), recent: item.Recent.float()})
		g.vms[r.VM].items[item.Organisation] = true
		answer := AnswerItem{Organisation: item.Organisation}
		if r.Enlisted {
			answer.Right = g.assign(a, a.holdings[r.VM], limit)
			a.answer(r.VM, answer.Right)
		}
		g.refill(now, a, limit)
		if mayDraw {
			room := item.Room.float() + g.bound.capacity(answer.Right, limit) - g.bound.capacity(item.Held, limit)
			answer.Tokens = a.draw(item, room, g.capacity(a, limit), g.maxHolders(limit))
		}
		answer.Over = g.judge(item.Organisation, a, limit)
		out.Items = append(out.Items, answer)
	}
	return out, true
}

// begin checks the order of a VM's request and drops the holdings that the VM no longer has. If a later request is
// known, it returns the incarnation of that one.
func (g *Ledger) begin(now core.Instant, r *AskRequest) (int64, bool) {
	known, ok := g.vms[r.VM]
	if ok && (r.Incarnation < known.incarnation || r.Incarnation == known.incarnation && r.Seq <= known.seq) {
		return known.incarnation, false
	}
	p := process{incarnation: r.Incarnation, seq: r.Seq, isKnown: known.isKnown, items: known.items}
	if g.isBased && !p.isKnown {
		p.isKnown = true
		g.learn(now, r)
	}
	if p.items == nil {
		p.items = make(map[core.OrganisationID]bool)
	}
	if !r.Partial {
		kept := make(map[core.OrganisationID]bool, len(r.Items))
		for i := range r.Items {
			kept[r.Items[i].Organisation] = true
		}
		for id := range p.items {
			if a := g.accounts[id]; a != nil && !kept[id] {
				if limit, ok := g.limits(id); ok {
					g.refill(now, a, limit)
				}
				a.remove(r.VM)
			}
		}
		p.items = kept
	}
	g.vms[r.VM] = p
	return 0, true
}

// learn counts what a VM holds.
func (g *Ledger) learn(now core.Instant, r *AskRequest) {
	for i := range r.Items {
		a := g.account(now, r.Items[i].Organisation)
		a.known.Rate += r.Items[i].Held.Rate
		a.known.Burst += r.Items[i].Held.Burst
	}
}

func (g *Ledger) account(now core.Instant, id core.OrganisationID) *account {
	a, ok := g.accounts[id]
	if !ok {
		a = &account{holdings: make(map[core.VMID]*holding), refilledAt: now, summedAt: now}
		g.accounts[id] = a
	}
	return a
}

// reserve is the right that the keeper may use itself.
func (g *Ledger) reserve(a *account) Right {
	r := Right{whole - min(a.used.Rate, whole), whole - min(a.used.Burst, whole)}
	switch {
	case g.settled:
	case g.isCounted:
		free := g.available()
		r = Right{free.Rate - min(a.used.Rate, free.Rate), free.Burst - min(a.used.Burst, free.Burst)}
	default:
		r = r.least(hardReserve)
	}
	return r
}

// capacity is how many operations the reserve can hold.
func (g *Ledger) capacity(a *account, limit Limit) float64 {
	return g.reserve(a).Burst.of(g.bound.pool(limit)) + reservePart*g.bound.Slack
}

// refill adds to the reserve what it got since the last call, and drops what is above its capacity. It must be
// called before and after each change of the holdings.
func (g *Ledger) refill(now core.Instant, a *account, limit Limit) {
	rate := g.reserve(a).Rate.of(limit.Rate)
	if !a.over {
		rate += reservePart * g.bound.Slack / g.bound.Window.Seconds()
	}
	a.tokens = min(a.tokens+rate*now.Sub(a.refilledAt).Seconds(), g.capacity(a, limit))
	a.refilledAt = now
	if now.Sub(a.summedAt) >= sumInterval {
		a.sum(now)
	}
}

// assign returns the right that a VM gets next. The sums of all that VMs may hold aren't above assignable afterwards.
func (g *Ledger) assign(a *account, h *holding, limit Limit) Right {
	if !g.isBased {
		return h.reported
	}
	if h.demand <= 0 {
		return Right{}
	}
	total := assignedInCalm
	if a.recent >= limit.Rate {
		total = assignedAbove
	}
	part := h.demand / max(a.demand, h.demand)
	others := Right{a.used.Rate - h.reported.Rate, a.used.Burst - h.reported.Burst}
	pool := g.bound.pool(limit)
	burst := shareOf(g.capacityOf(a, total.of(pool), part), pool, total)
	r := Right{
		Rate:  min(shareOf(headroom*h.demand, limit.Rate, whole), assignable.Rate, shareOf(assignable.Rate.of(part), 1, whole)),
		Burst: burst,
	}
	if a.over {
		// Where a limit is too small for buckets on all VMs, those that have one get all of it.
		r.Rate = max(r.Rate, shareOf(assignable.Rate.of(1), g.maxHolders(limit), assignable.Rate))
	}
	all := assignable
	switch {
	case g.settled:
	case g.isCounted:
		free := g.available()
		all = Right{free.Rate.part(assignable.Rate), free.Burst.part(assignable.Burst)}
	default:
		all = all.least(a.known)
	}
	r = r.least(Right{max(all.Rate, others.Rate) - others.Rate, max(all.Burst, others.Burst) - others.Burst})
	r = r.least(maxShare)
	if r.Burst.of(pool) < 1 {
		return Right{}
	}
	return r
}

// capacityOf returns the size of the bucket of a VM with the given part of the demand, if all of them together hold size operations. Buckets that can't hold an
// operation are of no use, so that half of the size is divided equally, or more if it is necessary for that.
func (g *Ledger) capacityOf(a *account, size, part float64) float64 {
	users := float64(max(1, a.users))
	least := max(min(wantedBurst, size/2/users), 1)
	return least + part*max(0, size-least*users) + 0.001
}

// maxHolders is the number of VMs that can have a bucket for at least one operation while the demand is above the limit.
func (g *Ledger) maxHolders(limit Limit) float64 {
	return max(1, assignedAbove.of(g.bound.pool(limit)))
}

// judge decides whether the demand is above the limit, and returns the demand in thousandths of the rate if so. A demand
// that may be chance or a burst doesn't count.
func (g *Ledger) judge(id core.OrganisationID, a *account, limit Limit) Milli {
	chance := 2 * math.Sqrt(limit.Rate/(2*recentTime.Seconds()))
	switch {
	case !g.settled && !g.isCounted || a.recent <= limit.Rate:
		g.setOver(id, a, false)
	case a.recent > limit.Rate+chance && a.tokens < 1:
		g.setOver(id, a, true)
	}
	if !a.over {
		return 0
	}
	return milliOf(a.recent / limit.Rate)
}

func (g *Ledger) setOver(id core.OrganisationID, a *account, over bool) {
	if a.over != over {
		a.over = over
		g.changes = append(g.changes, id)
	}
}

// TakeChanges returns the organisations whose demand went above or below the limit since the last call, with
// whether it is above.
func (g *Ledger) TakeChanges() map[core.OrganisationID]bool {
	if len(g.changes) == 0 {
		return nil
	}
	out := make(map[core.OrganisationID]bool, len(g.changes))
	for _, id := range g.changes {
		out[id] = g.accounts[id].over
	}
	g.changes = nil
	return out
}

// set records a VM's report.
func (a *account) set(now core.Instant, vm core.VMID, h holding) {
	a.remove(vm)
	h.at, h.until = now, now.Add(rightsLife+clockMargin)
	a.holdings[vm] = &h
	a.add(&h)
}

// answer records the answer to a VM's report.
func (a *account) answer(vm core.VMID, r Right) {
	h := a.holdings[vm]
	a.subtract(h)
	h.answered = r
	a.add(h)
}

func (a *account) remove(vm core.VMID) {
	if h, ok := a.holdings[vm]; ok {
		a.subtract(h)
		delete(a.holdings, vm)
	}
}

func (a *account) add(h *holding) {
	r := h.inUse()
	a.used.Rate += r.Rate
	a.used.Burst += r.Burst
	a.demand += h.demand
	a.recent += h.recent
	if h.demand > 0 {
		a.users++
	}
}

func (a *account) subtract(h *holding) {
	r := h.inUse()
	a.used.Rate -= r.Rate
	a.used.Burst -= r.Burst
	a.demand = max(0, a.demand-h.demand)
	a.recent = max(0, a.recent-h.recent)
	if h.demand > 0 {
		a.users--
	}
}

// sum drops expired holdings and computes the sums again.
func (a *account) sum(now core.Instant) {
	a.used, a.demand, a.recent, a.users, a.summedAt = Right{}, 0, 0, 0, now
	for vm, h := range a.holdings {
		if now >= h.until {
			delete(a.holdings, vm)
			continue
		}
		if now.Sub(h.at) > demandLife {
			h.demand, h.recent = 0, 0
		}
		a.add(h)
	}
}

// draw takes tokens from the reserve, for operations that wait and, while enough is left, for the room in the
// VM's bucket.
func (a *account) draw(item *AskItem, room, capacity, holders float64) Milli {
	want, left := item.Want.float(), a.tokens
	if a.over && a.demand > 0 {
		left *= min(1, drawFactor*max(item.Demand.float()/a.demand, 1/holders))
	}
	n := want
	if left < want {
		// A part of an operation would be of no use.
		n = max(0, want-math.Ceil(want-left))
	}
	spare := left - n
	if !a.over {
		spare = (spare - capacity/4) / 2
	}
	if n == want {
		n += min(max(0, room-want), max(0, spare))
	}
	out := milliOf(n)
	a.tokens -= out.float()
	return out
}
