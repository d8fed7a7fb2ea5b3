package front

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
	"snipewall/core/budget"
)

// States of a session that Drain distinguishes.
const (
	stateBusy int32 = iota
	// stateIdle means that the session waits for the first byte of a request outside of a transaction.
	stateIdle
	// stateClosing means that Drain has asked the session to end.
	stateClosing
)

// lingerTimeout is how long a closing connection still reads what the caller has sent. Closing a TCP
// connection with unread bytes resets it, so that the caller may not receive the last message.
const lingerTimeout = 200 * time.Millisecond

// session is one caller's connection. Only its own goroutine uses it, except for the fields that
// say otherwise. It holds no buffers, since an entry VM has thousands of idle sessions.
type session struct {
	srv *Server
	// conn is the connection to read and write; TLS replaces it. raw is the connection that was accepted.
	// Other goroutines may use raw.
	conn net.Conn
	raw  net.Conn
	// sys gives access to the file descriptor of raw; nil if raw has none.
	sys syscall.RawConn
	rd  reader

	key    uint32
	secret uint32
	// state is atomic.
	state atomic.Int32
	// running is the request in progress, for CancelRequest. It is atomic.
	running atomic.Pointer[running]

	group     core.GroupID
	kind      core.Kind
	name      core.SessionID
	requestID core.RequestID
	// startKind and startName are the values from the start-up message, which RESET restores.
	startKind core.Kind
	startName core.SessionID
	// pos is the highest of the positions that the caller has given and that its own writes have reached.
	pos core.Position
	// positionGiven is set if the caller has given a position for the current session name.
	positionGiven bool

	// unnamed is the unnamed prepared statement, or nil.
	unnamed *statement
	// stmts holds the prepared statements by the caller's name; nil if there are none.
	stmts map[string]*statement
	// batch collects the messages of the extended protocol up to Sync; nil if there are none.
	batch *batch
	// skipping is set if messages up to the next Sync are ignored because of an error.
	skipping bool

	tx       core.Tx
	txStatus core.TxStatus
	// failed is set if the transaction has ended with an error but the caller's transaction block is
	// still open. Everything is refused with 25P02 until the caller ends the block.
	failed bool
	// implicit is set if the listener opened tx for a batch with a Flush. Such a transaction ends at Sync.
	implicit bool
	// parked is set while the connection waits on a new goroutine with a small stack.
	parked bool
	// broken is the error that made the connection unusable, or nil.
	broken error
}

// running is a request in progress.
type running struct {
	cancel   context.CancelFunc
	canceled atomic.Bool
}

func newSession(srv *Server, conn net.Conn) *session {
	s := &session{srv: srv, conn: conn, raw: conn, txStatus: core.TxIdle}
	if c, ok := conn.(syscall.Conn); ok {
		if sys, err := c.SyscallConn(); err == nil {
			s.sys = sys
		}
	}
	s.rd = reader{conn: conn, raw: s.sys, memory: srv.cfg.Memory.Open(func() { _ = conn.Close() })}
	return s
}

// setConn replaces the connection by an encrypted one.
func (s *session) setConn(conn net.Conn) {
	s.conn = conn
	s.rd = reader{conn: conn, memory: s.rd.memory}
}

// close closes the connection and releases what the session holds. An open transaction is rolled back.
func (s *session) close() {
	s.endTx()
	for _, st := range s.stmts {
		s.srv.stmts.release(st)
	}
	s.stmts = nil
	s.rd.discard()
	s.rd.memory.Close()
	_ = s.conn.Close()
}

// endTx rolls the transaction back if one is open.
func (s *session) endTx() {
	if s.tx == nil {
		return
	}
	if err := s.tx.Close(); err != nil {
		level.Warn(s.srv.cfg.Log).Log("Msg", "closing a transaction failed", "Err", err)
	}
	s.tx = nil
	s.txStatus = core.TxIdle
	s.implicit = false
}

// cancelRunning cancels the request in progress. It may be called from any goroutine.
func (s *session) cancelRunning() {
	if r := s.running.Load(); r != nil {
		r.canceled.Store(true)
		r.cancel()
	}
}

// closeIfIdle ends the session if it waits for a request. It may be called from any goroutine.
func (s *session) closeIfIdle() {
	if s.state.CompareAndSwap(stateIdle, stateClosing) {
		_ = s.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// loop serves messages until the connection ends. It returns true if the connection is parked, and loop
// must then be called on a new goroutine.
func (s *session) loop() bool {
	s.rd.stall = s.srv.cfg.StallTimeout
	for s.broken == nil {
		if !s.await() {
			return s.parked
		}
		msg, n, err := s.rd.message(s.srv.cfg.MaxMessage)
		if err != nil {
			if !s.readFailed(err) {
				return false
			}
			continue
		}
		if !s.handle(msg, n) {
			return false
		}
		s.keepBatch()
	}
	return false
}

// keepBatch gives back the memory of messages, except for those of a batch that hasn't run yet.
func (s *session) keepBatch() {
	s.rd.kept = 0
	if s.batch != nil {
		s.rd.kept = s.batch.size
	}
	if !s.rd.memory.TryHold(int64(s.rd.kept)) {
		s.batch.fail(&callerError{State: core.StateOverload, Message: "the messages up to Sync were not run: " + budget.ErrSpent.Error(), Hint: "Repeat them later."})
		s.rd.kept = 0
		s.rd.memory.Close()
	}
}

// await waits for the first byte of a message. It returns false if the session ends.
func (s *session) await() bool {
	if s.rd.buffered() > 0 {
		return true
	}
	if s.tx != nil {
		return s.awaitInTx()
	}
	if s.batch != nil || s.skipping {
		var err error
		s.rd.memory.Await(func() { err = s.rd.fill() })
		return err == nil
	}
	return s.awaitIdle()
}

// awaitIdle waits for a request outside of a transaction. If none comes within ParkDelay, it sets parked
// and returns false.
func (s *session) awaitIdle() bool {
	park := time.Now().Add(s.srv.cfg.ParkDelay)
	if s.parked {
		park = time.Time{}
	}
	// This comes before the state becomes idle, since Drain then sets another deadline.
	if err := s.conn.SetReadDeadline(park); err != nil {
		return false
	}
	s.state.Store(stateIdle)
	// Drain may have visited this session before its state became idle.
	if s.srv.draining.Load() {
		s.state.CompareAndSwap(stateIdle, stateClosing)
	}
	var err error
	if s.state.Load() == stateIdle {
		err = s.rd.fill()
	}
	if !s.state.CompareAndSwap(stateIdle, stateBusy) {
		s.closeForDrain()
		return false
	}
	if !s.parked && errors.Is(err, os.ErrDeadlineExceeded) {
		s.parked = true
		return false
	}
	s.parked = false
	return err == nil && s.conn.SetReadDeadline(time.Time{}) == nil
}

// awaitInTx waits for the next message of a transaction for a limited time.
func (s *session) awaitInTx() bool {
	if err := s.conn.SetReadDeadline(time.Now().Add(s.srv.cfg.IdleInTxTimeout)); err != nil {
		return false
	}
	err := s.rd.fill()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.endTx()
		s.fatal(errIdleInTx)
		s.linger()
	}
	return err == nil && s.conn.SetReadDeadline(time.Time{}) == nil
}

// closeForDrain ends an idle connection because of Drain. Bytes that have arrived in the meantime are
// discarded, since the error says that they were not run.
func (s *session) closeForDrain() {
	s.rd.discard()
	s.fatal(errStopping)
	s.linger()
}

// linger closes the sending side and reads for lingerTimeout what the caller still sends.
func (s *session) linger() {
	if c, ok := s.conn.(interface{ CloseWrite() error }); ok {
		if err := c.CloseWrite(); err != nil {
			return
		}
		if err := s.conn.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, s.conn)
	}
}

// readFailed handles an error of reading a message. It returns true if the connection is still usable.
func (s *session) readFailed(err error) bool {
	var large *messageTooLargeError
	if errors.As(err, &large) {
		refusal := &callerError{State: stateLimitExceeded, Message: large.Error(),
			Hint: "Send less data in one message."}
		switch large.typ {
		case 'Q':
			s.answerError(refusal, true)
			return true
		case 'P', 'B', 'D', 'E', 'C':
			if !s.skipping {
				s.openBatch().fail(refusal)
			}
			return true
		case 'd', 'c', 'f':
			return true
		case 'F':
			s.answerError(refusal, true)
			return true
		}
		s.fatal(refusal)
		return false
	}
	if errors.Is(err, budget.ErrSpent) || errors.Is(err, os.ErrDeadlineExceeded) {
		s.fatal(&callerError{State: core.StateOverload, Message: "the message was not run: " + err.Error(), Hint: "Repeat it later."})
		s.rd.memory.Close()
		s.linger()
		return false
	}
	var proto *protocolError
	if errors.As(err, &proto) {
		s.fatal(&callerError{State: core.StateProtocolViolation, Message: proto.reason})
		s.linger()
	}
	return false
}

// handle serves one message. It returns false if the session ends.
func (s *session) handle(msg pgproto3.FrontendMessage, size int) bool {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return s.query(m)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		if !s.skipping {
			s.openBatch().add(msg, size)
		}
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Terminate:
		return false
	case *pgproto3.FunctionCall:
		s.answerError(&callerError{State: core.StateUnsupported,
			Message: "the function call protocol is not supported", Hint: "Use SELECT."}, true)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Ignores the rest of a COPY that failed, as PostgreSQL does.
	default:
		s.fatal(&callerError{State: core.StateProtocolViolation, Message: "unexpected message"})
		return false
	}
	return true
}

// failTransaction rolls an open transaction back after an error. The caller's transaction block, if
// there is one, is then in the failed state.
func (s *session) failTransaction() {
	if s.tx == nil {
		return
	}
	explicit := !s.implicit
	s.endTx()
	s.failed = explicit
}

// status returns the transaction status that the caller sees.
func (s *session) status() core.TxStatus {
	switch {
	case s.failed:
		return core.TxFailed
	case s.tx != nil:
		return s.txStatus
	}
	return core.TxIdle
}

// ready ends an answer with ReadyForQuery and sends it. It returns false if the session ends.
func (s *session) ready(a *answer) bool {
	if s.broken != nil {
		a.discard()
		return false
	}
	if a.refused {
		if a.flush() == nil {
			s.rd.discard()
			s.linger()
		}
		return false
	}
	a.put(&pgproto3.ReadyForQuery{TxStatus: byte(s.status())})
	return a.flush() == nil
}

// answerError answers with an error, followed by ReadyForQuery if ready is set. An open transaction
// fails. It returns false if the session ends.
func (s *session) answerError(err error, ready bool) bool {
	s.failTransaction()
	a := newAnswer(s, nil)
	a.fail(err)
	if ready {
		return s.ready(a)
	}
	return a.flush() == nil
}

// fatal sends the error that ends the connection.
func (s *session) fatal(err *callerError) {
	resp := err.response()
	resp.Severity, resp.SeverityUnlocalized = "FATAL", "FATAL"
	s.srv.metrics.countError(err.State)
	a := newAnswer(s, nil)
	a.put(resp)
	_ = a.flush()
}
