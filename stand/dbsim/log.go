package dbsim

import "snipewall/core"

// Change is one change of a committed transaction. Exactly one of Create, Drop and Key is used.
type Change struct {
	Table string
	// Create defines a new table.
	Create *TableDef
	// Drop removes the table.
	Drop bool
	Key  Value
	// Row is the row after the change, nil if it was deleted.
	Row []Value
	// before undoes the change on this upstream.
	before undo
}

// undo holds what a change replaced.
type undo struct {
	row   []Value
	table *table
	// skipped tells that the change had no effect.
	skipped bool
}

// Entry is one entry of the log: the changes of a transaction, or nothing at the start of a term.
type Entry struct {
	Term    core.Term
	Changes []Change
}

// Run says that the entries up to Last, after the previous run's, belong to Term. The runs of a
// log identify it: two logs that have the same term at an offset are equal up to there.
type Run struct {
	Term core.Term
	Last core.Offset
}

// runsOf summarizes a log.
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

// position returns the position of the entry at the offset.
func position(log []Entry, n int) core.Position {
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
		c.before.table = t
		db.tables[c.Table] = newTable(c.Create)
		db.schema++
	case c.Drop:
		c.before.table = t
		delete(db.tables, c.Table)
		db.schema++
	case t == nil || c.Row != nil && len(c.Row) != len(t.def.Columns):
		// Another transaction dropped or replaced the table before this one committed.
		c.before.skipped = true
	case c.Row == nil:
		c.before.row = t.rows[c.Key].values
		t.remove(c.Key)
	default:
		c.before.row = t.rows[c.Key].values
		t.put(c.Key, c.Row)
	}
}

// revert undoes the changes of an entry that was the last one applied.
func (db *Database) revert(changes []Change) {
	for i := len(changes) - 1; i >= 0; i-- {
		c := &changes[i]
		switch {
		case c.before.skipped:
		case c.Create != nil || c.Drop:
			db.schema++
			if c.before.table == nil {
				delete(db.tables, c.Table)
				continue
			}
			db.tables[c.Table] = c.before.table
		case c.before.row == nil:
			db.tables[c.Table].remove(c.Key)
		default:
			db.tables[c.Table].put(c.Key, c.before.row)
		}
	}
}
