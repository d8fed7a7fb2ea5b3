package elect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/quorum"
)

// modelNode is an upstream as core.Upstream describes it. Its log holds the term of each entry, which with the offset identifies it,
// since a term has one primary.
type modelNode struct {
	promised core.Term
	log      []core.Position
	// leads is the term in which the node was promoted last, and follows the primary that it follows, or -1.
	leads   core.Term
	follows int
	leaving bool
	// seen is the status that the last poll found.
	seen core.UpstreamStatus
}

func (n *modelNode) isPrimary() bool { return n.leads > 0 && n.leads == n.promised && n.follows < 0 }

func (n *modelNode) status() core.UpstreamStatus {
	s := core.UpstreamStatus{Role: core.RoleReplica, Promised: n.promised, Leaving: n.leaving}
	if n.isPrimary() {
		s.Role = core.RolePrimary
	}
	if len(n.log) > 0 {
		s.Log = n.log[len(n.log)-1]
	}
	return s
}

// pendingPromotion is a promotion that a driver has chosen and whose call may still be executed.
type pendingPromotion struct {
	target int
	term   core.Term
}

// historyModel is a group whose upstreams crash, lose messages and are promoted by choose, by several drivers at once.
type historyModel struct {
	nodes   []*modelNode
	pending []pendingPromotion
	highest core.Term
	written []core.Position
	// confirmed holds the entries that were acknowledged, with the lowest term in which they were. cutOff holds those that the
	// primary of a later term lacked when an entry of that term was, with the lowest such term.
	confirmed, cutOff map[core.Position]core.Term
	// primaries holds the log with which the primary of each term began.
	primaries map[core.Term][]core.Position
	choose    func(d *Driver, promises []promise, a assessment) promise
	majority  int
	// lost counts the entries that were confirmed in an earlier term than that of a promotion without them, and restored the
	// promotions with one that an earlier term had cut off. A promotion that is executed after that of a later term confirms nothing.
	promotions, lost, restored int
}

func newHistoryModel(nodes int) *historyModel {
	m := &historyModel{
		confirmed: map[core.Position]core.Term{}, cutOff: map[core.Position]core.Term{}, primaries: map[core.Term][]core.Position{},
		choose: (*Driver).choose, majority: nodes/2 + 1,
	}
	for range nodes {
		m.nodes = append(m.nodes, &modelNode{follows: -1})
	}
	return m
}

// write lets the primary commit an entry of its term.
func (m *historyModel) write(n *modelNode) {
	p := core.Position{Term: n.leads, Offset: core.Offset(len(n.log) + 1)}
	n.log = append(slices.Clip(n.log), p)
	m.written = append(m.written, p)
}

// replicate gives a replica the first length entries of its primary's log, at least up to the first one of the term. As from
// fakes.Group, an older state of the same log changes nothing.
func (m *historyModel) replicate(to *modelNode, length int) {
	if to.follows < 0 {
		return
	}
	from := m.nodes[to.follows]
	if !from.isPrimary() || from.promised != to.promised {
		return
	}
	log := from.log[:max(length, len(m.primaries[from.leads]))]
	if s := to.status(); s.Log.Term == from.leads && len(log) <= len(to.log) {
		return
	}
	to.log = slices.Clip(log)
}

// poll reads the node's status, and notes what is confirmed by the last statuses, as package quorum does: what a majority holds in
// the term that a majority has promised.
func (m *historyModel) poll(n *modelNode) {
	n.seen = n.status()
	majority := len(m.nodes)/2 + 1
	var terms []core.Term
	for _, n := range m.nodes {
		terms = append(terms, n.seen.Promised)
	}
	slices.Sort(terms)
	term := terms[len(terms)-majority]
	var ends []core.Position
	for _, n := range m.nodes {
		if n.seen.Promised == term && n.seen.Log.Term == term && term > 0 {
			ends = append(ends, n.seen.Log)
		}
	}
	if len(ends) < majority {
		return
	}
	slices.SortFunc(ends, comparePositions)
	m.confirm(ends[len(ends)-majority])
}

// confirm notes that the entry and all before it on its branch are acknowledged, and that other branches are cut off.
func (m *historyModel) confirm(end core.Position) {
	var branch []core.Position
	for _, n := range m.nodes {
		if i := slices.Index(n.log, end); i >= 0 {
			branch = n.log[:i+1]
		}
	}
	for _, p := range branch {
		noteTerm(m.confirmed, p, end.Term)
	}
	for _, p := range m.written {
		if p.Term < end.Term && !slices.Contains(branch, p) {
			noteTerm(m.cutOff, p, end.Term)
		}
	}
	for term, log := range m.primaries {
		if term > end.Term && !slices.Contains(log, end) {
			m.lost++
		}
	}
}

func noteTerm(terms map[core.Position]core.Term, p core.Position, t core.Term) {
	if known, found := terms[p]; !found || t < known {
		terms[p] = t
	}
}

// change lets a driver collect promises from the nodes, and choose one if enough answer.
func (m *historyModel) change(asked []bool, reason Reason) {
	m.highest++
	primary := slices.IndexFunc(m.nodes, (*modelNode).isPrimary)
	var promises []promise
	for i, n := range m.nodes {
		if !asked[i] || n.promised >= m.highest {
			continue
		}
		n.promised, n.follows = m.highest, -1
		promises = append(promises, promise{index: i, status: n.status()})
	}
	if len(promises) < m.majority {
		return
	}
	d := New(Config{Upstreams: make([]core.Upstream, len(m.nodes)), View: &fixedView{reports: make([]quorum.Report, len(m.nodes))}})
	target := m.choose(d, promises, assessment{reason: reason, primary: primary})
	m.pending = append(m.pending, pendingPromotion{target.index, m.highest})
}

// promote executes a pending promotion, which its target refuses if it has promised a later term.
func (m *historyModel) promote(i int) {
	p := m.pending[i]
	m.pending = slices.Delete(slices.Clone(m.pending), i, i+1)
	n := m.nodes[p.target]
	if n.promised != p.term || n.leads == p.term {
		return
	}
	n.leads, n.follows = p.term, -1
	m.write(n)
	m.primaries[p.term] = n.log
	m.promotions++
	for entry, term := range m.confirmed {
		if term < p.term && !slices.Contains(n.log, entry) {
			m.lost++
		}
	}
	if slices.ContainsFunc(n.log, func(entry core.Position) bool {
		term, found := m.cutOff[entry]
		return found && term < p.term
	}) {
		m.restored++
	}
}

// follow tells the node to follow the primary.
func (m *historyModel) follow(i, primary int) {
	n, p := m.nodes[i], m.nodes[primary]
	if i == primary || !p.isPrimary() || p.promised < n.promised {
		return
	}
	n.promised, n.follows = p.promised, primary
}

// step plays a random event.
func (m *historyModel) step(rng *rand.Rand) {
	i := rng.IntN(len(m.nodes))
	n := m.nodes[i]
	switch rng.IntN(12) {
	case 0, 1:
		if n.isPrimary() {
			m.write(n)
		}
	case 2, 3:
		if n.follows >= 0 {
			m.replicate(n, rng.IntN(len(m.nodes[n.follows].log)+1))
		}
	case 4, 5:
		m.poll(n)
	case 6, 7:
		m.follow(i, rng.IntN(len(m.nodes)))
	case 8:
		n.leaving = !n.leaving
		if rng.IntN(4) == 0 {
			// It restarts, and keeps its log and its promise.
			n.leads, n.follows = 0, -1
		}
	case 9:
		asked := make([]bool, len(m.nodes))
		for j := range asked {
			asked[j] = rng.IntN(3) > 0
		}
		reason := ReasonSilent
		if rng.IntN(2) == 0 {
			reason = ReasonLeaving
		}
		m.change(asked, reason)
	default:
		if len(m.pending) > 0 {
			m.promote(rng.IntN(len(m.pending)))
		}
	}
}

// playHistories plays random histories of groups of three and five upstreams.
func playHistories(histories uint64, alter func(*historyModel)) (promotions, confirmed, lost, restored int) {
	for seed := range histories {
		rng := rand.New(rand.NewPCG(seed, 2))
		m := newHistoryModel(3 + 2*rng.IntN(2))
		alter(m)
		for range 300 {
			m.step(rng)
		}
		promotions, confirmed = promotions+m.promotions, confirmed+len(m.confirmed)
		lost, restored = lost+m.lost, restored+m.restored
	}
	return promotions, confirmed, lost, restored
}

// Guards against promotions that lose confirmed entries, or bring back entries of a branch that a later term has replaced, in random
// histories of lost messages, restarts, promotions that are executed late, several drivers and planned changes. Choices by the greatest
// end alone, without a majority, and of a planned change without regard to what a majority may hold, are detected.
func TestConfirmedBranchIsKept(t *testing.T) {
	const histories = 3000
	promotions, confirmed, lost, restored := playHistories(histories, func(*historyModel) {})
	assert.Assert(t, promotions > histories && confirmed > histories, "%d promotions, %d confirmed entries", promotions, confirmed)
	assert.Equal(t, fmt.Sprint(lost, restored), "0 0")
	byOffset := func(_ *Driver, promises []promise, _ assessment) promise {
		return slices.MaxFunc(promises, func(p, q promise) int { return int(p.status.Log.Offset) - int(q.status.Log.Offset) })
	}
	stayer := func(d *Driver, promises []promise, a assessment) promise {
		for _, p := range promises {
			if a.reason == ReasonLeaving && !p.status.Leaving {
				return p
			}
		}
		return d.choose(promises, a)
	}
	for name, alter := range map[string]func(*historyModel){
		"greatest end": func(m *historyModel) { m.choose = byOffset },
		"minority": func(m *historyModel) {
			m.majority--
			m.choose = func(d *Driver, promises []promise, a assessment) promise {
				a.reason = ReasonSilent
				return d.choose(promises, a)
			}
		},
		"any that stays": func(m *historyModel) { m.choose = stayer },
	} {
		_, _, lost, restored := playHistories(histories/10, alter)
		assert.Check(t, lost > 0 && restored > 0, "%s isn't detected: %d lost, %d restored", name, lost, restored)
		t.Logf("%s: %d promotions lost entries, %d restored some", name, lost, restored)
	}
}
