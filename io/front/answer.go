package front

import (
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
	"snipewall/core/stmt"
)

const (
	// writeBufferSize is the initial size of the pooled write buffers.
	writeBufferSize = 4 << 10
	// flushSize is the number of buffered bytes above which an answer is written before it is complete.
	flushSize = 32 << 10
	// maxPooledBufferSize is the largest capacity of a write buffer that goes back to the pool.
	maxPooledBufferSize = 128 << 10
	// stallTimeout is how long after a request's deadline a caller may still read its answer. Until the
	// answer has been written, the request holds an upstream connection.
	stallTimeout = time.Second
)

var writeBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, writeBufferSize)
	return &b
}}

// answer buffers the messages to the caller and implements core.ResponseWriter. It inserts the answers
// to local operations between those of the upstream, in the order of the caller's messages.
type answer struct {
	s   *session
	buf *[]byte
	ops []op
	// current is the index in ops of the operation whose answer comes next.
	current int
	// failed is set once the answer contains an error, after which no further messages are added.
	failed bool
	// refused is set if the request was refused because the server is stopping. The connection is closed
	// after the answer.
	refused bool
	// upstreamFatal is the error with which the upstream closed its connection. It is reported only if
	// the executor returns no error.
	upstreamFatal    *pgproto3.ErrorResponse
	deadline         time.Time
	hasWriteDeadline bool
}

func newAnswer(s *session, ops []op) *answer {
	return &answer{s: s, ops: ops, buf: writeBuffers.Get().(*[]byte)}
}

func (a *answer) put(msg pgproto3.BackendMessage) {
	buf, err := msg.Encode(*a.buf)
	if err != nil {
		a.s.broken = err
		return
	}
	*a.buf = buf
}

// Send implements core.ResponseWriter. It drops messages that callers must not see, and everything after
// an error.
func (a *answer) Send(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.ParameterStatus:
		if strings.HasPrefix(m.Name, stmt.Prefix) {
			return nil
		}
	case *pgproto3.NoticeResponse, *pgproto3.NotificationResponse:
	case *pgproto3.ReadyForQuery:
		return nil
	case *pgproto3.ErrorResponse:
		if a.failed {
			return nil
		}
		if m.Severity == "FATAL" || m.Severity == "PANIC" {
			c := *m
			c.Severity, c.SeverityUnlocalized = "ERROR", "ERROR"
			a.upstreamFatal = &c
			return nil
		}
		a.emitLocals()
		a.failed = true
		a.put(a.withCallerPosition(m))
		return nil
	default:
		if a.failed {
			return nil
		}
		a.emitLocals()
		a.put(msg)
		a.advance(msg)
		return a.flushIfLong()
	}
	a.put(msg)
	return a.flushIfLong()
}

// withCallerPosition returns the error with its position converted from the upstream's text of the
// statement to the caller's.
func (a *answer) withCallerPosition(m *pgproto3.ErrorResponse) *pgproto3.ErrorResponse {
	if m.Position <= 0 || a.current >= len(a.ops) || a.ops[a.current].st == nil || a.ops[a.current].st.positionOffset == 0 {
		return m
	}
	c := *m
	c.Position += a.ops[a.current].st.positionOffset
	return &c
}

// advance moves to the next operation if the message ends the answer to the current one.
func (a *answer) advance(msg pgproto3.BackendMessage) {
	if a.current >= len(a.ops) {
		return
	}
	switch msg.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete,
		*pgproto3.RowDescription, *pgproto3.NoData, *pgproto3.CommandComplete,
		*pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		a.ops[a.current].updateStatements(a.s)
		a.current++
	}
}

// emitLocals answers the local operations before the next one for the upstream.
func (a *answer) emitLocals() {
	for a.current < len(a.ops) && a.ops[a.current].local {
		o := &a.ops[a.current]
		a.current++
		if !a.emit(o) {
			return
		}
		o.updateStatements(a.s)
	}
}

// finish ends an answer whose request ran.
func (a *answer) finish() {
	if a.upstreamFatal != nil && !a.failed {
		a.emitLocals()
		a.put(a.upstreamFatal)
		a.failed = true
	}
	if !a.failed {
		a.emitLocals()
	}
}

// fail adds an error of the listener, unless the answer contains an error already.
func (a *answer) fail(err error) {
	if a.failed {
		return
	}
	ce := asCallerError(err)
	a.s.srv.metrics.countError(ce.State)
	a.put(ce.response())
	a.failed = true
}

// fatal adds an error after which the connection is closed.
func (a *answer) fatal(err *callerError) {
	resp := err.response()
	resp.Severity, resp.SeverityUnlocalized = "FATAL", "FATAL"
	a.s.srv.metrics.countError(err.State)
	a.put(resp)
	a.failed = true
}

// endBlock answers COMMIT or ROLLBACK when no upstream holds a transaction.
func (a *answer) endBlock(info stmt.Info) {
	tag := "ROLLBACK"
	switch {
	case a.s.failed:
		a.s.failed = false
	default:
		a.put(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING",
			Code: stateNoActiveTx, Message: "there is no transaction in progress"})
		if info.Commits {
			tag = "COMMIT"
		}
	}
	a.put(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

func (a *answer) flushIfLong() error {
	if len(*a.buf) < flushSize {
		return a.s.broken
	}
	a.limitWrites()
	return a.write()
}

// limitWrites sets the deadline by which the caller must have read the answer.
func (a *answer) limitWrites() {
	if a.deadline.IsZero() || a.hasWriteDeadline {
		return
	}
	a.hasWriteDeadline = true
	if err := a.s.conn.SetWriteDeadline(a.deadline.Add(stallTimeout)); err != nil {
		a.s.broken = err
	}
}

// write sends the buffer. After an error, the session can't be used.
func (a *answer) write() error {
	if a.s.broken != nil || len(*a.buf) == 0 {
		return a.s.broken
	}
	if _, err := a.s.conn.Write(*a.buf); err != nil {
		a.s.broken = core.ErrCaller.Wrap(err)
		return a.s.broken
	}
	*a.buf = (*a.buf)[:0]
	return nil
}

// flush sends the rest and returns the buffer to the pool. The answer must not be used afterwards.
func (a *answer) flush() error {
	if a.s.tx != nil {
		a.limitWrites()
	}
	err := a.write()
	if a.hasWriteDeadline && err == nil {
		err = a.s.conn.SetWriteDeadline(time.Time{})
	}
	a.discard()
	return err
}

// discard returns the buffer to the pool without sending it.
func (a *answer) discard() {
	if cap(*a.buf) <= maxPooledBufferSize {
		*a.buf = (*a.buf)[:0]
		writeBuffers.Put(a.buf)
	}
	a.buf = nil
}
