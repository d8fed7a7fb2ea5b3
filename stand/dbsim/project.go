package dbsim

// projection builds the output of a SELECT or RETURNING row by row.
type projection struct {
	def        *TableDef
	items      []Item
	params     []Value
	fields     []Field
	out        [][]Value
	aggregates bool
	// acc holds the values of the aggregates for the rows added so far.
	acc []Value
}

// project returns a projection. It returns an error if the items name unknown columns or mix aggregates
// with columns.
func (tx *Tx) project(def *TableDef, items []Item, params []Value) (*projection, error) {
	fields, err := itemFields(def, items, nil)
	if err != nil {
		return nil, err
	}
	p := &projection{def: def, items: items, params: params, fields: fields}
	for _, item := range items {
		if item.Aggregate != "" {
			p.aggregates = true
		}
	}
	if !p.aggregates {
		return p, nil
	}
	p.acc = make([]Value, len(items))
	for i, item := range items {
		if item.Aggregate == "" {
			return nil, sqlErrorf(stateUnsupported, "aggregates can't be mixed with columns")
		}
		if item.Aggregate == "count" {
			p.acc[i] = Int(0)
		}
	}
	return p, nil
}

// itemFields returns the output columns of the items.
func itemFields(def *TableDef, items []Item, paramTypes []Type) ([]Field, error) {
	var fields []Field
	for _, item := range items {
		if item.Star {
			for _, c := range def.Columns {
				fields = append(fields, Field{Name: c.Name, Type: c.Type})
			}
			continue
		}
		t := TypeInt
		if item.Expr != nil {
			if item.Expr.Kind == ExprColumn && def != nil {
				if _, err := def.column(item.Expr.Column); err != nil {
					return nil, err
				}
			}
			if item.Aggregate != "count" {
				t = exprType(item.Expr, def, paramTypes)
			}
		}
		fields = append(fields, Field{Name: itemName(item), Type: t})
	}
	return fields, nil
}

func itemName(item Item) string {
	switch {
	case item.Alias != "":
		return item.Alias
	case item.Aggregate != "":
		return item.Aggregate
	case item.Expr.Kind == ExprColumn:
		return item.Expr.Column
	case item.Expr.Kind == ExprCall:
		return item.Expr.Func
	default:
		return "?column?"
	}
}

// add adds a row of the table to the output or the aggregates.
func (p *projection) add(row []Value) error {
	if len(p.items) == 0 {
		return nil
	}
	if p.aggregates {
		return p.aggregate(row)
	}
	values := make([]Value, 0, len(p.fields))
	for _, item := range p.items {
		if item.Star {
			values = append(values, row...)
			continue
		}
		v, err := eval(item.Expr, p.params, p.def, row)
		if err != nil {
			return err
		}
		values = append(values, v)
	}
	p.out = append(p.out, values)
	return nil
}

func (p *projection) aggregate(row []Value) error {
	for i, item := range p.items {
		v := Int(1)
		if item.Expr != nil {
			var err error
			if v, err = eval(item.Expr, p.params, p.def, row); err != nil {
				return err
			}
		}
		if v.IsNull() {
			continue
		}
		p.acc[i] = accumulate(item.Aggregate, p.acc[i], v)
	}
	return nil
}

func accumulate(name string, acc, v Value) Value {
	switch {
	case name == "count":
		return Int(acc.Int + 1)
	case acc.IsNull():
		return v
	case name == "sum" && v.Type == TypeFloat:
		return floatValue(acc.float() + v.float())
	case name == "sum":
		return Int(acc.Int + v.Int)
	case name == "min" && v.compare(acc) < 0, name == "max" && v.compare(acc) > 0:
		return v
	default:
		return acc
	}
}

// rows returns the output.
func (p *projection) rows(tag string) *Rows {
	if p.aggregates {
		p.out = [][]Value{p.acc}
	}
	return &Rows{Fields: p.fields, Rows: p.out, Tag: tag}
}
