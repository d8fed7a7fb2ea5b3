package queue

import (
	"time"

	"snipewall/core"
)

// FCFS is a baseline: first-come first-served.
type FCFS struct{ base }

// NewFCFS returns a first-come first-served scheduler.
func NewFCFS(cfg Config) *FCFS { return &FCFS{newBase(cfg)} }

// Next takes the oldest item.
func (s *FCFS) Next(now time.Time) *Item {
	if s.full() {
		return nil
	}
	s.refresh()
	it := s.oldest(now, func(*kindState) bool { return true })
	if it != nil {
		s.take(now, it)
	}
	return it
}

// Done ends an item.
func (s *FCFS) Done(now time.Time, it *Item, ran bool) { s.finish(now, it, ran) }

// StrictPriority is a baseline: the most urgent rank with waiting work always goes first.
type StrictPriority struct{ base }

// NewStrictPriority returns a scheduler of strict priority.
func NewStrictPriority(cfg Config) *StrictPriority { return &StrictPriority{newBase(cfg)} }

// Next takes the oldest item of the most urgent rank.
func (s *StrictPriority) Next(now time.Time) *Item {
	if s.full() {
		return nil
	}
	s.refresh()
	for r := range core.Rank(core.RankCount) {
		it := s.oldest(now, func(k *kindState) bool { return k.policy.Rank == r })
		if it != nil {
			s.take(now, it)
			return it
		}
	}
	return nil
}

// Done ends an item.
func (s *StrictPriority) Done(now time.Time, it *Item, ran bool) { s.finish(now, it, ran) }

// EqualShares is a baseline: each rank gets a fixed, equal share of the slot time while it has work
// waiting. What a rank doesn't use is spread over the others.
type EqualShares struct {
	base
	served [core.RankCount]time.Duration
	busy   [core.RankCount]bool
}

// NewEqualShares returns a scheduler of equal shares.
func NewEqualShares(cfg Config) *EqualShares { return &EqualShares{base: newBase(cfg)} }

// Next takes the oldest item of the rank that was served least.
func (s *EqualShares) Next(now time.Time) *Item {
	if s.full() {
		return nil
	}
	s.refresh()
	waiting := s.ranksWaiting(func(k *kindState) bool { return s.candidate(now, k) != nil })
	s.join(waiting)
	best := -1
	for r, ok := range waiting {
		if ok && (best < 0 || s.served[r] < s.served[best]) {
			best = r
		}
	}
	if best < 0 {
		return nil
	}
	it := s.oldest(now, func(k *kindState) bool { return k.policy.Rank == core.Rank(best) })
	s.take(now, it)
	s.served[best] += it.estimate
	return it
}

// join lets a rank that had no work start level with the others, so that it has no claim on the
// time at which it was idle.
func (s *EqualShares) join(waiting [core.RankCount]bool) {
	least := time.Duration(-1)
	for r := range waiting {
		if s.busy[r] && (least < 0 || s.served[r] < least) {
			least = s.served[r]
		}
	}
	for r := range waiting {
		if waiting[r] && !s.busy[r] {
			s.served[r] = max(s.served[r], least)
		}
	}
	s.busy = waiting
}

// Done ends an item and charges its measured service time.
func (s *EqualShares) Done(now time.Time, it *Item, ran bool) {
	s.served[it.rank] += s.finish(now, it, ran) - it.estimate
}
