package quorum

import (
	"slices"

	"snipewall/core"
)

// tally is what the last statuses of all members say together.
type tally struct {
	// promised is the highest term that a majority has reached or passed.
	promised core.Term
	// confirmed is the last position that a majority holds under promised, if holds is true.
	confirmed core.Position
	holds     bool
	// primary is the index of the primary of the term promised, or -1.
	primary int
	// fresh is the poll number since which a majority, the primary included, has reported the term;
	// freshMember is the member whose poll has that number. Without such a majority fresh is 0.
	fresh       uint64
	freshMember int
}

// isPrimaryOf reports whether the status is that of the primary that reigns in the term. A primary
// that has promised a higher term, or that holds no entry of the term, doesn't reign.
func isPrimaryOf(s core.UpstreamStatus, t core.Term) bool {
	return s.Role == core.RolePrimary && s.Promised == t && s.Log.Term == t
}

// count computes the tally of the members.
func count(members []member, majority int) tally {
	t := tally{primary: -1, freshMember: -1}
	t.promised = majorityTerm(members, majority)
	if t.promised == 0 {
		return t
	}
	offsets := make([]core.Offset, 0, 8)
	for i := range members {
		m := &members[i]
		if !m.have || m.status.Promised != t.promised || m.status.Log.Term != t.promised {
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
		t.holds = true
	}
	t.countFresh(members, majority)
	return t
}

// majorityTerm returns the highest term that a majority has promised or passed, 0 if too few
// members are known.
func majorityTerm(members []member, majority int) core.Term {
	terms := make([]core.Term, 0, 8)
	for i := range members {
		if members[i].have {
			terms = append(terms, members[i].status.Promised)
		}
	}
	if len(terms) < majority {
		return 0
	}
	slices.Sort(terms)
	return terms[len(terms)-majority]
}

// countFresh finds the oldest poll of the newest majority that includes the primary.
func (t *tally) countFresh(members []member, majority int) {
	if t.primary < 0 {
		return
	}
	byPoll := make([]int, 0, 8)
	for i := range members {
		if members[i].have && members[i].status.Promised == t.promised {
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
	t.fresh = members[oldest].poll
	t.freshMember = oldest
}
