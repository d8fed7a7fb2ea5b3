package stmt

import (
	"strings"
)

// Classify tells what the text does, as far as routing needs to know.
func Classify(text string) Info {
	c := classifier{lexer: lexer{text: text}}
	for c.statement() {
	}
	return c.result()
}

// classifier walks over the statements of a text.
type classifier struct {
	lexer
	info Info
	tok  token
	buf  [maxWord]byte

	beginsRead bool
	// alias tells that the previous word is one after which an alias with a column list may stand.
	alias  bool
	remote int
}

// advance reads the next token.
func (c *classifier) advance() { c.tok = c.next() }

// wordOf returns the current token in lower case if it is a word that may be known, or nil.
func (c *classifier) wordOf() []byte {
	if c.tok.kind != tokenWord {
		return nil
	}
	return lower(c.text[c.tok.start:c.tok.end], &c.buf)
}

// accept advances past the current token if it is the word.
func (c *classifier) accept(word string) bool {
	if string(c.wordOf()) != word {
		return false
	}
	c.advance()
	return true
}

// atEnd reports whether the current token ends the statement.
func (c *classifier) atEnd() bool {
	return c.tok.kind == tokenEnd || c.tok.kind == tokenBroken ||
		c.tok.kind == tokenPunct && c.tok.punct == ';'
}

func (c *classifier) refuse(err *UnsupportedError) { c.info.refuse(err) }

// statement classifies one statement. It returns false at the end of the text.
func (c *classifier) statement() bool {
	c.advance()
	if c.tok.kind == tokenEnd {
		return false
	}
	if c.tok.kind == tokenPunct && c.tok.punct == ';' {
		return true
	}
	c.info.Statements++
	locals := len(c.info.Locals)
	c.first()
	if len(c.info.Locals) == locals {
		c.remote++
	}
	c.skipStatement()
	return c.tok.kind != tokenEnd
}

// skipStatement moves to the end of the statement. A semicolon inside parentheses, as CREATE RULE
// allows, doesn't end it.
func (c *classifier) skipStatement() {
	depth := 0
	for c.tok.kind != tokenEnd {
		switch {
		case c.tok.kind == tokenBroken:
			c.info.Writes = true
			c.tok.kind = tokenEnd
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
	// What an unbalanced parenthesis hides is unknown.
	c.info.Writes = c.info.Writes || depth > 0
}

// first dispatches on the first word of a statement.
func (c *classifier) first() {
	switch string(c.wordOf()) {
	case "select", "with", "values", "table", "explain":
		c.query()
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
		// They work on the state of a transaction only.
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
		c.local(Local{Action: ActionDiscard, Name: string(c.wordOf())})
	case "declare":
		c.declare()
	case "create":
		c.create()
	case "insert", "update", "delete", "merge":
		c.write()
	default:
		c.other()
	}
}

// other handles the rare statements, and refuses those that a pool can't serve.
func (c *classifier) other() {
	if c.tok.kind == tokenPunct && c.tok.punct == '(' {
		c.query()
		return
	}
	switch string(c.wordOf()) {
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

// write scans a statement that may change data for functions that a pool can't serve.
func (c *classifier) write() {
	c.info.Writes = true
	c.scan()
}

func (c *classifier) begin() {
	if c.info.Ends {
		c.refuse(errTwoTransactions)
	}
	readOnly := false
	for !c.atEnd() {
		if c.accept("read") {
			readOnly = string(c.wordOf()) == "only" || readOnly && string(c.wordOf()) != "write"
			continue
		}
		c.advance()
	}
	c.beginsRead = readOnly && (c.beginsRead || !c.info.Begins)
	c.info.Begins = true
}

func (c *classifier) end() {
	word := string(c.wordOf())
	rollback := word == "rollback"
	c.advance()
	if !c.accept("work") {
		c.accept("transaction")
	}
	switch {
	case rollback && c.accept("to"):
		return
	case string(c.wordOf()) == "prepared":
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
			if string(c.wordOf()) == "hold" {
				c.refuse(errHold)
				return
			}
			continue
		}
		if string(c.wordOf()) == "for" {
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
	switch string(c.wordOf()) {
	case "temp", "temporary":
		c.refuse(errTemp)
		return
	}
	// The body of a function in the form BEGIN ATOMIC ... END contains semicolons. The rest of the
	// text then counts as part of the function.
	for !c.atEnd() {
		if c.accept("begin") && string(c.wordOf()) == "atomic" {
			c.at = len(c.text)
			c.tok = token{kind: tokenEnd, start: c.at, end: c.at}
			return
		}
		if !c.atEnd() {
			c.advance()
		}
	}
}

func (c *classifier) local(l Local) { c.info.Locals = append(c.info.Locals, l) }

// set handles SET after the word SET.
func (c *classifier) set() {
	local := false
	switch {
	case c.accept("local"):
		local = true
	case c.accept("session"):
		if string(c.wordOf()) == "characteristics" {
			c.refuse(errCharacteristics)
			return
		}
	}
	switch string(c.wordOf()) {
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
	if name != "timezone" && name != "client_encoding" || !c.valueFollows(name) {
		if !c.accept("to") && !c.acceptPunct('=') {
			c.refuse(errSetSyntax)
			return
		}
	}
	c.values(name)
}

// valueFollows reports whether the parameter was named by SET TIME ZONE or SET NAMES, which take
// the value without an equals sign.
func (c *classifier) valueFollows(name string) bool {
	if c.tok.kind == tokenPunct && c.tok.punct == '=' || string(c.wordOf()) == "to" {
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

// values reads the values of SET and records the statement.
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
		if string(c.wordOf()) == "default" {
			l.Default = true
		}
		c.advance()
	}
	l.Value = value.String()
	c.local(l)
}

// parameter reads the name of a parameter, which may be dotted.
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

// show handles SHOW. Only the parameters of snipewall are answered by the listener.
func (c *classifier) show() {
	name, ok := c.parameter()
	switch {
	case !ok:
	case strings.HasPrefix(name, Prefix):
		c.local(Local{Action: ActionShow, Name: name})
	case name == "transaction_read_only", name == "in_hot_standby":
		// Drivers ask for it to find out whether the server accepts writes.
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

// Prefix starts the names of snipewall's own parameters.
const Prefix = "snipewall."

// result folds the statements.
func (c *classifier) result() Info {
	if len(c.info.Locals) > 0 && c.remote > 0 {
		c.refuse(errMixed)
	}
	c.info.Class = c.info.strongest(c.beginsRead)
	return c.info
}
