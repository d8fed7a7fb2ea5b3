package dbsim

// describe returns the types of the parameters and the output columns of a statement. Types that the
// client declared take precedence over inferred ones.
func (tx *Tx) describe(s Statement, declared []uint32) ([]Type, []Field, error) {
	tx.db.mu.RLock()
	defer tx.db.mu.RUnlock()
	d := &describer{tx: tx}
	for _, oid := range declared {
		d.types = append(d.types, typeOfOID(oid))
	}
	fields, err := d.statement(s)
	if err != nil {
		return nil, nil, err
	}
	for i, t := range d.types {
		if t == TypeNull {
			d.types[i] = TypeText
		}
	}
	return d.types, fields, nil
}

// describer infers the types of parameters.
type describer struct {
	tx    *Tx
	types []Type
}

// expect infers the types of the parameters in e from its use where type t is expected.
func (d *describer) expect(e *Expr, t Type) {
	if e == nil {
		return
	}
	if e.Cast != TypeNull {
		t = e.Cast
	}
	switch e.Kind {
	case ExprParam:
		for len(d.types) < e.Param {
			d.types = append(d.types, TypeNull)
		}
		if d.types[e.Param-1] == TypeNull {
			d.types[e.Param-1] = t
		}
	case ExprBinary:
		d.expect(e.Left, t)
		d.expect(e.Right, t)
	case ExprCall:
		for _, arg := range e.Args {
			d.expect(arg, TypeFloat)
		}
	}
}

func (d *describer) statement(s Statement) ([]Field, error) {
	switch s := s.(type) {
	case *Insert:
		return d.insert(s)
	case *Update:
		return d.update(s)
	case *Delete:
		def, err := d.tx.def(s.Table)
		if err != nil {
			return nil, err
		}
		if err := d.where(def, s.Where); err != nil {
			return nil, err
		}
		return d.items(def, s.Returning)
	case *Select:
		return d.selectStatement(s)
	case *Call:
		return d.call(s), nil
	case *Show:
		return []Field{{s.Name, TypeText}}, nil
	default:
		return nil, nil
	}
}

func (d *describer) call(s *Call) []Field {
	for _, arg := range s.Args {
		t := TypeText
		if s.Func != "fault" && arg == s.Args[0] {
			t = TypeInt
		}
		d.expect(arg, t)
	}
	if s.Func == "fault" {
		return faultFields
	}
	return statusFields
}

func (d *describer) insert(s *Insert) ([]Field, error) {
	def, err := d.tx.def(s.Table)
	if err != nil {
		return nil, err
	}
	columns, err := insertColumns(def, s)
	if err != nil {
		return nil, err
	}
	for _, row := range s.Rows {
		for i, e := range row {
			if i < len(columns) {
				d.expect(e, def.Columns[columns[i]].Type)
			}
		}
	}
	return d.items(def, s.Returning)
}

func (d *describer) update(s *Update) ([]Field, error) {
	def, err := d.tx.def(s.Table)
	if err != nil {
		return nil, err
	}
	for _, a := range s.Set {
		i, err := def.column(a.Column)
		if err != nil {
			return nil, err
		}
		d.expect(a.Value, def.Columns[i].Type)
	}
	if err := d.where(def, s.Where); err != nil {
		return nil, err
	}
	return d.items(def, s.Returning)
}

func (d *describer) selectStatement(s *Select) ([]Field, error) {
	var def *TableDef
	if s.Table != "" {
		var err error
		if def, err = d.tx.def(s.Table); err != nil {
			return nil, err
		}
	}
	if err := d.where(def, s.Where); err != nil {
		return nil, err
	}
	d.expect(s.Limit, TypeInt)
	return d.items(def, s.Items)
}

func (d *describer) where(def *TableDef, conds []Cond) error {
	for _, c := range conds {
		i, err := def.column(c.Column)
		if err != nil {
			return err
		}
		d.expect(c.Value, def.Columns[i].Type)
	}
	return nil
}

func (d *describer) items(def *TableDef, items []Item) ([]Field, error) {
	for _, item := range items {
		if def == nil && item.Star {
			return nil, sqlErrorf(stateSyntax, "SELECT * needs a table")
		}
		d.expect(item.Expr, TypeText)
	}
	return itemFields(def, items, d.types)
}
