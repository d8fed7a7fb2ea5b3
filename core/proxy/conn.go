package proxy

import (
	"time"

	"snipewall/core"
)

// conn is a pooled connection and what it remembers of earlier callers.
type conn struct {
	core.LineConn
	// owner is the VM at the other end, or empty if it is the upstream itself.
	owner core.VMID
	// values are the session values that are set on the connection, in a comparable form.
	values string
	// unsure tells that values or prepared statements may differ from what is recorded here.
	unsure   bool
	prepared map[string]bool
	used     time.Time
}

// shape is a prepared statement as its caller prepared it.
type shape struct {
	write bool
	text  string
}

// name is the name of the shape on upstream connections. It depends on the shape only, so that all
// callers share it.
func (sh shape) name() string {
	if sh.write {
		return "w_" + sh.text
	}
	return "r_" + sh.text
}

// align returns the commands that give the connection the session's values and, if sh isn't nil, the
// prepared statement. It records them as done: the connection is discarded if one of them fails.
func (c *conn) align(s *Session, sh *shape) []core.Command {
	var cmds []core.Command
	if c.unsure || c.values != s.valueKey {
		if c.unsure || c.values != "" {
			cmds = append(cmds, core.Command{Op: core.OpReset})
			c.prepared = nil
		}
		for _, v := range s.values {
			cmds = append(cmds, core.Command{Op: core.OpSet, Name: v.name, Text: v.value})
		}
		c.values, c.unsure = s.valueKey, false
	}
	if sh == nil || c.prepared[sh.name()] {
		return cmds
	}
	if c.prepared == nil {
		c.prepared = make(map[string]bool)
	}
	c.prepared[sh.name()] = true
	return append(cmds, core.Command{Op: core.OpPrepare, Name: sh.name(), Text: sh.text, Write: sh.write})
}
