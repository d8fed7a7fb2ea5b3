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
)

// States of a session, as Drain sees them.
const (
	stateBusy int32 = iota
	// stateIdle: waiting for the first byte of a request, outside of a transaction.
	stateIdle
	// stateClosing: Drain has asked the session to end.
	stateClosing
)

// lingerTime is how long a closing connection reads what the caller sent before. Closing a TCP
// connection with unread bytes resets it, which can destroy the last message on its way.
const lingerTime = 200 * time.Millisecond

// session is one caller's connection. Only its own goroutine uses it, except for the fields that
// say otherwise. There are thousands of idle ones, so it holds no buffers.
type session struct {
	srv *Server
	// conn is replaced when the caller starts TLS. raw is the connection that was accepted; other
	// goroutines use it.
	conn net.Conn
	raw  net.Conn
	// sys gives access to the descriptor of the accepted connection, or is nil.
	sys syscall.RawConn
	rd  reader

	key    uint32
	secret uint32
	// state is atomic.
	state atomic.Int32
	// running is the request in flight, for CancelRequest. It is atomic.
	running atomic.Pointer[running]

	group     core.GroupID
	kind      core.Kind
	name      core.SessionID
	requestID core.RequestID
	// startKind and startName are the values of the start-up message, to which RESET goes back.
	startKind core.Kind
	startName core.SessionID
	// pos covers what the caller brought and what its own writes reached.
	pos core.Position
	// brought tells that the caller supplied a position for the session name.
	brought bool

	// unnamed is the unnamed prepared statement, or nil.
	unnamed *statement
	// stmts holds the prepared statements by the caller's name; nil if there are none.
	stmts map[string]*statement
	// batch collects the messages of the extended protocol up to Sync; nil if there are none.
	batch *batch
	// skipping tells that messages up to the next Sync are ignored after an error.
	skipping bool

	tx       core.Tx
	txStatus core.TxStatus
	// failed tells that a transaction ended by an error while the caller's transaction block is
	// still open: everything is refused with 25P02 until the caller ends the block.
	failed bool
	// implicit tells that tx was opened for a batch that is cut by Flush, and ends at Sync.
	implicit bool
	// parked tells that the connection waits on a fresh goroutine.
	parked bool
	// broken is the error that made the connection unusable.
	broken error
}

// running is a request in flight.
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
	s.rd = reader{conn: conn, raw: s.sys}
	return s
}

// setConn continues on an encrypted connection.
func (s *session) setConn(conn net.Conn) {
	s.conn = conn
	s.rd = reader{conn: conn}
}

// close releases everything. An open transaction is rolled back.
func (s *session) close() {
	s.endTx()
	for _, st := range s.stmts {
		s.srv.stmts.release(st)
	}
	s.stmts = nil
	s.rd.drop()
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

// cancelRunning cancels the request in flight. It may be called from any goroutine.
func (s *session) cancelRunning() {
	if r := s.running.Load(); r != nil {
		r.canceled.Store(true)
		r.cancel()
	}
}

// wakeIfIdle ends the session if it waits for a request. It may be called from any goroutine.
func (s *session) wakeIfIdle() {
	if s.state.CompareAndSwap(stateIdle, stateClosing) {
		_ = s.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// loop serves messages until the connection ends. It returns true if the connection has become idle
// and should be parked.
func (s *session) loop() bool {
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
	}
	return false
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
		return s.rd.fill() == nil
	}
	return s.awaitIdle()
}

// awaitIdle waits for a request outside of a transaction. It sets parked if none comes for a while.
func (s *session) awaitIdle() bool {
	park := time.Now().Add(s.srv.cfg.ParkDelay)
	if s.parked {
		park = time.Time{}
	}
	// Drain sets a deadline of its own once the state is idle.
	if err := s.conn.SetReadDeadline(park); err != nil {
		return false
	}
	s.state.Store(stateIdle)
	// Drain may have walked over the sessions before this one became idle.
	if s.srv.draining.Load() {
		s.state.CompareAndSwap(stateIdle, stateClosing)
	}
	var err error
	if s.state.Load() == stateIdle {
		err = s.rd.fill()
	}
	if !s.state.CompareAndSwap(stateIdle, stateBusy) {
		s.goodbye()
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
	if err := s.conn.SetReadDeadline(time.Now().Add(s.srv.cfg.IdleInTx)); err != nil {
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

// goodbye ends an idle connection because of Drain. Bytes that arrived meanwhile are discarded, so
// that the message is true for them too.
func (s *session) goodbye() {
	s.rd.drop()
	s.fatal(errStopping)
	s.linger()
}

// linger closes the sending side and reads what is left for a short time.
func (s *session) linger() {
	if c, ok := s.conn.(interface{ CloseWrite() error }); ok {
		if err := c.CloseWrite(); err != nil {
			return
		}
		if err := s.conn.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, s.conn)
	}
}

// readFailed handles an error of reading a message. It returns true if the connection goes on.
func (s *session) readFailed(err error) bool {
	var large *errTooLarge
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
	var proto *errProtocol
	if errors.As(err, &proto) {
		s.fatal(&callerError{State: core.StateProtocolViolation, Message: proto.reason})
		s.linger()
	}
	return false
}

// handle serves one message. It returns false at the end of the session.
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
		// As PostgreSQL does, ignore what is left of a COPY that failed.
	default:
		s.fatal(&callerError{State: core.StateProtocolViolation, Message: "unexpected message"})
		return false
	}
	return true
}

// failBlock puts the caller's transaction block, if it has one, into the failed state, as any error
// inside a transaction does.
func (s *session) failBlock() {
	if s.tx == nil {
		return
	}
	explicit := !s.implicit
	s.endTx()
	s.failed = explicit
}

// status is the transaction status of the caller's connection.
func (s *session) status() core.TxStatus {
	switch {
	case s.failed:
		return core.TxFailed
	case s.tx != nil:
		return s.txStatus
	}
	return core.TxIdle
}

// ready ends an answer with ReadyForQuery. It returns false if the session ends.
func (s *session) ready(a *answer) bool {
	if s.broken != nil {
		a.discard()
		return false
	}
	if a.refused {
		if a.flush() == nil {
			s.rd.drop()
			s.linger()
		}
		return false
	}
	a.put(&pgproto3.ReadyForQuery{TxStatus: byte(s.status())})
	return a.flush() == nil
}

// answerError answers with an error, and with ReadyForQuery if asked. An open transaction fails. It
// returns false if the session ends.
func (s *session) answerError(err error, ready bool) bool {
	s.failBlock()
	a := newAnswer(s, nil)
	a.fail(err)
	if ready {
		return s.ready(a)
	}
	return a.flush() == nil
}

// fatal tells the caller why its connection ends.
func (s *session) fatal(err *callerError) {
	resp := err.response()
	resp.Severity, resp.SeverityUnlocalized = "FATAL", "FATAL"
	s.srv.metrics.failed(err.State)
	a := newAnswer(s, nil)
	a.put(resp)
	_ = a.flush()
}
