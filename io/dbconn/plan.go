package dbconn

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// stepKind tells which message ends the answer to a step.
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

// step is a message whose answer is expected.
type step struct {
	kind stepKind
	// own tells that the adapter added the message, so that its answer isn't passed on.
	own bool
	// record tells that the step belongs to the record of a request id, so that its error isn't the
	// request's either.
	record bool
	// omitted tells that the message was not sent and that its answer is made up.
	omitted bool
	// name is the statement that a stepParse prepares.
	name string
}

// plan is what is sent for a request, and which answers are expected.
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
	if cap(p.buf) > maxKeptBuffer {
		p.buf = nil
	}
}

// maxKeptBuffer keeps a single large request from occupying memory for the connection's lifetime.
const maxKeptBuffer = 64 << 10

// send adds a message and the step that its answer belongs to.
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

// request plans a request as it is.
func (p *plan) request(c *Conn, req *core.Request) error {
	p.reset()
	if len(req.Messages) > 1 {
		p.closeStatements(c)
	}
	p.messages(c, req)
	return p.err
}

// errIncomplete says that a request would leave the upstream waiting.
var errIncomplete = errors.New("request doesn't end with Query or Sync")

// messages plans the messages of the request.
func (p *plan) messages(c *Conn, req *core.Request) {
	for _, msg := range req.Messages {
		p.message(c, req, msg)
	}
	if n := len(p.steps); n == 0 || p.steps[n-1].kind != stepSync && p.steps[n-1].kind != stepQuery {
		p.err = errors.Join(p.err, errIncomplete)
	}
}

// closeStatements adds the pending Close messages. They belong to the extended protocol.
func (p *plan) closeStatements(c *Conn) {
	for _, name := range c.closing {
		p.send(&pgproto3.Close{ObjectType: 'S', Name: name}, step{kind: stepClose, own: true})
	}
	c.closing = c.closing[:0]
}

// message plans one message of the request.
func (p *plan) message(c *Conn, req *core.Request, msg pgproto3.FrontendMessage) {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		p.send(msg, step{kind: stepQuery})
	case *pgproto3.Sync:
		p.send(msg, step{kind: stepSync})
	case *pgproto3.Parse:
		p.parse(c, msg, step{})
	case *pgproto3.Bind:
		p.need(c, req, msg.PreparedStatement)
		p.send(msg, step{kind: stepBind})
	case *pgproto3.Describe:
		if msg.ObjectType == 'S' {
			p.need(c, req, msg.Name)
		}
		p.send(msg, step{kind: stepDescribe})
	case *pgproto3.Execute:
		p.send(msg, step{kind: stepExecute})
	case *pgproto3.Close:
		if msg.ObjectType == 'S' && msg.Name != "" {
			// Other callers use the statement under the same name, so that it stays.
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

// need prepares a named statement that the connection lacks.
func (p *plan) need(c *Conn, req *core.Request, name string) {
	if name == "" {
		return
	}
	if c.has(name) || p.prepares(name) {
		p.names = append(p.names, name)
		return
	}
	if msg, ok := req.Prepared[name]; ok {
		p.parse(c, msg, step{own: true})
	}
}

// parse plans a Parse unless the connection has the statement.
func (p *plan) parse(c *Conn, msg *pgproto3.Parse, s step) {
	s.kind = stepParse
	if msg.Name == "" {
		p.send(msg, s)
		return
	}
	p.names = append(p.names, msg.Name)
	if c.has(msg.Name) || p.prepares(msg.Name) {
		s.omitted = true
		p.steps = append(p.steps, s)
		return
	}
	s.name = msg.Name
	p.send(msg, s)
}

// prepares reports whether the plan prepares the statement.
func (p *plan) prepares(name string) bool {
	for i := range p.steps {
		if p.steps[i].kind == stepParse && p.steps[i].name == name {
			return true
		}
	}
	return false
}

// has reports whether the connection has the statement.
func (c *Conn) has(name string) bool {
	_, ok := c.prepared[name]
	return ok
}

// remember notes that the upstream has prepared the statement. Beyond the limit, another one is
// closed with the next request.
func (c *Conn) remember(name string) {
	if name == "" {
		return
	}
	for other := range c.prepared {
		if len(c.prepared) < c.cfg.MaxPrepared {
			break
		}
		c.forget(other)
	}
	c.prepared[name] = struct{}{}
}

// forget makes the next extended request close the statement.
func (c *Conn) forget(name string) {
	if !c.has(name) {
		return
	}
	delete(c.prepared, name)
	c.closing = append(c.closing, name)
}
