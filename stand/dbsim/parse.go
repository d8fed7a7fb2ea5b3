package dbsim

import (
	"strings"
)

// maxParam is the highest number of a parameter: the protocol has 16-bit parameter counts.
const maxParam = 65535

// Parse parses SQL text with any number of statements, separated by semicolons. Its errors are *SQLError.
func Parse(sql string) ([]Statement, error) {
	p := &parser{lex: lexer{src: sql}}
	if err := p.advance(); err != nil {
		return nil, err
	}
	var list []Statement
	for {
		for p.acceptSymbol(";") {
			continue
		}
		if p.err != nil {
			return nil, p.err
		}
		if p.tok.kind == tokenEnd {
			return list, nil
		}
		s := p.statement()
		if p.err == nil && p.tok.kind != tokenEnd && !p.isSymbol(";") {
			p.unexpected()
		}
		if p.err != nil {
			return nil, p.err
		}
		list = append(list, s)
	}
}

// parser is a recursive descent parser. After the first error, tok is tokenEnd and err is set, so
// that all loops end.
type parser struct {
	lex lexer
	tok token
	err error
	// depth is the nesting depth of the current expression.
	depth int
}

// maxDepth limits the nesting of expressions, which could exhaust the stack otherwise.
const maxDepth = 100

func (p *parser) advance() error {
	if p.err != nil {
		return p.err
	}
	tok, err := p.lex.next()
	if err != nil {
		p.fail(err)
		return err
	}
	p.tok = tok
	return nil
}

func (p *parser) fail(err error) {
	if p.err == nil {
		p.err = err
	}
	p.tok = token{}
}

func (p *parser) unexpected() {
	if p.tok.kind == tokenEnd {
		p.fail(sqlErrorf(stateSyntax, "syntax error at end of input"))
		return
	}
	p.fail(sqlErrorf(stateSyntax, "syntax error at or near %q", p.tok.text))
}

func (p *parser) isSymbol(s string) bool { return p.tok.kind == tokenSymbol && p.tok.text == s }
func (p *parser) isWord(w string) bool   { return p.tok.kind == tokenIdent && p.tok.text == w }

func (p *parser) acceptSymbol(s string) bool {
	if !p.isSymbol(s) {
		return false
	}
	return p.advance() == nil
}

// accept consumes the words if the next token is the first of them. It records an error if the others don't
// follow.
func (p *parser) accept(words ...string) bool {
	if !p.isWord(words[0]) {
		return false
	}
	for _, w := range words {
		p.expect(w)
	}
	return p.err == nil
}

func (p *parser) expect(word string) {
	if !p.isWord(word) {
		p.unexpected()
		return
	}
	_ = p.advance()
}

func (p *parser) expectSymbol(s string) {
	if !p.acceptSymbol(s) {
		p.unexpected()
	}
}

// name parses an identifier with an optional schema.
func (p *parser) name() string {
	name := p.ident()
	for p.acceptSymbol(".") {
		name += "." + p.ident()
	}
	return strings.TrimPrefix(name, "public.")
}

func (p *parser) ident() string {
	if p.tok.kind != tokenIdent {
		p.unexpected()
		return ""
	}
	s := p.tok.text
	_ = p.advance()
	return s
}

// list parses a comma-separated list of at least one element.
func (p *parser) list(element func()) {
	element()
	for p.acceptSymbol(",") {
		element()
	}
}

func (p *parser) statement() Statement {
	word := p.ident()
	switch word {
	case "create":
		return p.createTable()
	case "drop":
		return p.dropTable()
	case "insert":
		return p.insert()
	case "select":
		return p.selectStatement()
	case "update":
		return p.update()
	case "delete":
		return p.deleteStatement()
	case "set", "show", "reset", "discard", "deallocate":
		return p.settings(word)
	default:
		return p.txStatement(word)
	}
}

func (p *parser) txStatement(word string) Statement {
	switch word {
	case "begin":
		_ = p.accept("transaction") || p.accept("work")
		return p.begin()
	case "start":
		p.expect("transaction")
		return p.begin()
	case "commit", "end":
		_ = p.accept("transaction") || p.accept("work")
		return &Commit{}
	case "rollback", "abort":
		_ = p.accept("transaction") || p.accept("work")
		return &Rollback{}
	}
	p.fail(sqlErrorf(stateSyntax, "syntax error at or near %q", word))
	return nil
}

// begin parses the modes of a transaction. Isolation levels are accepted and ignored.
func (p *parser) begin() Statement {
	s := &Begin{}
	for p.err == nil {
		switch {
		case p.accept("read"):
			if p.accept("only") {
				s.ReadOnly = true
				continue
			}
			p.expect("write")
		case p.accept("isolation", "level"):
			_ = p.accept("read") || p.accept("repeatable")
			p.ident()
		case p.acceptSymbol(","):
		default:
			return s
		}
	}
	return s
}

func (p *parser) settings(word string) Statement {
	if word == "show" {
		return &Show{Name: p.name()}
	}
	if word != "set" {
		p.name()
		return &Reset{Command: strings.ToUpper(word)}
	}
	_ = p.accept("session") || p.accept("local")
	s := &Set{Name: p.name()}
	if !p.acceptSymbol("=") {
		p.expect("to")
	}
	var words []string
	for p.err == nil && p.tok.kind != tokenEnd && !p.isSymbol(";") {
		words = append(words, p.tok.text)
		_ = p.advance()
	}
	s.Value = strings.Join(words, " ")
	return s
}

func (p *parser) createTable() Statement {
	p.expect("table")
	s := &CreateTable{IfNotExists: p.accept("if", "not", "exists"), Table: p.name()}
	p.expectSymbol("(")
	p.list(func() { p.columnOrKey(s) })
	p.expectSymbol(")")
	return s
}

// columnOrKey parses a column or PRIMARY KEY (column).
func (p *parser) columnOrKey(s *CreateTable) {
	if !p.accept("primary", "key") {
		s.Columns = append(s.Columns, p.column())
		return
	}
	p.expectSymbol("(")
	name := p.ident()
	p.expectSymbol(")")
	for i := range s.Columns {
		if s.Columns[i].Name == name {
			s.Columns[i].Primary = true
			return
		}
	}
	p.fail(sqlErrorf(stateNoColumn, "column %q named in key does not exist", name))
}

func (p *parser) column() Column {
	c := Column{Name: p.ident()}
	c.Type, c.Serial = p.columnType()
	for p.err == nil {
		switch {
		case p.accept("primary", "key"):
			c.Primary = true
		case p.accept("not", "null"):
			c.NotNull = true
		case p.accept("null"), p.accept("unique"):
		case p.accept("default"):
			e := p.primaryExpr()
			if p.err == nil && e.Kind != ExprLiteral {
				p.fail(sqlErrorf(stateUnsupported, "only literal defaults are supported"))
				return c
			}
			v, err := e.Literal.convert(c.Type)
			if err != nil {
				p.fail(err)
				return c
			}
			c.Default = v
		default:
			return c
		}
	}
	return c
}

func (p *parser) columnType() (t Type, serial bool) {
	word := p.ident()
	if p.acceptSymbol("(") {
		_ = p.advance()
		p.expectSymbol(")")
	}
	switch word {
	case "bigserial", "serial":
		return TypeInt, true
	case "int8", "int4", "int2", "int", "integer", "bigint", "smallint":
		return TypeInt, false
	case "bool", "boolean":
		return TypeBool, false
	case "float8", "numeric", "real":
		return TypeFloat, false
	case "double":
		p.expect("precision")
		return TypeFloat, false
	case "text", "varchar", "uuid", "timestamptz", "timestamp", "date", "json", "jsonb", "name":
		return TypeText, false
	}
	p.fail(sqlErrorf(stateSyntax, "type %q does not exist", word))
	return TypeNull, false
}

func (p *parser) dropTable() Statement {
	p.expect("table")
	return &DropTable{IfExists: p.accept("if", "exists"), Table: p.name()}
}

func (p *parser) insert() Statement {
	p.expect("into")
	s := &Insert{Table: p.name()}
	if p.acceptSymbol("(") {
		p.list(func() { s.Columns = append(s.Columns, p.ident()) })
		p.expectSymbol(")")
	}
	p.expect("values")
	p.list(func() {
		p.expectSymbol("(")
		var row []*Expr
		p.list(func() { row = append(row, p.expr()) })
		p.expectSymbol(")")
		s.Rows = append(s.Rows, row)
	})
	if p.accept("on", "conflict") {
		if p.acceptSymbol("(") {
			p.ident()
			p.expectSymbol(")")
		}
		s.SkipDuplicates = p.accept("do", "nothing")
	}
	s.Returning = p.returning()
	return s
}

// controlSchema is the prefix of the control functions' names.
const controlSchema = "snipewall."

func (p *parser) update() Statement {
	s := &Update{Table: p.name()}
	p.expect("set")
	p.list(func() {
		a := Assign{Column: p.ident()}
		p.expectSymbol("=")
		a.Value = p.expr()
		s.Set = append(s.Set, a)
	})
	s.Where = p.where()
	s.Returning = p.returning()
	return s
}

func (p *parser) deleteStatement() Statement {
	p.expect("from")
	return &Delete{Table: p.name(), Where: p.where(), Returning: p.returning()}
}
