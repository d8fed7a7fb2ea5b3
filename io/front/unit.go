package front

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
	"snipewall/core/stmt"
)

// unit is a unit of work, which becomes one core.Request.
type unit struct {
	info stmt.Info
	tags stmt.Tags
	// usesEarlierPortal is set if the unit executes a portal of an earlier batch, which may contain any
	// statement.
	usesEarlierPortal bool
	// preparesWrite is set if the unit prepares or describes a write. This changes nothing, but must see
	// the tables that the write will see.
	preparesWrite bool
	// internal is set if the listener itself issues the unit. Its BEGIN opens no transaction block for
	// the caller.
	internal bool
	messages []pgproto3.FrontendMessage
	prepared map[string]*pgproto3.Parse
}

// run executes the unit and adds the answer, except ReadyForQuery, to a. It returns true if the unit
// ran without any error.
func (s *session) run(u *unit, a *answer) bool {
	if s.srv.draining.Load() && s.tx == nil {
		a.refused = true
		a.fatal(errStopping)
		return false
	}
	req, err := s.request(u)
	if err != nil {
		s.failTransaction()
		a.fail(err)
		return false
	}
	ctx, cancel := context.WithDeadline(s.srv.ctx, req.Deadline)
	defer cancel()
	r := &running{cancel: cancel}
	s.running.Store(r)
	defer s.running.Store(nil)
	a.deadline = req.Deadline
	s.srv.metrics.requests[req.Class].Inc(1)

	w := s.watch(cancel)
	inTx := s.tx != nil
	begin := time.Now()
	var res core.Result
	if inTx {
		res, err = s.tx.Run(ctx, req, a)
	} else {
		res, err = s.srv.cfg.Router.Execute(ctx, req, a)
	}
	w.stop()
	s.srv.metrics.latency[req.Rank].RecordDuration(time.Since(begin))
	if err != nil {
		failure := mapExecutorError(err, &failedRequest{req: req, info: &u.info, inTx: inTx, usesEarlierPortal: u.usesEarlierPortal,
			canceled: r.canceled.Load(), expired: errors.Is(ctx.Err(), context.DeadlineExceeded)})
		s.endTxAfterError(u, inTx)
		a.fail(failure)
		return false
	}
	s.updateTx(res)
	a.finish()
	if !res.Position.IsZero() {
		s.pos = s.pos.Max(res.Position)
		a.put(&pgproto3.ParameterStatus{Name: paramPosition, Value: s.pos.String()})
	}
	return !a.failed && res.Err == nil
}

// updateTx updates the transaction after a unit that ran.
func (s *session) updateTx(res core.Result) {
	if res.Status == core.TxIdle || res.Status == 0 {
		s.tx, s.txStatus, s.implicit = nil, core.TxIdle, false
		return
	}
	if res.Tx != nil {
		s.tx = res.Tx
	}
	if s.tx != nil {
		s.txStatus = res.Status
	}
}

// endTxAfterError ends the transaction after an executor's error. The caller's transaction block stays
// open in the failed state, unless the unit was to end it: the next statement, which the caller may
// already have sent, would otherwise run outside of the transaction. The same applies to a BEGIN that
// failed if the caller has already sent more.
func (s *session) endTxAfterError(u *unit, inTx bool) {
	explicit := inTx && !s.implicit
	s.endTx()
	if u.info.Ends {
		return
	}
	s.failed = explicit || !inTx && !u.internal && u.info.Begins && s.rd.buffered() > 0
}

// request builds the unit's request from the state of the session and the policy of the kind.
func (s *session) request(u *unit) (*core.Request, error) {
	kind := s.kind
	if u.tags.Kind != "" {
		kind = core.Kind(u.tags.Kind)
		if _, ok := s.srv.cfg.Policies.Policy(kind); !ok {
			return nil, unknownKind(u.tags.Kind)
		}
	}
	policy := s.srv.policy(kind)
	deadline := policy.Deadline
	if deadline <= 0 {
		deadline = s.srv.cfg.Deadline
	}
	req := &core.Request{
		ID:          s.srv.requests.Add(1),
		Group:       s.group,
		Kind:        policy.Kind,
		Rank:        policy.Rank,
		Class:       u.info.Class,
		Session:     s.name,
		Position:    s.pos,
		NeedIndex:   s.name != "" && !s.positionGiven,
		AcceptedAge: policy.AcceptedAge,
		Idempotent:  policy.Idempotent,
		InTx:        s.tx != nil,
		Deadline:    time.Now().Add(deadline),
		Messages:    u.messages,
		Prepared:    u.prepared,
		Attempt:     &core.Attempt{},
	}
	if err := s.tagRequest(req, u); err != nil {
		return nil, err
	}
	if u.preparesWrite && !req.InTx && req.Class == core.ClassRead {
		req.Class = core.ClassWrite
		req.Idempotent = true
	}
	// The read index only serves to choose an upstream for a read.
	if req.InTx || req.Class == core.ClassWrite || req.Class == core.ClassBegin {
		req.NeedIndex = false
	}
	switch {
	case req.InTx && u.info.Ends:
		req.Class = core.ClassEnd
	case req.Class == core.ClassEnd:
		// Without a transaction, COMMIT and ROLLBACK only warn.
		req.Class = core.ClassRead
	}
	return req, nil
}

// tagRequest applies the comment tags and the request id.
func (s *session) tagRequest(req *core.Request, u *unit) error {
	if u.tags.Session != "" && core.SessionID(u.tags.Session) != s.name {
		req.Session = core.SessionID(u.tags.Session)
		req.NeedIndex = true
	}
	if u.tags.Position != "" {
		pos, err := core.ParsePosition(u.tags.Position)
		if err != nil {
			return invalidParameter(err.Error())
		}
		req.Position = req.Position.Max(pos)
		req.NeedIndex = false
	}
	id := core.RequestID(u.tags.RequestID)
	if u.info.Writes {
		if id == "" {
			id = s.requestID
		}
		s.requestID = ""
		if id != "" && u.info.Begins {
			return errRequestIDInTx
		}
		req.RequestID = id
	}
	return nil
}

// policy returns the table's row for the kind. A kind that was removed from the table gets the row of
// the default kind, but with AcceptedAge and Idempotent cleared, since reading old data and repeating
// requests aren't safe for every kind.
func (s *Server) policy(kind core.Kind) core.KindPolicy {
	if kind == "" {
		kind = s.cfg.DefaultKind
	}
	if p, ok := s.cfg.Policies.Policy(kind); ok {
		return p
	}
	p, ok := s.cfg.Policies.Policy(s.cfg.DefaultKind)
	if !ok {
		return core.KindPolicy{Kind: s.cfg.DefaultKind, Rank: core.RankLast, Weight: 1}
	}
	p.AcceptedAge = 0
	p.Idempotent = false
	return p
}
