package dbsim

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement. stmt is nil if the SQL text is empty.
type prepared struct {
	stmt     Statement
	declared []uint32
	types    []Type
	fields   []Field
}

// portal is a prepared statement with its parameter values bound.
type portal struct {
	prep    *prepared
	values  []Value
	formats []int16
	// res is the result after the statement has run. sent is the number of its rows sent so far.
	res  *Rows
	sent int
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

// infer sets the types of the parameters and the output columns of p.
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
