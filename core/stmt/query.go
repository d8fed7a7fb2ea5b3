package stmt

// query classifies a query, which is a read unless it contains something that writes.
func (c *classifier) query() { c.scan() }

// scan examines all words up to the end of the statement.
func (c *classifier) scan() {
	depth := 0
	prevDot, prevInto := false, false
	var schema token
	for {
		switch c.tok.kind {
		case tokenEOF, tokenUnterminated:
			return
		case tokenWord, tokenQuotedName:
			if prevInto {
				c.checkIntoTarget()
			}
			prevAlias := c.aliasExpected
			c.aliasExpected = false
			prevInto = c.classifyWord(schema, prevDot, prevAlias)
			if !prevDot {
				schema = c.tok
			}
			prevDot, c.afterParen = false, false
		case tokenPunct:
			switch c.tok.punct {
			case ';':
				if depth <= 0 {
					return
				}
			case '(':
				depth++
			case ')':
				depth--
			}
			prevDot = c.tok.punct == '.'
			c.afterParen = c.tok.punct == ')'
			c.aliasExpected, prevInto = false, false
		default:
			prevDot, prevInto, c.aliasExpected, c.afterParen = false, false, false, false
		}
		c.advance()
	}
}

// checkIntoTarget refuses SELECT INTO TEMP.
func (c *classifier) checkIntoTarget() {
	switch string(c.keyword()) {
	case "temp", "temporary":
		c.refuse(errTemp)
	}
}

// classifyWord examines a word or quoted name of a query. It returns true for INTO. A name followed by a
// parenthesis is a function call, unless an alias with a column list is possible there.
func (c *classifier) classifyWord(schema token, qualified, alias bool) bool {
	name := c.keyword()
	if !c.callFollows() {
		if qualified || name == nil {
			return false
		}
		switch string(name) {
		case "as", "with", "recursive", "tablesample":
			c.aliasExpected = true
		case "insert", "update", "delete", "merge", "share":
			c.info.Writes = true
		case "into":
			c.info.Writes = true
			return true
		}
		return false
	}
	if c.checkSessionFunction(name) {
		return false
	}
	known := name != nil && readOnlyWords[string(name)]
	switch string(name) {
	case "filter", "over":
		// They follow the call of an aggregate; elsewhere they can be function names.
		known = c.afterParen && !qualified
	}
	if qualified {
		var buf [maxWordLength]byte
		known = known && schema.kind == tokenWord &&
			string(lower(c.text[schema.start:schema.end], &buf)) == "pg_catalog"
	}
	if !known && !alias {
		c.info.Writes = true
	}
	return false
}

// callFollows reports whether the next token is an opening parenthesis.
func (c *classifier) callFollows() bool {
	i := c.tok.end
	if i < len(c.text) && isSpace(c.text[i]) {
		i++
	}
	if i >= len(c.text) {
		return false
	}
	switch ch := c.text[i]; {
	case ch == '(':
		return true
	case !isSpace(ch) && ch != '/' && ch != '-':
		return false
	}
	saved := c.pos
	defer func() { c.pos = saved }()
	c.pos = i
	return c.skipBlank() && c.pos < len(c.text) && c.text[c.pos] == '('
}

// checkSessionFunction handles functions that depend on the state of the database session. It returns
// false for other functions.
func (c *classifier) checkSessionFunction(name []byte) bool {
	switch string(name) {
	case "pg_advisory_lock", "pg_advisory_lock_shared", "pg_try_advisory_lock",
		"pg_try_advisory_lock_shared", "pg_advisory_unlock", "pg_advisory_unlock_shared",
		"pg_advisory_unlock_all":
		c.refuse(errAdvisory)
	case "set_config":
		if !c.setConfigIsLocal() {
			c.refuse(errSetConfig)
		}
	case "currval", "lastval":
		c.info.Writes = true
		if c.info.NeedsTx == "" {
			c.info.NeedsTx = string(name)
		}
	default:
		return false
	}
	return true
}

// setConfigIsLocal reports whether the third argument of set_config is the literal true. The current
// token is the function's name. The position doesn't change.
func (c *classifier) setConfigIsLocal() bool {
	ahead := lexer{text: c.text, pos: c.tok.end}
	depth, commas := 0, 0
	var last token
	for {
		t := ahead.next()
		switch t.kind {
		case tokenEOF, tokenUnterminated:
			return false
		case tokenPunct:
			switch t.punct {
			case '(':
				depth++
			case ')':
				depth--
			case ',':
				if depth == 1 {
					commas++
				}
			}
		}
		if depth == 0 {
			var buf [maxWordLength]byte
			return commas == 2 && last.kind == tokenWord &&
				string(lower(c.text[last.start:last.end], &buf)) == "true"
		}
		last = t
	}
}
