package dbconn

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// stepKind is the kind of a step, which determines the message that ends its answer.
type stepKind uint8

const (
	// stepParse ends with ParseComplete.
	stepParse stepKind = iota
	// stepBind ends with BindComplete.
	stepBind
	// stepClose ends with CloseComplete.
	stepClose
	// stepDescribe ends with RowDescription or NoData.
	stepDescribe
	// stepExecute ends with CommandComplete, EmptyQueryResponse or PortalSuspended.
	stepExecute
	// stepSync ends with ReadyForQuery.
	stepSync
	// stepQuery ends with ReadyForQuery.
	stepQuery
)

// step is a message of a plan whose answer is expected.
type step struct {
	kind stepKind
	// internal is set if the adapter added the message, so that its answer isn't forwarded.
	internal bool
	// record is set if the step serves to record a request id, so that its error isn't an error of the
	// request.
	record bool
	// omitted is set if the message isn't sent and the adapter answers it itself.
	omitted bool
	// name is the statement that a stepParse prepares; empty for other kinds.
	name string
}

// plan holds the messages to send for a request and the answers to expect.
type plan struct {
	buf   []byte
	steps []step
	// names holds the statements that the request refers to.
	names []string
	err   error
}

func (p *plan) reset() {
	p.buf = p.buf[:0]
	p.steps = p.steps[:0]
	p.names = p.names[:0]
	p.err = nil
	if cap(p.buf) > maxKeptBufferSize {
		p.buf = nil
	}
}

// maxKeptBufferSize is the largest buffer in bytes that is kept for the next request, so that a single
// large request doesn't occupy memory for the connection's lifetime.
const maxKeptBufferSize = 64 << 10

// send adds a message and the step for its answer.
func (p *plan) send(msg pgproto3.FrontendMessage, s step) {
	p.encode(msg)
	p.steps = append(p.steps, s)
}

func (p *plan) encode(msg pgproto3.FrontendMessage) {
	if p.err != nil {
		return
	}
	buf, err := msg.Encode(p.buf)
	if err != nil {
		p.err = err
		return
	}
	p.buf = buf
}

// request plans a request that needs no record of its id.
func (p *plan) request(c *Conn, req *core.Request) error {
	p.reset()
	if len(req.Messages) > 1 {
		p.closeStatements(c)
	}
	p.messages(c, req)
	return p.err
}

// errIncomplete reports a request after which the upstream would wait for more messages.
var errIncomplete = errors.New("request doesn't end with Query or Sync")

func (p *plan) messages(c *Conn, req *core.Request) {
	for _, msg := range req.Messages {
		p.message(c, req, msg)
	}
	if n := len(p.steps); n == 0 || p.steps[n-1].kind != stepSync && p.steps[n-1].kind != stepQuery {
		p.err = errors.Join(p.err, errIncomplete)
	}
}

// closeStatements adds the Close messages for c.toClose, which belong to the extended protocol.
func (p *plan) closeStatements(c *Conn) {
	for _, name := range c.toClose {
		p.send(&pgproto3.Close{ObjectType: 'S', Name: name}, step{kind: stepClose, internal: true})
	}
	c.toClose = c.toClose[:0]
}

func (p *plan) message(c *Conn, req *core.Request, msg pgproto3.FrontendMessage) {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		p.send(msg, step{kind: stepQuery})
	case *pgproto3.Sync:
		p.send(msg, step{kind: stepSync})
	case *pgproto3.Parse:
		p.parse(c, msg, step{})
	case *pgproto3.Bind:
		p.ensurePrepared(c, req, msg.PreparedStatement)
		p.send(msg, step{kind: stepBind})
	case *pgproto3.Describe:
		if msg.ObjectType == 'S' {
			p.ensurePrepared(c, req, msg.Name)
		}
		p.send(msg, step{kind: stepDescribe})
	case *pgproto3.Execute:
		p.send(msg, step{kind: stepExecute})
	case *pgproto3.Close:
		if msg.ObjectType == 'S' && msg.Name != "" {
			// The statement stays prepared, since other callers use it under the same name.
			p.steps = append(p.steps, step{kind: stepClose, omitted: true})
			return
		}
		p.send(msg, step{kind: stepClose})
	case *pgproto3.Flush:
		p.encode(msg)
	default:
		p.err = fmt.Errorf("message %T is not supported", msg)
	}
}

// ensurePrepared adds a Parse for a named statement that isn't prepared on the connection.
func (p *plan) ensurePrepared(c *Conn, req *core.Request, name string) {
	if name == "" {
		return
	}
	if c.hasStatement(name) || p.hasParse(name) {
		p.names = append(p.names, name)
		return
	}
	if msg, ok := req.Prepared[name]; ok {
		p.parse(c, msg, step{internal: true})
	}
}

// parse plans a Parse, which is omitted if the statement is already prepared on the connection.
func (p *plan) parse(c *Conn, msg *pgproto3.Parse, s step) {
	s.kind = stepParse
	if msg.Name == "" {
		p.send(msg, s)
		return
	}
	p.names = append(p.names, msg.Name)
	if c.hasStatement(msg.Name) || p.hasParse(msg.Name) {
		s.omitted = true
		p.steps = append(p.steps, s)
		return
	}
	s.name = msg.Name
	p.send(msg, s)
}

// hasParse reports whether the plan contains a Parse for the statement.
func (p *plan) hasParse(name string) bool {
	for i := range p.steps {
		if p.steps[i].kind == stepParse && p.steps[i].name == name {
			return true
		}
	}
	return false
}

// hasStatement reports whether the statement is prepared on the connection.
func (c *Conn) hasStatement(name string) bool {
	_, ok := c.prepared[name]
	return ok
}

// markPrepared records that the statement is prepared on the connection. If there are MaxPrepared
// statements already, the next request closes an arbitrary one.
func (c *Conn) markPrepared(name string) {
	if name == "" {
		return
	}
	for other := range c.prepared {
		if len(c.prepared) < c.cfg.MaxPrepared {
			break
		}
		c.scheduleClose(other)
	}
	c.prepared[name] = struct{}{}
}

// scheduleClose makes the next extended request close the statement, if it is prepared.
func (c *Conn) scheduleClose(name string) {
	if !c.hasStatement(name) {
		return
	}
	delete(c.prepared, name)
	c.toClose = append(c.toClose, name)
}
