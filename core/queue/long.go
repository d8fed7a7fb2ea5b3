package queue

import (
	"time"

	"snipewall/core"
)

const (
	// longServiceTime is the service time from which on the statements of a kind count as long. A slot
	// that they occupy is unavailable for about as long as a caller of the urgent rank accepts to wait.
	longServiceTime = 100 * time.Millisecond
	// urgentActiveTime is how long the urgent rank counts as active after its last request.
	urgentActiveTime = 2 * time.Second
)

// isLong reports whether the kind's statements are long and not of the urgent rank.
func (s *Shares) isLong(k *kindState) bool {
	return k.policy.Rank != core.RankUrgent && k.serviceTime.value() >= longServiceTime
}

// shouldHoldLong reports whether long statements occupy all slots but one while the urgent rank is
// active. Statements can't be interrupted, so one slot is kept for short ones.
func (s *Shares) shouldHoldLong(now time.Time) bool {
	return s.slots > 1 && s.runningLong >= s.slots-1 && now.Sub(s.urgentAt) < urgentActiveTime
}

// candidate returns the item of the kind that would start now, or nil.
func (s *Shares) candidate(now time.Time, k *kindState) *Item {
	if s.holdLong && s.isLong(k) {
		return nil
	}
	if k.waiting() == 0 || !k.canStart(now) {
		return nil
	}
	return k.nextSingleFirst(s.canOpenTx())
}
