package quorum

import (
	"time"

	"snipewall/core"
)

// Report is what the monitor knows of one upstream, for the failover driver.
type Report struct {
	ID core.UpstreamID
	// Status is the last status, if Known.
	Status core.UpstreamStatus
	Known  bool
	// PollAt is when the poll that brought the status started, At when its answer came.
	PollAt, At time.Time
	// SilentSince is when the last answer of any kind came, even a refusal at the connection limit, or
	// one PollInterval before the first poll that has no answer, if that is later. It is zero while
	// the upstream answers.
	SilentSince time.Time
	// RefusedSince is when the current run of refused connections began, or zero.
	RefusedSince time.Time
	// Err is the error of the last poll, or nil.
	Err error
}

// Primary implements core.GroupView.
func (m *Monitor) Primary() (core.UpstreamID, core.Term, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.touchLocked(time.Now())
	return m.primaryLocked()
}

func (m *Monitor) primaryLocked() (core.UpstreamID, core.Term, bool) {
	if m.tally.primary < 0 {
		return "", 0, false
	}
	now := time.Now()
	recent := 0
	for i := range m.members {
		mb := &m.members[i]
		if mb.have && mb.status.Promised == m.tally.promised && now.Sub(mb.gotAt) <= m.cfg.StatusLife {
			recent++
		} else if i == m.tally.primary {
			return "", 0, false
		}
	}
	if recent < m.majority {
		return "", 0, false
	}
	return m.members[m.tally.primary].id, m.tally.promised, true
}

// Status implements core.GroupView. The age is the time since the answer came.
func (m *Monitor) Status(id core.UpstreamID) (core.UpstreamStatus, time.Duration, bool) {
	i, ok := m.index[id]
	if !ok {
		return core.UpstreamStatus{}, 0, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	mb := &m.members[i]
	return mb.status, time.Since(mb.gotAt), mb.have
}

// Age implements core.GroupView.
func (m *Monitor) Age(id core.UpstreamID) (time.Duration, bool) {
	i, ok := m.index[id]
	if !ok {
		return 0, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.touchLocked(now)
	at, ok := m.samples.newest(m.members[i].status.Applied, m.confirmed)
	if !ok {
		return 0, false
	}
	return now.Sub(at), true
}

// Suspect implements core.GroupView.
func (m *Monitor) Suspect(id core.UpstreamID) {
	i, ok := m.index[id]
	if !ok {
		return
	}
	m.mu.Lock()
	m.members[i].urgent = true
	m.mu.Unlock()
	m.wake()
}

// Confirmed returns the highest position known to be held by a majority under its own term.
func (m *Monitor) Confirmed() core.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed
}

// Reports returns one report per upstream in the order of the configuration.
func (m *Monitor) Reports() []Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	reports := make([]Report, len(m.members))
	for i := range m.members {
		mb := &m.members[i]
		reports[i] = Report{
			ID: mb.id, Status: mb.status, Known: mb.have, PollAt: mb.pollAt, At: mb.gotAt,
			SilentSince: m.silentLocked(mb), RefusedSince: mb.refusedSince, Err: mb.err,
		}
	}
	return reports
}

// silentLocked doesn't count the time in which a quiet group sent no polls.
func (m *Monitor) silentLocked(mb *member) time.Time {
	if mb.unansweredAt.IsZero() || !mb.have {
		return mb.unansweredAt
	}
	if due := mb.unansweredAt.Add(-m.cfg.PollInterval); due.After(mb.contactAt) {
		return due
	}
	return mb.contactAt
}

// Changed delivers a value after a failed poll and after a status whose role, term or leaving mark
// differs from the one before. It is meant for one reader.
func (m *Monitor) Changed() <-chan struct{} { return m.changed }

// State is the dump of a Monitor.
type State struct {
	Group     core.GroupID
	Primary   core.UpstreamID
	Term      core.Term
	Confirmed string
	Waiting   int
	Polls     uint64
	Upstreams []UpstreamState
}

// UpstreamState is the part of State about one upstream. Durations are in milliseconds.
type UpstreamState struct {
	ID        core.UpstreamID
	Role      string
	Promised  core.Term
	Log       string
	Applied   string
	Leaving   bool
	StatusAge int64
	DataAge   int64
	Error     string `json:",omitempty"`
}

// Dump implements core.Dumper. An unknown age is -1.
func (m *Monitor) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	primary, term, _ := m.primaryLocked()
	s := State{
		Group: m.cfg.Group, Primary: primary, Term: term,
		Confirmed: m.confirmed.String(), Waiting: len(m.waits.list), Polls: m.polls,
	}
	for i := range m.members {
		s.Upstreams = append(s.Upstreams, m.upstreamStateLocked(&m.members[i]))
	}
	return s
}

func (m *Monitor) upstreamStateLocked(mb *member) UpstreamState {
	u := UpstreamState{
		ID: mb.id, Role: mb.status.Role.String(), Promised: mb.status.Promised,
		Log: mb.status.Log.String(), Applied: mb.status.Applied.String(),
		Leaving: mb.status.Leaving, StatusAge: -1, DataAge: -1,
	}
	if mb.have {
		u.StatusAge = time.Since(mb.gotAt).Milliseconds()
	}
	if at, ok := m.samples.newest(mb.status.Applied, m.confirmed); ok {
		u.DataAge = time.Since(at).Milliseconds()
	}
	if mb.err != nil {
		u.Error = mb.err.Error()
	}
	return u
}
