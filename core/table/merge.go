package table

import (
	"fmt"
	"strings"

	"snipewall/core"
)

// Edit is an operator's change: the whole new table, and the version on which it is based.
type Edit struct {
	// ID identifies the edit when it is applied again. Each edit needs a new one.
	ID core.EditID
	// Base is the version that the operator edited, 0 for the first table.
	Base  core.Version
	Table *Table
	// Merge permits to apply the edit on top of later edits of other rows.
	Merge bool
}

// ConflictRow is a row that was changed by another edit since the base version.
type ConflictRow struct {
	Kind core.Kind
	// Base, Current and Edited are the row in the base version, in the current version and in the edit, or
	// nil if there is no such row. Base is also nil if the base version can't be restored.
	Base    *core.KindPolicy
	Current *core.KindPolicy
	Edited  *core.KindPolicy
	// Both is set if the edit changes the row too, so that a merge can't resolve the conflict.
	Both bool
}

// String describes the row in one line.
func (r ConflictRow) String() string {
	return fmt.Sprintf("in force %q, in the edit %q", Change{Kind: r.Kind, Before: r.Base, After: r.Current}, Change{Kind: r.Kind, Before: r.Base, After: r.Edited})
}

// ConflictError reports that the edit was not applied, because its base isn't the current version.
type ConflictError struct {
	Base    core.Version
	Current core.Version
	// Edit is the edit that created the current version.
	Edit   core.EditID
	Reason string
	Rows   []ConflictRow
}

func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "not applied: based on version %d, in force is version %d by edit %q: %s", e.Base, e.Current, e.Edit, e.Reason)
	for _, row := range e.Rows {
		fmt.Fprintf(&b, "; row %s: %s", row.Kind, row)
	}
	return b.String()
}

// plan is the effect of an edit on the current record.
type plan struct {
	table   *Table
	changes Changes
	merged  bool
}

// planEdit applies the edit to the record or returns a *ConflictError.
func planEdit(cur *record, edit Edit) (plan, error) {
	if edit.Base == cur.Version {
		return plan{table: edit.Table, changes: Diff(cur.table, edit.Table)}, nil
	}
	conflict := &ConflictError{Base: edit.Base, Current: cur.Version, Edit: cur.Edit}
	if edit.Base > cur.Version {
		conflict.Reason = "the base version is not in the store"
		return plan{}, core.ErrTable.Wrap(conflict)
	}
	base, touched, err := cur.restore(edit.Base)
	if err != nil {
		conflict.Reason = err.Error()
		conflict.Rows = conflictRows(Diff(cur.table, edit.Table), nil, cur.table, edit.Table)
		return plan{}, core.ErrTable.Wrap(conflict)
	}
	mine := Diff(base, edit.Table)
	var theirs, both Changes
	for kind := range touched {
		theirs = append(theirs, Change{Kind: kind})
		if c := mine.find(kind); c != nil && !isSameRow(cur.table, edit.Table, kind) {
			both = append(both, *c)
		}
	}
	if !edit.Merge {
		conflict.Reason = "other edits came in between"
		conflict.Rows = conflictRows(theirs, base, cur.table, edit.Table)
		return plan{}, core.ErrTable.Wrap(conflict)
	}
	if len(both) > 0 {
		conflict.Reason = "other edits changed the same rows"
		conflict.Rows = conflictRows(both, base, cur.table, edit.Table)
		return plan{}, core.ErrTable.Wrap(conflict)
	}
	return merge(cur, mine)
}

// merge applies changes to the current table and validates the result as a whole.
func merge(cur *record, mine Changes) (plan, error) {
	rows := make(map[core.Kind]core.KindPolicy)
	for _, row := range cur.table.Kinds() {
		rows[row.Kind] = row
	}
	for _, c := range mine {
		if c.After == nil {
			delete(rows, c.Kind)
			continue
		}
		rows[c.Kind] = *c.After
	}
	merged, err := Parse(newTableFromMap(rows).CSV())
	if err != nil {
		return plan{}, err
	}
	return plan{table: merged, changes: Diff(cur.table, merged), merged: true}, nil
}

func isSameRow(a, b *Table, kind core.Kind) bool {
	x, inA := a.Policy(kind)
	y, inB := b.Policy(kind)
	return inA == inB && x == y
}

// conflictRows returns the rows of the kinds, sorted by kind. A nil base means that it is unknown.
func conflictRows(kinds Changes, base, current, edited *Table) []ConflictRow {
	var rows []ConflictRow
	for _, c := range kinds {
		row := ConflictRow{
			Kind: c.Kind, Base: rowOf(base, c.Kind), Current: rowOf(current, c.Kind), Edited: rowOf(edited, c.Kind),
		}
		row.Both = base == nil || !isSameRow(base, edited, c.Kind)
		rows = append(rows, row)
	}
	sortRows(rows)
	return rows
}

func rowOf(t *Table, kind core.Kind) *core.KindPolicy {
	row, ok := t.Policy(kind)
	if !ok {
		return nil
	}
	return &row
}
