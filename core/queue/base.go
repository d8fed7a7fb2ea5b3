package queue

import (
	"time"

	"snipewall/core"
)

// base is what all schedulers have in common: the kinds, the slots, the limits of the rows and the
// bounded time in the queue. A scheduler adds the order.
type base struct {
	occupancy
	kinds
	maxWaiting int
}

func newBase(cfg Config) base {
	b := base{
		occupancy:  occupancy{slots: max(cfg.Slots, 1), maxOpen: cfg.MaxOpen},
		kinds:      newKinds(cfg.Policies),
		maxWaiting: cfg.MaxWaiting,
	}
	if b.maxWaiting <= 0 {
		b.maxWaiting = defaultMaxWaiting
	}
	return b
}

// Add lets the item wait, or refuses it.
func (b *base) Add(now time.Time, it *Item) *Refusal {
	k := b.find(it)
	it.arrived = now
	it.state = k
	it.latest = k.latest(now, it)
	if !now.Before(it.latest) {
		return &Refusal{Reason: "the deadline has passed"}
	}
	if k.waiting() >= b.maxWaiting {
		return &Refusal{Reason: "the queue is full", RetryAfter: it.latest.Sub(now)}
	}
	k.line(it).push(it)
	return nil
}

// Remove takes out a waiting item.
func (b *base) Remove(it *Item) bool {
	return it.state != nil && it.state.line(it).remove(it)
}

// Expire takes out the items that can't start in time any more.
func (b *base) Expire(now time.Time) []*Item {
	var late []*Item
	for _, k := range b.list {
		late = k.inTx.dropLate(now, late)
		late = k.opens.dropLate(now, late)
		late = k.plain.dropLate(now, late)
	}
	return late
}

// Dump returns the state.
func (b *base) Dump() State {
	return State{
		Slots:            b.slots,
		Running:          b.running,
		OpenTransactions: b.open,
		Waiting:          b.Waiting(),
		Kinds:            b.dump(),
	}
}

// take starts the waiting item.
func (b *base) take(now time.Time, it *Item) {
	k := it.state
	k.line(it).remove(it)
	k.running++
	k.rate.take(k.policy.Rate)
	it.rank = k.policy.Rank
	it.estimate = k.service.value()
	b.start(now, it)
}

// finish ends a started item and returns its service time.
func (b *base) finish(now time.Time, it *Item, ran bool) time.Duration {
	service := now.Sub(it.started)
	b.running--
	it.state.running--
	if ran {
		it.state.service.add(service)
	}
	return service
}

// candidate returns the item that the kind would start now, or nil.
func (b *base) candidate(now time.Time, k *kindState) *Item {
	if k.waiting() == 0 || !k.mayStart(now) {
		return nil
	}
	return k.next(b.mayOpen())
}

// oldest returns the candidate that arrived first among the kinds that the filter admits.
func (b *base) oldest(now time.Time, admit func(k *kindState) bool) *Item {
	var first *Item
	for _, k := range b.list {
		if !admit(k) {
			continue
		}
		it := b.candidate(now, k)
		if it != nil && (first == nil || it.arrived.Before(first.arrived)) {
			first = it
		}
	}
	return first
}

// ranksWaiting tells which ranks have work that the filter admits.
func (b *base) ranksWaiting(admit func(k *kindState) bool) [core.RankCount]bool {
	var ranks [core.RankCount]bool
	for _, k := range b.list {
		if admit(k) {
			ranks[k.policy.Rank] = true
		}
	}
	return ranks
}
