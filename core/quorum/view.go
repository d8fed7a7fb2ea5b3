package quorum

import (
	"time"

	"snipewall/core"
)

// Report is the monitor's state of one upstream, for the failover driver.
type Report struct {
	ID core.UpstreamID
	// Status is the last status. It is valid if Known is set.
	Status core.UpstreamStatus
	Known  bool
	// PollAt is when the poll that returned the status started, At when its answer arrived.
	PollAt, At time.Time
	// SilentSince is zero while the upstream answers. Otherwise it is when the last answer of any kind
	// arrived, including a refusal at the connection limit, or one PollInterval before the first
	// unanswered poll, whichever is later.
	SilentSince time.Time
	// RefusedSince is when the upstream began to refuse connections, or zero.
	RefusedSince time.Time
	// Err is the error of the last poll, or nil.
	Err error
}

// Primary implements core.GroupView.
func (m *Monitor) Primary() (core.UpstreamID, core.Term, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.markUsedLocked(time.Now())
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
		if mb.hasStatus && mb.status.Promised == m.tally.promised && now.Sub(mb.receivedAt) <= m.cfg.StatusTTL {
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

// Status implements core.GroupView. The age is the time since the answer arrived.
func (m *Monitor) Status(id core.UpstreamID) (core.UpstreamStatus, time.Duration, bool) {
	i, ok := m.index[id]
	if !ok {
		return core.UpstreamStatus{}, 0, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	mb := &m.members[i]
	return mb.status, time.Since(mb.receivedAt), mb.hasStatus
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
	m.markUsedLocked(now)
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
	m.members[i].pollNow = true
	m.mu.Unlock()
	m.wake()
}

// Confirmed returns the highest position that a majority is known to have held under its own term.
func (m *Monitor) Confirmed() core.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed
}

// Reports returns one report per upstream, in the order of Config.Upstreams.
func (m *Monitor) Reports() []Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	reports := make([]Report, len(m.members))
	for i := range m.members {
		mb := &m.members[i]
		reports[i] = Report{
			ID: mb.id, Status: mb.status, Known: mb.hasStatus, PollAt: mb.pollAt, At: mb.receivedAt,
			SilentSince: m.silentSinceLocked(mb), RefusedSince: mb.refusedSince, Err: mb.err,
		}
	}
	return reports
}

// silentSinceLocked returns Report.SilentSince. The time in which an idle group wasn't polled doesn't
// count.
func (m *Monitor) silentSinceLocked(mb *member) time.Time {
	if mb.unansweredSince.IsZero() || !mb.hasStatus {
		return mb.unansweredSince
	}
	if due := mb.unansweredSince.Add(-m.cfg.PollInterval); due.After(mb.answeredAt) {
		return due
	}
	return mb.answeredAt
}

// Changed returns a channel that delivers a value after a failed poll and after a status with another
// role, term or leaving mark than the one before. It supports one reader.
func (m *Monitor) Changed() <-chan struct{} { return m.changed }

// State is the result of Monitor.Dump.
type State struct {
	Group     core.GroupID
	Primary   core.UpstreamID
	Term      core.Term
	Confirmed string
	Waiting   int
	Polls     uint64
	Upstreams []UpstreamState
}

// UpstreamState is the state of one upstream in State. Ages are in milliseconds, -1 if unknown.
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

// Dump implements core.Dumper. It returns a State.
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
	if mb.hasStatus {
		u.StatusAge = time.Since(mb.receivedAt).Milliseconds()
	}
	if at, ok := m.samples.newest(mb.status.Applied, m.confirmed); ok {
		u.DataAge = time.Since(at).Milliseconds()
	}
	if mb.err != nil {
		u.Error = mb.err.Error()
	}
	return u
}
