package dbsim

import (
	"context"
	"time"

	"snipewall/core"
)

// lockWait is how long a transaction waits for a lock before the simulator assumes a deadlock.
const lockWait = 2 * time.Second

// lockKey names a row, or with a NULL key the definition of a table.
type lockKey struct {
	table string
	key   Value
}

// overlay holds the uncommitted changes of a transaction to one table.
type overlay struct {
	// def is the definition as the transaction sees it, nil if it dropped the table.
	def *TableDef
	// fresh tells that the transaction created the table, so that the committed rows don't count.
	fresh bool
	rows  map[Value][]Value
	// order holds the keys in the order of their first change.
	order []Value
	// nextKey numbers the rows of a table that the transaction created.
	nextKey int64
}

// Tx is a transaction. It reads committed data and its own changes, and locks the rows that it
// changes until it ends. It is used by one goroutine at a time.
type Tx struct {
	db       *Database
	readOnly bool
	changes  []Change
	tables   map[string]*overlay
	locks    []lockKey
	// done is closed when the transaction ends.
	done chan struct{}
}

// Begin starts a transaction.
func (db *Database) Begin(readOnly bool) *Tx {
	return &Tx{db: db, readOnly: readOnly}
}

// Commit makes the changes durable and visible. It returns the zero position if there are none.
func (tx *Tx) Commit() (core.Position, error) {
	if len(tx.changes) == 0 {
		tx.end()
		return core.Position{}, nil
	}
	tx.db.mu.Lock()
	defer tx.db.mu.Unlock()
	defer tx.release()
	return tx.db.commitChanges(tx.changes)
}

// Rollback drops the changes. It may be called after the end.
func (tx *Tx) Rollback() { tx.end() }

func (tx *Tx) end() {
	if len(tx.locks) == 0 {
		return
	}
	tx.db.mu.Lock()
	defer tx.db.mu.Unlock()
	tx.release()
}

// release gives the locks back. The caller holds the database's mutex.
func (tx *Tx) release() {
	for _, k := range tx.locks {
		if tx.db.locks[k] == tx {
			delete(tx.db.locks, k)
		}
	}
	tx.locks = nil
	tx.changes = nil
	tx.tables = nil
	if tx.done != nil {
		close(tx.done)
		tx.done = nil
	}
}

// lockConflict says that another transaction holds a lock.
type lockConflict struct {
	done <-chan struct{}
}

func (*lockConflict) Error() string { return "row is locked" }

// lock takes all locks or none. The caller holds the database's mutex.
func (tx *Tx) lock(keys []lockKey) error {
	for _, k := range keys {
		if owner, ok := tx.db.locks[k]; ok && owner != tx {
			return &lockConflict{done: owner.done}
		}
	}
	if tx.done == nil {
		tx.done = make(chan struct{})
	}
	for _, k := range keys {
		if _, ok := tx.db.locks[k]; !ok {
			tx.db.locks[k] = tx
			tx.locks = append(tx.locks, k)
		}
	}
	return nil
}

// awaitLock waits until the transaction that holds the lock has ended.
func awaitLock(ctx context.Context, c *lockConflict) error {
	timer := time.NewTimer(lockWait)
	defer timer.Stop()
	select {
	case <-c.done:
		return nil
	case <-timer.C:
		return sqlErrorf(stateDeadlock, "deadlock detected")
	case <-ctx.Done():
		return sqlErrorf(stateShutdown, "terminating connection")
	}
}

// def returns the definition of a table as the transaction sees it.
func (tx *Tx) def(name string) (*TableDef, error) {
	if o, ok := tx.tables[name]; ok {
		if o.def != nil {
			return o.def, nil
		}
	} else if t, ok := tx.db.tables[name]; ok {
		return t.def, nil
	}
	return nil, sqlErrorf(stateNoTable, "relation %q does not exist", name)
}

// overlay returns the transaction's changes to a table for writing.
func (tx *Tx) overlay(def *TableDef) *overlay {
	o, ok := tx.tables[def.Name]
	if ok && o.def != nil {
		return o
	}
	if tx.tables == nil {
		tx.tables = make(map[string]*overlay)
	}
	o = &overlay{def: def, rows: make(map[Value][]Value)}
	tx.tables[def.Name] = o
	return o
}

// write records a change of one row; a nil row deletes it.
func (tx *Tx) write(def *TableDef, key Value, values []Value) {
	o := tx.overlay(def)
	if _, ok := o.rows[key]; !ok {
		o.order = append(o.order, key)
	}
	o.rows[key] = values
	tx.changes = append(tx.changes, Change{Table: def.Name, Key: key, Row: values})
}

// get returns the row of the key as the transaction sees it, nil if there is none.
func (tx *Tx) get(def *TableDef, key Value) []Value {
	o := tx.tables[def.Name]
	if o != nil {
		if values, ok := o.rows[key]; ok {
			return values
		}
		if o.fresh {
			return nil
		}
	}
	t, ok := tx.db.tables[def.Name]
	if !ok {
		return nil
	}
	return t.rows[key].values
}

// scan calls f for each row that the transaction sees.
func (tx *Tx) scan(def *TableDef, f func(key Value, values []Value)) {
	o := tx.tables[def.Name]
	t := tx.db.tables[def.Name]
	if t != nil && (o == nil || !o.fresh) {
		t.scan(func(key Value, values []Value) {
			if o != nil {
				if own, ok := o.rows[key]; ok {
					values = own
				}
			}
			if values != nil {
				f(key, values)
			}
		})
	}
	if o == nil {
		return
	}
	for _, key := range o.order {
		committed := false
		if t != nil && !o.fresh {
			_, committed = t.rows[key]
		}
		if values := o.rows[key]; values != nil && !committed {
			f(key, values)
		}
	}
}
