package table

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"snipewall/core"
	"snipewall/io/store"
	"snipewall/stand/kvsim"
)

// platform is a simulated platform with a client, on the clock of the test.
type platform struct {
	*kvsim.Server
	store *store.Store
}

type testingT interface {
	assert.TestingT
	Helper()
}

func newPlatform(t testingT) platform {
	t.Helper()
	sim := kvsim.New(kvsim.Config{})
	s, err := store.New(store.Config{Address: "http://platform", Transport: sim.Client().Transport})
	assert.NilError(t, err)
	return platform{Server: sim, store: s}
}

func (p platform) editor() *Editor { return NewEditor(EditorConfig{Store: p.store}) }

const (
	startTable = "Kind,Weight\nquote,1\nreseal,1\nwarranty,1\n"
	quote2     = "Kind,Weight\nquote,2\nreseal,1\nwarranty,1\n"
	quote3     = "Kind,Weight\nquote,3\nreseal,1\nwarranty,1\n"
	reseal2    = "Kind,Weight\nquote,1\nreseal,2\nwarranty,1\n"
	bothTwo    = "Kind,Weight\nquote,2\nreseal,2\nwarranty,1\n"
)

// Guards against lost or reverted edits when two operators edit at once, or when an operator applies
// an old checkout again.
func TestEditConflicts(t *testing.T) {
	type step struct {
		text  string
		base  core.Version
		merge bool
		// rows are the kinds of a conflict, or nil if the edit is accepted.
		rows []core.Kind
	}
	tests := []struct {
		name  string
		steps []step
		want  string
	}{
		{"in turn", []step{{quote2, 1, false, nil}, {bothTwo, 2, false, nil}}, bothTwo},
		{"two operators", []step{{quote2, 1, false, nil}, {reseal2, 1, false, []core.Kind{"quote"}}}, quote2},
		{"two operators merge", []step{{quote2, 1, false, nil}, {reseal2, 1, true, nil}}, bothTwo},
		{"same row", []step{{quote2, 1, false, nil}, {quote3, 1, true, []core.Kind{"quote"}}}, quote2},
		{"same change", []step{{quote2, 1, false, nil}, {quote2, 1, true, nil}}, quote2},
		{"old checkout", []step{{quote2, 1, false, nil}, {startTable, 1, false, []core.Kind{"quote"}}}, quote2},
		{"old checkout merges to nothing", []step{{quote2, 1, false, nil}, {startTable, 1, true, nil}}, quote2},
		{
			"old edit after its revert",
			[]step{{quote2, 1, false, nil}, {startTable, 2, false, nil}, {quote2, 1, true, []core.Kind{"quote"}}},
			startTable,
		},
		{"row removed and changed", []step{{"Kind\nreseal\nwarranty\n", 1, false, nil}, {quote2, 1, true, []core.Kind{"quote"}}}, "Kind\nreseal\nwarranty\n"},
		{"base from the future", []step{{quote2, 9, true, []core.Kind{}}}, startTable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ed := newPlatform(t).editor()
				_, err := ed.Apply(t.Context(), Edit{ID: "start", Table: mustParse(t, startTable)})
				assert.NilError(t, err)
				for i, s := range tt.steps {
					edit := Edit{ID: core.EditID(strconv.Itoa(i)), Base: s.base, Table: mustParse(t, s.text), Merge: s.merge}
					_, err := ed.Apply(t.Context(), edit)
					if s.rows == nil {
						assert.NilError(t, err)
						continue
					}
					var conflict *ConflictError
					assert.Assert(t, errors.As(err, &conflict), "%v", err)
					kinds := []core.Kind{}
					for _, row := range conflict.Rows {
						kinds = append(kinds, row.Kind)
					}
					assert.DeepEqual(t, kinds, s.rows)
				}
				got, err := ed.Read(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, string(got.Table.CSV()), string(mustParse(t, tt.want).CSV()))
			})
		})
	}
}

// Guards against an edit that is applied twice, or reported as failed, after its answer was lost.
func TestEditLostAnswer(t *testing.T) {
	for _, stale := range []string{"0", "1s"} {
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform(t)
			first, err := p.editor().Apply(t.Context(), Edit{ID: "start", Table: mustParse(t, startTable)})
			assert.NilError(t, err)
			time.Sleep(time.Minute)
			assert.NilError(t, p.SetFault(kvsim.FaultStale, stale))
			assert.NilError(t, p.SetFault(kvsim.FaultLostAnswer, "1"))
			edit := Edit{ID: "second", Base: first.Version, Table: mustParse(t, quote2)}
			for range 2 {
				got, err := p.editor().Apply(t.Context(), edit)
				assert.NilError(t, err)
				assert.Equal(t, got.Version, core.Version(2))
				assert.Equal(t, got.Changes.String(), "~ quote: Weight 1 -> 2")
			}
		})
	}
}

// Guards against an error that calls an edit failed although it may be in force, and the reverse.
func TestEditOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		edit := Edit{ID: "start", Table: mustParse(t, startTable)}
		assert.NilError(t, p.SetFault(kvsim.FaultDown, "true"))
		start := time.Now()
		_, err := p.editor().Apply(t.Context(), edit)
		var unknown *OutcomeError
		assert.Assert(t, err != nil && !errors.As(err, &unknown), "%v", err)
		assert.ErrorContains(t, err, "not applied after 6 tries")
		assert.Assert(t, time.Since(start) < 20*time.Second)

		assert.NilError(t, p.ClearFault(kvsim.FaultDown))
		assert.NilError(t, p.SetFault(kvsim.FaultLostAnswer, "1"))
		cut := NewEditor(EditorConfig{Store: p.store, Attempts: 1})
		_, err = cut.Apply(t.Context(), edit)
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		got, err := p.editor().Apply(t.Context(), edit)
		assert.NilError(t, err)
		assert.Equal(t, got.Version, core.Version(1))
	})
}

// Guards against a table that nodes ignore since its versions start anew after the store lost it.
func TestEditAfterStoreLostTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		ed := NewEditor(EditorConfig{Store: p.store, Known: func() core.Version { return 41 }})
		got, err := ed.Apply(t.Context(), Edit{ID: "start", Table: mustParse(t, startTable)})
		assert.NilError(t, err)
		assert.Equal(t, got.Version, core.Version(42))
	})
}

// Guards against a history that grows beyond the store's limit, and against a merge with a base that
// is not known anymore.
func TestHistoryIsBounded(t *testing.T) {
	rows := manyRows(MaxRows)
	cur := &record{}
	for v := core.Version(1); v < 100; v++ {
		tab := mustParse(t, "Kind\n"+rows)
		if v%2 == 0 {
			tab = mustParse(t, "Kind\nonly\n")
		}
		cur = cur.next(v, core.EditID(fmt.Sprint(v)), tab)
		value, err := cur.encode()
		assert.NilError(t, err)
		assert.Assert(t, len(value) < maxRecordBytes/2, "record has %d bytes", len(value))
	}
	_, err := planEdit(cur, Edit{ID: "x", Base: 2, Table: cur.table, Merge: true})
	assert.ErrorContains(t, err, "too old to restore")
	assert.Equal(t, cur.find("99"), core.Version(99))
}

// Guards against outcomes that are reported wrongly under any mix of operators, lost answers, stale
// reads and outages: an edit is applied at most once, and what was accepted stays.
func TestEditorsInterleaved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom([]string{"lost", "stale", "down", "up", "fresh", "wait"}), 5, 30).Draw(rt, "faults")
		operators := rapid.IntRange(2, 4).Draw(rt, "operators")
		synctest.Test(t, func(t *testing.T) {
			p := newPlatform(t)
			ctx := t.Context()
			_, err := p.editor().Apply(ctx, Edit{ID: "start", Table: mustParse(t, "Kind\nstart\n")})
			assert.NilError(t, err)
			results := make(chan map[core.EditID]error, operators)
			for op := range operators {
				go func() { results <- operate(t, p, op) }()
			}
			for _, fault := range script {
				play(t, p, fault)
				time.Sleep(700 * time.Millisecond)
			}
			for _, fault := range []string{kvsim.FaultDown, kvsim.FaultLostAnswer, kvsim.FaultStale} {
				assert.NilError(t, p.ClearFault(fault))
			}
			all := map[core.EditID]error{}
			for range operators {
				maps.Copy(all, <-results)
			}
			final, err := p.editor().Read(ctx)
			assert.NilError(t, err)
			checkOutcomes(t, all, final)
		})
	})
}

func play(t *testing.T, p platform, fault string) {
	steps := map[string][2]string{
		"lost": {kvsim.FaultLostAnswer, "1"}, "stale": {kvsim.FaultStale, "2s"}, "fresh": {kvsim.FaultStale, "0"},
		"down": {kvsim.FaultDown, "true"}, "up": {kvsim.FaultDown, "false"},
	}
	if s, ok := steps[fault]; ok {
		assert.NilError(t, p.SetFault(s[0], s[1]))
	}
}

// operate applies edits that each add one row named after the edit.
func operate(t *testing.T, p platform, op int) map[core.EditID]error {
	results := map[core.EditID]error{}
	for n := range 5 {
		id := core.EditID(fmt.Sprintf("op%d-%d", op, n))
		read, err := p.editor().Read(t.Context())
		if err != nil || read.Version == 0 {
			time.Sleep(time.Second)
			continue
		}
		tab, err := New(append(slices.Clone(read.Table.Kinds()), mustParse(t, "Kind\n"+string(id)+"\n").Kinds()...))
		assert.Check(t, err)
		_, results[id] = p.editor().Apply(t.Context(), Edit{ID: id, Base: read.Version, Table: tab, Merge: n%2 == 0})
		time.Sleep(time.Duration(op+1) * 300 * time.Millisecond)
	}
	return results
}

func checkOutcomes(t *testing.T, results map[core.EditID]error, final Checkout) {
	applied := 0
	for id, err := range results {
		_, in := final.Table.Policy(core.Kind(id))
		var unknown *OutcomeError
		switch {
		case err == nil:
			assert.Assert(t, in, "edit %s was accepted and is not in force", id)
		case errors.As(err, &unknown):
		default:
			assert.Assert(t, !in, "edit %s is in force but was reported as %v", id, err)
		}
		if in {
			applied++
		}
	}
	assert.Equal(t, int(final.Version), 1+applied)
}
