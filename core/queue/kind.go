package queue

import (
	"cmp"
	"slices"
	"time"

	"snipewall/core"
)

// kindState is a scheduler's state of one kind.
type kindState struct {
	policy core.KindPolicy
	// Waiting items: statements of open transactions, first statements of new transactions, and single
	// statements.
	inTx, newTx, single fifo
	running             int
	serviceTime         estimate
	txAdmission         txAdmission
	// vtime is the virtual time of the kind within its rank: its slot time divided by its weight.
	vtime time.Duration
	rate  tokenBucket
	// refusedAt is when a request was last refused because of its expected wait.
	refusedAt time.Time
	// recentSlotTime measures the slot time of the kind.
	recentSlotTime meter
}

func (k *kindState) waiting() int { return len(k.inTx) + len(k.newTx) + len(k.single) }

func (k *kindState) fifoFor(it *Item) *fifo {
	switch {
	case it.InTx:
		return &k.inTx
	case it.OpensTx:
		return &k.newTx
	}
	return &k.single
}

// canStart reports whether the row's limits admit one more item.
func (k *kindState) canStart(now time.Time) bool {
	if k.policy.Concurrency > 0 && k.running >= k.policy.Concurrency {
		return false
	}
	return k.rate.available(now, k.policy.Rate)
}

// next returns the item to start first: statements of open transactions, then the oldest.
func (k *kindState) next(canOpenTx bool) *Item {
	if it := k.inTx.head(); it != nil {
		return it
	}
	a, b := k.single.head(), k.newTx.head()
	if b == nil || !canOpenTx {
		return a
	}
	if a == nil || b.arrived.Before(a.arrived) {
		return b
	}
	return a
}

// nextSingleFirst returns the item to start first: statements of open transactions, then single
// statements, unless a new transaction is due.
func (k *kindState) nextSingleFirst(canOpenTx bool) *Item {
	if it := k.inTx.head(); it != nil {
		return it
	}
	a, b := k.single.head(), k.newTx.head()
	if b == nil || !canOpenTx || (a != nil && !k.txAdmission.isDue(k.serviceTime.value())) {
		return a
	}
	return b
}

// tokenBucket is a token bucket with a rate that may change at any time.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

// rateBurst is the time over which a kind's rate is averaged.
const rateBurst = 100 * time.Millisecond

// available refills the bucket and reports whether it has a token. A rate of 0 means no limit.
func (b *tokenBucket) available(now time.Time, rate float64) bool {
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

func (b *tokenBucket) take(rate float64) {
	if rate > 0 {
		b.tokens--
	}
}

// kinds holds the state of each kind and keeps its table row up to date.
type kinds struct {
	policies core.Policies
	states   map[core.Kind]*kindState
	// list holds the same states in a fixed order, so that decisions are reproducible.
	list []*kindState
}

func newKinds(policies core.Policies) kinds {
	return kinds{policies: policies, states: make(map[core.Kind]*kindState)}
}

// unlistedKind is the kind that all kinds of the rank without a row share, so that arbitrary names of
// kinds don't use up memory.
func unlistedKind(r core.Rank) core.Kind { return core.Kind("unlisted/" + r.String()) }

// find returns the state of the item's kind and creates it if necessary.
func (ks *kinds) find(it *Item) *kindState {
	policy, ok := ks.policies.Policy(it.Kind)
	if !ok {
		rank := min(it.Rank, core.RankLast)
		policy = core.KindPolicy{Kind: unlistedKind(rank), Rank: rank}
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

// refresh reads the rows of all kinds with waiting work. A kind whose row was deleted keeps its last
// one.
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

// latestStart returns the latest useful start of an item that arrived at now.
func (k *kindState) latestStart(now time.Time, it *Item) time.Time {
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
		return k.serviceTime.value()
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

func (ks *kinds) dump() []KindState {
	var out []KindState
	for _, k := range ks.list {
		out = append(out, KindState{
			Kind:      k.policy.Kind,
			Rank:      k.policy.Rank.String(),
			Waiting:   k.waiting(),
			Running:   k.running,
			ServiceMs: float64(k.serviceTime.value()) / float64(time.Millisecond),
		})
	}
	return out
}
