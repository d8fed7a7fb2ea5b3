package dbsim

import (
	"strconv"
	"strings"
)

func (p *parser) returning() []Item {
	if !p.accept("returning") {
		return nil
	}
	return p.items()
}

func (p *parser) items() []Item {
	var items []Item
	p.list(func() { items = append(items, p.item()) })
	return items
}

func (p *parser) item() Item {
	if p.acceptSymbol("*") {
		return Item{Star: true}
	}
	item := Item{Expr: p.expr()}
	if p.err != nil {
		return item
	}
	if p.accept("as") {
		item.Alias = p.ident()
	}
	e := item.Expr
	if e.Kind != ExprCall {
		return item
	}
	switch e.Func {
	case "count", "sum", "min", "max":
		item.Aggregate = e.Func
		item.Expr = nil
		if len(e.Args) == 1 {
			item.Expr = e.Args[0]
		}
		if item.Expr == nil && e.Func != "count" || item.Expr != nil && item.Expr.Kind != ExprColumn {
			p.fail(sqlErrorf(stateUnsupported, "the argument of %s must be a column", e.Func))
		}
	}
	return item
}

func (p *parser) selectStatement() Statement {
	s := &Select{Items: p.items()}
	if p.accept("from") {
		s.Table = p.name()
		if p.isSymbol("(") {
			return p.call(s.Table)
		}
		s.Where = p.where()
	}
	if len(s.Items) == 1 && s.Table == "" && p.err == nil {
		if e := s.Items[0].Expr; e != nil && e.Kind == ExprCall && strings.HasPrefix(e.Func, controlSchema) {
			return &Call{Func: strings.TrimPrefix(e.Func, controlSchema), Args: e.Args}
		}
	}
	if p.accept("order", "by") {
		p.list(func() {
			o := Order{Column: p.ident()}
			o.Desc = p.accept("desc")
			_ = o.Desc || p.accept("asc")
			s.Order = append(s.Order, o)
		})
	}
	if p.accept("limit") {
		s.Limit = p.expr()
	}
	s.ForUpdate = p.accept("for", "update")
	return s
}

// call parses the arguments of a control function after FROM.
func (p *parser) call(name string) Statement {
	if !strings.HasPrefix(name, controlSchema) {
		p.fail(sqlErrorf(stateNoFunction, "function %s does not exist", name))
		return nil
	}
	return &Call{Func: strings.TrimPrefix(name, controlSchema), Args: p.args()}
}

func (p *parser) args() []*Expr {
	p.expectSymbol("(")
	if p.acceptSymbol(")") || p.acceptSymbol("*") && p.acceptSymbol(")") {
		return nil
	}
	var args []*Expr
	p.list(func() { args = append(args, p.expr()) })
	p.expectSymbol(")")
	return args
}

func (p *parser) where() []Cond {
	if !p.accept("where") {
		return nil
	}
	conds := []Cond{p.cond()}
	for p.accept("and") {
		conds = append(conds, p.cond())
	}
	return conds
}

func (p *parser) cond() Cond {
	c := Cond{Column: p.ident()}
	if p.accept("is") {
		c.Op = "is null"
		if p.accept("not") {
			c.Op = "is not null"
		}
		p.expect("null")
		return c
	}
	switch op := p.tok.text; {
	case p.tok.kind != tokenSymbol:
		p.unexpected()
	case op == "!=":
		c.Op = "<>"
	case op == "=" || op == "<>" || op == "<" || op == "<=" || op == ">" || op == ">=":
		c.Op = op
	default:
		p.unexpected()
	}
	_ = p.advance()
	c.Value = p.expr()
	return c
}

// expr parses a sum or difference of primary expressions.
func (p *parser) expr() *Expr {
	p.depth++
	defer func() { p.depth-- }()
	if p.depth > maxDepth {
		p.fail(sqlErrorf(stateSyntax, "expression is nested too deeply"))
		return &Expr{}
	}
	left := p.primaryExpr()
	for p.isSymbol("+") || p.isSymbol("-") {
		op := p.tok.text[0]
		_ = p.advance()
		left = &Expr{Kind: ExprBinary, Op: op, Left: left, Right: p.primaryExpr()}
	}
	return left
}

func (p *parser) primaryExpr() *Expr {
	e := p.uncastExpr()
	for p.acceptSymbol("::") {
		e.Cast, _ = p.columnType()
	}
	return e
}

func (p *parser) uncastExpr() *Expr {
	tok := p.tok
	switch {
	case tok.kind == tokenNumber:
		return p.number("")
	case p.acceptSymbol("-"):
		return p.number("-")
	case tok.kind == tokenString:
		_ = p.advance()
		return &Expr{Literal: Text(tok.text)}
	case tok.kind == tokenParam:
		n, err := strconv.Atoi(tok.text)
		if err != nil || n < 1 || n > maxParam {
			p.fail(sqlErrorf(stateNoParameter, "there is no parameter $%s", tok.text))
			return &Expr{}
		}
		_ = p.advance()
		return &Expr{Kind: ExprParam, Param: n}
	case p.accept("null"):
		return &Expr{}
	case p.accept("true"):
		return &Expr{Literal: Bool(true)}
	case p.accept("false"):
		return &Expr{Literal: Bool(false)}
	case p.acceptSymbol("("):
		e := p.expr()
		p.expectSymbol(")")
		return e
	}
	name := p.name()
	if p.isSymbol("(") {
		return &Expr{Kind: ExprCall, Func: name, Args: p.args()}
	}
	return &Expr{Kind: ExprColumn, Column: name}
}

// number parses an integer or a decimal number.
func (p *parser) number(sign string) *Expr {
	if p.tok.kind != tokenNumber {
		p.unexpected()
		return &Expr{}
	}
	t := TypeInt
	if strings.Contains(p.tok.text, ".") {
		t = TypeFloat
	}
	v, err := parseValue(sign+p.tok.text, t)
	if err != nil {
		p.fail(err)
		return &Expr{}
	}
	_ = p.advance()
	return &Expr{Literal: v}
}
