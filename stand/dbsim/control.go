package dbsim

import "snipewall/core"

var faultFields = []Field{{"fault", TypeText}}

// call runs a function of the schema snipewall. It doesn't occupy a slot.
func (ss *session) call(s *Call, params []Value) (*Rows, error) {
	if err := sleep(ss.ctx, ss.srv.faults.scale(ss.srv.cfg.ControlTime)); err != nil {
		return nil, err
	}
	if s.Func == "fault" {
		return ss.callFault(s, params)
	}
	status, err := ss.callControl(s, params)
	if err != nil {
		return nil, err
	}
	if l := ss.srv.faults.takeLoss(s.Func); l != lossNone {
		ss.pendingLoss = l
	}
	return statusRows(status), nil
}

func (ss *session) callControl(s *Call, params []Value) (core.UpstreamStatus, error) {
	db := ss.srv.db
	if s.Func == "status" && len(s.Args) == 0 {
		return db.Status(), nil
	}
	want := map[string]int{"prepare": 1, "promote": 1, "follow": 2}[s.Func]
	if want == 0 || len(s.Args) != want {
		return core.UpstreamStatus{}, sqlErrorf(stateNoFunction, "function snipewall.%s with %d arguments does not exist", s.Func, len(s.Args))
	}
	v, err := evalFor(s.Args[0], TypeInt, params, nil, nil)
	if err != nil {
		return core.UpstreamStatus{}, err
	}
	term := core.Term(v.Int)
	switch s.Func {
	case "prepare":
		return db.Prepare(term)
	case "promote":
		return db.Promote(term)
	}
	primary, err := evalFor(s.Args[1], TypeText, params, nil, nil)
	if err != nil {
		return core.UpstreamStatus{}, err
	}
	return db.Follow(term, primary.Text)
}

// callFault checks the arguments and sets the fault after the response has been sent, so that the fault
// doesn't affect this response.
func (ss *session) callFault(s *Call, params []Value) (*Rows, error) {
	if len(s.Args) != 2 {
		return nil, sqlErrorf(stateNoFunction, "snipewall.fault takes a name and a value")
	}
	name, err := evalFor(s.Args[0], TypeText, params, nil, nil)
	if err != nil {
		return nil, err
	}
	value, err := evalFor(s.Args[1], TypeText, params, nil, nil)
	if err != nil {
		return nil, err
	}
	if err := CheckFault(name.Text, value.Text); err != nil {
		return nil, err
	}
	ss.afterFlush = append(ss.afterFlush, func() { _ = ss.srv.Fault(name.Text, value.Text) })
	return &Rows{Fields: faultFields, Rows: [][]Value{{Text("ok")}}, Tag: "SELECT 1"}, nil
}
