package dbsim

import (
	"time"
)

// eval evaluates an expression. def and row are nil where columns can't be used.
func eval(e *Expr, params []Value, def *TableDef, row []Value) (Value, error) {
	v, err := evalUncast(e, params, def, row)
	if err != nil || e.Cast == TypeNull {
		return v, err
	}
	return v.convert(e.Cast)
}

// evalFor evaluates an expression and converts it to the type t.
func evalFor(e *Expr, t Type, params []Value, def *TableDef, row []Value) (Value, error) {
	v, err := eval(e, params, def, row)
	if err != nil {
		return v, err
	}
	return v.convert(t)
}

func evalUncast(e *Expr, params []Value, def *TableDef, row []Value) (Value, error) {
	switch e.Kind {
	case ExprLiteral:
		return e.Literal, nil
	case ExprParam:
		if e.Param > len(params) {
			return Value{}, sqlErrorf(stateNoParameter, "there is no parameter $%d", e.Param)
		}
		return params[e.Param-1], nil
	case ExprColumn:
		if def == nil {
			return Value{}, sqlErrorf(stateNoColumn, "column %q does not exist", e.Column)
		}
		i, err := def.column(e.Column)
		if err != nil {
			return Value{}, err
		}
		return row[i], nil
	case ExprBinary:
		return evalBinary(e, params, def, row)
	default:
		return evalCall(e)
	}
}

func evalBinary(e *Expr, params []Value, def *TableDef, row []Value) (Value, error) {
	a, err := eval(e.Left, params, def, row)
	if err != nil {
		return Value{}, err
	}
	b, err := eval(e.Right, params, def, row)
	if err != nil {
		return Value{}, err
	}
	if a.IsNull() || b.IsNull() {
		return Value{}, nil
	}
	if a.Type == TypeFloat || b.Type == TypeFloat {
		if e.Op == '-' {
			return floatValue(a.float() - b.float()), nil
		}
		return floatValue(a.float() + b.float()), nil
	}
	if a, err = a.convert(TypeInt); err != nil {
		return Value{}, err
	}
	if b, err = b.convert(TypeInt); err != nil {
		return Value{}, err
	}
	if e.Op == '-' {
		return Int(a.Int - b.Int), nil
	}
	return Int(a.Int + b.Int), nil
}

func evalCall(e *Expr) (Value, error) {
	switch e.Func {
	case "pg_sleep":
		// The session has slept for sleepTime, in its slot, before it evaluates the statement.
		return Value{Type: TypeVoid}, nil
	case "now":
		return Text(time.Now().UTC().Format(time.RFC3339Nano)), nil
	case "version":
		return Text("PostgreSQL 17.0 (dbsim)"), nil
	}
	return Value{}, sqlErrorf(stateNoFunction, "function %s does not exist", e.Func)
}

// exprType returns the type of an expression without evaluating it.
func exprType(e *Expr, def *TableDef, paramTypes []Type) Type {
	if e.Cast != TypeNull {
		return e.Cast
	}
	switch e.Kind {
	case ExprLiteral:
		return e.Literal.Type
	case ExprParam:
		if e.Param <= len(paramTypes) {
			return paramTypes[e.Param-1]
		}
	case ExprColumn:
		if def != nil {
			if i, err := def.column(e.Column); err == nil {
				return def.Columns[i].Type
			}
		}
	case ExprBinary:
		if exprType(e.Left, def, paramTypes) == TypeFloat || exprType(e.Right, def, paramTypes) == TypeFloat {
			return TypeFloat
		}
		return TypeInt
	case ExprCall:
		if e.Func == "pg_sleep" {
			return TypeVoid
		}
	}
	return TypeText
}

// sleepTime returns the sum of the durations of a statement's pg_sleep calls.
func sleepTime(s Statement, params []Value) (time.Duration, error) {
	sel, ok := s.(*Select)
	if !ok || sel.Table != "" {
		return 0, nil
	}
	var total time.Duration
	for _, item := range sel.Items {
		if item.Expr == nil || item.Expr.Kind != ExprCall || item.Expr.Func != "pg_sleep" {
			continue
		}
		if len(item.Expr.Args) != 1 {
			return 0, sqlErrorf(stateNoFunction, "pg_sleep takes one argument")
		}
		v, err := evalFor(item.Expr.Args[0], TypeFloat, params, nil, nil)
		if err != nil {
			return 0, err
		}
		total += time.Duration(v.float() * float64(time.Second))
	}
	return total, nil
}

// filter is a WHERE clause with its values evaluated.
type filter struct {
	columns []int
	ops     []string
	values  []Value
	// hasKey is whether the clause requires the primary key to equal key.
	hasKey bool
	key    Value
}

func newFilter(def *TableDef, where []Cond, params []Value) (*filter, error) {
	f := &filter{}
	for _, c := range where {
		i, err := def.column(c.Column)
		if err != nil {
			return nil, err
		}
		var v Value
		if c.Value != nil {
			if v, err = evalFor(c.Value, def.Columns[i].Type, params, nil, nil); err != nil {
				return nil, err
			}
		}
		if i == def.Key && c.Op == "=" {
			f.hasKey = true
			f.key = v
		}
		f.columns = append(f.columns, i)
		f.ops = append(f.ops, c.Op)
		f.values = append(f.values, v)
	}
	return f, nil
}

// match reports whether the row meets all conditions. A comparison with NULL is never met.
func (f *filter) match(row []Value) bool {
	for i, c := range f.columns {
		if !compareOp(f.ops[i], row[c], f.values[i]) {
			return false
		}
	}
	return true
}

func compareOp(op string, a, b Value) bool {
	switch op {
	case "is null":
		return a.IsNull()
	case "is not null":
		return !a.IsNull()
	}
	if a.IsNull() || b.IsNull() {
		return false
	}
	n := a.compare(b)
	switch op {
	case "=":
		return n == 0
	case "<>":
		return n != 0
	case "<":
		return n < 0
	case "<=":
		return n <= 0
	case ">":
		return n > 0
	default:
		return n >= 0
	}
}
