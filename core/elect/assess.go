package elect

import (
	"slices"
	"time"

	"snipewall/core"
	"snipewall/core/quorum"
)

// assessment is what one look at the reports says.
type assessment struct {
	// reason is empty while nothing calls for a change.
	reason Reason
	// primary is the index of the reigning primary, which may have failed, or -1.
	primary int
	// term is the primary's term, or the term that a majority has promised if there is no primary.
	term core.Term
	// highest is the highest term that any upstream has promised or logged.
	highest core.Term
	// since is when the failure began, ready whether it has lasted long enough to act on.
	since time.Time
	ready bool
	// repairs are the upstreams that need follow(term, primary).
	repairs []int
}

// asksSameChange reports whether b still asks for the change that a asked for. A higher term anywhere
// means that another driver is at work.
func (a assessment) asksSameChange(b assessment) bool {
	return b.ready && a.reason.class() == b.reason.class() &&
		a.primary == b.primary && a.term == b.term && a.highest == b.highest
}

// failed reports whether the upstream is a primary that no longer answers.
func (a assessment) failed(i int) bool { return i == a.primary && a.reason.class() == ReasonSilent }

// standstill remembers since when a condition over terms has held unchanged.
type standstill struct {
	term  core.Term
	since time.Time
}

// hold returns since when the term has been the same.
func (s *standstill) hold(now time.Time, term core.Term) time.Time {
	if s.since.IsZero() || s.term != term {
		s.term = term
		s.since = now
	}
	return s.since
}

func (s *standstill) reset() { *s = standstill{} }

// assess looks at the reports.
func (d *Driver) assess(now time.Time) assessment {
	reports := d.cfg.View.Reports()
	a := d.findPrimary(reports)
	for _, r := range reports {
		a.highest = max(a.highest, r.Status.Promised, r.Status.Log.Term)
	}
	switch {
	case d.fresh(now, reports) < d.majority:
		// A driver that reaches no majority can't complete a change and would only raise terms.
	case a.primary < 0:
		d.assessNoPrimary(now, reports, &a)
	default:
		d.noPrimary.reset()
		d.assessPrimary(now, reports, &a)
	}
	return a
}

// findPrimary returns the primary of the highest term, unless a majority has promised a higher one.
func (d *Driver) findPrimary(reports []quorum.Report) assessment {
	a := assessment{primary: -1}
	var terms []core.Term
	for i, r := range reports {
		if !r.Known {
			continue
		}
		terms = append(terms, r.Status.Promised)
		if reigns(r.Status) && r.Status.Promised > a.term {
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

// reigns reports whether the status is that of a primary that has promised no higher term.
func reigns(s core.UpstreamStatus) bool {
	return s.Role == core.RolePrimary && s.Promised > 0 && s.Log.Term == s.Promised
}

// fresh counts the upstreams that can be reached.
func (d *Driver) fresh(now time.Time, reports []quorum.Report) int {
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

// vetoed reports whether a replica has heard from its primary recently.
func (d *Driver) vetoed(now time.Time, reports []quorum.Report) bool {
	return slices.ContainsFunc(reports, func(r quorum.Report) bool {
		if !r.Known || r.Status.Role != core.RoleReplica || r.Status.Heard < 0 {
			return false
		}
		return now.Sub(r.At)+r.Status.Heard < d.cfg.Timing.HeardWithin
	})
}

// assessNoPrimary handles a group in which a majority has promised a term that has no primary: a
// driver died between its steps, or the primary of that term can't be reached from here.
func (d *Driver) assessNoPrimary(now time.Time, reports []quorum.Report, a *assessment) {
	a.reason = ReasonNone
	a.since = d.noPrimary.hold(now, a.highest)
	limit := d.cfg.Timing.NoPrimaryAfter
	if d.abandoned > 0 && a.highest == d.abandoned {
		limit = 0
	}
	a.ready = d.lasted(now, a.since, limit, reports)
}

// lasted reports whether the failure is old enough, and no replica vetoes or the veto has run out.
func (d *Driver) lasted(now, since time.Time, limit time.Duration, reports []quorum.Report) bool {
	since = later(since, d.watching)
	age := now.Sub(since)
	if age >= d.cfg.Timing.OverruleAfter {
		return true
	}
	return age >= limit && !d.vetoed(now, reports)
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// assessPrimary handles a group that has a primary.
func (d *Driver) assessPrimary(now time.Time, reports []quorum.Report, a *assessment) {
	t := d.cfg.Timing
	p := reports[a.primary]
	switch {
	case !p.SilentSince.IsZero() && now.Sub(p.SilentSince) >= t.SilentAfter:
		a.reason = ReasonSilent
		a.since = p.SilentSince
		a.ready = d.lasted(now, a.since, t.SilentAfter, reports) && !d.contested(now, a)
	case !p.RefusedSince.IsZero():
		a.reason = ReasonRefused
		a.since = p.RefusedSince
		a.ready = d.lasted(now, a.since, t.RefusedAfter, reports) && !d.contested(now, a)
	case d.isFresh(now, p):
		d.assessHealthy(now, reports, a)
	}
}

// contested reports whether another driver has raised the terms so recently that it may still be
// about to complete its change.
func (d *Driver) contested(now time.Time, a *assessment) bool {
	if a.highest == a.term || a.highest == d.abandoned {
		d.contest.reset()
		return false
	}
	return now.Sub(d.contest.hold(now, a.highest)) < d.cfg.Timing.NoPrimaryAfter
}

// assessHealthy handles a group whose primary works.
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
		a.reason = ReasonTermPassed
		a.since = d.passed.hold(now, highest)
		a.ready = now.Sub(later(a.since, d.watching)) >= d.cfg.Timing.RaiseAfter
		return
	}
	d.passed.reset()
	if !d.leaving(reports[a.primary]) {
		d.leave.reset()
		return
	}
	a.reason = ReasonLeaving
	a.since = d.leave.hold(now, a.term)
	a.ready = d.hasSuccessor(now, reports, a)
}

// needsRepair reports whether the upstream has to be told to follow the primary of the term.
func (d *Driver) needsRepair(s core.UpstreamStatus, term core.Term) bool {
	if s.Promised > term {
		return false
	}
	following := s.Role == core.RoleReplica && s.Promised == term
	return !following || s.Heard < 0 || s.Heard > d.cfg.Timing.RepairHeard
}

func (d *Driver) leaving(r quorum.Report) bool {
	if r.Status.Leaving {
		return true
	}
	return d.cfg.Members != nil && d.cfg.Members.IsLeaving(r.ID)
}

// hasSuccessor reports whether a replica that stays is close enough to the leaving primary.
func (d *Driver) hasSuccessor(now time.Time, reports []quorum.Report, a *assessment) bool {
	for i, r := range reports {
		if i == a.primary || !d.isFresh(now, r) || d.leaving(r) || r.Status.Log.Term != a.term {
			continue
		}
		if age, ok := d.cfg.View.Age(r.ID); ok && age <= d.cfg.Timing.CaughtUpAge {
			return true
		}
	}
	return false
}
