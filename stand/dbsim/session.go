package dbsim

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// commitParameter is the name of the ParameterStatus that reports the position of a commit.
const commitParameter = "snipewall.commit_position"

// txState is the transaction state of a session.
type txState uint8

const (
	// txNone is the state without a transaction.
	txNone txState = iota
	// txImplicit is a transaction that ends with the simple query or at Sync.
	txImplicit
	// txExplicit is a transaction that BEGIN opened.
	txExplicit
	// txFailed is an explicit transaction after an error. Only its end is accepted.
	txFailed
)

// session is the state of one connection after its start-up.
type session struct {
	srv *Server
	l   *link
	ctx context.Context
	be  *pgproto3.Backend
	// control restricts the session to control functions and settings.
	control bool
	stmts   map[string]*prepared
	portals map[string]*portal
	params  map[string]string
	tx      *Tx
	state   txState
	// skipping is set after an error in the extended protocol. Messages are skipped until Sync.
	skipping bool
	running  runningStatement
	// holdsSlot is whether the session occupies a slot. slotSince is when it took the slot.
	holdsSlot bool
	slotSince time.Time
	// pendingLoss is set if a fault drops the response that is being built.
	pendingLoss loss
	// afterFlush holds functions that set faults once the response has been sent.
	afterFlush []func()
	// buf is reused for the values of each row.
	buf []byte
	// unflushedBytes counts the bytes of row values since the last flush.
	unflushedBytes int
	row            pgproto3.DataRow
}

func newSession(s *Server, l *link, be *pgproto3.Backend, control bool) *session {
	return &session{
		srv:     s,
		l:       l,
		ctx:     l.ctx,
		be:      be,
		control: control,
		stmts:   make(map[string]*prepared),
		portals: make(map[string]*portal),
		params:  make(map[string]string),
	}
}

// close rolls back the open transaction.
func (ss *session) close() {
	if ss.tx != nil {
		ss.tx.Rollback()
	}
}

// errAnswerLost ends a session instead of sending a response that FaultLoseAnswer drops.
var errAnswerLost = errors.New("connection closed without a response because of a fault")

// run handles messages until the connection ends.
func (ss *session) run() error {
	for {
		msg, err := ss.be.Receive()
		if err != nil {
			return err
		}
		if err := ss.handle(msg); err != nil {
			return err
		}
	}
}

func (ss *session) handle(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Query:
		if ss.skipping {
			return nil
		}
		ss.query(msg.String)
		return ss.sendReady()
	case *pgproto3.Sync:
		ss.skipping = false
		ss.endImplicit()
		return ss.sendReady()
	case *pgproto3.Flush:
		return ss.flush()
	case *pgproto3.Terminate:
		return errors.New("terminated by the client")
	}
	if ss.skipping {
		return nil
	}
	if err := ss.extended(msg); err != nil {
		ss.fail(err)
		ss.skipping = true
	}
	return nil
}

// sendReady sends ReadyForQuery and flushes the response.
func (ss *session) sendReady() error {
	status := byte('I')
	switch ss.state {
	case txExplicit, txImplicit:
		status = 'T'
	case txFailed:
		status = 'E'
	}
	ss.be.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return ss.flush()
}

func (ss *session) flush() error {
	if !ss.control {
		if err := sleep(ss.ctx, ss.srv.faults.answerDelay()); err != nil {
			return err
		}
	}
	switch ss.pendingLoss {
	case lossClose:
		return errAnswerLost
	case lossSilent:
		ss.l.muted.Store(true)
	}
	if err := ss.be.Flush(); err != nil {
		return err
	}
	for _, f := range ss.afterFlush {
		f()
	}
	ss.afterFlush = nil
	return nil
}

// fail sends an error and rolls back the transaction. An explicit one stays open as failed.
func (ss *session) fail(err error) {
	var sqlErr *SQLError
	if !errors.As(err, &sqlErr) {
		sqlErr = sqlErrorf(stateShutdown, "%v", err)
	}
	ss.be.Send(errorResponse("ERROR", sqlErr))
	switch ss.state {
	case txImplicit:
		ss.endTx(txNone)
	case txExplicit:
		ss.endTx(txFailed)
	}
}

// endTx rolls back the transaction, if there is one, and sets the state.
func (ss *session) endTx(next txState) {
	if ss.tx != nil {
		ss.tx.Rollback()
	}
	ss.tx = nil
	ss.state = next
	clear(ss.portals)
}

// ensureTx begins an implicit transaction if none is open.
func (ss *session) ensureTx() {
	if ss.state == txNone {
		ss.tx = ss.srv.db.Begin(false)
		ss.state = txImplicit
	}
}

// commit commits the open transaction and reports its position.
func (ss *session) commit() error {
	tx := ss.tx
	ss.tx = nil
	ss.state = txNone
	clear(ss.portals)
	pos, err := tx.Commit()
	if err != nil {
		return err
	}
	if pos.IsZero() {
		return nil
	}
	ss.reportCommit(pos)
	return nil
}

func (ss *session) reportCommit(pos core.Position) {
	ss.be.Send(&pgproto3.ParameterStatus{Name: commitParameter, Value: pos.String()})
	if l := ss.srv.faults.takeLoss("commit"); l != lossNone {
		ss.pendingLoss = l
	}
}

// endImplicit commits the implicit transaction, if there is one.
func (ss *session) endImplicit() {
	if ss.state != txImplicit {
		return
	}
	if err := ss.commit(); err != nil {
		ss.fail(err)
	}
}

// query runs a simple query.
func (ss *session) query(sql string) {
	list, err := Parse(sql)
	if err != nil {
		ss.fail(err)
		return
	}
	if len(list) == 0 {
		ss.be.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, stmt := range list {
		res, err := ss.runStatement(stmt, nil)
		if err != nil {
			ss.fail(err)
			return
		}
		ss.sendRows(res)
		if i == len(list)-1 {
			// The implicit transaction commits before the last CommandComplete.
			if ss.state == txImplicit {
				if err := ss.commit(); err != nil {
					ss.fail(err)
					return
				}
			}
		}
		ss.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.Tag)})
	}
}

// sendRows sends all rows in text format, with their description.
func (ss *session) sendRows(res *Rows) {
	if res.Fields == nil {
		return
	}
	ss.be.Send(rowDescription(res.Fields, nil))
	for _, r := range res.Rows {
		ss.sendRow(r, nil)
	}
}

func (ss *session) sendRow(values []Value, formats []int16) {
	ss.row.Values = ss.row.Values[:0]
	ss.buf = ss.buf[:0]
	for i, v := range values {
		var b []byte
		ss.buf, b = v.encode(ss.buf, formatOf(formats, i) == pgproto3.BinaryFormat)
		ss.row.Values = append(ss.row.Values, b)
	}
	ss.be.Send(&ss.row)
	if ss.unflushedBytes += len(ss.buf); ss.unflushedBytes > sendBufferBytes {
		ss.unflushedBytes = 0
		// The flush at the end of the response returns the error again.
		_ = ss.be.Flush()
	}
}

// sendBufferBytes is the amount of row data after which part of a response is sent, as PostgreSQL does when
// its send buffer is full.
const sendBufferBytes = 8 << 10

// formatOf returns the format code of column or parameter i as the protocol defines it: none means
// text, one applies to all.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgproto3.TextFormat
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return pgproto3.TextFormat
	}
}

func rowDescription(fields []Field, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(fields))}
	for i, f := range fields {
		d.Fields[i] = pgproto3.FieldDescription{
			Name:         []byte(f.Name),
			DataTypeOID:  f.Type.oid(),
			DataTypeSize: f.Type.size(),
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		}
	}
	return d
}

var errFailedTx = sqlErrorf(stateFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
