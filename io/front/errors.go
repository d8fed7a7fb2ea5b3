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

// SQLSTATEs that only the listener reports.
const (
	stateCompletionUnknown    = "40003"
	stateFailedTx             = "25P02"
	stateNoActiveTx           = "25P01"
	stateIdleInTx             = "25P03"
	stateQueryCanceled        = "57014"
	stateLimitExceeded        = "54000"
	stateDuplicateStatement   = "42P05"
	stateUndefinedStatement   = "26000"
	stateUndefinedParameter   = "42704"
	stateInvalidAuthorization = "28000"
	stateInternal             = "XX000"
)

// callerError is an error as the caller sees it.
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
	errTLSRequired = &callerError{State: stateInvalidAuthorization,
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

// asCallerError converts an error that the listener found itself.
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

// failedRequest describes a request whose executor returned an error.
type failedRequest struct {
	req               *core.Request
	info              *stmt.Info
	inTx              bool
	usesEarlierPortal bool
	canceled          bool
	expired           bool
}

// mapExecutorError converts an executor's error to the error that the caller sees.
func mapExecutorError(err error, f *failedRequest) *callerError {
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
			f.req.Attempt.ConfirmNotRun()
		}
		reason, state := err.Error(), core.StateUnavailable
		if f.expired || errors.Is(err, context.DeadlineExceeded) {
			reason, state = "the deadline of the request passed", core.StateOverload
		}
		refusal := f.req.Attempt.Refuse(state, reason, 0)
		errors.As(refusal, &notRun)
		errors.As(refusal, &unknown)
	}
	switch {
	case notRun != nil && f.canceled:
		return canceledFailure(f)
	case notRun != nil:
		return notRunFailure(notRun, f)
	case f.mayHaveCommitted():
		return &callerError{State: core.StateUnknownOutcome, Message: unknown.Error(),
			Hint: "The request may have taken effect. To repeat it safely, send it with" +
				" snipewall.request_id, and send the same id again."}
	case f.canceled:
		return canceledFailure(f)
	case f.inTx || f.info.Begins:
		return &callerError{State: stateCompletionUnknown,
			Message: "the transaction was lost and is rolled back: " + unknown.Reason,
			Hint:    "It is safe to repeat the transaction from BEGIN."}
	case f.expired || errors.Is(err, context.DeadlineExceeded):
		return &callerError{State: stateQueryCanceled, Message: "canceling statement: " + unknown.Reason,
			Hint: "The request changes nothing; it is safe to repeat."}
	}
	return &callerError{State: core.StateUnknownOutcome, Message: unknown.Error(),
		Hint: "The request changes nothing; it is safe to repeat."}
}

// mayHaveCommitted reports whether the request may have committed a change. Inside a transaction only
// its end does, since the loss of the connection rolls the transaction back.
func (f *failedRequest) mayHaveCommitted() bool {
	if f.inTx || f.info.Begins {
		return f.info.Commits || f.usesEarlierPortal
	}
	return f.info.Writes
}

func canceledFailure(f *failedRequest) *callerError {
	e := &callerError{State: stateQueryCanceled, Message: "canceling statement due to user request"}
	if f.inTx {
		e.Hint = "The transaction is rolled back."
	}
	return e
}

func notRunFailure(e *core.NotRunError, f *failedRequest) *callerError {
	what := "It is safe to repeat the request"
	if f.inTx {
		what = "The transaction is rolled back. It is safe to repeat it from BEGIN"
	}
	hint := what + "."
	if e.RetryAfter > 0 {
		ms := (e.RetryAfter + time.Millisecond - 1) / time.Millisecond
		hint = fmt.Sprintf("%s after %d ms.", what, ms)
	}
	return &callerError{State: e.State, Message: e.Error(), Hint: hint}
}
