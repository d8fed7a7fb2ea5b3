package permit

import (
	"time"

	"snipewall/core"
)

// Tally counts the VMs that have ended their permits for a group.
type Tally struct {
	// Members is the number of VMs, and Held the number of those that acknowledged the hold, including the one
	// that counts.
	Members, Held int
}

// majority is the number of VMs that can renew permits without the store.
func majority(members int) int { return members/2 + 1 }

// IsComplete reports whether all VMs have ended their permits.
func (t Tally) IsComplete() bool { return t.Held >= t.Members }

// CanExpire reports whether the permits of the other VMs run out: they are too few to renew them while they
// don't reach the store.
func (t Tally) CanExpire() bool { return t.Members-t.Held < majority(t.Members) }

// Progress decides when a promotion may follow a hold. The zero value starts with the first tally.
type Progress struct {
	// TTL is the lifetime of a permit.
	TTL time.Duration
	// ExpiringSince is since when enough VMs have acknowledged, so that the permits of the others run out;
	// zero if they don't.
	ExpiringSince core.Instant
}

// Note records a tally that was complete at the given time. It reports whether no VM can use the old primary any
// more.
func (p *Progress) Note(now core.Instant, t Tally) bool {
	switch {
	case t.IsComplete():
		return true
	case !t.CanExpire():
		p.ExpiringSince = 0
	case p.ExpiringSince == 0:
		p.ExpiringSince = now
	}
	return p.ExpiringSince != 0 && now >= p.expiresAt()
}

// NextAt returns when the next tally is due, delay after the last one or when the last permits have run out.
func (p *Progress) NextAt(now core.Instant, delay time.Duration) core.Instant {
	if p.ExpiringSince == 0 {
		return now.Add(delay)
	}
	return min(now.Add(delay), p.expiresAt())
}

func (p *Progress) expiresAt() core.Instant { return p.ExpiringSince.Add(p.TTL + expiryMargin) }
