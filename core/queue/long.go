package queue

import (
	"time"

	"snipewall/core"
)

const (
	// longService is the service time above which a kind's statements are long. A slot that they
	// occupy is lost for about as long as a caller of the urgent rank is ready to wait.
	longService = 100 * time.Millisecond
	// urgentInUse is how long after its last request the urgent rank counts as in use.
	urgentInUse = 2 * time.Second
)

// isLong reports whether the kind's statements can keep the urgent rank waiting for long.
func (s *Shares) isLong(k *kindState) bool {
	return k.policy.Rank != core.RankUrgent && k.service.value() >= longService
}

// mustHoldLong reports whether long statements occupy all slots but one while the urgent rank is in
// use. Statements can't be interrupted, so one slot is kept for short ones.
func (s *Shares) mustHoldLong(now time.Time) bool {
	return s.slots > 1 && s.runningLong >= s.slots-1 && now.Sub(s.urgentAt) < urgentInUse
}

// candidate returns the item that the kind would start now, or nil.
func (s *Shares) candidate(now time.Time, k *kindState) *Item {
	if s.holdLong && s.isLong(k) {
		return nil
	}
	if k.waiting() == 0 || !k.mayStart(now) {
		return nil
	}
	return k.nextSingleFirst(s.mayOpen())
}
