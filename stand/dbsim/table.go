package dbsim

// TableDef describes a table.
type TableDef struct {
	Name    string
	Columns []Column
	// Key is the index of the primary key column, -1 if there is none.
	Key int
}

// column returns the index of the column.
func (d *TableDef) column(name string) (int, error) {
	for i := range d.Columns {
		if d.Columns[i].Name == name {
			return i, nil
		}
	}
	return 0, sqlErrorf(stateNoColumn, "column %q does not exist", name)
}

// row is one version of a row. Its values are never changed.
type row struct {
	values []Value
	// seq is the row's sequence number in the table's insertion order.
	seq uint64
}

// orderEntry is an entry of the insertion order. It is stale if the table has no row with this key and seq.
type orderEntry struct {
	key Value
	seq uint64
}

// table holds the committed rows. It is guarded by the database's mutex.
type table struct {
	def   *TableDef
	rows  map[Value]row
	order []orderEntry
	// lastSeq is the last seq that was assigned. lastKey is the last number that was assigned to a serial
	// column or to a row of a table without a primary key.
	lastSeq uint64
	lastKey int64
}

func newTable(def *TableDef) *table {
	return &table{def: def, rows: make(map[Value]row)}
}

// put inserts or replaces a row. A replaced row keeps its place in the insertion order.
func (t *table) put(key Value, values []Value) {
	old, ok := t.rows[key]
	if ok {
		t.rows[key] = row{values: values, seq: old.seq}
		return
	}
	t.lastSeq++
	t.rows[key] = row{values: values, seq: t.lastSeq}
	t.order = append(t.order, orderEntry{key: key, seq: t.lastSeq})
	if key.Type == TypeInt && key.Int > t.lastKey {
		t.lastKey = key.Int
	}
}

func (t *table) remove(key Value) {
	delete(t.rows, key)
	if len(t.order) > 2*len(t.rows)+64 {
		t.compact()
	}
}

// compact removes the stale entries of the insertion order.
func (t *table) compact() {
	live := t.order[:0]
	for _, e := range t.order {
		if r, ok := t.rows[e.key]; ok && r.seq == e.seq {
			live = append(live, e)
		}
	}
	t.order = live
}

// scan calls f for each row in insertion order.
func (t *table) scan(f func(key Value, values []Value)) {
	for _, e := range t.order {
		if r, ok := t.rows[e.key]; ok && r.seq == e.seq {
			f(e.key, r.values)
		}
	}
}
