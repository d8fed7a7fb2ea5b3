package queue

import (
	"cmp"
	"slices"
	"time"

	"snipewall/core"
)

// kindState is what a scheduler knows about one kind.
type kindState struct {
	policy core.KindPolicy
	// Waiting items by what they need: a statement of an open transaction, a new transaction, or
	// just a slot.
	inTx, opens, plain fifo
	running            int
	service            estimate
	opening            opening
	// vtime is the slot time served per weight, the kind's virtual time within its rank.
	vtime time.Duration
	rate  bucket
	// overAt is when a request was refused last because of its expected wait.
	overAt time.Time
	// served is the slot time that the kind got recently.
	served meter
}

func (k *kindState) waiting() int { return len(k.inTx) + len(k.opens) + len(k.plain) }

func (k *kindState) line(it *Item) *fifo {
	switch {
	case it.InTx:
		return &k.inTx
	case it.OpensTx:
		return &k.opens
	}
	return &k.plain
}

// mayStart reports whether the row's limits admit one more item.
func (k *kindState) mayStart(now time.Time) bool {
	if k.policy.Concurrency > 0 && k.running >= k.policy.Concurrency {
		return false
	}
	return k.rate.available(now, k.policy.Rate)
}

// next returns the waiting item that starts first: statements of open transactions, then by age.
func (k *kindState) next(mayOpen bool) *Item {
	if it := k.inTx.head(); it != nil {
		return it
	}
	a, b := k.plain.head(), k.opens.head()
	if b == nil || !mayOpen {
		return a
	}
	if a == nil || b.arrived.Before(a.arrived) {
		return b
	}
	return a
}

// nextSingleFirst returns the waiting item that starts first: statements of open transactions, then
// single statements, unless a new transaction is due.
func (k *kindState) nextSingleFirst(mayOpen bool) *Item {
	if it := k.inTx.head(); it != nil {
		return it
	}
	a, b := k.plain.head(), k.opens.head()
	if b == nil || !mayOpen || (a != nil && !k.opening.isDue(k.service.value())) {
		return a
	}
	return b
}

// bucket is a token bucket for a rate that may change at any time.
type bucket struct {
	tokens float64
	at     time.Time
}

// rateBurst is the time over which a kind's rate is averaged.
const rateBurst = 100 * time.Millisecond

// available reports whether a token is there. A rate of 0 has no limit.
func (b *bucket) available(now time.Time, rate float64) bool {
	if rate <= 0 {
		return true
	}
	most := max(1, rate*rateBurst.Seconds())
	if b.at.IsZero() {
		b.tokens = most
	} else {
		b.tokens = min(most, b.tokens+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	return b.tokens >= 1
}

func (b *bucket) take(rate float64) {
	if rate > 0 {
		b.tokens--
	}
}

// kinds holds the states by kind and keeps their rows up to date.
type kinds struct {
	policies core.Policies
	states   map[core.Kind]*kindState
	// list has the same states in a fixed order, so that decisions are reproducible.
	list []*kindState
}

func newKinds(policies core.Policies) kinds {
	return kinds{policies: policies, states: make(map[core.Kind]*kindState)}
}

// unlisted names the common state of all kinds of the rank that have no row, so that made-up names
// don't fill the memory.
func unlisted(r core.Rank) core.Kind { return core.Kind("unlisted/" + r.String()) }

// find returns the state of the item's kind.
func (ks *kinds) find(it *Item) *kindState {
	policy, ok := ks.policies.Policy(it.Kind)
	if !ok {
		rank := min(it.Rank, core.RankLast)
		policy = core.KindPolicy{Kind: unlisted(rank), Rank: rank}
	}
	if k, ok := ks.states[policy.Kind]; ok {
		k.policy = policy
		return k
	}
	k := &kindState{policy: policy}
	ks.states[policy.Kind] = k
	i, _ := slices.BinarySearchFunc(ks.list, k, func(a, b *kindState) int {
		return cmp.Compare(a.policy.Kind, b.policy.Kind)
	})
	ks.list = slices.Insert(ks.list, i, k)
	return k
}

// refresh reads the rows of all kinds that have work waiting. A kind whose row is gone keeps it.
func (ks *kinds) refresh() {
	for _, k := range ks.list {
		if k.waiting() == 0 {
			continue
		}
		if policy, ok := ks.policies.Policy(k.policy.Kind); ok {
			k.policy = policy
		}
	}
}

// latest returns the last useful start of an item that arrived at now.
func (k *kindState) latest(now time.Time, it *Item) time.Time {
	queueTime := k.policy.QueueTime
	if queueTime <= 0 {
		queueTime = defaultQueueTime
	}
	t := now.Add(queueTime)
	if !it.Deadline.IsZero() && it.Deadline.Before(t) {
		return it.Deadline
	}
	return t
}

// Estimate returns the expected service time of the kind.
func (ks *kinds) Estimate(kind core.Kind) time.Duration {
	if k, ok := ks.states[kind]; ok {
		return k.service.value()
	}
	return defaultService
}

// Waiting returns the number of waiting items.
func (ks *kinds) Waiting() int {
	n := 0
	for _, k := range ks.list {
		n += k.waiting()
	}
	return n
}

// dump returns the states of the kinds.
func (ks *kinds) dump() []KindState {
	var out []KindState
	for _, k := range ks.list {
		out = append(out, KindState{
			Kind:      k.policy.Kind,
			Rank:      k.policy.Rank.String(),
			Waiting:   k.waiting(),
			Running:   k.running,
			ServiceMs: float64(k.service.value()) / float64(time.Millisecond),
		})
	}
	return out
}
