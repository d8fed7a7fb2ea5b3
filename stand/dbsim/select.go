package dbsim

import (
	"slices"
	"strconv"

	"snipewall/core"
)

// findRows returns the rows that match a WHERE clause. It scans the table unless the clause has the key.
func (tx *Tx) findRows(def *TableDef, where []Cond, params []Value) ([]keyedRow, error) {
	f, err := newFilter(def, where, params)
	if err != nil {
		return nil, err
	}
	var found []keyedRow
	if f.hasKey {
		if values := tx.get(def, f.key); values != nil && f.match(values) {
			found = append(found, keyedRow{key: f.key, values: values})
		}
		return found, nil
	}
	tx.scan(def, func(key Value, values []Value) {
		if f.match(values) {
			found = append(found, keyedRow{key: key, values: values})
		}
	})
	return found, nil
}

func (tx *Tx) selectForUpdate(s *Select, params []Value) (*Rows, error) {
	def, err := tx.def(s.Table)
	if err != nil {
		return nil, err
	}
	if _, err := tx.lockMatching(def, s.Where, params); err != nil {
		return nil, err
	}
	return tx.selectRows(s, params)
}

func (tx *Tx) selectRows(s *Select, params []Value) (*Rows, error) {
	if s.Table == "" {
		return selectValues(s, params)
	}
	def, err := tx.def(s.Table)
	if err != nil {
		return nil, err
	}
	out, err := tx.project(def, s.Items, params)
	if err != nil {
		return nil, err
	}
	found, err := tx.findRows(def, s.Where, params)
	if err != nil {
		return nil, err
	}
	if err := sortRows(def, found, s.Order); err != nil {
		return nil, err
	}
	if s.Limit != nil {
		n, err := evalFor(s.Limit, TypeInt, params, nil, nil)
		if err != nil {
			return nil, err
		}
		if !n.IsNull() && !out.aggregates {
			found = found[:min(len(found), int(max(0, n.Int)))]
		}
	}
	for _, r := range found {
		if err := out.add(r.values); err != nil {
			return nil, err
		}
	}
	res := out.rows("")
	res.Tag = "SELECT " + strconv.Itoa(len(res.Rows))
	return res, nil
}

// selectValues runs a SELECT without a table.
func selectValues(s *Select, params []Value) (*Rows, error) {
	res := &Rows{Tag: "SELECT 1"}
	var values []Value
	for _, item := range s.Items {
		if item.Star || item.Aggregate != "" {
			return nil, sqlErrorf(stateSyntax, "SELECT of columns needs a table")
		}
		v, err := eval(item.Expr, params, nil, nil)
		if err != nil {
			return nil, err
		}
		values = append(values, v)
		res.Fields = append(res.Fields, Field{Name: itemName(item), Type: exprType(item.Expr, nil, nil)})
	}
	res.Rows = [][]Value{values}
	return res, nil
}

func sortRows(def *TableDef, rows []keyedRow, order []Order) error {
	columns := make([]int, len(order))
	for i, o := range order {
		c, err := def.column(o.Column)
		if err != nil {
			return err
		}
		columns[i] = c
	}
	if len(order) == 0 {
		return nil
	}
	slices.SortStableFunc(rows, func(a, b keyedRow) int {
		for i, c := range columns {
			n := a.values[c].compare(b.values[c])
			if order[i].Desc {
				n = -n
			}
			if n != 0 {
				return n
			}
		}
		return 0
	})
	return nil
}

// statusRows returns the result of the control functions prepare, promote, follow and status.
func statusRows(s core.UpstreamStatus) *Rows {
	heard := s.Heard.Milliseconds()
	if s.Heard < 0 {
		heard = -1
	}
	return &Rows{
		Fields: statusFields,
		Rows: [][]Value{{
			Text(s.Role.String()), Int(int64(s.Promised)),
			Int(int64(s.Log.Term)), Int(int64(s.Log.Offset)),
			Int(int64(s.Applied.Term)), Int(int64(s.Applied.Offset)),
			Int(heard), Bool(s.Leaving),
		}},
		Tag: "SELECT 1",
	}
}
