package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"snipewall/core"
)

// conn is a pooled connection with a record of the session state that is set on it.
type conn struct {
	core.LineConn
	// owner is the VM at the other end, or empty if it is the upstream itself.
	owner core.VMID
	// valueKey identifies the session values that are set on the connection, as Session.valueKey does.
	valueKey string
	// stateUnknown is set if the values or prepared statements on the connection may differ from those
	// recorded here.
	stateUnknown bool
	prepared     map[string]bool
	lastUsed     time.Time
}

// preparedStmt is a prepared statement as its caller prepared it.
type preparedStmt struct {
	write bool
	text  string
	// name is the name of the prepared statement on upstream connections.
	name string
}

// nameBytes is the number of bytes of the hash in a name. Equal names of different texts are out of the question, also
// if a caller looks for them.
const nameBytes = 16

// newPreparedStmt returns a prepared statement. Its name depends only on the text and on whether it writes, so that all
// callers share it. It is a hash, since a text may contain what ends a name in a message.
func newPreparedStmt(write bool, text string) preparedStmt {
	prefix := "r_"
	if write {
		prefix = "w_"
	}
	sum := sha256.Sum256([]byte(text))
	return preparedStmt{write: write, text: text, name: prefix + hex.EncodeToString(sum[:nameBytes])}
}

// setUpCommands returns the commands that give the connection the session's values and, unless ps is
// nil, the prepared statement. It records them as done: the connection is discarded if one of them
// fails.
func (c *conn) setUpCommands(s *Session, ps *preparedStmt) []core.Command {
	var cmds []core.Command
	if c.stateUnknown || c.valueKey != s.valueKey {
		if c.stateUnknown || c.valueKey != "" {
			cmds = append(cmds, core.Command{Op: core.OpReset})
			c.prepared = nil
		}
		for _, v := range s.values {
			cmds = append(cmds, core.Command{Op: core.OpSet, Name: v.name, Text: v.value})
		}
		c.valueKey, c.stateUnknown = s.valueKey, false
	}
	if ps == nil || c.prepared[ps.name] {
		return cmds
	}
	if c.prepared == nil {
		c.prepared = make(map[string]bool)
	}
	c.prepared[ps.name] = true
	return append(cmds, core.Command{Op: core.OpPrepare, Name: ps.name, Text: ps.text, Write: ps.write})
}
