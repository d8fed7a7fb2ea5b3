package dbsim

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// commitParameter is the ParameterStatus that reports the position of a commit.
const commitParameter = "snipewall.commit_position"

// txState is the transaction state of a session.
type txState uint8

const (
	// txNone says that no transaction is open.
	txNone txState = iota
	// txImplicit is a transaction that ends with the query or at Sync.
	txImplicit
	// txExplicit is a transaction that BEGIN opened.
	txExplicit
	// txFailed is an explicit transaction after an error.
	txFailed
)

// session serves one connection.
type session struct {
	srv *Server
	l   *link
	ctx context.Context
	be  *pgproto3.Backend
	// control restricts the session to control functions.
	control bool
	stmts   map[string]*prepared
	portals map[string]*portal
	params  map[string]string
	tx      *Tx
	state   txState
	// skipping drops messages up to Sync after an error.
	skipping bool
	running  running
	// holding tells that the session occupies a slot, since the time held.
	holding bool
	held    time.Time
	// lost is set if the pending answer must not be sent.
	lost loss
	// afterFlush holds faults that start once the answer has left.
	afterFlush []func()
	buf        []byte
	// unsent counts the bytes of rows since the last flush.
	unsent int
	row    pgproto3.DataRow
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

// close rolls the open transaction back.
func (ss *session) close() {
	if ss.tx != nil {
		ss.tx.Rollback()
	}
}

// errLost ends a session whose answer is to be lost.
var errLost = errors.New("answer lost by a fault")

// run serves messages until the connection ends.
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
		return ss.ready()
	case *pgproto3.Sync:
		ss.skipping = false
		ss.endImplicit()
		return ss.ready()
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

// ready ends the answer.
func (ss *session) ready() error {
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
		if err := sleep(ss.ctx, ss.srv.faults.lateness()); err != nil {
			return err
		}
	}
	switch ss.lost {
	case lossClose:
		return errLost
	case lossSilent:
		ss.l.mute.Store(true)
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

// fail reports an error and ends or fails the transaction.
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

// endTx rolls the transaction back if it still has changes or locks.
func (ss *session) endTx(next txState) {
	if ss.tx != nil {
		ss.tx.Rollback()
	}
	ss.tx = nil
	ss.state = next
	clear(ss.portals)
}

// open makes sure that a transaction is open.
func (ss *session) open() {
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
		ss.lost = l
	}
}

// endImplicit commits the implicit transaction at its end.
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
	if ss.unsent += len(ss.buf); ss.unsent > sendBuffer {
		ss.unsent = 0
		// An error shows up again when the answer ends.
		_ = ss.be.Flush()
	}
}

// sendBuffer is the size of the buffer that PostgreSQL fills before it sends part of an answer.
const sendBuffer = 8 << 10

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
