package proxy

// maxKeptTexts limits the texts of prepared statements, in bytes, that a relay keeps between statements: a VM has a relay for
// each connection of each other VM. The other VM sends a longer one with each execution, see conn.Receive.
const maxKeptTexts = 64 << 10

// relayedStmts holds the prepared statements of another VM by their names on upstream connections.
type relayedStmts struct {
	stmts map[string]preparedStmt
	// names holds the names in the order in which they were prepared, bytes is the memory of all.
	names []string
	bytes int
}

func (p *relayedStmts) add(name string, ps preparedStmt) {
	if _, ok := p.stmts[name]; ok {
		// The name is a hash of the text.
		return
	}
	if p.stmts == nil {
		p.stmts = make(map[string]preparedStmt)
	}
	p.stmts[name] = ps
	p.names = append(p.names, name)
	p.bytes += entryBytes + len(ps.text)
}

// trim drops the oldest statements until the others take at most the number of bytes. The other VM prepares a dropped one again
// when it is refused as not prepared.
func (p *relayedStmts) trim(limit int) {
	n := 0
	for ; p.bytes > limit; n++ {
		p.bytes -= entryBytes + len(p.stmts[p.names[n]].text)
		delete(p.stmts, p.names[n])
	}
	p.names = append(p.names[:0], p.names[n:]...)
}
