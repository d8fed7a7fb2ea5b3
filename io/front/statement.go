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

// statement is a prepared statement. Sessions that prepare the same SQL share it.
type statement struct {
	// name is the statement's name on upstreams, which depends on the SQL text and the parameter types
	// only. It is empty for an unnamed statement that no later batch has used.
	name string
	// parse is the message that prepares the statement under name.
	parse *pgproto3.Parse
	info  stmt.Info
	tags  stmt.Tags
	// positionOffset is the length of the comment with the tags in characters. It is added to the
	// positions in errors of the upstream, which doesn't get the comment.
	positionOffset int32

	// refs counts the references of sessions to the statement. The interner's mu guards it.
	refs int
}

// isLocal reports whether the listener executes the statement itself.
func (st *statement) isLocal() bool {
	return st.info.Statements == 0 || len(st.info.Locals) > 0
}

// newStatement classifies the SQL of a Parse message. Upstreams don't get the comment with the tags, so
// that statements which differ in their tags only are prepared once.
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
	st.positionOffset = int32(utf8.RuneCountInString(p.Query[:head]))
	st.parse = &pgproto3.Parse{Query: sql, ParameterOIDs: p.ParameterOIDs}
	if p.Name != "" {
		st.setName()
	}
	return st, nil
}

// setName sets the statement's name on upstreams.
func (st *statement) setName() {
	st.name = statementName(st.parse.Query, st.parse.ParameterOIDs)
	// A request in progress may refer to the unnamed message, so it isn't changed in place.
	st.parse = &pgproto3.Parse{Name: st.name, Query: st.parse.Query, ParameterOIDs: st.parse.ParameterOIDs}
}

// statementName hashes the SQL and the parameter types. The hash is cryptographic, since a collision
// would run the SQL of another caller.
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

// statementKey identifies a shared statement. It contains the tags, since they apply whenever the
// statement is executed.
type statementKey struct {
	name string
	tags stmt.Tags
}

// interner keeps one copy of each prepared statement, which all sessions share.
type interner struct {
	mu    sync.Mutex
	stmts map[statementKey]*statement
}

func newInterner() *interner {
	return &interner{stmts: make(map[statementKey]*statement)}
}

// acquire returns the shared statement that equals st and adds a reference to it.
func (n *interner) acquire(st *statement) *statement {
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

// release removes a reference that acquire added.
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
