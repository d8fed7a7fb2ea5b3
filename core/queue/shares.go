package queue

import (
	"time"

	"snipewall/core"
)

// shares is the share of the slot time that each rank keeps while it has work waiting.
var shares = [core.RankCount]float64{core.RankUrgent: 0.6, core.RankMiddle: 0.3, core.RankLast: 0.1}

const (
	// creditIdle and creditWaiting limit the credit of a rank, as a time over which its share
	// accrues. A rank that waits behind long statements keeps its claim longer than an idle one.
	creditIdle    = 50 * time.Millisecond
	creditWaiting = time.Second
	// txOverdraft is how far statements of open transactions may run ahead of their rank's share, as
	// a time over which the share accrues.
	txOverdraft = 200 * time.Millisecond
	// maxDebt limits the debt of a rank that ran long statements, as a time over which its share
	// repays it.
	maxDebt = 30 * time.Second
)

const (
	// pressedTime is how long a kind's queue counts as past its limit after a refusal.
	pressedTime = 100 * time.Millisecond
	// pressedShare divides the accepted wait while a kind's queue is past its limit.
	pressedShare = 4
)

// Shares is the proxy's scheduler. The most urgent rank goes first, but each rank with work waiting
// keeps its guaranteed share of the slot time, and the kinds of a rank split the rank's time by
// weight. Shares are kept in measured service time.
type Shares struct {
	base
	at time.Time
	// sweptAt is when Expire looked for items without a chance.
	sweptAt time.Time
	// credit is the slot time that a rank may claim ahead of more urgent ranks; negative if it has
	// used more than its share.
	credit [core.RankCount]time.Duration
	// urgentAt is when a request of the urgent rank arrived last, runningLong the number of long
	// statements of other ranks that run.
	urgentAt    time.Time
	runningLong int
	// holdLong tells that no more long statements may start.
	holdLong bool
	// vtime is the virtual time of each rank: that of the kind that was served least when it was
	// served last.
	vtime [core.RankCount]time.Duration
}

// NewShares returns the proxy's scheduler.
func NewShares(cfg Config) *Shares { return &Shares{base: newBase(cfg)} }

// Add lets the item wait, or refuses it if its expected wait is too long.
func (s *Shares) Add(now time.Time, it *Item) *Refusal {
	if refusal := s.base.Add(now, it); refusal != nil {
		return refusal
	}
	limit := it.latest.Sub(now)
	if now.Sub(it.state.overAt) < pressedTime {
		limit /= pressedShare
	}
	if wait := s.expectedWait(now, it); wait > limit {
		s.Remove(it)
		it.state.overAt = now
		return &Refusal{Reason: "the expected wait is too long", RetryAfter: wait - limit}
	}
	if it.state.policy.Rank == core.RankUrgent {
		s.urgentAt = now
	}
	if k := it.state; k.waiting() == 1 {
		// A kind that had no work has no claim on the time at which it was idle.
		k.vtime = max(k.vtime, s.vtime[k.policy.Rank])
	}
	return nil
}

// Next takes the item that starts now: of the most urgent rank that has credit, otherwise of the
// most urgent rank.
func (s *Shares) Next(now time.Time) *Item {
	if s.full() {
		return nil
	}
	s.refresh()
	s.holdLong = s.mustHoldLong(now)
	waiting := s.ranksWaiting(func(k *kindState) bool { return s.candidate(now, k) != nil })
	s.accrue(now, waiting)
	k := s.pickTx(now)
	if k == nil {
		rank, ok := s.pickRank(waiting)
		if !ok {
			return nil
		}
		k = s.pickKind(now, rank)
	}
	it := s.candidate(now, k)
	if s.lead(k) == 0 {
		s.vtime[k.policy.Rank] = max(s.vtime[k.policy.Rank], k.vtime)
	}
	s.take(now, it)
	k.opening.started(it)
	it.contested = contested(waiting, k.policy.Rank)
	it.long = s.isLong(k)
	if it.long {
		s.runningLong++
	}
	s.charge(it, it.estimate)
	return it
}

// Done ends an item and corrects its charge to the measured service time.
func (s *Shares) Done(now time.Time, it *Item, ran bool) {
	d := s.finish(now, it, ran)
	it.state.served.add(now, d)
	if it.long {
		s.runningLong--
	}
	s.charge(it, d-it.estimate)
}

// accrue adds each rank's share of the time since the last call to its credit.
func (s *Shares) accrue(now time.Time, waiting [core.RankCount]bool) {
	dt := now.Sub(s.at)
	if s.at.IsZero() {
		dt = 0
	}
	s.at = now
	for r := range s.credit {
		most := s.share(r, creditIdle)
		if waiting[r] {
			most = s.share(r, creditWaiting)
		}
		s.credit[r] = min(s.credit[r]+s.share(r, dt), most)
	}
}

// share returns the slot time that the rank is guaranteed over d.
func (s *Shares) share(r int, d time.Duration) time.Duration {
	return time.Duration(shares[r] * float64(s.slots) * float64(d))
}

func (s *Shares) pickRank(waiting [core.RankCount]bool) (core.Rank, bool) {
	first := -1
	for r, ok := range waiting {
		if !ok {
			continue
		}
		if s.credit[r] > 0 {
			return core.Rank(r), true
		}
		if first < 0 {
			first = r
		}
	}
	return core.Rank(max(first, 0)), first >= 0
}

// pickTx returns the kind whose statement of an open transaction goes before everything else, since
// the transaction holds a connection and locks. A rank may run ahead of its share by txOverdraft
// for this, and a kind ahead of the others of its rank, so that transactions don't take their
// shares.
func (s *Shares) pickTx(now time.Time) *kindState {
	var best *kindState
	for _, k := range s.list {
		if len(k.inTx) == 0 || s.candidate(now, k) == nil {
			continue
		}
		overdraft := s.share(int(k.policy.Rank), txOverdraft)
		if s.credit[k.policy.Rank] <= -overdraft || s.lead(k) >= overdraft {
			continue
		}
		if best == nil || k.inTx[0].arrived.Before(best.inTx[0].arrived) {
			best = k
		}
	}
	return best
}

// lead returns how far the kind's virtual time is ahead of the other kinds of its rank that have
// work waiting.
func (s *Shares) lead(k *kindState) time.Duration {
	lead := time.Duration(0)
	for _, other := range s.list {
		if other != k && other.policy.Rank == k.policy.Rank && other.waiting() > 0 {
			lead = max(lead, k.vtime-other.vtime)
		}
	}
	return lead
}

// pickKind returns the rank's kind that was served least per weight.
func (s *Shares) pickKind(now time.Time, rank core.Rank) *kindState {
	var best *kindState
	for _, k := range s.list {
		if k.policy.Rank != rank || s.candidate(now, k) == nil {
			continue
		}
		if best == nil || k.vtime < best.vtime {
			best = k
		}
	}
	return best
}

// contested reports whether another rank has work waiting.
func contested(waiting [core.RankCount]bool, rank core.Rank) bool {
	for r, ok := range waiting {
		if ok && core.Rank(r) != rank {
			return true
		}
	}
	return false
}

// charge subtracts slot time from the credit of the item's rank and advances its kind. Slot time
// that no other rank wanted is free, so that a rank that used idle slots isn't starved once the
// others come.
func (s *Shares) charge(it *Item, d time.Duration) {
	if r := it.rank; it.contested {
		s.credit[r] = max(s.credit[r]-d, -s.share(int(r), maxDebt))
	}
	it.state.vtime += d / time.Duration(max(it.state.policy.Weight, 1))
}
