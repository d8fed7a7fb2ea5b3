package core

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// SQLSTATEs that snipewall itself reports. An upstream's own error keeps its SQLSTATE.
const (
	// StateOverload says that the request did not run because of load; it is safe to repeat.
	StateOverload = "SW001"
	// StateUnavailable says that the request did not run because no upstream can serve it.
	StateUnavailable = "SW002"
	// StateDuplicate says that a request with this request id has run before.
	StateDuplicate = "SW003"
	// StateUnknownOutcome says that the request may or may not have run.
	StateUnknownOutcome = "08007"
	// StateUnsupported says that a statement cannot be served through a transaction pool.
	StateUnsupported = "0A000"
	// StateInvalidParameter says that a parameter has an unknown or malformed value.
	StateInvalidParameter = "22023"
	// StateUnknownDatabase says that no group has the name of the requested database.
	StateUnknownDatabase = "3D000"
	// StateProtocolViolation says that the caller broke the protocol.
	StateProtocolViolation = "08P01"
	// StateTooManyConnections is what an upstream answers at its connection limit.
	StateTooManyConnections = "53300"
	// StateReadOnly is what a replica answers to a write.
	StateReadOnly = "25006"
)

// Error classes by part of the system.
var (
	ErrSettings = errs.Class("settings")
	ErrTable    = errs.Class("table")
	ErrUpstream = errs.Class("upstream")
	ErrPlatform = errs.Class("platform")
	ErrPeer     = errs.Class("peer")
	ErrCaller   = errs.Class("caller")
)

// NotRunError says that no part of the request reached an upstream. Only an Attempt builds it.
type NotRunError struct {
	// State is StateOverload or StateUnavailable.
	State  string
	Reason string
	// RetryAfter hints when a repetition has a chance; 0 means no hint.
	RetryAfter time.Duration
}

func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// UnknownOutcomeError says that the request may have taken effect.
type UnknownOutcomeError struct {
	Reason string
}

func (e *UnknownOutcomeError) Error() string { return "outcome unknown: " + e.Reason }

// DuplicateError says that a request with the same id has run before.
type DuplicateError struct {
	ID RequestID
}

func (e *DuplicateError) Error() string { return fmt.Sprintf("request %q has run before", e.ID) }

// SQLError is an error that the upstream reported: the request ran and failed, and the answer to
// the caller already contains the upstream's message.
type SQLError struct {
	State   string
	Message string
}

func (e *SQLError) Error() string { return e.Message + " (SQLSTATE " + e.State + ")" }

// RedirectError is an owner's answer for a request that its upstream may not serve. Nothing ran.
type RedirectError struct {
	Group GroupID
	// Primary is the primary as the owner knows it, or empty.
	Primary UpstreamID
	// Better is an upstream that can serve the request as far as the owner knows, or empty.
	Better UpstreamID
	Reason string
}

func (e *RedirectError) Error() string { return "redirected: " + e.Reason }

// RefusedError says that an upstream refused a connection at its limit, so that nothing ran.
type RefusedError struct {
	Upstream UpstreamID
	Message  string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream %s refused the connection: %s", e.Upstream, e.Message)
}

// Attempt tracks whether any byte of a request may have left this process. It is the only way to
// build a NotRunError, so that a refusal that says "not run" is true.
type Attempt struct {
	sent atomic.Bool
}

// MarkSent records that a byte of the request may have reached an upstream or another entry VM.
// It is called before the first write.
func (a *Attempt) MarkSent() { a.sent.Store(true) }

// IsSent reports whether MarkSent was called.
func (a *Attempt) IsSent() bool { return a.sent.Load() }

// Refuse builds the error of a request that ends here: NotRunError if nothing was sent, otherwise
// UnknownOutcomeError.
func (a *Attempt) Refuse(state, reason string, retryAfter time.Duration) error {
	if a.sent.Load() {
		return &UnknownOutcomeError{Reason: reason}
	}
	return &NotRunError{State: state, Reason: reason, RetryAfter: retryAfter}
}

// ConfirmNotRun clears the mark after the other side proved that it ran nothing: an upstream that
// refused the connection, or an owner that answered NotRunError or RedirectError.
func (a *Attempt) ConfirmNotRun() { a.sent.Store(false) }
