package elect

import (
	"slices"
	"time"

	"snipewall/core"
	"snipewall/core/quorum"
)

// assessment is the state of the group as derived from the monitor's reports at one time.
type assessment struct {
	// reason is empty while no change of primary is needed.
	reason Reason
	// primary is the index of the current primary, which may have failed, or -1.
	primary int
	// term is the primary's term or, without a primary, the term that a majority has promised.
	term core.Term
	// highest is the highest term that any upstream has promised or logged.
	highest core.Term
	// since is when the reason first applied; ready is set once it has lasted long enough to act on.
	since time.Time
	ready bool
	// repairs holds the indexes of the upstreams that must be told to follow the primary.
	repairs []int
}

// needsSameChange reports whether the later assessment b still needs the change that a needs. A higher
// term on any upstream means that another driver is changing the primary.
func (a assessment) needsSameChange(b assessment) bool {
	return b.ready && a.reason.class() == b.reason.class() &&
		a.primary == b.primary && a.term == b.term && a.highest == b.highest
}

// hasFailed reports whether the upstream is the primary and no longer answers.
func (a assessment) hasFailed(i int) bool { return i == a.primary && a.reason.class() == ReasonSilent }

// termTimer records since when a condition has held for the same term.
type termTimer struct {
	term  core.Term
	since time.Time
}

// hold notes that the condition holds for the term, and returns since when it has.
func (s *termTimer) hold(now time.Time, term core.Term) time.Time {
	if s.since.IsZero() || s.term != term {
		s.term = term
		s.since = now
	}
	return s.since
}

func (s *termTimer) reset() { *s = termTimer{} }

func (d *Driver) assess(now time.Time) assessment {
	reports := d.cfg.View.Reports()
	a := d.findPrimary(reports)
	for _, r := range reports {
		a.highest = max(a.highest, r.Status.Promised, r.Status.Log.Term)
	}
	switch {
	case d.countFresh(now, reports) < d.majority:
		// Without a majority, the driver can't complete a change and would only raise terms.
	case a.primary < 0:
		d.assessNoPrimary(now, reports, &a)
	default:
		d.noPrimaryTimer.reset()
		d.assessPrimary(now, reports, &a)
	}
	return a
}

// findPrimary returns an assessment with the primary of the highest term, or without a primary if a
// majority has promised a higher term.
func (d *Driver) findPrimary(reports []quorum.Report) assessment {
	a := assessment{primary: -1}
	var terms []core.Term
	for i, r := range reports {
		if !r.Known {
			continue
		}
		terms = append(terms, r.Status.Promised)
		if isCurrentPrimary(r.Status) && r.Status.Promised > a.term {
			a.primary = i
			a.term = r.Status.Promised
		}
	}
	if len(terms) < d.majority {
		return assessment{primary: -1}
	}
	slices.Sort(terms)
	if promised := terms[len(terms)-d.majority]; promised > a.term {
		return assessment{primary: -1, term: promised}
	}
	return a
}

// isCurrentPrimary reports whether the status is that of a primary in the term that it has promised.
func isCurrentPrimary(s core.UpstreamStatus) bool {
	return s.Role == core.RolePrimary && s.Promised > 0 && s.Log.Term == s.Promised
}

// countFresh returns the number of upstreams that can be reached.
func (d *Driver) countFresh(now time.Time, reports []quorum.Report) int {
	n := 0
	for _, r := range reports {
		if d.isFresh(now, r) {
			n++
		}
	}
	return n
}

func (d *Driver) isFresh(now time.Time, r quorum.Report) bool {
	return r.Known && r.Err == nil && now.Sub(r.At) <= d.cfg.Timing.FreshWithin
}

// isVetoed reports whether a replica has heard from its primary within LastContactWithin.
func (d *Driver) isVetoed(now time.Time, reports []quorum.Report) bool {
	return slices.ContainsFunc(reports, func(r quorum.Report) bool {
		if !r.Known || r.Status.Role != core.RoleReplica || r.Status.Heard < 0 {
			return false
		}
		return now.Sub(r.At)+r.Status.Heard < d.cfg.Timing.LastContactWithin
	})
}

// assessNoPrimary assesses a group in which a majority has promised a term without a known primary: a
// driver failed between two steps, or the primary of that term can't be reached from this VM.
func (d *Driver) assessNoPrimary(now time.Time, reports []quorum.Report, a *assessment) {
	a.reason = ReasonNone
	a.since = d.noPrimaryTimer.hold(now, a.highest)
	limit := d.cfg.Timing.NoPrimaryAfter
	if d.abandonedTerm > 0 && a.highest == d.abandonedTerm {
		limit = 0
	}
	a.ready = d.hasLasted(now, a.since, limit, reports)
}

// hasLasted reports whether the failure has lasted for the limit and no replica vetoes the change. A
// veto counts up to VetoTimeout only.
func (d *Driver) hasLasted(now, since time.Time, limit time.Duration, reports []quorum.Report) bool {
	since = latest(since, d.watchingSince)
	age := now.Sub(since)
	if age >= d.cfg.Timing.VetoTimeout {
		return true
	}
	return age >= limit && !d.isVetoed(now, reports)
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func (d *Driver) assessPrimary(now time.Time, reports []quorum.Report, a *assessment) {
	t := d.cfg.Timing
	p := reports[a.primary]
	switch {
	case !p.SilentSince.IsZero() && now.Sub(p.SilentSince) >= t.SilentAfter:
		a.reason = ReasonSilent
		a.since = p.SilentSince
		a.ready = d.hasLasted(now, a.since, t.SilentAfter, reports) && !d.isContested(now, a)
	case !p.RefusedSince.IsZero():
		a.reason = ReasonRefused
		a.since = p.RefusedSince
		a.ready = d.hasLasted(now, a.since, t.RefusedAfter, reports) && !d.isContested(now, a)
	case d.isFresh(now, p):
		d.assessHealthy(now, reports, a)
	}
}

// isContested reports whether another driver raised the terms less than NoPrimaryAfter ago and may still
// complete its change.
func (d *Driver) isContested(now time.Time, a *assessment) bool {
	if a.highest == a.term || a.highest == d.abandonedTerm {
		d.contestedTimer.reset()
		return false
	}
	return now.Sub(d.contestedTimer.hold(now, a.highest)) < d.cfg.Timing.NoPrimaryAfter
}

// assessHealthy assesses a group whose primary answers.
func (d *Driver) assessHealthy(now time.Time, reports []quorum.Report, a *assessment) {
	highest := a.term
	for i, r := range reports {
		if i == a.primary || !d.isFresh(now, r) {
			continue
		}
		highest = max(highest, r.Status.Promised)
		if d.needsRepair(r.Status, a.term) {
			a.repairs = append(a.repairs, i)
		}
	}
	if highest > a.term {
		a.reason = ReasonHigherTerm
		a.since = d.higherTermTimer.hold(now, highest)
		a.ready = now.Sub(latest(a.since, d.watchingSince)) >= d.cfg.Timing.HigherTermAfter
		return
	}
	d.higherTermTimer.reset()
	if !d.isLeaving(reports[a.primary]) {
		d.leavingTimer.reset()
		return
	}
	a.reason = ReasonLeaving
	a.since = d.leavingTimer.hold(now, a.term)
	a.ready = d.hasSuccessor(now, reports, a)
}

// needsRepair reports whether the upstream must be told to follow the primary of the term.
func (d *Driver) needsRepair(s core.UpstreamStatus, term core.Term) bool {
	if s.Promised > term {
		return false
	}
	following := s.Role == core.RoleReplica && s.Promised == term
	return !following || s.Heard < 0 || s.Heard > d.cfg.Timing.HeartbeatTimeout
}

func (d *Driver) isLeaving(r quorum.Report) bool {
	if r.Status.Leaving {
		return true
	}
	return d.cfg.Members != nil && d.cfg.Members.IsLeaving(r.ID)
}

// hasSuccessor reports whether a replica that isn't leaving has data at most MaxSuccessorAge old.
func (d *Driver) hasSuccessor(now time.Time, reports []quorum.Report, a *assessment) bool {
	for i, r := range reports {
		if i == a.primary || !d.isFresh(now, r) || d.isLeaving(r) || r.Status.Log.Term != a.term {
			continue
		}
		if age, ok := d.cfg.View.Age(r.ID); ok && age <= d.cfg.Timing.MaxSuccessorAge {
			return true
		}
	}
	return false
}
