package quorum

import (
	"slices"

	"snipewall/core"
)

// tally is the state of the group as derived from the last statuses of all members.
type tally struct {
	// promised is the highest term such that a majority has promised it or a higher one.
	promised core.Term
	// confirmed is the last position that a majority holds under promised. It is valid if isConfirmed is
	// set.
	confirmed   core.Position
	isConfirmed bool
	// primary is the index of the primary of the term promised, or -1.
	primary int
	// freshPoll is the highest number such that a majority, including the primary, has reported the term in
	// polls with this number or a higher one. It is 0 without such a majority. freshMember is the index of
	// the member whose poll has that number.
	freshPoll   uint64
	freshMember int
}

// isPrimaryOf reports whether the status is that of the primary of the term. A primary that has promised
// a higher term, or whose log has no entry of the term, doesn't count.
func isPrimaryOf(s core.UpstreamStatus, t core.Term) bool {
	return s.Role == core.RolePrimary && s.Promised == t && s.Log.Term == t
}

func newTally(members []member, majority int) tally {
	t := tally{primary: -1, freshMember: -1}
	t.promised = majorityTerm(members, majority)
	if t.promised == 0 {
		return t
	}
	offsets := make([]core.Offset, 0, 8)
	for i := range members {
		m := &members[i]
		if !m.hasStatus || m.status.Promised != t.promised || m.status.Log.Term != t.promised {
			continue
		}
		offsets = append(offsets, m.status.Log.Offset)
		if isPrimaryOf(m.status, t.promised) {
			t.primary = i
		}
	}
	if len(offsets) >= majority {
		slices.Sort(offsets)
		t.confirmed = core.Position{Term: t.promised, Offset: offsets[len(offsets)-majority]}
		t.isConfirmed = true
	}
	t.findFresh(members, majority)
	return t
}

// majorityTerm returns the highest term such that a majority has promised it or a higher one, or 0 if the
// status of too few members is known.
func majorityTerm(members []member, majority int) core.Term {
	terms := make([]core.Term, 0, 8)
	for i := range members {
		if members[i].hasStatus {
			terms = append(terms, members[i].status.Promised)
		}
	}
	if len(terms) < majority {
		return 0
	}
	slices.Sort(terms)
	return terms[len(terms)-majority]
}

// findFresh sets freshPoll and freshMember.
func (t *tally) findFresh(members []member, majority int) {
	if t.primary < 0 {
		return
	}
	byPoll := make([]int, 0, 8)
	for i := range members {
		if members[i].hasStatus && members[i].status.Promised == t.promised {
			byPoll = append(byPoll, i)
		}
	}
	if len(byPoll) < majority {
		return
	}
	slices.SortFunc(byPoll, func(a, b int) int {
		if members[a].poll > members[b].poll {
			return -1
		}
		return 1
	})
	oldest := byPoll[majority-1]
	if members[t.primary].poll < members[oldest].poll {
		oldest = t.primary
	}
	t.freshPoll = members[oldest].poll
	t.freshMember = oldest
}
