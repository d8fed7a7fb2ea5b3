package dbconn

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// SQLSTATEs that report that a prepared statement can't be used any longer.
const (
	stateNoStatement = "26000"
	statePlanChanged = "0A000"
)

// answer processes the upstream's answer to a plan and forwards the part that answers the request.
type answer struct {
	c *Conn
	w core.ResponseWriter
	// steps holds the steps of the plan whose answers haven't arrived yet.
	steps []step
	// names holds the statements that the request refers to.
	names  []string
	result core.Result
	// recordErr is the first error of a step that records the request id; nil if there is none.
	recordErr *pgproto3.ErrorResponse
	// commitFailed is set if recordErr is the answer to the COMMIT at the end of the plan.
	commitFailed bool
	// holdBack is set if each CommandComplete must be kept until the next message, since the commit after
	// the last one may fail. held is set while heldComplete is kept.
	holdBack     bool
	held         bool
	heldComplete pgproto3.CommandComplete
}

func (a *answer) start(req *core.Request, w core.ResponseWriter, p *plan) {
	a.w = w
	a.steps = p.steps
	a.names = p.names
	a.result = core.Result{Upstream: a.c.id}
	a.recordErr = nil
	a.commitFailed = false
	a.holdBack = req.Class == core.ClassWrite && !req.InTx
	a.held = false
}

// done reports whether the last ReadyForQuery has arrived.
func (a *answer) done() bool { return len(a.steps) == 0 }

// handle processes the next message of the upstream.
func (a *answer) handle(msg pgproto3.BackendMessage) error {
	if err := a.answerOmitted(); err != nil {
		return err
	}
	switch msg := msg.(type) {
	case *pgproto3.ReadyForQuery:
		return a.ready(msg)
	case *pgproto3.ErrorResponse:
		return a.fail(msg)
	case *pgproto3.ParameterStatus:
		return a.parameter(msg)
	case *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.NoticeResponse:
		return a.forward(msg)
	case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
		return errors.New("COPY FROM STDIN is not supported")
	}
	kind, ends := endOf(msg)
	if !ends || a.head().kind == stepQuery {
		return a.forward(msg)
	}
	s := a.head()
	if s.kind != kind {
		return fmt.Errorf("message %T doesn't belong to the request", msg)
	}
	if kind == stepParse {
		a.c.markPrepared(s.name)
	}
	if err := a.forward(msg); err != nil {
		return err
	}
	a.steps = a.steps[1:]
	return a.answerOmitted()
}

func (a *answer) head() step { return a.steps[0] }

// endOf returns the kind of step whose answer the message ends, if any.
func endOf(msg pgproto3.BackendMessage) (stepKind, bool) {
	switch msg.(type) {
	case *pgproto3.ParseComplete:
		return stepParse, true
	case *pgproto3.BindComplete:
		return stepBind, true
	case *pgproto3.CloseComplete:
		return stepClose, true
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return stepDescribe, true
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return stepExecute, true
	}
	return 0, false
}

// answerOmitted answers the next steps whose messages were not sent.
func (a *answer) answerOmitted() error {
	for len(a.steps) > 0 && a.steps[0].omitted {
		var msg pgproto3.BackendMessage = parseComplete
		if a.steps[0].kind == stepClose {
			msg = closeComplete
		}
		if err := a.forward(msg); err != nil {
			return err
		}
		a.steps = a.steps[1:]
	}
	return nil
}

var (
	parseComplete = &pgproto3.ParseComplete{}
	closeComplete = &pgproto3.CloseComplete{}
)

// forward sends a message to the caller unless it answers a message that the adapter added.
func (a *answer) forward(msg pgproto3.BackendMessage) error {
	if a.head().internal || a.recordErr != nil {
		return nil
	}
	if err := a.release(); err != nil {
		return err
	}
	if cc, ok := msg.(*pgproto3.CommandComplete); ok && a.holdBack {
		a.heldComplete.CommandTag = append(a.heldComplete.CommandTag[:0], cc.CommandTag...)
		a.held = true
		return nil
	}
	return a.send(msg)
}

// send sends a message to the caller.
func (a *answer) send(msg pgproto3.BackendMessage) error {
	if err := a.w.Send(msg); err != nil {
		return core.ErrCaller.Wrap(err)
	}
	return nil
}

// release sends the CommandComplete that was held back, if any.
func (a *answer) release() error {
	if !a.held {
		return nil
	}
	a.held = false
	return a.send(&a.heldComplete)
}

// parameter takes the commit position from a ParameterStatus, and forwards other parameters.
func (a *answer) parameter(msg *pgproto3.ParameterStatus) error {
	if msg.Name != commitParameter {
		return a.forward(msg)
	}
	pos, err := core.ParsePosition(msg.Value)
	if err != nil {
		return err
	}
	a.result.Position = pos
	return nil
}

// fail handles an error, after which the upstream skips everything up to the next ReadyForQuery.
func (a *answer) fail(msg *pgproto3.ErrorResponse) error {
	if msg.SeverityUnlocalized == "FATAL" || msg.SeverityUnlocalized == "PANIC" || msg.Severity == "FATAL" {
		return fmt.Errorf("connection ended: %s (SQLSTATE %s)", msg.Message, msg.Code)
	}
	s := a.head()
	a.skipToEnd()
	if msg.Code == stateNoStatement || msg.Code == statePlanChanged {
		for _, name := range a.names {
			a.c.scheduleClose(name)
		}
	}
	if s.record {
		if a.recordErr == nil && a.result.Err == nil {
			a.recordErr = copyError(msg)
			a.commitFailed = s.kind == stepQuery && len(a.steps) == 1
		}
		return nil
	}
	if a.recordErr != nil {
		return nil
	}
	if s.kind == stepSync {
		// The implicit commit at Sync failed, so the CommandComplete before it must not reach the caller.
		a.held = false
	}
	a.result.Err = &core.SQLError{State: msg.Code, Message: msg.Message}
	if err := a.release(); err != nil {
		return err
	}
	return a.send(msg)
}

// skipToEnd drops the steps that the upstream skips before the next ReadyForQuery.
func (a *answer) skipToEnd() {
	for a.head().kind != stepSync && a.head().kind != stepQuery {
		a.steps = a.steps[1:]
	}
}

func (a *answer) ready(msg *pgproto3.ReadyForQuery) error {
	k := a.head().kind
	if k != stepSync && k != stepQuery {
		return errors.New("the upstream ended the answer too early")
	}
	a.steps = a.steps[1:]
	a.result.Status = core.TxStatus(msg.TxStatus)
	if len(a.steps) > 0 || a.recordErr != nil {
		return nil
	}
	return a.release()
}

func copyError(msg *pgproto3.ErrorResponse) *pgproto3.ErrorResponse {
	e := *msg
	return &e
}
