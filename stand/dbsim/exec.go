package dbsim

import (
	"context"
	"errors"
	"slices"
	"strconv"
)

// Field is an output column.
type Field struct {
	Name string
	Type Type
}

// Rows is the result of a statement.
type Rows struct {
	// Fields is nil if the statement returns no rows.
	Fields []Field
	Rows   [][]Value
	// Tag is the command tag with row counts, for example "INSERT 0 1".
	Tag string
}

// Exec runs a statement of the SQL engine in the transaction. While another transaction holds a lock that
// it needs, it blocks, at most until ctx ends. beforeWait, if not nil, is called before it blocks.
func (tx *Tx) Exec(ctx context.Context, s Statement, params []Value, beforeWait func()) (*Rows, error) {
	for {
		res, err := tx.tryExec(s, params)
		var conflict *lockConflict
		if !errors.As(err, &conflict) {
			return res, err
		}
		if beforeWait != nil {
			beforeWait()
		}
		if err := awaitLock(ctx, conflict); err != nil {
			return nil, err
		}
	}
}

// tryExec runs the statement without blocking. It returns a *lockConflict if another transaction holds a
// lock that it needs. On an error it has changed nothing.
func (tx *Tx) tryExec(s Statement, params []Value) (*Rows, error) {
	if !isWrite(s) {
		tx.db.mu.RLock()
		defer tx.db.mu.RUnlock()
		if sel, ok := s.(*Select); ok {
			return tx.selectRows(sel, params)
		}
		return nil, sqlErrorf(stateUnsupported, "%s is not supported here", s.Tag())
	}
	tx.db.mu.Lock()
	defer tx.db.mu.Unlock()
	if tx.readOnly {
		return nil, sqlErrorf(stateReadOnly, "cannot execute %s in a read-only transaction", s.Tag())
	}
	if err := tx.db.checkWritable(); err != nil {
		return nil, err
	}
	switch s := s.(type) {
	case *CreateTable:
		return tx.createTable(s)
	case *DropTable:
		return tx.dropTable(s)
	case *Insert:
		return tx.insert(s, params)
	case *Update:
		return tx.update(s, params)
	case *Delete:
		return tx.delete(s, params)
	case *Select:
		return tx.selectForUpdate(s, params)
	}
	return nil, sqlErrorf(stateUnsupported, "%s is not supported", s.Tag())
}

func (tx *Tx) createTable(s *CreateTable) (*Rows, error) {
	if _, err := tx.def(s.Table); err == nil {
		if s.IfNotExists {
			return &Rows{Tag: s.Tag()}, nil
		}
		return nil, sqlErrorf(stateTableExists, "relation %q already exists", s.Table)
	}
	if err := tx.lock([]lockKey{{table: s.Table}}); err != nil {
		return nil, err
	}
	def := &TableDef{Name: s.Table, Columns: s.Columns, Key: -1}
	for i, c := range s.Columns {
		if c.Primary {
			def.Key = i
		}
	}
	delete(tx.tables, s.Table)
	tx.overlay(def).created = true
	tx.changes = append(tx.changes, Change{Table: s.Table, Create: def})
	return &Rows{Tag: s.Tag()}, nil
}

func (tx *Tx) dropTable(s *DropTable) (*Rows, error) {
	if _, err := tx.def(s.Table); err != nil {
		if s.IfExists {
			return &Rows{Tag: s.Tag()}, nil
		}
		return nil, err
	}
	if err := tx.lock([]lockKey{{table: s.Table}}); err != nil {
		return nil, err
	}
	if tx.tables == nil {
		tx.tables = make(map[string]*overlay)
	}
	tx.tables[s.Table] = &overlay{}
	tx.changes = append(tx.changes, Change{Table: s.Table, Drop: true})
	return &Rows{Tag: s.Tag()}, nil
}

// keyedRow is a row with its key: the primary key or, in a table without one, the row's number.
type keyedRow struct {
	key    Value
	values []Value
}

func (tx *Tx) insert(s *Insert, params []Value) (*Rows, error) {
	def, err := tx.def(s.Table)
	if err != nil {
		return nil, err
	}
	rows, err := tx.buildRows(def, s, params)
	if err != nil {
		return nil, err
	}
	locks := make([]lockKey, len(rows))
	for i, r := range rows {
		locks[i] = lockKey{table: def.Name, key: r.key}
	}
	if err := tx.lock(locks); err != nil {
		return nil, err
	}
	kept, err := tx.dropDuplicates(def, s, rows)
	if err != nil {
		return nil, err
	}
	out, err := tx.project(def, s.Returning, params)
	if err != nil {
		return nil, err
	}
	for _, r := range kept {
		tx.write(def, r.key, r.values)
		if err := out.add(r.values); err != nil {
			return nil, err
		}
	}
	return out.rows("INSERT 0 " + strconv.Itoa(len(kept))), nil
}

// dropDuplicates returns the rows whose keys are free. It returns an error at the first duplicate unless the
// statement has ON CONFLICT DO NOTHING.
func (tx *Tx) dropDuplicates(def *TableDef, s *Insert, rows []keyedRow) ([]keyedRow, error) {
	kept := rows[:0]
	seen := make(map[Value]bool, len(rows))
	for _, r := range rows {
		if !seen[r.key] && tx.get(def, r.key) == nil {
			seen[r.key] = true
			kept = append(kept, r)
			continue
		}
		if !s.SkipDuplicates {
			return nil, sqlErrorf(stateUnique, "duplicate key value violates unique constraint \"%s_pkey\"", def.Name)
		}
	}
	return kept, nil
}

// buildRows evaluates the values of an INSERT, fills in defaults and assigns keys.
func (tx *Tx) buildRows(def *TableDef, s *Insert, params []Value) ([]keyedRow, error) {
	columns, err := insertColumns(def, s)
	if err != nil {
		return nil, err
	}
	rows := make([]keyedRow, 0, len(s.Rows))
	for _, exprs := range s.Rows {
		if len(exprs) != len(columns) {
			return nil, sqlErrorf(stateSyntax, "INSERT has %d expressions for %d columns", len(exprs), len(columns))
		}
		values := make([]Value, len(def.Columns))
		for i, c := range def.Columns {
			values[i] = c.Default
		}
		for i, e := range exprs {
			if values[columns[i]], err = evalFor(e, def.Columns[columns[i]].Type, params, nil, nil); err != nil {
				return nil, err
			}
		}
		r, err := tx.assignKey(def, values)
		if err != nil {
			return nil, err
		}
		rows = append(rows, r)
	}
	return rows, nil
}

// insertColumns returns the indexes of the columns that an INSERT sets: all if it names none.
func insertColumns(def *TableDef, s *Insert) ([]int, error) {
	var columns []int
	for _, name := range s.Columns {
		i, err := def.column(name)
		if err != nil {
			return nil, err
		}
		columns = append(columns, i)
	}
	if columns == nil {
		for i := range def.Columns {
			columns = append(columns, i)
		}
	}
	return columns, nil
}

// assignKey numbers serial columns, checks NOT NULL constraints and determines the key of a row.
func (tx *Tx) assignKey(def *TableDef, values []Value) (keyedRow, error) {
	for i, c := range def.Columns {
		if c.Serial && values[i].IsNull() {
			values[i] = Int(tx.nextKey(def))
		}
		if values[i].IsNull() && (c.NotNull || c.Primary) {
			return keyedRow{}, sqlErrorf(stateNotNull, "null value in column %q violates not-null constraint", c.Name)
		}
	}
	if def.Key >= 0 {
		return keyedRow{key: values[def.Key], values: values}, nil
	}
	return keyedRow{key: Int(tx.nextKey(def)), values: values}, nil
}

// nextKey returns the next number for a row. Like a PostgreSQL sequence, it isn't rolled back.
func (tx *Tx) nextKey(def *TableDef) int64 {
	t, ok := tx.db.tables[def.Name]
	if ok {
		t.lastKey++
		return t.lastKey
	}
	o := tx.overlay(def)
	o.lastKey++
	return o.lastKey
}

func (tx *Tx) update(s *Update, params []Value) (*Rows, error) {
	def, err := tx.def(s.Table)
	if err != nil {
		return nil, err
	}
	found, err := tx.lockMatching(def, s.Where, params)
	if err != nil {
		return nil, err
	}
	out, err := tx.project(def, s.Returning, params)
	if err != nil {
		return nil, err
	}
	changed := make([][]Value, len(found))
	for i, r := range found {
		if changed[i], err = assign(def, s.Set, params, r.values); err != nil {
			return nil, err
		}
	}
	if err := tx.lockNewKeys(def, found, changed); err != nil {
		return nil, err
	}
	for i, r := range found {
		tx.replace(def, r.key, changed[i])
		if err := out.add(changed[i]); err != nil {
			return nil, err
		}
	}
	return out.rows("UPDATE " + strconv.Itoa(len(found))), nil
}

// lockNewKeys locks the new keys of rows whose primary key changes. It returns an error if one of
// them is taken.
func (tx *Tx) lockNewKeys(def *TableDef, found []keyedRow, changed [][]Value) error {
	if def.Key < 0 {
		return nil
	}
	var locks []lockKey
	for i, r := range found {
		if key := changed[i][def.Key]; key != r.key {
			locks = append(locks, lockKey{table: def.Name, key: key})
		}
	}
	if err := tx.lock(locks); err != nil {
		return err
	}
	claimed := make(map[Value]bool, len(locks))
	for _, k := range locks {
		if claimed[k.key] || tx.get(def, k.key) != nil {
			return sqlErrorf(stateUnique, "duplicate key value violates unique constraint \"%s_pkey\"", def.Name)
		}
		claimed[k.key] = true
	}
	return nil
}

// replace writes a changed row. If its primary key has changed, it also deletes the row of the old key.
func (tx *Tx) replace(def *TableDef, key Value, values []Value) {
	if def.Key < 0 || values[def.Key] == key {
		tx.write(def, key, values)
		return
	}
	tx.write(def, key, nil)
	tx.write(def, values[def.Key], values)
}

// assign returns a copy of the row with the assignments of an UPDATE.
func assign(def *TableDef, set []Assign, params []Value, old []Value) ([]Value, error) {
	values := slices.Clone(old)
	for _, a := range set {
		i, err := def.column(a.Column)
		if err != nil {
			return nil, err
		}
		if values[i], err = evalFor(a.Value, def.Columns[i].Type, params, def, old); err != nil {
			return nil, err
		}
		if values[i].IsNull() && (def.Columns[i].NotNull || def.Columns[i].Primary) {
			return nil, sqlErrorf(stateNotNull, "null value in column %q violates not-null constraint", a.Column)
		}
	}
	return values, nil
}

func (tx *Tx) delete(s *Delete, params []Value) (*Rows, error) {
	def, err := tx.def(s.Table)
	if err != nil {
		return nil, err
	}
	found, err := tx.lockMatching(def, s.Where, params)
	if err != nil {
		return nil, err
	}
	out, err := tx.project(def, s.Returning, params)
	if err != nil {
		return nil, err
	}
	for _, r := range found {
		tx.write(def, r.key, nil)
		if err := out.add(r.values); err != nil {
			return nil, err
		}
	}
	return out.rows("DELETE " + strconv.Itoa(len(found))), nil
}

// lockMatching returns the rows that match a WHERE clause and locks them.
func (tx *Tx) lockMatching(def *TableDef, where []Cond, params []Value) ([]keyedRow, error) {
	found, err := tx.findRows(def, where, params)
	if err != nil {
		return nil, err
	}
	locks := make([]lockKey, len(found))
	for i, r := range found {
		locks[i] = lockKey{table: def.Name, key: r.key}
	}
	return found, tx.lock(locks)
}

var statusFields = []Field{
	{"role", TypeText}, {"promised_term", TypeInt},
	{"log_term", TypeInt}, {"log_offset", TypeInt},
	{"applied_term", TypeInt}, {"applied_offset", TypeInt},
	{"heard_ms", TypeInt}, {"leaving", TypeBool},
}
