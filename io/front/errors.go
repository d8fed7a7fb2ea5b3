package front

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
	"snipewall/core/stmt"
)

// SQLSTATEs of the standard and of PostgreSQL that only the listener reports.
const (
	stateCompletionUnknown   = "40003"
	stateFailedTx            = "25P02"
	stateNoActiveTx          = "25P01"
	stateIdleInTx            = "25P03"
	stateQueryCanceled       = "57014"
	stateLimitExceeded       = "54000"
	stateDuplicateStatement  = "42P05"
	stateUndefinedStatement  = "26000"
	stateUndefinedParameter  = "42704"
	stateInvalidAuthorizaton = "28000"
	stateInternal            = "XX000"
)

// callerError is an error that the listener reports to the caller.
type callerError struct {
	State   string
	Message string
	Hint    string
}

func (e *callerError) Error() string { return e.Message + " (SQLSTATE " + e.State + ")" }

func (e *callerError) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR",
		Code: e.State, Message: e.Message, Hint: e.Hint}
}

var (
	errStopping = &callerError{State: core.StateUnavailable,
		Message: "not run: this entry VM is stopping",
		Hint:    "It is safe to repeat the request on a new connection at once."}
	errIdleInTx = &callerError{State: stateIdleInTx,
		Message: "terminating connection due to idle-in-transaction timeout",
		Hint:    "The transaction is rolled back. It is safe to repeat it from BEGIN."}
	errTLSRequired = &callerError{State: stateInvalidAuthorizaton,
		Message: "this entry VM accepts connections with TLS only",
		Hint:    "Connect with sslmode=require or stricter."}
	errInFailedTx = &callerError{State: stateFailedTx,
		Message: "current transaction is aborted, commands ignored until end of transaction block"}
	errRequestIDInTx = &callerError{State: core.StateUnsupported,
		Message: "a request id for a write in the same request as BEGIN is not supported",
		Hint:    "Send BEGIN by itself, or the write without BEGIN."}
)

func invalidParameter(msg string) *callerError {
	return &callerError{State: core.StateInvalidParameter, Message: msg}
}

func unknownKind(kind string) *callerError {
	return &callerError{State: core.StateInvalidParameter,
		Message: fmt.Sprintf("unknown kind %q", kind),
		Hint:    "Use a kind of the operators' table."}
}

func errNeedsTx(function string) *callerError {
	return &callerError{State: core.StateUnsupported,
		Message: function + " outside of a transaction is not supported",
		Hint:    "Use it in the transaction that called nextval, or use RETURNING."}
}

// asCallerError converts any error that the listener finds itself.
func asCallerError(err error) *callerError {
	var ce *callerError
	if errors.As(err, &ce) {
		return ce
	}
	var u *stmt.UnsupportedError
	if errors.As(err, &u) {
		return &callerError{State: core.StateUnsupported, Message: u.Error(), Hint: u.Hint}
	}
	return &callerError{State: stateInternal, Message: err.Error()}
}

// attempt describes the request whose executor returned an error.
type attempt struct {
	req           *core.Request
	info          *stmt.Info
	inTx          bool
	earlierPortal bool
	canceled      bool
	expired       bool
}

// failureOf maps an executor's error to what the caller is told.
func failureOf(err error, at *attempt) *callerError {
	var dup *core.DuplicateError
	if errors.As(err, &dup) {
		return &callerError{State: core.StateDuplicate, Message: dup.Error(),
			Hint: "The write has taken effect once. Read its result, or use a new request id."}
	}
	var notRun *core.NotRunError
	var unknown *core.UnknownOutcomeError
	if !errors.As(err, &notRun) && !errors.As(err, &unknown) {
		var redirect *core.RedirectError
		if errors.As(err, &redirect) {
			at.req.Attempt.ConfirmNotRun()
		}
		reason, state := err.Error(), core.StateUnavailable
		if at.expired || errors.Is(err, context.DeadlineExceeded) {
			reason, state = "the deadline of the request passed", core.StateOverload
		}
		refusal := at.req.Attempt.Refuse(state, reason, 0)
		errors.As(refusal, &notRun)
		errors.As(refusal, &unknown)
	}
	switch {
	case notRun != nil && at.canceled:
		return canceledFailure(at)
	case notRun != nil:
		return notRunFailure(notRun, at)
	case at.mayHaveCommitted():
		return &callerError{State: core.StateUnknownOutcome, Message: unknown.Error(),
			Hint: "The request may have taken effect. To repeat it safely, send it with" +
				" snipewall.request_id, and send the same id again."}
	case at.canceled:
		return canceledFailure(at)
	case at.inTx || at.info.Begins:
		return &callerError{State: stateCompletionUnknown,
			Message: "the transaction was lost and is rolled back: " + unknown.Reason,
			Hint:    "It is safe to repeat the transaction from BEGIN."}
	case at.expired || errors.Is(err, context.DeadlineExceeded):
		return &callerError{State: stateQueryCanceled, Message: "canceling statement: " + unknown.Reason,
			Hint: "The request changes nothing; it is safe to repeat."}
	}
	return &callerError{State: core.StateUnknownOutcome, Message: unknown.Error(),
		Hint: "The request changes nothing; it is safe to repeat."}
}

// mayHaveCommitted reports whether the request could have made a change durable. Inside a
// transaction only its end does, since losing the connection rolls it back.
func (at *attempt) mayHaveCommitted() bool {
	if at.inTx || at.info.Begins {
		return at.info.Commits || at.earlierPortal
	}
	return at.info.Writes
}

func canceledFailure(at *attempt) *callerError {
	e := &callerError{State: stateQueryCanceled, Message: "canceling statement due to user request"}
	if at.inTx {
		e.Hint = "The transaction is rolled back."
	}
	return e
}

func notRunFailure(e *core.NotRunError, at *attempt) *callerError {
	what := "It is safe to repeat the request"
	if at.inTx {
		what = "The transaction is rolled back. It is safe to repeat it from BEGIN"
	}
	hint := what + "."
	if e.RetryAfter > 0 {
		ms := (e.RetryAfter + time.Millisecond - 1) / time.Millisecond
		hint = fmt.Sprintf("%s after %d ms.", what, ms)
	}
	return &callerError{State: e.State, Message: e.Error(), Hint: hint}
}
