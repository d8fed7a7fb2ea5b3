package lead

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/fakes"
)

// Guards against wrong beginnings of terms: entries that arrive in any order, zero positions, more terms than are kept.
func TestBegins(t *testing.T) {
	var b Begins
	for _, p := range []core.Position{{Term: 2, Offset: 90}, {}, {Term: 4, Offset: 120}, {Term: 2, Offset: 86}, {Term: 1, Offset: 7}, {Term: 2, Offset: 100}, {Term: 4, Offset: 119}} {
		before := slices.Clone(b)
		next, changed := b.With(p)
		assert.Equal(t, changed, !slices.Equal(before, next))
		assert.DeepEqual(t, before, slices.Clone(b))
		b = next
	}
	assert.DeepEqual(t, b, Begins{{Term: 4, Offset: 119}, {Term: 2, Offset: 86}, {Term: 1, Offset: 7}})
	for _, tt := range []struct {
		end  core.Position
		want bool
	}{
		{core.Position{Term: 1, Offset: 85}, false},
		{core.Position{Term: 1, Offset: 86}, true},
		{core.Position{Term: 2, Offset: 118}, false},
		{core.Position{Term: 2, Offset: 119}, true},
		{core.Position{Term: 3, Offset: 119}, true},
		{core.Position{Term: 4, Offset: 500}, false},
		{core.Position{Term: 5, Offset: 500}, false},
		{core.Position{}, false},
	} {
		assert.Equal(t, b.CutOff(tt.end), tt.want, "%v", tt.end)
		assert.Assert(t, !Begins(nil).CutOff(tt.end))
	}
	for term := range core.Term(2 * maxTerms) {
		b, _ = b.With(core.Position{Term: term + 10, Offset: 200})
	}
	assert.Equal(t, len(b), maxTerms)
	assert.Equal(t, b[0].Term, core.Term(2*maxTerms+9))
}

// Guards against promoting a log again that an earlier promotion has cut off, because it is longer than that of another replica, and
// against a group without a primary if there is no other one.
func TestChooseLogThatIsNotCutOff(t *testing.T) {
	begins := Begins{{Term: 2, Offset: 86}}
	behind, old := answer{id: "behind", probe: received(79, 79)}, answer{id: "old", probe: received(107, 107)}
	newest := answer{id: "newest", probe: ProbeResult{Log: core.Position{Term: 2, Offset: 86}}}
	for _, tt := range []struct {
		answers []answer
		begins  Begins
		want    core.UpstreamID
	}{
		{[]answer{behind, old}, begins, "behind"},
		{[]answer{old, behind}, begins, "behind"},
		{[]answer{old, newest, behind}, begins, "newest"},
		{[]answer{old}, begins, "old"},
		{[]answer{behind, old}, nil, "old"},
		// The log of the newest term contains entries of the one before.
		{[]answer{behind, old}, Begins{{Term: 3, Offset: 151}, {Term: 2, Offset: 86}}, "behind"},
	} {
		target, _, err := choose(Group{Members: 3}, slices.Clone(tt.answers), failoverRequest{allowMinority: true, begins: tt.begins})
		assert.NilError(t, err)
		assert.Equal(t, target, tt.want)
	}
}

// Guards against promoting a log that an earlier promotion has cut off because its replica, which has no free slot, tells only what it has
// applied: a promotion keeps what it has received.
func TestChooseWithUnknownBranch(t *testing.T) {
	begins := Begins{{Term: 2, Offset: 86}}
	applied := func(term core.Term, n core.Offset) ProbeResult {
		return ProbeResult{Log: core.Position{Term: term, Offset: n}}
	}
	behind := answer{id: "behind", probe: received(79, 79)}
	for _, tt := range []struct {
		name  string
		busy  ProbeResult
		other answer
		// first is the choice, or the error, while a majority is waited for, and last the choice after that.
		first    core.UpstreamID
		firstErr error
		last     core.UpstreamID
	}{
		{"older term, applied up to the branch", applied(1, 84), behind, "", errBranch, "behind"},
		{"older term, behind", applied(1, 70), behind, "behind", nil, "behind"},
		{"older term, beyond the branch", applied(1, 90), behind, "behind", nil, "behind"},
		{"newest term", applied(2, 90), behind, "busy", nil, "busy"},
		{"no other", applied(1, 84), answer{id: "silent", err: errors.New("no answer")}, "", errBranch, "busy"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			answers := []answer{{id: "busy", probe: tt.busy}, tt.other}
			target, _, err := choose(Group{Members: 1}, slices.Clone(answers), failoverRequest{begins: begins})
			assert.Assert(t, errors.Is(err, tt.firstErr), "%v", err)
			assert.Equal(t, target, tt.first)
			target, _, err = choose(Group{Members: 1}, slices.Clone(answers), failoverRequest{begins: begins, allowMinority: true})
			assert.NilError(t, err)
			assert.Equal(t, target, tt.last)
		})
	}
}

// branchVMs are VMs of which one is silent.
type branchVMs struct {
	known map[core.VMID]Begins
	store *fakes.Store
}

func newBranchVMs(known map[core.VMID]Begins) branchVMs { return branchVMs{known, fakes.NewStore()} }

func (v branchVMs) Alive() []core.VM {
	return []core.VM{{ID: "vm-1", Control: "vm-1"}, {ID: "vm-2", Control: "vm-2"}, {ID: "vm-3", Control: "vm-3"}, {ID: "silent", Control: "silent"}}
}
func (v branchVMs) EnlistedAt() (core.Instant, bool) { return 1, true }
func (v branchVMs) IsSettled() bool                  { return true }
func (v branchVMs) Refresh(context.Context) error    { return nil }

func (v branchVMs) branches(id core.VMID) *Branches {
	return NewBranches(BranchesConfig{
		Members: v, Self: id, Store: v.store, Log: log.NewNopLogger(), Begins: func(core.GroupID) Begins { return v.known[id] },
		Call: func(ctx context.Context, address, method string, req, answer any) error {
			if address == "silent" || method != branchMethod {
				<-ctx.Done()
				return ctx.Err()
			}
			return v.branches(core.VMID(address)).Service().Begins(req.(*BranchRequest), answer.(*BranchAnswer))
		},
	})
}

// Guards against a VM that decides by what it has seen itself, although it has just started or had no callers, and against waiting
// for a silent one.
func TestBeginsOfAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newBranchVMs(map[core.VMID]Begins{"vm-2": {{Term: 2, Offset: 90}, {Term: 1, Offset: 3}}, "vm-3": {{Term: 2, Offset: 86}}})
		began := time.Now()
		assert.DeepEqual(t, v.branches("vm-1").Begins(t.Context(), "g"), Begins{{Term: 2, Offset: 86}, {Term: 1, Offset: 3}})
		assert.Equal(t, time.Since(began), branchTimeout)
	})
}

// Guards against a beginning that is forgotten with the VM whose caller made the first commit, or with all VMs, and against a record
// that can't be read, is older than what VMs know, or outlives a store that doesn't answer.
func TestBeginsOutliveVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newBranchVMs(map[core.VMID]Begins{"vm-2": {{Term: 2, Offset: 86}}})
		v.branches("vm-1").Record(t.Context(), "g")
		v.known = map[core.VMID]Begins{"vm-3": {{Term: 2, Offset: 90}}}
		assert.DeepEqual(t, v.branches("vm-1").Begins(t.Context(), "g"), Begins{{Term: 2, Offset: 86}})
		v.known = map[core.VMID]Begins{"vm-3": {{Term: 3, Offset: 120}}}
		calls := v.store.Calls()
		for range 2 {
			v.branches("vm-1").Record(t.Context(), "g")
		}
		assert.Equal(t, v.store.Calls()-calls, 3, "a record is written again although nothing is new")
		v.known = nil
		assert.DeepEqual(t, v.branches("vm-1").Begins(t.Context(), "g"), Begins{{Term: 3, Offset: 120}, {Term: 2, Offset: 86}})
		v.store.SetDown(true)
		v.branches("vm-1").Record(t.Context(), "g")
		assert.Equal(t, len(v.branches("vm-1").Begins(t.Context(), "g")), 0)
		v.store.SetDown(false)
		v.store.SetDelay(time.Second)
		began := time.Now()
		assert.Equal(t, len(v.branches("vm-1").Begins(t.Context(), "g")), 0)
		assert.Equal(t, time.Since(began), beginsTimeout)
	})
	synctest.Test(t, func(t *testing.T) {
		v := newBranchVMs(map[core.VMID]Begins{"vm-2": {{Term: 2, Offset: 86}}})
		_, err := v.store.CompareAndSwap(t.Context(), branchPrefix+"g", []byte(`[{"Term":-1}`), 0, "")
		assert.NilError(t, err)
		assert.DeepEqual(t, v.branches("vm-1").Begins(t.Context(), "g"), Begins{{Term: 2, Offset: 86}})
		v.branches("vm-1").Record(t.Context(), "g")
		v.known = nil
		assert.DeepEqual(t, v.branches("vm-1").Begins(t.Context(), "g"), Begins{{Term: 2, Offset: 86}})
	})
}

// Guards against a promotion whose term's beginning isn't recorded.
func TestPromotionRecordsBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.unresponsive["a"] = true
		v := newBranchVMs(map[core.VMID]Begins{})
		f.branches = v.branches("vm-1")
		f.onPromote = func() { v.known["vm-2"] = Begins{{Term: 2, Offset: 101}} }
		assert.Equal(t, len(f.run(t, 4*time.Second)), 1)
		v.known["vm-2"] = nil
		assert.DeepEqual(t, v.branches("vm-3").Begins(t.Context(), "g"), Begins{{Term: 2, Offset: 101}})
	})
}

// Guards against a driver that doesn't use what the VMs know.
func TestFailoverAvoidsLogThatWasCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.unresponsive["a"] = true
		f.probes["b"], f.probes["c"] = received(79, 79), received(107, 107)
		f.branches = newBranchVMs(map[core.VMID]Begins{"vm-2": {{Term: 2, Offset: 86}}}).branches("vm-1")
		promotions := f.run(t, 3*time.Second)
		assert.Equal(t, len(promotions), 1)
		assert.Equal(t, promotions[0].ID, core.UpstreamID("b"))
	})
}

// branchModel is a group whose upstreams crash, come back and stop receiving, and are promoted by choose. Each entry is known by
// its position, since a term has one primary.
type branchModel struct {
	rng     *rand.Rand
	logs    [][]core.Position
	down    []bool
	deaf    []bool
	primary int
	term    core.Term
	begins  Begins
	// cutOff holds the entries that were in a log at a promotion and that the promoted one lacked, once a commit of the new term
	// was served.
	cutOff map[core.Position]bool
	// restored is the number of promotions that brought such entries back although another candidate had none.
	restored, promotions int
}

func endOf(l []core.Position) core.Position {
	if len(l) == 0 {
		return core.Position{}
	}
	return l[len(l)-1]
}

// commit lets the primary commit an entry, which the replicas that receive get with all before it.
func (m *branchModel) commit() {
	m.logs[m.primary] = append(m.logs[m.primary], core.Position{Term: m.term, Offset: core.Offset(len(m.logs[m.primary]) + 1)})
	m.begins, _ = m.begins.With(endOf(m.logs[m.primary]))
	for i := range m.logs {
		if i != m.primary && !m.down[i] && !m.deaf[i] {
			m.logs[i] = slices.Clone(m.logs[m.primary])
		}
	}
}

// replace promotes what choose returns, if a majority answers.
func (m *branchModel) replace(ids []core.UpstreamID, usesBegins bool) {
	req := failoverRequest{}
	if usesBegins {
		req.begins = m.begins
	}
	var answers []answer
	hasOther := false
	for i, l := range m.logs {
		if i == m.primary {
			continue
		}
		a := answer{id: ids[i], probe: ProbeResult{Log: endOf(l)}}
		if m.down[i] {
			a.err = errors.New("no answer")
		} else {
			hasOther = hasOther || !m.hasCutOff(l)
		}
		answers = append(answers, a)
	}
	target, _, err := choose(Group{Members: len(m.logs)}, answers, req)
	if err != nil {
		return
	}
	m.primary = slices.Index(ids, target)
	m.term++
	m.promotions++
	kept := m.logs[m.primary]
	if m.hasCutOff(kept) && hasOther {
		m.restored++
	}
	for _, p := range kept {
		delete(m.cutOff, p)
	}
	for _, l := range m.logs {
		for _, p := range l[min(len(l), commonLength(l, kept)):] {
			m.cutOff[p] = true
		}
	}
	m.commit()
}

func commonLength(a, b []core.Position) int {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return n
}

func (m *branchModel) hasCutOff(l []core.Position) bool {
	return slices.ContainsFunc(l, func(p core.Position) bool { return m.cutOff[p] })
}

// clone returns a copy of the model. Begins are never changed.
func (m *branchModel) clone() *branchModel {
	next := *m
	next.logs, next.cutOff = slices.Clone(m.logs), maps.Clone(m.cutOff)
	for i, l := range next.logs {
		next.logs[i] = slices.Clip(l)
	}
	next.down, next.deaf = slices.Clone(m.down), slices.Clone(m.deaf)
	return &next
}

// playAll plays all histories of the given number of steps after the model's: a commit, the replicas stop or begin to receive,
// an upstream goes down or comes back, the primary is replaced.
func (m *branchModel) playAll(ids []core.UpstreamID, steps int, usesBegins bool) (restored, promotions int) {
	if steps == 0 || m.restored > 0 {
		return m.restored, m.promotions
	}
	for event := range 3 + len(m.logs) {
		next := m.clone()
		switch {
		case event == 0 && !m.down[m.primary]:
			next.commit()
		case event == 1:
			for i := range next.deaf {
				next.deaf[i] = !next.deaf[i]
			}
		case event == 2 && m.down[m.primary]:
			next.replace(ids, usesBegins)
		case event > 2:
			next.down[event-3] = !next.down[event-3]
		default:
			continue
		}
		r, p := next.playAll(ids, steps-1, usesBegins)
		restored, promotions = restored+r, promotions+p
	}
	return restored, promotions
}

func (m *branchModel) step(ids []core.UpstreamID, usesBegins bool) {
	i := m.rng.IntN(len(m.logs))
	switch m.rng.IntN(6) {
	case 0, 1:
		if !m.down[m.primary] {
			m.commit()
		}
	case 2:
		m.down[i] = true
	case 3:
		m.down[i] = false
	case 4:
		m.deaf[i] = !m.deaf[i]
	default:
		if m.down[m.primary] {
			m.replace(ids, usesBegins)
		}
	}
}

func newBranchModel(upstreams int, rng *rand.Rand) *branchModel {
	m := &branchModel{
		rng: rng, logs: make([][]core.Position, upstreams), down: make([]bool, upstreams), deaf: make([]bool, upstreams),
		term: 1, cutOff: map[core.Position]bool{},
	}
	m.commit()
	return m
}

// Guards against the same in all short histories of three upstreams. The shortest one that a choice by the greatest end fails has
// seven steps.
func TestCutOffEntriesStayAwayInAllHistories(t *testing.T) {
	const steps = 7
	ids := []core.UpstreamID{"a", "b", "c"}
	restored, promotions := newBranchModel(len(ids), nil).playAll(ids, steps, true)
	assert.Assert(t, promotions > 0)
	assert.Equal(t, restored, 0)
	restored, _ = newBranchModel(len(ids), nil).playAll(ids, steps, false)
	assert.Assert(t, restored > 0, "the histories don't detect a choice by the greatest end")
	restored, _ = newBranchModel(len(ids), nil).playAll(ids, steps-1, false)
	assert.Equal(t, restored, 0)
}

// playBranches plays random histories and returns how often entries that were cut off came back, and the promotions.
func playBranches(histories uint64, usesBegins bool) (restored, promotions int) {
	ids := []core.UpstreamID{"a", "b", "c", "d"}
	for seed := range histories {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 3 + rng.IntN(2)
		m := newBranchModel(n, rng)
		for range 200 {
			m.step(ids[:n], usesBegins)
		}
		restored += m.restored
		promotions += m.promotions
	}
	return restored, promotions
}

// Guards against entries that come back after reads and commits of a later term ran without them, in random histories of crashes,
// returns and replicas that receive nothing.
func TestCutOffEntriesStayAway(t *testing.T) {
	restored, promotions := playBranches(2000, true)
	assert.Assert(t, promotions > 2000, "%d promotions", promotions)
	assert.Equal(t, restored, 0, "of %d promotions", promotions)
	restored, _ = playBranches(2000, false)
	assert.Assert(t, restored > 0, "the histories don't detect a choice by the greatest end")
}
