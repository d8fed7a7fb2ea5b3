package queue

import (
	"time"

	"snipewall/core"
)

// base is the common part of all schedulers: the kinds, the slots, the limits of the table rows and the
// maximum time in the queue. A scheduler adds the order.
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

// Add queues the item or refuses it.
func (b *base) Add(now time.Time, it *Item) *Refusal {
	k := b.find(it)
	it.arrived = now
	it.state = k
	it.latestStart = k.latestStart(now, it)
	if !now.Before(it.latestStart) {
		return &Refusal{Reason: "the deadline has passed"}
	}
	if k.waiting() >= b.maxWaiting {
		return &Refusal{Reason: "the queue is full", RetryAfter: it.latestStart.Sub(now)}
	}
	k.fifoFor(it).push(it)
	return nil
}

// ExpectedWait estimates the wait of an item as the time for all waiting items in all slots.
func (b *base) ExpectedWait(_ time.Time, it *Item) time.Duration {
	return time.Duration(b.Waiting()) * b.find(it).serviceTime.value() / time.Duration(b.slots)
}

// Remove removes a waiting item and reports whether it waited.
func (b *base) Remove(it *Item) bool {
	return it.state != nil && it.state.fifoFor(it).remove(it)
}

// Expire removes and returns the items that can no longer start in time.
func (b *base) Expire(now time.Time) []*Item {
	var late []*Item
	for _, k := range b.list {
		late = k.inTx.dropExpired(now, late)
		late = k.newTx.dropExpired(now, late)
		late = k.single.dropExpired(now, late)
	}
	return late
}

// Dump returns a snapshot for status output.
func (b *base) Dump() State {
	return State{
		Slots:            b.slots,
		Running:          b.running,
		OpenTransactions: b.open,
		Waiting:          b.Waiting(),
		Kinds:            b.dump(),
	}
}

func (b *base) startItem(now time.Time, it *Item) {
	k := it.state
	k.fifoFor(it).remove(it)
	k.running++
	k.rate.take(k.policy.Rate)
	it.rank = k.policy.Rank
	it.estimate = k.serviceTime.value()
	b.start(now, it)
}

// finish frees the slot of a started item and returns its service time.
func (b *base) finish(now time.Time, it *Item, ran bool) time.Duration {
	service := now.Sub(it.started)
	b.running--
	it.state.running--
	if ran {
		it.state.serviceTime.add(service)
	}
	return service
}

// candidate returns the item of the kind that would start now, or nil.
func (b *base) candidate(now time.Time, k *kindState) *Item {
	if k.waiting() == 0 || !k.canStart(now) {
		return nil
	}
	return k.next(b.canOpenTx())
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

// ranksWaiting reports which ranks have a kind that the filter admits.
func (b *base) ranksWaiting(admit func(k *kindState) bool) [core.RankCount]bool {
	var ranks [core.RankCount]bool
	for _, k := range b.list {
		if admit(k) {
			ranks[k.policy.Rank] = true
		}
	}
	return ranks
}
