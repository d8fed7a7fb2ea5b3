package stmt

// query scans a query. It is a read unless something in it says otherwise.
func (c *classifier) query() { c.scan() }

// scan looks at all words up to the end of the statement.
func (c *classifier) scan() {
	depth := 0
	prevDot, prevInto := false, false
	var schema token
	for {
		switch c.tok.kind {
		case tokenEnd, tokenBroken:
			return
		case tokenWord, tokenQuotedName:
			if prevInto {
				c.intoTarget()
			}
			prevAlias := c.alias
			c.alias = false
			prevInto = c.word(schema, prevDot, prevAlias)
			if !prevDot {
				schema = c.tok
			}
			prevDot = false
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
			c.alias, prevInto = false, false
		default:
			prevDot, c.alias, prevInto = false, false, false
		}
		c.advance()
	}
}

// intoTarget refuses SELECT INTO TEMP.
func (c *classifier) intoTarget() {
	switch string(c.wordOf()) {
	case "temp", "temporary":
		c.refuse(errTemp)
	}
}

// word looks at a word or quoted name of a query. It returns true after INTO. A name followed by a
// parenthesis is a function, unless it stands where an alias with a column list may stand.
func (c *classifier) word(schema token, qualified, alias bool) bool {
	name := c.wordOf()
	if !c.callFollows() {
		if qualified || name == nil {
			return false
		}
		switch string(name) {
		case "as", "with", "recursive":
			c.alias = true
		case "insert", "update", "delete", "merge", "share":
			c.info.Writes = true
		case "into":
			c.info.Writes = true
			return true
		}
		return false
	}
	if c.sessionFunction(name) {
		return false
	}
	known := name != nil && harmless[string(name)]
	if qualified {
		var buf [maxWord]byte
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
	saved := c.at
	defer func() { c.at = saved }()
	c.at = i
	return c.skipBlank() && c.at < len(c.text) && c.text[c.at] == '('
}

// sessionFunction handles functions that depend on the state of the database session.
func (c *classifier) sessionFunction(name []byte) bool {
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

// setConfigIsLocal reports whether the third argument of set_config, whose name is the current
// token, is evidently true. It leaves the position unchanged.
func (c *classifier) setConfigIsLocal() bool {
	ahead := lexer{text: c.text, at: c.tok.end}
	depth, commas := 0, 0
	var last token
	for {
		t := ahead.next()
		switch t.kind {
		case tokenEnd, tokenBroken:
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
			var buf [maxWord]byte
			return commas == 2 && last.kind == tokenWord &&
				string(lower(c.text[last.start:last.end], &buf)) == "true"
		}
		last = t
	}
}
