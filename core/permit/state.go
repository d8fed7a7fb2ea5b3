package permit

import (
	"time"

	"snipewall/core"
)

// state is what a VM knows about the leadership of all groups, and decides how long its permits last. It does
// no input or output.
type state struct {
	life   life
	groups map[core.GroupID]groupState
}

// life is how long the permits of all groups last if there is no hold.
type life struct {
	// ttl is how long a confirmation lasts.
	ttl time.Duration
	// confirmedAt is when the store confirmed that all records are known, votedAt when a majority of the VMs
	// did; zero if never.
	confirmedAt, votedAt core.Instant
}

// groupState is the last known record of a group.
type groupState struct {
	record Record
	// version is the newest known version of the record's key in the store, 0 if no record is known. The store has the
	// record there unless isLost is set. writtenAt is the newest version at which the store is known to have had the record.
	version, writtenAt core.Version
	isLost             bool
	// epoch is the version at which the last record that isn't a hold became known.
	epoch core.Version
	// heldAt is when this VM heard of the hold, closeAt when its permit ends because of it.
	heldAt, closeAt core.Instant
}

func newState(ttl time.Duration) *state {
	return &state{life: life{ttl: ttl}, groups: make(map[core.GroupID]groupState)}
}

// expiresAt returns when the permits end without a further confirmation.
func (l life) expiresAt() core.Instant {
	at := l.confirmedAt
	if l.votedAt > at && l.votedAt.Sub(l.confirmedAt) <= maxVotedTime {
		at = l.votedAt
	}
	if at == 0 {
		return 0
	}
	return at.Add(l.ttl)
}

// admits reports whether new work may start on the group's primary.
func (g groupState) admits(now core.Instant, l life) bool {
	return !g.record.Held && now < l.expiresAt()
}

// covers reports whether no other upstream can have begun to lead between the start of work in the epoch and now. Work
// on an old primary may end after the new one is recorded and permits are valid again.
func (g groupState) covers(now core.Instant, l life, epoch core.Version) bool {
	if epoch != g.epoch {
		return false
	}
	if g.record.Held {
		return now < g.closeAt
	}
	return now < l.expiresAt()
}

// apply returns the state with the record, unless a later one is known. After a planned hold, work that is in
// progress may end within a short time, but not after the permit's end.
//
// Where the store came back from an older copy, a record that it has lost remains in force until a newer one is known.
func (g groupState) apply(now core.Instant, l life, r Record, v core.Version) groupState {
	if v.Era() == g.version.Era() && !g.isLost {
		if v <= g.version {
			return g
		}
		return g.adopt(now, l, r, v)
	}
	next := g
	switch {
	case r == g.record:
		next.isLost = g.isLost && v < g.version
		next.writtenAt = max(v, g.writtenAt)
	case r.isNewer(g.record) || !g.record.isNewer(r) && v > g.version:
		next = g.adopt(now, l, r, v)
		next.isLost = v < g.version
	case v > g.version:
		next.isLost = true
	}
	next.version = max(v, g.version)
	return next
}

// adopt returns the state with the record.
func (g groupState) adopt(now core.Instant, l life, r Record, v core.Version) groupState {
	next := groupState{record: r, version: v, writtenAt: v, epoch: v}
	if r.Held {
		next.epoch = g.epoch
		next.heldAt, next.closeAt = now, min(now.Add(r.drain()), l.expiresAt())
		if g.record.Held {
			next.closeAt = min(next.closeAt, g.closeAt)
		}
	}
	return next
}

// listed returns the state after a complete listing of the store at a version had no record of the group.
func (g groupState) listed(at core.Version) groupState {
	if at.Era() > g.version.Era() {
		g.version, g.isLost = at.Era().Start(), true
	}
	return g
}

// revoke returns the state without a permit if the group is held.
func (g groupState) revoke() groupState {
	if g.record.Held {
		g.closeAt = 0
	}
	return g
}
