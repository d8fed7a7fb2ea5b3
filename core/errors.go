package core

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// SQLSTATEs that snipewall itself reports. An upstream's own error keeps its SQLSTATE.
const (
	// StateOverload means that the request did not run because of load; it is safe to repeat.
	StateOverload = "SW001"
	// StateUnavailable means that the request did not run because no upstream can serve it.
	StateUnavailable = "SW002"
	// StateDuplicate means that a request with this request id has run before.
	StateDuplicate = "SW003"
	// StateUnknownOutcome means that the request may or may not have run.
	StateUnknownOutcome = "08007"
	// StateUnsupported means that a statement cannot be served with transaction pooling.
	StateUnsupported = "0A000"
	// StateInvalidParameter means that a parameter has an unknown or malformed value.
	StateInvalidParameter = "22023"
	// StateUnknownDatabase means that no group has the name of the requested database.
	StateUnknownDatabase = "3D000"
	// StateProtocolViolation means that the caller violated the protocol.
	StateProtocolViolation = "08P01"
	// StateTooManyConnections is returned by an upstream that is at its connection limit.
	StateTooManyConnections = "53300"
	// StateReadOnly is returned by a replica for a write.
	StateReadOnly = "25006"
)

// Error classes, one for each part of the system.
var (
	ErrSettings = errs.Class("settings")
	ErrTable    = errs.Class("table")
	ErrUpstream = errs.Class("upstream")
	ErrPlatform = errs.Class("platform")
	ErrPeer     = errs.Class("peer")
	ErrCaller   = errs.Class("caller")
)

// NotRunError reports that no part of the request reached an upstream. Create it with
// Attempt.Refuse only.
type NotRunError struct {
	// State is StateOverload or StateUnavailable.
	State  string
	Reason string
	// RetryAfter suggests how long to wait before a retry; 0 means no suggestion.
	RetryAfter time.Duration
}

func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// UnknownOutcomeError reports that the request may or may not have taken effect.
type UnknownOutcomeError struct {
	Reason string
}

func (e *UnknownOutcomeError) Error() string { return "outcome unknown: " + e.Reason }

// DuplicateError reports that a request with the same id has run before.
type DuplicateError struct {
	ID RequestID
}

func (e *DuplicateError) Error() string { return fmt.Sprintf("request %q has run before", e.ID) }

// SQLError is an error reported by the upstream: the request ran and failed. The answer to the
// caller already contains the upstream's message.
type SQLError struct {
	State   string
	Message string
}

func (e *SQLError) Error() string { return e.Message + " (SQLSTATE " + e.State + ")" }

// RedirectError is returned by an owner whose upstream can't serve the request. Nothing ran.
type RedirectError struct {
	Group GroupID
	// Primary is the primary known to the owner, or empty.
	Primary UpstreamID
	// Better is an upstream that, as far as the owner knows, can serve the request, or empty.
	Better UpstreamID
	Reason string
}

func (e *RedirectError) Error() string { return "redirected: " + e.Reason }

// RefusedError reports that an upstream refused a connection because of its connection limit.
// Nothing ran.
type RefusedError struct {
	Upstream UpstreamID
	Message  string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream %s refused the connection: %s", e.Upstream, e.Message)
}

// Attempt tracks whether any byte of a request may have left this process. A NotRunError is only
// created through it, so that a request reported as "not run" has indeed not run.
type Attempt struct {
	sent atomic.Bool
}

// MarkSent records that a byte of the request may have reached an upstream or another entry VM.
// Call it before the first write.
func (a *Attempt) MarkSent() { a.sent.Store(true) }

// IsSent reports whether MarkSent was called.
func (a *Attempt) IsSent() bool { return a.sent.Load() }

// Refuse returns the error for a request that is given up: *NotRunError if nothing was sent,
// otherwise *UnknownOutcomeError.
func (a *Attempt) Refuse(state, reason string, retryAfter time.Duration) error {
	if a.sent.Load() {
		return &UnknownOutcomeError{Reason: reason}
	}
	return &NotRunError{State: state, Reason: reason, RetryAfter: retryAfter}
}

// ConfirmNotRun clears the mark once it is certain that the other side ran nothing: an upstream
// refused the connection, or an owner returned NotRunError or RedirectError.
func (a *Attempt) ConfirmNotRun() { a.sent.Store(false) }
