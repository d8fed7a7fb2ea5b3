package dbsim

import (
	"context"
	"errors"
	"strings"
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

// prepared is a prepared statement. stmt is nil for an empty text.
type prepared struct {
	stmt     Statement
	declared []uint32
	types    []Type
	fields   []Field
}

// portal is a bound statement.
type portal struct {
	prep    *prepared
	values  []Value
	formats []int16
	// res is the answer once the statement has run, sent the number of rows passed on.
	res  *Rows
	sent int
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

func (ss *session) extended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return ss.parse(msg)
	case *pgproto3.Bind:
		return ss.bind(msg)
	case *pgproto3.Describe:
		return ss.describe(msg)
	case *pgproto3.Execute:
		return ss.execute(msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(ss.stmts, msg.Name)
		} else {
			delete(ss.portals, msg.Name)
		}
		ss.be.Send(&pgproto3.CloseComplete{})
		return nil
	default:
		return sqlErrorf(stateProtocol, "message %T is not supported", msg)
	}
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

func (ss *session) parse(msg *pgproto3.Parse) error {
	if _, ok := ss.stmts[msg.Name]; ok && msg.Name != "" {
		return sqlErrorf(stateStatementExists, "prepared statement %q already exists", msg.Name)
	}
	list, err := Parse(msg.Query)
	if err != nil {
		return err
	}
	if len(list) > 1 {
		return sqlErrorf(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	p := &prepared{declared: append([]uint32(nil), msg.ParameterOIDs...)}
	if len(list) == 1 {
		p.stmt = list[0]
		if ss.state == txFailed && !endsTx(p.stmt) {
			return errFailedTx
		}
	}
	if err := ss.infer(p); err != nil {
		return err
	}
	ss.stmts[msg.Name] = p
	ss.be.Send(&pgproto3.ParseComplete{})
	return nil
}

// infer determines the types of a statement.
func (ss *session) infer(p *prepared) error {
	if p.stmt == nil {
		return nil
	}
	tx := ss.tx
	if tx == nil {
		tx = ss.srv.db.Begin(true)
	}
	types, fields, err := tx.describe(p.stmt, p.declared)
	if err != nil {
		return err
	}
	p.types = types
	p.fields = fields
	return nil
}

func (ss *session) bind(msg *pgproto3.Bind) error {
	p, ok := ss.stmts[msg.PreparedStatement]
	if !ok {
		return sqlErrorf(stateNoStatement, "prepared statement %q does not exist", msg.PreparedStatement)
	}
	if ss.state == txFailed && !endsTx(p.stmt) {
		return errFailedTx
	}
	if len(msg.Parameters) != len(p.types) {
		return sqlErrorf(stateProtocol, "bind message supplies %d parameters, but the statement requires %d", len(msg.Parameters), len(p.types))
	}
	values := make([]Value, len(p.types))
	for i, src := range msg.Parameters {
		v, err := decodeValue(src, p.types[i], formatOf(msg.ParameterFormatCodes, i) == pgproto3.BinaryFormat)
		if err != nil {
			return err
		}
		values[i] = v
	}
	ss.portals[msg.DestinationPortal] = &portal{prep: p, values: values, formats: msg.ResultFormatCodes}
	ss.be.Send(&pgproto3.BindComplete{})
	return nil
}

func (ss *session) describe(msg *pgproto3.Describe) error {
	if msg.ObjectType == 'P' {
		po, ok := ss.portals[msg.Name]
		if !ok {
			return sqlErrorf(stateNoPortal, "portal %q does not exist", msg.Name)
		}
		ss.sendDescription(po.prep.fields, po.formats)
		return nil
	}
	p, ok := ss.stmts[msg.Name]
	if !ok {
		return sqlErrorf(stateNoStatement, "prepared statement %q does not exist", msg.Name)
	}
	d := &pgproto3.ParameterDescription{}
	for _, t := range p.types {
		d.ParameterOIDs = append(d.ParameterOIDs, t.oid())
	}
	ss.be.Send(d)
	ss.sendDescription(p.fields, nil)
	return nil
}

func (ss *session) sendDescription(fields []Field, formats []int16) {
	if fields == nil {
		ss.be.Send(&pgproto3.NoData{})
		return
	}
	ss.be.Send(rowDescription(fields, formats))
}

func (ss *session) execute(msg *pgproto3.Execute) error {
	po, ok := ss.portals[msg.Portal]
	if !ok {
		return sqlErrorf(stateNoPortal, "portal %q does not exist", msg.Portal)
	}
	if po.prep.stmt == nil {
		ss.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if po.res == nil {
		res, err := ss.runStatement(po.prep.stmt, po.values)
		if err != nil {
			return err
		}
		po.res = res
	}
	for po.sent < len(po.res.Rows) {
		if msg.MaxRows > 0 && uint32(po.sent) >= msg.MaxRows {
			ss.be.Send(&pgproto3.PortalSuspended{})
			po.res.Rows = po.res.Rows[po.sent:]
			po.sent = 0
			return nil
		}
		ss.sendRow(po.res.Rows[po.sent], po.formats)
		po.sent++
	}
	ss.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(po.res.Tag)})
	return nil
}

var errFailedTx = sqlErrorf(stateFailedTx, "current transaction is aborted, commands ignored until end of transaction block")

// endsTx reports whether the statement ends a transaction.
func endsTx(s Statement) bool {
	switch s.(type) {
	case *Commit, *Rollback:
		return true
	}
	return false
}

// runStatement runs a statement in the session's transaction, which it opens or ends as needed.
func (ss *session) runStatement(s Statement, params []Value) (*Rows, error) {
	if ss.state == txFailed && !endsTx(s) {
		return nil, errFailedTx
	}
	switch s := s.(type) {
	case *Call:
		return ss.call(s, params)
	case *Show:
		return ss.show(s), nil
	case *Set:
		ss.params[strings.ToLower(s.Name)] = s.Value
		return &Rows{Tag: s.Tag()}, nil
	case *Reset:
		return ss.reset(s), nil
	}
	if ss.control {
		return nil, sqlErrorf(stateForbidden, "this connection serves control functions only")
	}
	switch s := s.(type) {
	case *Begin:
		return ss.begin(s), nil
	case *Commit:
		return ss.commitStatement(s)
	case *Rollback:
		ss.endTx(txNone)
		return &Rows{Tag: s.Tag()}, nil
	}
	ss.open()
	return ss.work(s, params)
}

func (ss *session) begin(s *Begin) *Rows {
	switch ss.state {
	case txNone:
		ss.tx = ss.srv.db.Begin(s.ReadOnly)
	case txExplicit:
		ss.be.Send(&pgproto3.NoticeResponse{
			Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: "25001",
			Message: "there is already a transaction in progress",
		})
	}
	ss.state = txExplicit
	return &Rows{Tag: s.Tag()}
}

func (ss *session) commitStatement(s *Commit) (*Rows, error) {
	switch ss.state {
	case txNone:
		return &Rows{Tag: s.Tag()}, nil
	case txFailed:
		ss.endTx(txNone)
		return &Rows{Tag: "ROLLBACK"}, nil
	}
	if err := ss.commit(); err != nil {
		return nil, err
	}
	return &Rows{Tag: s.Tag()}, nil
}

// work runs a statement of the SQL engine in a slot for its service time.
func (ss *session) work(s Statement, params []Value) (*Rows, error) {
	asked, err := sleepTime(s, params)
	if err != nil {
		return nil, err
	}
	ctx := ss.running.start(ss.ctx)
	defer ss.running.end()
	res, err := ss.workInSlot(ctx, s, params, asked)
	if err != nil && ctx.Err() != nil && ss.ctx.Err() == nil {
		return nil, sqlErrorf(stateCanceled, "canceling statement due to user request")
	}
	return res, err
}

func (ss *session) workInSlot(ctx context.Context, s Statement, params []Value, asked time.Duration) (*Rows, error) {
	if err := ss.srv.takeSlot(ctx); err != nil {
		return nil, err
	}
	ss.holding = true
	ss.held = time.Now()
	defer ss.leaveSlot()
	ss.srv.executed.Add(1)
	if d := asked + ss.srv.faults.scale(ss.srv.cfg.ServiceTime); d > 0 {
		if err := sleep(ctx, d); err != nil {
			return nil, err
		}
	}
	if err := ss.srv.faults.awaitThaw(ctx); err != nil {
		return nil, err
	}
	// A statement that waits for a lock doesn't need its slot: the holder of the lock may need one.
	return ss.tx.Exec(ctx, s, params, ss.leaveSlot)
}

func (ss *session) leaveSlot() {
	if ss.holding {
		ss.holding = false
		ss.srv.busy.Add(int64(time.Since(ss.held)))
		ss.srv.releaseSlot()
	}
}

func (ss *session) show(s *Show) *Rows {
	value, ok := ss.params[strings.ToLower(s.Name)]
	if !ok {
		value = "on"
		for _, p := range startParameters {
			if strings.EqualFold(p[0], s.Name) {
				value = p[1]
			}
		}
	}
	return &Rows{Fields: []Field{{s.Name, TypeText}}, Rows: [][]Value{{Text(value)}}, Tag: s.Tag()}
}

func (ss *session) reset(s *Reset) *Rows {
	tag := s.Command
	if tag != "RESET" {
		clear(ss.stmts)
		tag += " ALL"
	}
	clear(ss.params)
	return &Rows{Tag: tag}
}
