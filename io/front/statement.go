package front

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"sync"
	"unicode/utf8"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core/stmt"
)

// statement is a prepared statement of callers. Sessions that prepare the same SQL share it.
type statement struct {
	// name is what the statement is called on upstreams. It depends on the SQL text and the
	// parameter types only. It is empty for an unnamed statement that no later batch has used.
	name string
	// parse prepares the statement under its name.
	parse *pgproto3.Parse
	info  stmt.Info
	tags  stmt.Tags
	// shift is the length of the tags' comment in characters, by which the positions in errors of
	// the upstream differ from those in the caller's text.
	shift int32

	// refs counts the sessions that hold the statement. The interner guards it.
	refs int
}

// isLocal reports whether the listener executes the statement itself.
func (st *statement) isLocal() bool {
	return st.info.Statements == 0 || len(st.info.Locals) > 0
}

// newStatement classifies the SQL of a Parse message. The comment with the tags isn't part of the
// statement that upstreams see, so that statements that differ in their tags only are the same.
func newStatement(p *pgproto3.Parse) (*statement, error) {
	tags, head, err := stmt.ParseTags(p.Query)
	if err != nil {
		return nil, invalidParameter(err.Error())
	}
	sql := p.Query[head:]
	st := &statement{info: stmt.Classify(sql), tags: tags}
	if u := st.info.Unsupported; u != nil {
		return nil, u
	}
	st.shift = int32(utf8.RuneCountInString(p.Query[:head]))
	st.parse = &pgproto3.Parse{Query: sql, ParameterOIDs: p.ParameterOIDs}
	if p.Name != "" {
		st.setName()
	}
	return st, nil
}

// setName gives the statement its name on upstreams.
func (st *statement) setName() {
	st.name = statementName(st.parse.Query, st.parse.ParameterOIDs)
	// The unnamed form may be part of a request that runs.
	st.parse = &pgproto3.Parse{Name: st.name, Query: st.parse.Query, ParameterOIDs: st.parse.ParameterOIDs}
}

// statementName hashes the SQL and the parameter types. A collision would run another caller's
// SQL, hence the cryptographic hash.
func statementName(sql string, oids []uint32) string {
	buf := make([]byte, 0, len(sql)+1+4*len(oids))
	buf = append(buf, sql...)
	buf = append(buf, 0)
	for _, oid := range oids {
		buf = binary.BigEndian.AppendUint32(buf, oid)
	}
	sum := sha256.Sum256(buf)
	name := make([]byte, 3, 35)
	copy(name, "sw_")
	return string(hex.AppendEncode(name, sum[:16]))
}

// statementKey identifies what sessions may share. Tags belong to it, since they apply whenever the
// statement is executed.
type statementKey struct {
	name string
	tags stmt.Tags
}

// interner holds the prepared statements of all sessions once each.
type interner struct {
	mu    sync.Mutex
	stmts map[statementKey]*statement
}

func newInterner() *interner {
	return &interner{stmts: make(map[statementKey]*statement)}
}

// hold returns the shared statement that equals st.
func (n *interner) hold(st *statement) *statement {
	key := statementKey{name: st.name, tags: st.tags}
	n.mu.Lock()
	defer n.mu.Unlock()
	if shared, ok := n.stmts[key]; ok {
		st = shared
	} else {
		n.stmts[key] = st
	}
	st.refs++
	return st
}

// release ends a hold.
func (n *interner) release(st *statement) {
	n.mu.Lock()
	defer n.mu.Unlock()
	st.refs--
	if st.refs == 0 {
		delete(n.stmts, statementKey{name: st.name, tags: st.tags})
	}
}

func (n *interner) len() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.stmts)
}
