package front

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core/stmt"
)

// emit answers a local operation. It returns false after an error.
func (a *answer) emit(o *op) bool {
	switch o.typ {
	case 'P':
		a.put(&pgproto3.ParseComplete{})
	case 'B':
		a.put(&pgproto3.BindComplete{})
	case 'C', 'c':
		a.put(&pgproto3.CloseComplete{})
	case 'D':
		a.put(&pgproto3.ParameterDescription{})
		a.describe(o)
	case 'd':
		a.describe(o)
	case 'E':
		switch {
		case o.st.info.Statements == 0:
			a.put(&pgproto3.EmptyQueryResponse{})
		case len(o.st.info.Locals) == 0:
			a.endBlock(o.st.info)
		}
		for i := range o.st.info.Locals {
			a.result(&o.st.info.Locals[i])
		}
	}
	return true
}

// describe adds the row description of a local statement.
func (a *answer) describe(o *op) {
	for i := range o.st.info.Locals {
		if l := &o.st.info.Locals[i]; l.Action == stmt.ActionShow {
			a.put(a.s.showDescription(l, o.formats))
			return
		}
	}
	a.put(&pgproto3.NoData{})
}

// textOID is the type of the values that SHOW returns.
const textOID = 25

// showDescription describes the row of SHOW. Its value is the same in text and binary format.
func (s *session) showDescription(l *stmt.Local, formats []int16) *pgproto3.RowDescription {
	field := pgproto3.FieldDescription{Name: []byte(l.Name), DataTypeOID: textOID,
		DataTypeSize: -1, TypeModifier: -1}
	if len(formats) == 1 {
		field.Format = formats[0]
	}
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}}
}

// result adds the rows and the completion of a local statement that was applied.
func (a *answer) result(l *stmt.Local) {
	tag := "SET"
	switch l.Action {
	case stmt.ActionReset:
		tag = "RESET"
	case stmt.ActionDiscard:
		tag = "DISCARD " + strings.ToUpper(l.Name)
	case stmt.ActionShow:
		tag = "SHOW"
		value, err := a.s.showParam(l.Name)
		if err != nil {
			a.fail(err)
			return
		}
		a.put(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	}
	if l.Action == stmt.ActionSet && l.Name == "application_name" {
		a.put(&pgproto3.ParameterStatus{Name: l.Name, Value: l.Value})
	}
	a.put(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// apply executes a local statement, apart from its answer.
func (s *session) apply(l *stmt.Local) error {
	switch l.Action {
	case stmt.ActionSet:
		if l.Default {
			return s.resetParam(l.Name)
		}
		return s.setParam(l.Name, l.Value)
	case stmt.ActionReset:
		return s.resetParam(l.Name)
	case stmt.ActionShow:
		_, err := s.showParam(l.Name)
		return err
	case stmt.ActionDiscard:
		return s.discardState(l.Name)
	}
	return nil
}
