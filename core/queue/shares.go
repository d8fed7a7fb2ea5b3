package queue

import (
	"time"

	"snipewall/core"
)

// rankShares is the share of the slot time that is guaranteed to each rank while it has work waiting.
var rankShares = [core.RankCount]float64{core.RankUrgent: 0.6, core.RankMiddle: 0.3, core.RankLast: 0.1}

const (
	// maxIdleCredit and maxWaitingCredit limit the credit of a rank to what its share accrues over this
	// time. A rank that waits behind long statements keeps more credit than an idle one.
	maxIdleCredit    = 50 * time.Millisecond
	maxWaitingCredit = time.Second
	// txOverdraft is how far statements of open transactions may exceed their rank's share, as the time
	// over which the share accrues that much.
	txOverdraft = 200 * time.Millisecond
	// maxDebt limits the debt of a rank that ran long statements to what its share accrues over this
	// time.
	maxDebt = 30 * time.Second
)

const (
	// overloadTime is how long a kind counts as overloaded after a refusal because of its expected wait.
	overloadTime = 100 * time.Millisecond
	// overloadWaitDivisor divides the accepted wait of an overloaded kind, so that no standing queue
	// forms.
	overloadWaitDivisor = 4
)

// Shares is the scheduler of the proxy. The most urgent rank goes first, but each rank with work
// waiting keeps its guaranteed share of the slot time, and the kinds of a rank divide its time by
// weight. Shares are accounted in measured service time.
type Shares struct {
	base
	accruedAt time.Time
	// sweptAt is when Expire last refused items whose expected wait was too long.
	sweptAt time.Time
	// credit is the slot time that a rank may use ahead of more urgent ranks; negative if it has used
	// more than its share.
	credit [core.RankCount]time.Duration
	// urgentAt is when the last request of the urgent rank arrived, and runningLong is the number of
	// running long statements of other ranks.
	urgentAt    time.Time
	runningLong int
	// holdLong is set if no more long statements may start.
	holdLong bool
	// vtime is the virtual time of each rank, at which kinds that had no work join. It follows the
	// virtual time of the served kind whenever no waiting kind of the rank is behind it.
	vtime [core.RankCount]time.Duration
}

// NewShares returns a scheduler with guaranteed shares.
func NewShares(cfg Config) *Shares { return &Shares{base: newBase(cfg)} }

// Add queues the item, or refuses it if its expected wait is too long.
func (s *Shares) Add(now time.Time, it *Item) *Refusal {
	if refusal := s.base.Add(now, it); refusal != nil {
		return refusal
	}
	limit := it.latestStart.Sub(now)
	if now.Sub(it.state.refusedAt) < overloadTime {
		limit /= overloadWaitDivisor
	}
	wait := s.expectedWait(now, it)
	if it.Patience > 0 && (wait > it.Patience || s.isKept(it)) {
		s.Remove(it)
		return &Refusal{Reason: "another upstream serves it sooner", RetryAfter: max(0, wait-it.Patience), IsDeclined: true}
	}
	if wait > limit {
		s.Remove(it)
		it.state.refusedAt = now
		return &Refusal{Reason: "the expected wait is too long", RetryAfter: wait - limit}
	}
	if it.state.policy.Rank == core.RankUrgent {
		s.urgentAt = now
	}
	if k := it.state; k.waiting() == 1 {
		// A kind that had no work has no claim on the time in which it was idle.
		k.vtime = max(k.vtime, s.vtime[k.policy.Rank])
	}
	return nil
}

// isKept reports whether the item, which counts as waiting, would take one of the slots that it has to leave free.
func (s *Shares) isKept(it *Item) bool {
	return it.KeepFree > 0 && s.running+s.Waiting() > s.slots-it.KeepFree
}

// Next starts an item of the most urgent rank that has credit and work waiting. If none has credit, it
// starts one of the most urgent rank with work waiting. Statements of open transactions go first, within
// the limits of pickTx.
func (s *Shares) Next(now time.Time) *Item {
	if s.isFull() {
		return nil
	}
	s.refresh()
	s.holdLong = s.shouldHoldLong(now)
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
	if s.vtimeLead(k) == 0 {
		s.vtime[k.policy.Rank] = max(s.vtime[k.policy.Rank], k.vtime)
	}
	s.startItem(now, it)
	k.txAdmission.noteStart(it)
	it.contested = isContested(waiting, k.policy.Rank)
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
	it.state.recentSlotTime.add(now, d)
	if it.long {
		s.runningLong--
	}
	s.charge(it, d-it.estimate)
}

// accrue adds each rank's share of the time since the last call to its credit.
func (s *Shares) accrue(now time.Time, waiting [core.RankCount]bool) {
	dt := now.Sub(s.accruedAt)
	if s.accruedAt.IsZero() {
		dt = 0
	}
	s.accruedAt = now
	for r := range s.credit {
		most := s.share(r, maxIdleCredit)
		if waiting[r] {
			most = s.share(r, maxWaitingCredit)
		}
		s.credit[r] = min(s.credit[r]+s.share(r, dt), most)
	}
}

// share returns the slot time that is guaranteed to the rank over d.
func (s *Shares) share(r int, d time.Duration) time.Duration {
	return time.Duration(rankShares[r] * float64(s.slots) * float64(d))
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

// pickTx returns the kind with the oldest waiting statement of an open transaction, which goes before
// everything else, since the transaction holds a connection and locks. To protect the shares of others,
// a rank may exceed its share for this by at most txOverdraft, and so may a kind within its rank.
func (s *Shares) pickTx(now time.Time) *kindState {
	var best *kindState
	for _, k := range s.list {
		if len(k.inTx) == 0 || s.candidate(now, k) == nil {
			continue
		}
		overdraft := s.share(int(k.policy.Rank), txOverdraft)
		if s.credit[k.policy.Rank] <= -overdraft || s.vtimeLead(k) >= overdraft {
			continue
		}
		if best == nil || k.inTx[0].arrived.Before(best.inTx[0].arrived) {
			best = k
		}
	}
	return best
}

// vtimeLead returns how far the kind's virtual time is ahead of the other kinds of its rank with work
// waiting.
func (s *Shares) vtimeLead(k *kindState) time.Duration {
	lead := time.Duration(0)
	for _, other := range s.list {
		if other != k && other.policy.Rank == k.policy.Rank && other.waiting() > 0 {
			lead = max(lead, k.vtime-other.vtime)
		}
	}
	return lead
}

// pickKind returns the kind of the rank with the lowest virtual time.
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

// isContested reports whether another rank has work waiting.
func isContested(waiting [core.RankCount]bool, rank core.Rank) bool {
	for r, ok := range waiting {
		if ok && core.Rank(r) != rank {
			return true
		}
	}
	return false
}

// charge subtracts slot time from the credit of the item's rank and advances the virtual time of its
// kind. Slot time that no other rank wanted is not charged, so that a rank that used idle slots isn't
// starved when work of other ranks arrives.
func (s *Shares) charge(it *Item, d time.Duration) {
	if r := it.rank; it.contested {
		s.credit[r] = max(s.credit[r]-d, -s.share(int(r), maxDebt))
	}
	it.state.vtime += d / time.Duration(max(it.state.policy.Weight, 1))
}
