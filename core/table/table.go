package table

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"maps"
	"slices"

	"snipewall/core"
)

// Limits of a table.
const (
	// MaxRows is the maximum number of rows.
	MaxRows = 2000
	// MaxBytes is the maximum length of the CSV form. With the history and the JSON encoding, the record
	// stays below the store's limit of 1 MB.
	MaxBytes = 256 << 10
)

// Table is a valid, immutable table.
type Table struct {
	rows   []core.KindPolicy
	byKind map[core.Kind]core.KindPolicy
}

// New returns a table with the rows. It validates them like Parse.
func New(rows []core.KindPolicy) (*Table, error) {
	return Parse(encode(rows))
}

// newTable returns a table with the rows, which must be valid.
func newTable(rows []core.KindPolicy) *Table {
	t := &Table{rows: slices.Clone(rows), byKind: make(map[core.Kind]core.KindPolicy, len(rows))}
	slices.SortFunc(t.rows, func(a, b core.KindPolicy) int { return cmp.Compare(a.Kind, b.Kind) })
	for _, row := range t.rows {
		t.byKind[row.Kind] = row
	}
	return t
}

// newTableFromMap returns a table with the rows, which must be valid.
func newTableFromMap(rows map[core.Kind]core.KindPolicy) *Table {
	return newTable(slices.Collect(maps.Values(rows)))
}

// Policy returns the row of the kind, or false if there is none.
func (t *Table) Policy(kind core.Kind) (core.KindPolicy, bool) {
	if t == nil {
		return core.KindPolicy{}, false
	}
	p, ok := t.byKind[kind]
	return p, ok
}

// Kinds returns all rows, sorted by kind. The caller must not change them.
func (t *Table) Kinds() []core.KindPolicy {
	if t == nil {
		return nil
	}
	return t.rows
}

// CSV returns the table in canonical form.
func (t *Table) CSV() []byte { return encode(t.Kinds()) }

// Equal reports whether both tables have the same rows.
func (t *Table) Equal(u *Table) bool { return slices.Equal(t.Kinds(), u.Kinds()) }

// encode returns the rows as CSV with all cells filled.
func encode(rows []core.KindPolicy) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	// Writes to a bytes.Buffer don't fail.
	_ = w.Write(columnNames())
	for _, row := range rows {
		_ = w.Write(cells(row))
	}
	w.Flush()
	return b.Bytes()
}
