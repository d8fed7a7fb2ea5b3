package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"
	"time"

	"snipewall/core"
)

// conn is a pooled connection with a record of the session state that is set on it. The record changes only by answers:
// what is refused, or not answered, isn't recorded.
type conn struct {
	core.LineConn
	// owner is the VM at the other end, or empty if it is the upstream itself.
	owner core.VMID
	// valueKey identifies the session values that are set on the connection, as Session.valueKey does.
	valueKey string
	prepared map[string]bool
	// unanswered holds the commands whose answers are outstanding, the oldest first.
	unanswered []step
	// status is the transaction status of the last answer.
	status core.TxStatus
	// refused is the first command that changes the session state or ends a transaction and was refused, and
	// refusedWith its fault, FaultNone if there is none. The state isn't known from then on.
	refused     core.Op
	refusedWith core.Fault
	lastUsed    time.Time
}

// step is a command whose answer is expected.
type step struct {
	op core.Op
	// key is the part of conn.valueKey that OpSet adds, or the name that OpPrepare and OpExecute use.
	key string
	// size is that of the text.
	size int
}

// Send implements core.LineConn.
func (c *conn) Send(cmds []core.Command) error {
	for i := range cmds {
		st := step{op: cmds[i].Op, key: cmds[i].Name, size: len(cmds[i].Text)}
		if st.op == core.OpSet {
			st.key = keyPart(cmds[i].Name) + keyPart(cmds[i].Text)
		}
		c.unanswered = append(c.unanswered, st)
	}
	return c.LineConn.Send(cmds)
}

// Receive implements core.LineConn.
func (c *conn) Receive(deadline time.Time) (core.Answer, error) {
	if len(c.unanswered) == 0 {
		return core.Answer{}, errNothingAsked
	}
	ans, err := c.LineConn.Receive(deadline)
	if err != nil {
		return ans, err
	}
	st := c.unanswered[0]
	if err := st.check(ans); err != nil {
		return core.Answer{}, err
	}
	c.unanswered = slices.Delete(c.unanswered, 0, 1)
	c.status = ans.Status
	if ans.Fault != core.FaultNone {
		return c.noteRefused(st, ans), nil
	}
	switch st.op {
	case core.OpReset:
		c.valueKey, c.prepared = "", nil
	case core.OpSet:
		c.valueKey += st.key
	case core.OpPrepare:
		c.notePrepared(st)
	}
	return ans, nil
}

func (c *conn) notePrepared(st step) {
	if st.key == shortName {
		return
	}
	if c.owner != "" && entryBytes+st.size > maxKeptTexts {
		// The owner drops it after the statement that follows.
		return
	}
	if c.prepared == nil {
		c.prepared = make(map[string]bool)
	}
	c.prepared[st.key] = true
}

var (
	errNothingAsked = errors.New("no answer is expected")
	errOtherAnswer  = errors.New("the answer belongs to another command")
)

// check returns errOtherAnswer if the answer can't be the command's: an upstream may lose an answer and send the next one.
// Only a caller's statement is answered with a signature.
func (st step) check(ans core.Answer) error {
	if ans.Fault != core.FaultNone {
		return nil
	}
	ok := !ans.Signed
	switch st.op {
	case core.OpForward, core.OpExecute:
		ok = ans.Signed
	case core.OpBegin, core.OpBeginRead:
		ok = ok && ans.Status == core.TxOpen
	case core.OpRollback:
		ok = ok && ans.Status == core.TxIdle
	}
	if !ok {
		return errOtherAnswer
	}
	return nil
}

// noteRefused records what a refused command says about the connection, and returns the answer as its caller gets it.
func (c *conn) noteRefused(st step, ans core.Answer) core.Answer {
	switch st.op {
	case core.OpReset, core.OpSet, core.OpPrepare, core.OpRollback:
		if c.refusedWith == core.FaultNone {
			c.refused, c.refusedWith = st.op, ans.Fault
		}
	case core.OpExecute:
		if ans.Fault == core.FaultUnprepared {
			// The caller has prepared the statement, and knows nothing of this connection.
			delete(c.prepared, st.key)
			ans.Fault, ans.Text = core.FaultBusy, "the upstream lost the prepared statement"
		}
	}
	return ans
}

// isKnown reports whether the connection's state is the recorded one.
func (c *conn) isKnown() bool { return c.refusedWith == core.FaultNone && len(c.unanswered) == 0 }

// isReusable reports whether the connection may serve another session.
func (c *conn) isReusable() bool { return c.isKnown() && c.status == core.TxIdle }

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

// shortName is the name of a prepared statement whose text or arguments leave no room for another name. It stands for another
// text each time, so that no connection counts as having it: it is prepared anew, after a RESET, for each execution.
const shortName = "x"

// isLong reports whether a statement of the length leaves no room for what is longer in the message to an upstream.
func (p *Proxy) isLong(n int) bool { return p.cfg.MaxText > 0 && n > p.cfg.MaxText }

// maxPreparedNames is the number of prepared statements on a connection from which on it is reset before the next one.
const maxPreparedNames = 1000

// isSetUp reports whether setUpCommands returns none.
func (c *conn) isSetUp(s *Session, ps *preparedStmt) bool {
	return c.valueKey == s.valueKey && (ps == nil || c.prepared[ps.name])
}

// setUpCommands returns the commands that give the connection the session's values and, unless ps is nil, the prepared
// statement. A statement may be sent only once they are confirmed, see heldConn.confirm.
func (c *conn) setUpCommands(s *Session, ps *preparedStmt) []core.Command {
	var cmds []core.Command
	isPrepared := ps == nil || c.prepared[ps.name]
	isFull := !isPrepared && (len(c.prepared) >= maxPreparedNames || ps.name == shortName)
	if isFull || c.valueKey != s.valueKey {
		if isFull || c.valueKey != "" {
			cmds = append(cmds, core.Command{Op: core.OpReset})
			isPrepared = ps == nil
		}
		for _, v := range s.values {
			cmds = append(cmds, core.Command{Op: core.OpSet, Name: v.name, Text: v.value})
		}
	}
	if isPrepared {
		return cmds
	}
	return append(cmds, core.Command{Op: core.OpPrepare, Name: ps.name, Text: ps.text, Write: ps.write})
}

// setUpError reports that the upstream refused a command that the next one depends on.
type setUpError struct{ fault core.Fault }

func (e *setUpError) Error() string { return "set-up refused: " + e.fault.String() }

// confirm runs the set-up commands and returns those that may be sent together with a statement. An upstream runs a
// statement even if what comes before it is refused, so that the answers are awaited first. An owner does that itself.
func (h *heldConn) confirm(cmds []core.Command, deadline time.Time) ([]core.Command, error) {
	if len(cmds) == 0 || h.handle.Value.CanPipeline() {
		return cmds, nil
	}
	ans, err := h.handle.Value.exchange(cmds, deadline)
	if err == nil && ans.Fault != core.FaultNone {
		err = &setUpError{ans.Fault}
	}
	return nil, err
}

// noteSetUpFailure records that the set-up of the connection failed with the error.
func (n *node) noteSetUpFailure(c *conn, err error) {
	var refused *setUpError
	if errors.As(err, &refused) {
		n.noteOutcome(time.Now(), isFailure(refused.fault))
		return
	}
	n.noteFailure(c)
}

// exchange sends the commands and returns the answer to the last one. A *setUpError says that an earlier one was refused.
func (c *conn) exchange(cmds []core.Command, deadline time.Time) (core.Answer, error) {
	if err := c.Send(cmds); err != nil {
		return core.Answer{}, err
	}
	return c.receiveLast(len(cmds), deadline)
}

// receiveLast reads n answers and returns the last one. A *setUpError says that an earlier command was refused.
func (c *conn) receiveLast(n int, deadline time.Time) (core.Answer, error) {
	var refused error
	for range n - 1 {
		ans, err := c.Receive(deadline)
		if err != nil {
			return core.Answer{}, err
		}
		if ans.Fault != core.FaultNone && refused == nil {
			refused = &setUpError{ans.Fault}
		}
	}
	ans, err := c.Receive(deadline)
	if err == nil {
		err = refused
	}
	return ans, err
}

// skipAnswers reads the outstanding answers, which change only what is recorded of the connection.
func (c *conn) skipAnswers(deadline time.Time) error {
	for len(c.unanswered) > 0 {
		if _, err := c.Receive(deadline); err != nil {
			return err
		}
	}
	return nil
}
