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
	// seq is the place in the table's insertion order.
	seq uint64
}

// slot is an entry of the insertion order. It is dead if the table's row of the key has another seq.
type slot struct {
	key Value
	seq uint64
}

// table holds the committed rows. It is guarded by the database's mutex.
type table struct {
	def   *TableDef
	rows  map[Value]row
	order []slot
	// nextSeq numbers insertions; nextKey numbers rows without a primary key and serial columns.
	nextSeq uint64
	nextKey int64
}

func newTable(def *TableDef) *table {
	return &table{def: def, rows: make(map[Value]row)}
}

// put inserts or replaces a row.
func (t *table) put(key Value, values []Value) {
	old, ok := t.rows[key]
	if ok {
		t.rows[key] = row{values: values, seq: old.seq}
		return
	}
	t.nextSeq++
	t.rows[key] = row{values: values, seq: t.nextSeq}
	t.order = append(t.order, slot{key: key, seq: t.nextSeq})
	if key.Type == TypeInt && key.Int > t.nextKey {
		t.nextKey = key.Int
	}
}

func (t *table) remove(key Value) {
	delete(t.rows, key)
	if len(t.order) > 2*len(t.rows)+64 {
		t.compact()
	}
}

// compact drops the dead entries of the insertion order.
func (t *table) compact() {
	live := t.order[:0]
	for _, s := range t.order {
		if r, ok := t.rows[s.key]; ok && r.seq == s.seq {
			live = append(live, s)
		}
	}
	t.order = live
}

// scan calls f for each row in insertion order.
func (t *table) scan(f func(key Value, values []Value)) {
	for _, s := range t.order {
		if r, ok := t.rows[s.key]; ok && r.seq == s.seq {
			f(s.key, r.values)
		}
	}
}
