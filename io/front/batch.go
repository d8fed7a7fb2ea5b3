package front

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// messageOverhead is added to the size of each message of a batch, so that the limit also bounds
// the memory of many small messages.
const messageOverhead = 256

// op is one message of a batch.
type op struct {
	// typ is the type of the message. Describe and Close of portals are 'd' and 'c'.
	typ byte
	// local tells that the listener answers the message itself.
	local bool
	st    *statement
	// name is the caller's name of the statement that Parse or Close concerns.
	name string
	// formats are the result formats of the portal.
	formats []int16
}

// portal is a portal that the batch has bound.
type portal struct {
	st      *statement
	local   bool
	formats []int16
}

// batch collects the messages of the extended protocol up to Flush or Sync.
type batch struct {
	s *session
	// failed tells that the caller's transaction block is in the failed state.
	failed bool
	ops    []op
	size   int
	// defined holds the statements that the batch parsed, by the caller's name; nil if closed.
	defined map[string]*statement
	// sentUnnamed is the statement that the unnamed one is on the upstream within this batch.
	sentUnnamed *statement
	portals     map[string]portal
	unit        unit
	// remote counts the messages for the upstream, executes counts Bind and Execute among them.
	remote, executes int
	// err is the first error that the listener found. Nothing of the batch runs then.
	err error
}

// openBatch returns the batch that collects messages.
func (s *session) openBatch() *batch {
	if s.batch == nil {
		s.batch = &batch{s: s, failed: s.failed}
	}
	return s.batch
}

// fail records the first error and drops the messages.
func (b *batch) fail(err error) {
	if b.err == nil {
		*b = batch{s: b.s, err: err}
	}
}

// add takes a message.
func (b *batch) add(msg pgproto3.FrontendMessage, size int) {
	if b.err != nil {
		return
	}
	b.size += size + messageOverhead
	if b.size > b.s.srv.cfg.MaxMessage+messageOverhead {
		b.fail(&callerError{State: stateLimitExceeded,
			Message: fmt.Sprintf("messages up to Sync exceed %d bytes", b.s.srv.cfg.MaxMessage),
			Hint:    "Send Sync more often."})
		return
	}
	var err error
	switch m := msg.(type) {
	case *pgproto3.Parse:
		err = b.parse(m)
	case *pgproto3.Bind:
		err = b.bind(m)
	case *pgproto3.Describe:
		err = b.describe(m)
	case *pgproto3.Execute:
		err = b.execute(m)
	case *pgproto3.Close:
		b.close(m)
	}
	if err != nil {
		b.fail(err)
	}
}

// push adds an operation, and its message if it is for the upstream.
func (b *batch) push(o op, msg pgproto3.FrontendMessage) {
	b.ops = append(b.ops, o)
	if o.local {
		return
	}
	b.remote++
	b.unit.messages = append(b.unit.messages, msg)
}

// lookup returns the statement of the caller's name.
func (b *batch) lookup(name string) (*statement, error) {
	st, ok := b.defined[name]
	switch {
	case ok:
	case name == "":
		st = b.s.unnamed
	default:
		st = b.s.stmts[name]
	}
	if st == nil {
		what := "unnamed prepared statement"
		if name != "" {
			what = fmt.Sprintf("prepared statement %q", name)
		}
		return nil, &callerError{State: stateUndefinedStatement, Message: what + " does not exist"}
	}
	return st, nil
}

// isLocal reports whether the listener answers for the statement. COMMIT and ROLLBACK without a
// transaction are local too.
func (b *batch) isLocal(st *statement) bool {
	return st.isLocal() || b.s.endsNothing(st.info) && !b.unit.info.Begins
}

// upstreamName returns the statement's name on the upstream, and sees to it that a connection which
// lacks the statement can prepare it.
func (b *batch) upstreamName(name string, st *statement) string {
	if name == "" && b.sentUnnamed == st {
		return ""
	}
	if st.name == "" {
		st.setName()
	}
	if b.unit.prepared == nil {
		b.unit.prepared = make(map[string]*pgproto3.Parse, 1)
	}
	b.unit.prepared[st.name] = st.parse
	return st.name
}

func (b *batch) define(name string, st *statement) {
	if b.defined == nil {
		b.defined = make(map[string]*statement, 1)
	}
	b.defined[name] = st
}

func (b *batch) parse(m *pgproto3.Parse) error {
	if m.Name != "" {
		if st, _ := b.lookup(m.Name); st != nil {
			return &callerError{State: stateDuplicateStatement,
				Message: fmt.Sprintf("prepared statement %q already exists", m.Name)}
		}
		if len(b.s.stmts)+len(b.defined) >= b.s.srv.cfg.MaxStatements {
			return &callerError{State: stateLimitExceeded,
				Message: fmt.Sprintf("more than %d prepared statements", b.s.srv.cfg.MaxStatements),
				Hint:    "Close prepared statements that are no longer used."}
		}
	}
	st, err := newStatement(m)
	if err != nil {
		return err
	}
	if b.failed && !b.isLocal(st) {
		return errInFailedTx
	}
	b.define(m.Name, st)
	b.prepares(st)
	o := op{typ: 'P', local: b.isLocal(st), st: st, name: m.Name}
	if m.Name != "" {
		if !o.local {
			b.upstreamName(m.Name, st)
		}
		b.push(o, st.parse)
		return nil
	}
	b.sentUnnamed = nil
	if !o.local {
		b.sentUnnamed = st
	}
	b.push(o, &pgproto3.Parse{Query: st.parse.Query, ParameterOIDs: st.parse.ParameterOIDs})
	return nil
}

func (b *batch) bind(m *pgproto3.Bind) error {
	st, err := b.lookup(m.PreparedStatement)
	if err != nil {
		return err
	}
	p := portal{st: st, local: b.isLocal(st), formats: m.ResultFormatCodes}
	if b.failed && !p.local {
		return errInFailedTx
	}
	if b.portals == nil {
		b.portals = make(map[string]portal, 1)
	}
	b.portals[m.DestinationPortal] = p
	if !p.local {
		m.PreparedStatement = b.upstreamName(m.PreparedStatement, st)
		b.executes++
	}
	b.push(op{typ: 'B', local: p.local, st: st}, m)
	return nil
}

func (b *batch) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p := b.portals[m.Name]
		b.push(op{typ: 'd', local: p.local, st: p.st, formats: p.formats}, m)
		return nil
	}
	st, err := b.lookup(m.Name)
	if err != nil {
		return err
	}
	o := op{typ: 'D', local: b.isLocal(st), st: st}
	if b.failed && !o.local {
		return errInFailedTx
	}
	if !o.local {
		m.Name = b.upstreamName(m.Name, st)
	}
	b.prepares(st)
	b.push(o, m)
	return nil
}

// prepares takes note of a statement that the batch prepares or describes.
func (b *batch) prepares(st *statement) {
	if b.isLocal(st) {
		return
	}
	b.unit.preparesWrite = b.unit.preparesWrite || st.info.Class != core.ClassRead
	b.unit.tags = b.unit.tags.Or(st.tags)
}

func (b *batch) execute(m *pgproto3.Execute) error {
	p, bound := b.portals[m.Portal]
	if !bound {
		// The portal may be open in the transaction; otherwise the upstream reports it as unknown.
		if b.failed {
			return errInFailedTx
		}
		b.executes++
		b.unit.earlierPortal = true
		b.push(op{typ: 'E'}, m)
		return nil
	}
	o := op{typ: 'E', local: p.local, st: p.st, formats: p.formats}
	if o.local {
		if p.st.info.Ends {
			b.failed = false
		}
		for i := range p.st.info.Locals {
			if b.failed {
				return errInFailedTx
			}
			if err := b.s.apply(&p.st.info.Locals[i]); err != nil {
				return err
			}
		}
	} else {
		b.executes++
		if p.st.info.NeedsTx != "" && b.s.tx == nil && !b.unit.info.Begins {
			return errNeedsTx(p.st.info.NeedsTx)
		}
		b.unit.info = b.unit.info.Append(p.st.info)
		if b.unit.info.Unsupported != nil {
			return b.unit.info.Unsupported
		}
		b.unit.tags = p.st.tags.Or(b.unit.tags)
	}
	b.push(o, m)
	return nil
}

// close handles Close. The statement stays prepared on upstreams, since other callers share it.
func (b *batch) close(m *pgproto3.Close) {
	if m.ObjectType == 'P' {
		p := b.portals[m.Name]
		delete(b.portals, m.Name)
		// Outside of a transaction, a portal that the batch hasn't bound doesn't exist.
		local := p.local || p.st == nil && b.s.tx == nil
		b.push(op{typ: 'c', local: local}, m)
		return
	}
	b.define(m.Name, nil)
	b.push(op{typ: 'C', local: true, name: m.Name}, nil)
}

// done takes over the effect of an operation on the session's prepared statements.
func (o *op) done(s *session) {
	switch o.typ {
	case 'P':
		if o.name == "" {
			s.unnamed = o.st
			return
		}
		s.forget(o.name)
		if s.stmts == nil {
			s.stmts = make(map[string]*statement, 1)
		}
		s.stmts[o.name] = s.srv.stmts.hold(o.st)
	case 'C':
		s.forget(o.name)
	}
}

// forget removes a prepared statement.
func (s *session) forget(name string) {
	if name == "" {
		s.unnamed = nil
		return
	}
	if st, ok := s.stmts[name]; ok {
		delete(s.stmts, name)
		s.srv.stmts.release(st)
	}
	if len(s.stmts) == 0 {
		s.stmts = nil
	}
}
