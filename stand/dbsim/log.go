package dbsim

import "snipewall/core"

// Change is a change of one row or of a table definition. Exactly one of Create, Drop and Key is used.
type Change struct {
	Table string
	// Create defines a new table.
	Create *TableDef
	// Drop removes the table.
	Drop bool
	Key  Value
	// Row is the row after the change, nil if it was deleted.
	Row []Value
	// undo is set when the change is applied on this upstream. It is not replicated.
	undo undoRecord
}

// undoRecord holds the state that a change replaced.
type undoRecord struct {
	row   []Value
	table *table
	// skipped is whether the change had no effect.
	skipped bool
}

// Entry is one entry of the log: the changes of a transaction, or no changes at the start of a term.
type Entry struct {
	Term    core.Term
	Changes []Change
}

// Run is a sequence of consecutive entries of one term, which ends with the offset Last. The runs of two
// logs suffice to compare them: logs that have the same term at an offset are equal up to there.
type Run struct {
	Term core.Term
	Last core.Offset
}

// runsOf returns the runs of a log.
func runsOf(log []Entry) []Run {
	var runs []Run
	for i, e := range log {
		if n := len(runs); n > 0 && runs[n-1].Term == e.Term {
			runs[n-1].Last = core.Offset(i + 1)
			continue
		}
		runs = append(runs, Run{Term: e.Term, Last: core.Offset(i + 1)})
	}
	return runs
}

// commonOffset returns the offset up to which two logs are equal.
func commonOffset(a, b []Run) core.Offset {
	var common core.Offset
	for i := 0; i < len(a) && i < len(b) && a[i].Term == b[i].Term; i++ {
		common = min(a[i].Last, b[i].Last)
		if a[i].Last != b[i].Last {
			break
		}
	}
	return common
}

// positionAt returns the position of the entry at offset n, the zero position if n is 0.
func positionAt(log []Entry, n int) core.Position {
	if n == 0 {
		return core.Position{}
	}
	return core.Position{Term: log[n-1].Term, Offset: core.Offset(n)}
}

// apply makes the changes visible and records how to undo them.
func (db *Database) apply(changes []Change) {
	for i := range changes {
		db.applyChange(&changes[i])
	}
}

func (db *Database) applyChange(c *Change) {
	t := db.tables[c.Table]
	switch {
	case c.Create != nil:
		c.undo.table = t
		db.tables[c.Table] = newTable(c.Create)
		db.schema++
	case c.Drop:
		c.undo.table = t
		delete(db.tables, c.Table)
		db.schema++
	case t == nil || c.Row != nil && len(c.Row) != len(t.def.Columns):
		// Another transaction dropped or replaced the table before this one committed.
		c.undo.skipped = true
	case c.Row == nil:
		c.undo.row = t.rows[c.Key].values
		t.remove(c.Key)
	default:
		c.undo.row = t.rows[c.Key].values
		t.put(c.Key, c.Row)
	}
}

// revert undoes the changes of an entry that was the last one applied.
func (db *Database) revert(changes []Change) {
	for i := len(changes) - 1; i >= 0; i-- {
		c := &changes[i]
		switch {
		case c.undo.skipped:
		case c.Create != nil || c.Drop:
			db.schema++
			if c.undo.table == nil {
				delete(db.tables, c.Table)
				continue
			}
			db.tables[c.Table] = c.undo.table
		case c.undo.row == nil:
			db.tables[c.Table].remove(c.Key)
		default:
			db.tables[c.Table].put(c.Key, c.undo.row)
		}
	}
}
