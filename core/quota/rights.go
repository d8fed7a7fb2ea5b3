package quota

import (
	"maps"
	"time"

	"snipewall/core"
)

// leftTime is how long a VM remembers the terms that it has left. Their keepers have given up by then.
const leftTime = 30 * time.Second

// rights holds the decisions of a VM: whom it follows as the keeper, and the buckets of the organisations that its
// callers use. It is not safe for concurrent use.
type rights struct {
	self   core.VMID
	bound  Bound
	limits func(core.OrganisationID) (Limit, bool)

	incarnation int64
	// seq is that of the last request or report.
	seq  uint64
	term Term
	// left holds the terms that were followed before. Their keepers may assign rights that a later keeper doesn't
	// know of, so that the VM never returns to them.
	left    map[Term]core.Instant
	buckets map[core.OrganisationID]*bucket
}

func newRights(self core.VMID, bound Bound, incarnation int64, limits func(core.OrganisationID) (Limit, bool)) *rights {
	return &rights{
		self: self, bound: bound, limits: limits, incarnation: incarnation,
		left: make(map[Term]core.Instant), buckets: make(map[core.OrganisationID]*bucket),
	}
}

// follow makes the VM use the keeper of the term. It returns false if the VM has left that term.
func (r *rights) follow(now core.Instant, t Term) bool {
	if t == r.term {
		return true
	}
	if _, ok := r.left[t]; ok {
		return false
	}
	maps.DeleteFunc(r.left, func(_ Term, at core.Instant) bool { return now.Sub(at) > leftTime })
	if r.term != (Term{}) {
		r.left[r.term] = now
	}
	r.term = t
	// An answer of the old keeper must not be used any more.
	r.seq++
	return true
}

func (r *rights) bucket(now core.Instant, id core.OrganisationID) *bucket {
	b, ok := r.buckets[id]
	if !ok {
		b = &bucket{bound: r.bound, refilledAt: now}
		r.buckets[id] = b
	}
	return b
}

// request returns the next request to the keeper. A partial one has only the organisations whose buckets are
// empty.
func (r *rights) request(now core.Instant, partial, enlisted bool) *AskRequest {
	r.seq++
	q := &AskRequest{VM: r.self, Incarnation: r.incarnation, Seq: r.seq, Term: r.term, Enlisted: enlisted, Partial: partial}
	for id, b := range r.buckets {
		limit, ok := r.limits(id)
		if !ok {
			b.right, b.tokens = Right{}, 0
			continue
		}
		if partial && !b.isShort(now, limit) {
			continue
		}
		item, ok := b.item(now, id, limit)
		if !ok {
			delete(r.buckets, id)
			continue
		}
		b.asked = len(b.waiting)
		q.Items = append(q.Items, item)
	}
	return q
}

// report returns all rights for the keeper of the term, which the VM follows from now on.
func (r *rights) report(now core.Instant, t Term, enlisted bool) ReportAnswer {
	if !r.follow(now, t) {
		return ReportAnswer{}
	}
	return ReportAnswer{OK: true, Report: *r.request(now, false, enlisted)}
}

// apply uses the answer to a request that was sent at sentAt. It returns false if there was a later request or report
// since, whose receiver doesn't know of the answer.
func (r *rights) apply(now, sentAt core.Instant, q *AskRequest, a *AskAnswer) bool {
	if q.Seq != r.seq || q.Term != r.term || q.Incarnation != r.incarnation {
		return false
	}
	answered := make(map[core.OrganisationID]bool, len(a.Items))
	for i := range a.Items {
		item := &a.Items[i]
		answered[item.Organisation] = true
		limit, ok := r.limits(item.Organisation)
		b := r.buckets[item.Organisation]
		if !ok || b == nil {
			continue
		}
		if !a.Keep {
			b.adopt(now, sentAt, limit, item)
		}
		tokens := item.Tokens.float()
		if now.Sub(sentAt) > r.bound.transit(limit) {
			tokens = 0
		}
		b.serve(now, limit, tokens)
		if b.isOver(now) {
			b.refuse(now, limit)
		}
	}
	for i := range q.Items {
		if a.Keep {
			break
		}
		// The keeper knows of no limit, and counts the VM as one without rights.
		if b := r.buckets[q.Items[i].Organisation]; b != nil && !answered[q.Items[i].Organisation] {
			b.right, b.tokens = Right{}, 0
		}
	}
	return true
}

// restart drops all rights and uses an incarnation that is later than the given one, which a keeper knows.
func (r *rights) restart(incarnation int64) {
	r.incarnation = incarnation + 1
	r.seq = 0
	for _, b := range r.buckets {
		b.right, b.tokens, b.until = Right{}, 0, 0
	}
}

// held is the number of organisations of which the VM holds rights.
func (r *rights) held() int {
	n := 0
	for _, b := range r.buckets {
		if b.right != (Right{}) {
			n++
		}
	}
	return n
}

// hasUse reports whether there are organisations whose keeper needs to hear from the VM.
func (r *rights) hasUse() bool { return len(r.buckets) > 0 }

// demand reports whether operations wait for the keeper, and whether some of them are new to it.
func (r *rights) demand(now core.Instant) (waiting, isNew bool) {
	for _, b := range r.buckets {
		if b.isOver(now) {
			continue
		}
		waiting = waiting || len(b.waiting) > 0
		isNew = isNew || len(b.waiting) > b.asked
	}
	return waiting, isNew
}

// nextToken returns when a bucket can serve a waiting operation by itself.
func (r *rights) nextToken(now core.Instant) (core.Instant, bool) {
	var next core.Instant
	found := false
	for id, b := range r.buckets {
		limit, ok := r.limits(id)
		if !ok {
			continue
		}
		if at, ok := b.nextToken(now, limit); ok && (!found || at < next) {
			next, found = at, true
		}
	}
	return next, found
}

// serve lets waiting operations run that have a right now, or whose organisation is no longer limited.
func (r *rights) serve(now core.Instant) {
	for id, b := range r.buckets {
		if limit, ok := r.limits(id); ok {
			b.serve(now, limit, 0)
			continue
		}
		for _, w := range b.waiting {
			w.granted <- Verdict{OK: true}
		}
		delete(r.buckets, id)
	}
}
