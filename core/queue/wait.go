package queue

import "time"

// lateRefusalFactor is the factor by which the expected wait of a waiting item must exceed its
// remaining time for a refusal, since estimates are too high for a while after a series of long
// statements.
const lateRefusalFactor = 2

// expectedWait estimates the time until the waiting item starts. It is the lower of two bounds: the
// time for the kind's own work ahead at the kind's guaranteed or recent rate, and the time for that
// work and all work with precedence in the slots that more urgent ranks leave. The first item of a kind
// has no expected wait, so that a wrong estimate is corrected by the next measurement.
func (s *Shares) expectedWait(now time.Time, it *Item) time.Duration {
	k := it.state
	ahead := k.itemsAhead(it)
	if ahead == 0 {
		return 0
	}
	own := time.Duration(ahead) * k.serviceTime.value()
	if it.OpensTx {
		own = s.slotTimeBeforeTx(now, k, it, own)
	}
	return s.waitForSlotTime(now, k, ahead, own)
}

// ExpectedWait implements Scheduler.
func (s *Shares) ExpectedWait(now time.Time, it *Item) time.Duration {
	it.state = s.find(it)
	return s.expectedWait(now, it)
}

// slotTimeBeforeTx returns the slot time that the kind uses before a new transaction begins. waiting is
// that of the items that wait now. While requests are refused, single statements wait all the time.
func (s *Shares) slotTimeBeforeTx(now time.Time, k *kindState, it *Item, waiting time.Duration) time.Duration {
	byShare := k.txAdmission.slotTimeAhead(itemsBefore(k.newTx, it), k.serviceTime.value())
	if now.Sub(k.refusedAt) < overloadTime {
		return byShare
	}
	return min(waiting, byShare)
}

// waitBehind estimates the wait of an item behind this many others of its kind.
func (s *Shares) waitBehind(now time.Time, k *kindState, ahead int) time.Duration {
	return s.waitForSlotTime(now, k, ahead, time.Duration(ahead)*k.serviceTime.value())
}

// waitForSlotTime estimates the wait of an item behind this many others of its kind, which take the
// slot time own.
func (s *Shares) waitForSlotTime(now time.Time, k *kindState, ahead int, own time.Duration) time.Duration {
	rate := max(s.guaranteedSlots(k), k.recentSlotTime.slots(now))
	wait := min(time.Duration(float64(own)/rate), s.waitBehindRanks(now, k, own))
	return max(wait, k.waitForRowLimits(ahead, own))
}

// waitForRowLimits returns how long the row's limits delay an item behind this many others, which take
// the slot time own.
func (k *kindState) waitForRowLimits(ahead int, own time.Duration) time.Duration {
	var wait time.Duration
	if k.policy.Rate > 0 {
		wait = time.Duration(float64(ahead) / k.policy.Rate * float64(time.Second))
	}
	if k.policy.Concurrency > 0 {
		wait = max(wait, own/time.Duration(k.policy.Concurrency))
	}
	return wait
}

// Expire removes and returns the items that can no longer start in time, and at most once per
// sweepInterval also those whose expected wait has become too long.
func (s *Shares) Expire(now time.Time) []*Item {
	late := s.base.Expire(now)
	if now.Sub(s.sweptAt) < sweepInterval {
		return late
	}
	s.sweptAt = now
	for _, k := range s.list {
		late = s.refuseNewest(now, k, late)
	}
	return late
}

// refuseNewest refuses the newest single statements of the kind while their expected wait is too long.
func (s *Shares) refuseNewest(now time.Time, k *kindState, late []*Item) []*Item {
	for n := len(k.single) - 1; n > 0; n-- {
		it := k.single[n]
		wait := s.waitBehind(now, k, len(k.inTx)+n)
		if !now.Add(wait / lateRefusalFactor).After(it.latestStart) {
			return late
		}
		it.refusal = &Refusal{Reason: "the expected wait became too long", RetryAfter: now.Add(wait).Sub(it.latestStart)}
		k.single.remove(it)
		late = append(late, it)
	}
	return late
}

// itemsAhead returns the number of items of the kind that start before the item.
func (k *kindState) itemsAhead(it *Item) int {
	n := itemsBefore(k.inTx, it)
	if !it.InTx {
		n += itemsBefore(k.newTx, it) + itemsBefore(k.single, it)
	}
	return n
}

// itemsBefore returns the number of items before the item in the fifo: all, if it isn't in the fifo.
func itemsBefore(f fifo, it *Item) int {
	for i := len(f) - 1; i >= 0; i-- {
		if f[i] == it {
			return i
		}
	}
	return len(f)
}

// guaranteedSlots returns the average number of slots that the kind is guaranteed while it has work
// waiting.
func (s *Shares) guaranteedSlots(k *kindState) float64 {
	weights := 0
	for _, other := range s.list {
		if other.policy.Rank == k.policy.Rank && (other == k || other.waiting() > 0) {
			weights += max(other.policy.Weight, 1)
		}
	}
	part := float64(max(k.policy.Weight, 1)) / float64(weights)
	return rankShares[k.policy.Rank] * float64(s.slots) * part
}

// waitBehindRanks returns the time for the kind's own work and all work with precedence in the slots
// that more urgent ranks don't occupy. Of another kind of the same rank, only as much counts as its
// weight entitles it to.
func (s *Shares) waitBehindRanks(now time.Time, k *kindState, own time.Duration) time.Duration {
	work := own
	left := float64(s.slots)
	for _, other := range s.list {
		if other == k || other.policy.Rank > k.policy.Rank {
			continue
		}
		waiting := time.Duration(other.waiting()) * other.serviceTime.value()
		if other.policy.Rank == k.policy.Rank {
			waiting = min(waiting, own*time.Duration(max(other.policy.Weight, 1))/time.Duration(max(k.policy.Weight, 1)))
		} else {
			left -= other.recentSlotTime.slots(now)
		}
		work += waiting
	}
	const minSlotsLeft = 0.01
	return time.Duration(float64(work) / max(left, minSlotsLeft))
}
