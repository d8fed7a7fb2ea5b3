package stmt

import (
	"strings"
)

// Classify classifies the statements of an SQL text for routing.
func Classify(text string) Info {
	c := classifier{lexer: lexer{text: text}}
	for c.statement() {
	}
	return c.result()
}

// classifier iterates over the statements of a text.
type classifier struct {
	lexer
	info Info
	tok  token
	buf  [maxWordLength]byte

	// beginsRead is set if all transactions that the text opens are read-only.
	beginsRead bool
	// aliasExpected is set if the previous word can be followed by an alias with a column list.
	aliasExpected bool
	// afterParen is set if the previous token is a closing parenthesis.
	afterParen bool
	// upstreamStatements counts the statements that the listener doesn't execute itself.
	upstreamStatements int
}

// advance reads the next token.
func (c *classifier) advance() { c.tok = c.next() }

// keyword returns the current token in lower case, or nil if it isn't a word or too long for a keyword.
func (c *classifier) keyword() []byte {
	if c.tok.kind != tokenWord {
		return nil
	}
	return lower(c.text[c.tok.start:c.tok.end], &c.buf)
}

// accept advances past the current token and returns true if it is the word.
func (c *classifier) accept(word string) bool {
	if string(c.keyword()) != word {
		return false
	}
	c.advance()
	return true
}

// atEnd reports whether the current token ends the statement.
func (c *classifier) atEnd() bool {
	return c.tok.kind == tokenEOF || c.tok.kind == tokenUnterminated ||
		c.tok.kind == tokenPunct && c.tok.punct == ';'
}

func (c *classifier) refuse(err *UnsupportedError) { c.info.refuse(err) }

// statement classifies one statement. It returns false at the end of the text.
func (c *classifier) statement() bool {
	c.advance()
	if c.tok.kind == tokenEOF {
		return false
	}
	if c.tok.kind == tokenPunct && c.tok.punct == ';' {
		return true
	}
	c.info.Statements++
	locals := len(c.info.Locals)
	c.dispatch()
	if len(c.info.Locals) == locals {
		c.upstreamStatements++
	}
	c.skipStatement()
	return c.tok.kind != tokenEOF
}

// skipStatement moves to the end of the statement. A semicolon inside parentheses, as CREATE RULE
// allows, doesn't end it.
func (c *classifier) skipStatement() {
	depth := 0
	for c.tok.kind != tokenEOF {
		switch {
		case c.tok.kind == tokenUnterminated:
			c.info.Writes = true
			c.tok.kind = tokenEOF
			return
		case c.tok.kind != tokenPunct:
		case c.tok.punct == '(':
			depth++
		case c.tok.punct == ')':
			depth--
		case c.tok.punct == ';' && depth <= 0:
			return
		}
		c.advance()
	}
	// An unbalanced parenthesis may hide further statements.
	c.info.Writes = c.info.Writes || depth > 0
}

// dispatch classifies a statement by its first word.
func (c *classifier) dispatch() {
	switch string(c.keyword()) {
	case "select", "with", "values", "table":
		c.query()
	case "explain":
		c.explain()
	case "begin":
		c.advance()
		c.begin()
	case "start":
		c.advance()
		if c.accept("transaction") {
			c.begin()
		}
	case "commit", "end", "rollback", "abort":
		c.end()
	case "savepoint", "release", "fetch", "move", "close":
		// These only affect the state of a transaction.
	case "set":
		c.advance()
		c.set()
	case "show":
		c.advance()
		c.show()
	case "reset":
		c.advance()
		c.reset()
	case "discard":
		c.advance()
		c.local(Local{Action: ActionDiscard, Name: string(c.keyword())})
	case "declare":
		c.declare()
	case "create":
		c.create()
	case "insert", "update", "delete", "merge":
		c.write()
	default:
		c.dispatchOther()
	}
}

// dispatchOther classifies the less frequent statements, and refuses those that a pool can't serve.
func (c *classifier) dispatchOther() {
	if c.tok.kind == tokenPunct && c.tok.punct == '(' {
		c.query()
		return
	}
	switch string(c.keyword()) {
	case "listen", "unlisten":
		c.refuse(errListen)
	case "notify":
		c.refuse(errNotify)
	case "prepare":
		c.advance()
		if c.accept("transaction") {
			c.refuse(errTwoPhase)
			return
		}
		c.refuse(errPrepare)
	case "execute", "deallocate":
		c.refuse(errPrepare)
	case "copy":
		c.refuse(errCopy)
	case "load":
		c.refuse(errLoad)
	default:
		c.write()
	}
}

// write classifies a statement that may change data, and refuses functions that a pool can't serve.
func (c *classifier) write() {
	c.info.Writes = true
	c.scan()
}

// explain classifies EXPLAIN like the statement that it contains, since ANALYZE executes it.
func (c *classifier) explain() {
	c.advance()
	if c.acceptPunct('(') {
		for depth := 1; depth > 0 && c.tok.kind != tokenEOF && c.tok.kind != tokenUnterminated; c.advance() {
			switch {
			case c.tok.kind != tokenPunct:
			case c.tok.punct == '(':
				depth++
			case c.tok.punct == ')':
				depth--
			}
		}
	}
	for c.accept("analyze") || c.accept("analyse") || c.accept("verbose") {
		continue
	}
	switch string(c.keyword()) {
	case "select", "with", "values", "table":
		c.query()
	case "execute":
		c.refuse(errPrepare)
	default:
		if c.tok.kind == tokenPunct && c.tok.punct == '(' {
			c.query()
			return
		}
		c.write()
	}
}

func (c *classifier) begin() {
	if c.info.Ends {
		c.refuse(errTwoTransactions)
	}
	readOnly := false
	for !c.atEnd() {
		if c.accept("read") {
			readOnly = string(c.keyword()) == "only" || readOnly && string(c.keyword()) != "write"
			continue
		}
		c.advance()
	}
	c.beginsRead = readOnly && (c.beginsRead || !c.info.Begins)
	c.info.Begins = true
}

func (c *classifier) end() {
	word := string(c.keyword())
	rollback := word == "rollback"
	c.advance()
	if !c.accept("work") {
		c.accept("transaction")
	}
	switch {
	case rollback && c.accept("to"):
		return
	case string(c.keyword()) == "prepared":
		c.refuse(errTwoPhase)
	case c.accept("and") && !c.accept("no"):
		c.refuse(errChain)
	}
	c.info.Ends = true
	c.info.Commits = c.info.Commits || word == "commit" || word == "end"
}

func (c *classifier) declare() {
	for !c.atEnd() {
		if c.accept("with") {
			if string(c.keyword()) == "hold" {
				c.refuse(errHold)
				return
			}
			continue
		}
		if string(c.keyword()) == "for" {
			c.advance()
			c.query()
			return
		}
		c.advance()
	}
}

func (c *classifier) create() {
	c.info.Writes = true
	c.advance()
	if c.accept("or") {
		c.accept("replace")
	}
	if !c.accept("local") {
		c.accept("global")
	}
	switch string(c.keyword()) {
	case "temp", "temporary":
		c.refuse(errTemp)
		return
	}
	// The body of a function in the form BEGIN ATOMIC ... END contains semicolons, so the rest of the text
	// is taken as part of the function.
	for !c.atEnd() {
		if c.accept("begin") && string(c.keyword()) == "atomic" {
			c.pos = len(c.text)
			c.tok = token{kind: tokenEOF, start: c.pos, end: c.pos}
			return
		}
		if !c.atEnd() {
			c.advance()
		}
	}
}

func (c *classifier) local(l Local) { c.info.Locals = append(c.info.Locals, l) }

// set handles the rest of a SET statement.
func (c *classifier) set() {
	local := false
	switch {
	case c.accept("local"):
		local = true
	case c.accept("session"):
		if string(c.keyword()) == "characteristics" {
			c.refuse(errCharacteristics)
			return
		}
	}
	switch string(c.keyword()) {
	case "transaction", "constraints":
		return
	case "role", "authorization":
		if !local {
			c.refuse(errSetRole)
		}
		return
	}
	name, ok := c.parameter()
	if !ok {
		c.refuse(errSetSyntax)
		return
	}
	if local {
		if strings.HasPrefix(name, Prefix) {
			c.refuse(errSetLocal)
		}
		return
	}
	if name != "timezone" && name != "client_encoding" || !c.hasBareValue(name) {
		if !c.accept("to") && !c.acceptPunct('=') {
			c.refuse(errSetSyntax)
			return
		}
	}
	c.values(name)
}

// hasBareValue reports whether the parameter was named by SET TIME ZONE or SET NAMES, whose value
// follows without an equals sign or TO.
func (c *classifier) hasBareValue(name string) bool {
	if c.tok.kind == tokenPunct && c.tok.punct == '=' || string(c.keyword()) == "to" {
		return false
	}
	return name != ""
}

func (c *classifier) acceptPunct(b byte) bool {
	if c.tok.kind != tokenPunct || c.tok.punct != b {
		return false
	}
	c.advance()
	return true
}

// values reads the values of SET and records the statement as local.
func (c *classifier) values(name string) {
	l := Local{Action: ActionSet, Name: name}
	var value strings.Builder
	for !c.atEnd() {
		switch c.tok.kind {
		case tokenPunct:
			switch c.tok.punct {
			case ',':
				value.WriteString(", ")
			case '-', '+':
				value.WriteByte(c.tok.punct)
			default:
				c.refuse(errSetSyntax)
				return
			}
		default:
			value.WriteString(c.unquote(c.tok))
		}
		if string(c.keyword()) == "default" {
			l.Default = true
		}
		c.advance()
	}
	l.Value = value.String()
	c.local(l)
}

// parameter reads a parameter name, which may contain dots.
func (c *classifier) parameter() (string, bool) {
	if c.accept("names") {
		return "client_encoding", true
	}
	if c.accept("time") {
		return "timezone", c.accept("zone")
	}
	if c.tok.kind != tokenWord && c.tok.kind != tokenQuotedName {
		return "", false
	}
	name := c.unquote(c.tok)
	c.advance()
	for c.acceptPunct('.') {
		if c.tok.kind != tokenWord && c.tok.kind != tokenQuotedName {
			return "", false
		}
		name += "." + c.unquote(c.tok)
		c.advance()
	}
	return strings.ToLower(name), true
}

// show handles SHOW. The listener only answers it for parameters of snipewall.
func (c *classifier) show() {
	name, ok := c.parameter()
	switch {
	case !ok:
	case strings.HasPrefix(name, Prefix):
		c.local(Local{Action: ActionShow, Name: name})
	case name == "transaction_read_only", name == "in_hot_standby":
		// Drivers query these to determine whether the server accepts writes.
		c.info.Writes = true
	}
}

func (c *classifier) reset() {
	name, ok := c.parameter()
	if !ok {
		c.refuse(errSetSyntax)
		return
	}
	if name == "role" || name == "session" {
		c.refuse(errSetRole)
		return
	}
	c.local(Local{Action: ActionReset, Name: name})
}

// Prefix is the prefix of snipewall's own parameters.
const Prefix = "snipewall."

// result returns the info of all statements together.
func (c *classifier) result() Info {
	if len(c.info.Locals) > 0 && c.upstreamStatements > 0 {
		c.refuse(errMixed)
	}
	c.info.Class = c.info.combinedClass(c.beginsRead)
	return c.info
}
