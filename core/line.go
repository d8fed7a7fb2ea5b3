package core

import (
	"context"
	"time"
)

// Fault is the reason why a statement failed. FaultNone means that it succeeded.
type Fault uint8

// Faults of statements. Those for which NotRun reports true promise that nothing was kept.
const (
	FaultNone Fault = iota
	// FaultBusy says that no slot was free in time.
	FaultBusy
	// FaultOverload says that the upstream is at its connection limit.
	FaultOverload
	// FaultLagging says that the upstream lacks the awaited position.
	FaultLagging
	// FaultReadOnly says that the upstream is not the primary.
	FaultReadOnly
	// FaultMisrouted says that another upstream answered at the address.
	FaultMisrouted
	// FaultUnprepared says that the connection lacks the prepared statement.
	FaultUnprepared
	// FaultAborted says that the transaction was rolled back.
	FaultAborted
	// FaultFailed says that the statement ran and failed.
	FaultFailed
	// FaultTimeout says that the answer didn't arrive in time; the statement may have run.
	FaultTimeout
	// FaultInDoubt says that the connection broke after the statement was sent; it may have run.
	FaultInDoubt
	// FaultNoDatabase says that no database of that name is configured.
	FaultNoDatabase
	// FaultMalformed says that the statement is not understood, or not allowed in the failed
	// transaction.
	FaultMalformed
	// FaultTooLarge says that the message is longer than the protocol allows.
	FaultTooLarge
)

var faultNames = [...]string{
	"none", "busy", "overload", "lagging", "read-only", "misrouted", "unprepared", "aborted", "failed", "timeout",
	"in-doubt", "no-database", "malformed", "too-large",
}

// String returns the name of the fault for logs and metrics.
func (f Fault) String() string { return faultNames[f] }

// IsNotRun reports whether an upstream that answers with the fault has not run the statement.
func (f Fault) IsNotRun() bool {
	switch f {
	case FaultBusy, FaultOverload, FaultLagging, FaultReadOnly, FaultMisrouted, FaultUnprepared:
		return true
	}
	return false
}

// Op is what a Command asks an upstream to do.
type Op uint8

// Operations of commands.
const (
	// OpForward passes a caller's statement on unchanged.
	OpForward Op = iota
	// OpExecute runs the prepared statement Name with the arguments in Text.
	OpExecute
	OpBegin
	OpBeginRead
	OpRollback
	// OpReset clears the connection's values and prepared statements.
	OpReset
	// OpSet sets the value Name to Text.
	OpSet
	// OpPrepare prepares the statement Name with the shape in Text.
	OpPrepare
)

// Command is one statement for a LineConn.
type Command struct {
	Op Op
	// ID is the caller's request id; empty for statements that snipewall issues itself.
	ID RequestID
	// Name and Text are the operands that the operation names.
	Name, Text string
	// Write tells that the prepared shape writes, Commit that the caller's statement ends its
	// transaction.
	Write, Commit bool
	// Await is the position that the upstream must have, for OpCaller and OpExecute of reads and for
	// OpBeginRead. The zero value asks for none.
	Await Position
	// Kind and Rank are what the statement queues as, StartBy is until when it may wait for a slot and a
	// connection, and Deadline until when its answer is useful. Only other VMs use them.
	Kind              Kind
	Rank              Rank
	StartBy, Deadline time.Time
}

// Answer is the upstream's answer to a Command.
type Answer struct {
	// Fault is FaultNone if the command succeeded.
	Fault Fault
	// Text explains the fault.
	Text string
	// Body is the encoded answer of a success without the closing status message. It is valid until
	// the next call of Receive.
	Body []byte
	// Signed tells that the upstream signed the answer, as it does for everything that it runs.
	Signed bool
	Status TxStatus
	// Position is the end of the upstream's log after the command; zero if it wasn't told.
	Position Position
}

// LineConn is a connection to an upstream that answers single-line statements in order. It is used
// by one goroutine at a time.
type LineConn interface {
	// Hello returns the position that the upstream reported when the connection was opened.
	Hello() Position
	// Send writes the commands at once.
	Send(cmds []Command) error
	// Receive reads the answer to the oldest command that has none. An error means that the
	// connection must be closed; it is a net.Error with Timeout() true at the deadline.
	Receive(deadline time.Time) (Answer, error)
	// Guards reports whether the other side runs nothing after a refused BEGIN until ROLLBACK, so that
	// statements may be sent along with BEGIN.
	Guards() bool
	// Idle reports whether the connection is open and nothing unasked has arrived on it.
	Idle() bool
	Close() error
}

// LineDialer opens connections to upstreams. A refusal at the connection limit is a *RefusedError, a
// different upstream at the address a *MisroutedError.
type LineDialer interface {
	Dial(ctx context.Context, u UpstreamInfo) (LineConn, error)
}

// MisroutedError says that another upstream than the expected one listens at an address.
type MisroutedError struct {
	Upstream UpstreamID
}

func (e *MisroutedError) Error() string {
	return "another upstream answers at the address of " + string(e.Upstream)
}

// Promoter asks the platform to make an upstream the primary of its group.
type Promoter interface {
	// Promote returns ErrFenced if the platform refused the call: it has seen a higher fencing token,
	// or the upstream isn't running. After any other error the call may still take effect.
	Promote(ctx context.Context, group GroupID, id UpstreamID, holder VMID, token Version) error
}
