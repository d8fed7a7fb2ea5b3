package queue

import "time"

// hopelessFactor is how far the expected wait of an item that already waits must exceed its time,
// since a spell of long statements makes estimates too high for a while.
const hopelessFactor = 2

// expectedWait estimates the time until the waiting item starts. It is the lower of two bounds: how
// long the kind's own work ahead takes at the rate that the kind is guaranteed or has had recently,
// and how long that work and all work that goes first take in the slots that more urgent ranks leave. The
// first item of a kind is never expected to wait, so that a wrong estimate is corrected by the next
// measurement.
func (s *Shares) expectedWait(now time.Time, it *Item) time.Duration {
	k := it.state
	ahead := k.ahead(it)
	if ahead == 0 {
		return 0
	}
	own := time.Duration(ahead) * k.service.value()
	if it.OpensTx {
		own = s.ownBeforeOpening(now, k, it, own)
	}
	return s.waitForOwn(now, k, ahead, own)
}

// ownBeforeOpening returns the kind's slot time that passes before a new transaction begins, given that
// of the items that wait now. While requests are refused, single statements always wait.
func (s *Shares) ownBeforeOpening(now time.Time, k *kindState, it *Item, waiting time.Duration) time.Duration {
	byShare := k.opening.ahead(position(k.opens, it), k.service.value())
	if now.Sub(k.overAt) < pressedTime {
		return byShare
	}
	return min(waiting, byShare)
}

// waitFor estimates how long an item of the kind waits that has so many others of it ahead.
func (s *Shares) waitFor(now time.Time, k *kindState, ahead int) time.Duration {
	return s.waitForOwn(now, k, ahead, time.Duration(ahead)*k.service.value())
}

// waitForOwn is waitFor with the slot time of the others.
func (s *Shares) waitForOwn(now time.Time, k *kindState, ahead int, own time.Duration) time.Duration {
	rate := max(s.guaranteed(k), k.served.slots(now))
	wait := min(time.Duration(float64(own)/rate), s.waitBehindRanks(now, k, own))
	return max(wait, k.waitForLimits(ahead, own))
}

// waitForLimits returns how long the row's own limits keep an item waiting that has so many others
// ahead, which take own in all.
func (k *kindState) waitForLimits(ahead int, own time.Duration) time.Duration {
	var wait time.Duration
	if k.policy.Rate > 0 {
		wait = time.Duration(float64(ahead) / k.policy.Rate * float64(time.Second))
	}
	if k.policy.Concurrency > 0 {
		wait = max(wait, own/time.Duration(k.policy.Concurrency))
	}
	return wait
}

// Expire takes out the items that can't start in time any more: those whose time is over, and at
// regular times also those that others ahead will keep from starting in time.
func (s *Shares) Expire(now time.Time) []*Item {
	late := s.base.Expire(now)
	if now.Sub(s.sweptAt) < sweepTime {
		return late
	}
	s.sweptAt = now
	for _, k := range s.list {
		late = s.dropHopeless(now, k, late)
	}
	return late
}

// dropHopeless takes out the newest items of the kind whose expected wait is too long.
func (s *Shares) dropHopeless(now time.Time, k *kindState, late []*Item) []*Item {
	for n := len(k.plain) - 1; n > 0; n-- {
		it := k.plain[n]
		wait := s.waitFor(now, k, len(k.inTx)+n)
		if !now.Add(wait / hopelessFactor).After(it.latest) {
			return late
		}
		it.refusal = &Refusal{Reason: "the expected wait became too long", RetryAfter: now.Add(wait).Sub(it.latest)}
		k.plain.remove(it)
		late = append(late, it)
	}
	return late
}

// ahead returns how many items of the kind start before the item.
func (k *kindState) ahead(it *Item) int {
	n := position(k.inTx, it)
	if !it.InTx {
		n += position(k.opens, it) + position(k.plain, it)
	}
	return n
}

// position returns how many items of the line start before the item: all, if it isn't in the line.
func position(line fifo, it *Item) int {
	for i := len(line) - 1; i >= 0; i-- {
		if line[i] == it {
			return i
		}
	}
	return len(line)
}

// guaranteed returns the slots that the kind keeps on average while it has work waiting.
func (s *Shares) guaranteed(k *kindState) float64 {
	weights := 0
	for _, other := range s.list {
		if other.policy.Rank == k.policy.Rank && (other == k || other.waiting() > 0) {
			weights += max(other.policy.Weight, 1)
		}
	}
	part := float64(max(k.policy.Weight, 1)) / float64(weights)
	return shares[k.policy.Rank] * float64(s.slots) * part
}

// waitBehindRanks returns how long the work that goes before the kind's own takes in the slots that
// more urgent ranks don't occupy. Of another kind of the rank, no more goes first than its weight
// entitles it to.
func (s *Shares) waitBehindRanks(now time.Time, k *kindState, own time.Duration) time.Duration {
	work := own
	left := float64(s.slots)
	for _, other := range s.list {
		if other == k || other.policy.Rank > k.policy.Rank {
			continue
		}
		waiting := time.Duration(other.waiting()) * other.service.value()
		if other.policy.Rank == k.policy.Rank {
			waiting = min(waiting, own*time.Duration(max(other.policy.Weight, 1))/time.Duration(max(k.policy.Weight, 1)))
		} else {
			left -= other.served.slots(now)
		}
		work += waiting
	}
	const leastLeft = 0.01
	return time.Duration(float64(work) / max(left, leastLeft))
}
