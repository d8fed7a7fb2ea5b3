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
	// flushSize is the amount of data after which a long answer is written while it runs.
	flushSize = 32 << 10
	// maxPooledWrite is the largest write buffer that goes back to the pool.
	maxPooledWrite = 128 << 10
	// stallTime is the extra time after a request's deadline in which a caller must accept a part
	// of its answer. The request holds an upstream connection meanwhile.
	stallTime = time.Second
)

var writeBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, writeBufferSize)
	return &b
}}

// answer collects the messages to the caller and implements core.ResponseWriter. Messages of local
// operations are put between those of the upstream, in the order of the caller's messages.
type answer struct {
	s   *session
	buf *[]byte
	ops []op
	// at is the operation whose answer is awaited.
	at int
	// failed tells that the answer contains an error. Nothing follows it then.
	failed bool
	// refused tells that the server is stopping and the connection ends.
	refused bool
	// upstreamFatal is an error by which the upstream ended its connection. It is reported only if
	// the executor reports no error of its own.
	upstreamFatal *pgproto3.ErrorResponse
	deadline      time.Time
	timed         bool
}

func newAnswer(s *session, ops []op) *answer {
	return &answer{s: s, ops: ops, buf: writeBuffers.Get().(*[]byte)}
}

// put appends a message.
func (a *answer) put(msg pgproto3.BackendMessage) {
	buf, err := msg.Encode(*a.buf)
	if err != nil {
		a.s.broken = err
		return
	}
	*a.buf = buf
}

// Send takes a message of the upstream's answer.
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
		a.put(a.shifted(m))
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

// shifted returns the error with its position in the caller's text.
func (a *answer) shifted(m *pgproto3.ErrorResponse) *pgproto3.ErrorResponse {
	if m.Position <= 0 || a.at >= len(a.ops) || a.ops[a.at].st == nil || a.ops[a.at].st.shift == 0 {
		return m
	}
	c := *m
	c.Position += a.ops[a.at].st.shift
	return &c
}

// advance moves to the next operation if the message ends the answer to the current one.
func (a *answer) advance(msg pgproto3.BackendMessage) {
	if a.at >= len(a.ops) {
		return
	}
	switch msg.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete,
		*pgproto3.RowDescription, *pgproto3.NoData, *pgproto3.CommandComplete,
		*pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		a.ops[a.at].done(a.s)
		a.at++
	}
}

// emitLocals answers the local operations that stand before the next remote one.
func (a *answer) emitLocals() {
	for a.at < len(a.ops) && a.ops[a.at].local {
		o := &a.ops[a.at]
		a.at++
		if !a.emit(o) {
			return
		}
		o.done(a.s)
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

// fail puts an error of the listener, unless the answer contains an error already.
func (a *answer) fail(err error) {
	if a.failed {
		return
	}
	ce := asCallerError(err)
	a.s.srv.metrics.failed(ce.State)
	a.put(ce.response())
	a.failed = true
}

// fatal puts an error after which the connection ends.
func (a *answer) fatal(err *callerError) {
	resp := err.response()
	resp.Severity, resp.SeverityUnlocalized = "FATAL", "FATAL"
	a.s.srv.metrics.failed(err.State)
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

// limitWrites bounds the time that the caller may take to accept the answer.
func (a *answer) limitWrites() {
	if a.deadline.IsZero() || a.timed {
		return
	}
	a.timed = true
	if err := a.s.conn.SetWriteDeadline(a.deadline.Add(stallTime)); err != nil {
		a.s.broken = err
	}
}

// write sends the buffer. Any error breaks the session.
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

// flush sends the rest and gives the buffer back. The answer must not be used afterwards.
func (a *answer) flush() error {
	if a.s.tx != nil {
		a.limitWrites()
	}
	err := a.write()
	if a.timed && err == nil {
		err = a.s.conn.SetWriteDeadline(time.Time{})
	}
	a.discard()
	return err
}

// discard gives the buffer back without sending it.
func (a *answer) discard() {
	if cap(*a.buf) <= maxPooledWrite {
		*a.buf = (*a.buf)[:0]
		writeBuffers.Put(a.buf)
	}
	a.buf = nil
}
