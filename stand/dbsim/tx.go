package dbsim

import (
	"context"
	"time"

	"snipewall/core"
)

// lockTimeout is how long a transaction waits for a lock before it fails with a deadlock error. The
// simulator has no other deadlock detection.
const lockTimeout = 2 * time.Second

// lockKey identifies a row or, with a NULL key, the definition of a table.
type lockKey struct {
	table string
	key   Value
}

// overlay holds the uncommitted changes of a transaction to one table.
type overlay struct {
	// def is the definition as the transaction sees it, nil if it dropped the table.
	def *TableDef
	// created is whether the transaction created the table. Then it doesn't see the committed rows of a
	// table of that name.
	created bool
	rows    map[Value][]Value
	// order holds the keys in the order of their first change.
	order []Value
	// lastKey is the last number that was assigned to a row of a table that the transaction created.
	lastKey int64
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

// Commit appends the changes to the log, makes them visible and returns the position of the entry. Without
// changes it returns the zero position.
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

// Rollback discards the changes and releases the locks. It does nothing after the transaction has ended.
func (tx *Tx) Rollback() { tx.end() }

func (tx *Tx) end() {
	if len(tx.locks) == 0 {
		return
	}
	tx.db.mu.Lock()
	defer tx.db.mu.Unlock()
	tx.release()
}

// release releases the locks and discards the changes. The caller holds the database's mutex.
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

// lockConflict is the error that another transaction holds a lock. done is closed when that transaction
// ends.
type lockConflict struct {
	done <-chan struct{}
}

func (*lockConflict) Error() string { return "row is locked" }

// lock acquires all locks or, if another transaction holds one, none. It doesn't block. The caller holds the
// database's mutex.
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

// awaitLock blocks until the transaction that holds the lock has ended, at most for lockTimeout or until ctx
// ends.
func awaitLock(ctx context.Context, c *lockConflict) error {
	timer := time.NewTimer(lockTimeout)
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

// overlay returns the transaction's overlay of a table. It creates it if there is none.
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
		if o.created {
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
	if t != nil && (o == nil || !o.created) {
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
		if t != nil && !o.created {
			_, committed = t.rows[key]
		}
		if values := o.rows[key]; values != nil && !committed {
			f(key, values)
		}
	}
}
