package core

import (
	"context"
	"fmt"
	"time"
)

// Fault is the reason why a statement failed. FaultNone means that it succeeded.
type Fault uint8

// Reasons for the failure of a statement. See IsNotRun for those that guarantee that it had no effect.
const (
	FaultNone Fault = iota
	// FaultBusy means that no slot was free in time.
	FaultBusy
	// FaultOverload means that the upstream is at its connection limit.
	FaultOverload
	// FaultLagging means that the upstream has not reached the required position.
	FaultLagging
	// FaultReadOnly means that the upstream is not the primary.
	FaultReadOnly
	// FaultMisrouted means that another upstream answered at the address.
	FaultMisrouted
	// FaultUnprepared means that the connection does not have the prepared statement.
	FaultUnprepared
	// FaultAborted means that the transaction was rolled back.
	FaultAborted
	// FaultFailed means that the statement ran and failed.
	FaultFailed
	// FaultTimeout means that the answer didn't arrive in time; the statement may have run.
	FaultTimeout
	// FaultInDoubt means that the connection broke after the statement was sent; it may have run.
	FaultInDoubt
	// FaultNoDatabase means that no database of that name is configured.
	FaultNoDatabase
	// FaultMalformed means that the statement could not be parsed, or is not allowed in a failed
	// transaction.
	FaultMalformed
	// FaultTooLarge means that the message is longer than the protocol allows.
	FaultTooLarge
	// FaultUnauthorized means that the caller's key is unknown or was withdrawn.
	FaultUnauthorized
)

var faultNames = [...]string{
	"none", "busy", "overload", "lagging", "read-only", "misrouted", "unprepared", "aborted", "failed", "timeout",
	"in-doubt", "no-database", "malformed", "too-large", "unauthorized",
}

// String returns the name of the fault as used in logs and metrics. Other builds may send faults that this one
// doesn't know.
func (f Fault) String() string { return nameOf(f, "Fault", faultNames[:]) }

// IsKnown reports whether this build knows the fault.
func (f Fault) IsKnown() bool { return int(f) < len(faultNames) }

// nameOf returns the name of a value, or the type with the value's number if it has none.
func nameOf[T ~uint8](v T, kind string, names []string) string {
	if int(v) >= len(names) {
		return fmt.Sprintf("%s(%d)", kind, uint8(v))
	}
	return names[v]
}

// IsNotRun reports whether the fault guarantees that the upstream has not run the statement.
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
	// OpForward sends a caller's statement unchanged.
	OpForward Op = iota
	// OpExecute runs the prepared statement Name with the arguments in Text.
	OpExecute
	OpBegin
	OpBeginRead
	OpRollback
	// OpReset clears the connection's session values and prepared statements.
	OpReset
	// OpSet sets the session value Name to Text.
	OpSet
	// OpPrepare prepares the statement Name with the parameterized statement in Text.
	OpPrepare
	// OpStepDown makes a primary whose term is lower than Term a replica. It stands last, since VMs of older builds
	// know the others by their numbers.
	OpStepDown
	// OpStatus asks for Answer.Received. It is the only command of its Send.
	OpStatus
)

var opNames = [...]string{
	"forward", "execute", "begin", "begin-read", "rollback", "reset", "set", "prepare", "step-down", "status",
}

// String returns the name of the operation as used in logs.
func (o Op) String() string { return nameOf(o, "Op", opNames[:]) }

// MaxKeptBody is the largest memory of an answer's body that a LineConn keeps and uses again.
const MaxKeptBody = 8 << 10

// Command is one statement for a LineConn.
type Command struct {
	Op Op
	// ID is the caller's request id; empty for statements that snipewall issues itself.
	ID RequestID
	// Name and Text are the operands; their meaning depends on Op.
	Name, Text string
	// Term is the operand of OpStepDown.
	Term Term
	// Write is set if the prepared statement writes, Commit if the caller's statement ends its
	// transaction.
	Write, Commit bool
	// Await is the position that the upstream must have applied, for OpForward and OpExecute of reads
	// and for OpBeginRead. The zero value requires none.
	Await Position
	// Kind and Rank determine the place in the queue. StartBy is the latest time at which the statement
	// may get a slot and a connection, and Deadline the latest at which its answer is useful. They are
	// only used when the command goes to another VM.
	Kind              Kind
	Rank              Rank
	StartBy, Deadline time.Time
	// Patience is how long the command may wait for a slot before the other VM refuses it at once, since another
	// upstream would serve it sooner; 0 means until StartBy.
	Patience time.Duration
	// MaxAge asks for Answer.Sample, which must not be older; 0 asks for none. It is only used for OpBegin that goes to
	// another VM.
	MaxAge time.Duration
	// Organisation is the one on whose behalf the command runs, empty if there is none. A connection to an
	// upstream belongs to one organisation, so that an owner needs it.
	Organisation OrganisationID
}

// Answer is the upstream's answer to a Command.
type Answer struct {
	// Fault is FaultNone if the command succeeded.
	Fault Fault
	// Text is the error message.
	Text string
	// Body is the encoded answer of a successful command without the final status message. It is valid
	// until the next call of Receive, and for ever if its capacity is above MaxKeptBody.
	Body []byte
	// Signed is set if the upstream signed the answer, as it does for everything that it runs.
	Signed bool
	Status TxStatus
	// Position is the end of the upstream's log after the command; zero if it was not reported. On a replica it is
	// what the replica has applied.
	Position Position
	// Load is what the VM that owns the upstream tells of it; zero from the upstream itself.
	Load Load
	// Sample is set if the command asked for one and the other VM has one.
	Sample Sample
	// Received is the end of the log that the upstream has received, whether applied or not. It is only set in the
	// answer to a successful OpStatus.
	Received Position
}

// Load is the load of an upstream.
type Load struct {
	// Wait is the expected time until a further statement of the same kind gets a slot, and Run the average time that
	// statements of the kind take from then on. Took is the time from the command's arrival to the answer.
	Wait, Run, Took time.Duration
	// FaultPercent is the share of recent statements that the upstream failed, refused as busy or didn't answer.
	FaultPercent uint8
	// IsDeclined is set if the queue refused the command only because of Command.Patience.
	IsDeclined bool
}

// Sample states that a primary had Position, and was proved to lead, at some time within Age before the answer.
type Sample struct {
	Position Position
	Age      time.Duration
}

// LineConn is a connection to an upstream that answers single-line statements in order. It is used
// by one goroutine at a time.
type LineConn interface {
	// InitialPosition returns the position that the upstream reported when the connection was opened.
	InitialPosition() Position
	// Send writes all commands together, without waiting for answers.
	Send(cmds []Command) error
	// Receive reads the answer to the oldest unanswered command. After an error the connection must be
	// closed; when the deadline passes, the error is a net.Error whose Timeout method returns true.
	Receive(deadline time.Time) (Answer, error)
	// CanPipeline reports whether statements may be sent together with the commands that they depend on: the other side
	// sets up the session state itself, and after a refused BEGIN runs nothing until ROLLBACK.
	CanPipeline() bool
	// IsIdle reports whether the connection is open and has received no unsolicited data.
	IsIdle() bool
	Close() error
}

// LineDialer opens connections to upstreams.
type LineDialer interface {
	// Dial connects on behalf of the organisation, or of the VM itself if it is empty. It returns *RefusedError
	// if the upstream is at its connection limit, and *MisroutedError if another upstream answers at the address.
	Dial(ctx context.Context, u UpstreamInfo, organisation OrganisationID) (LineConn, error)
}

// MisroutedError reports that another upstream than the expected one answers at an address.
type MisroutedError struct {
	Upstream UpstreamID
}

func (e *MisroutedError) Error() string {
	return "another upstream answers at the address of " + string(e.Upstream)
}

// Promoter asks the platform to make an upstream the primary of its group.
type Promoter interface {
	// Promote returns ErrFenced if the platform refused the call because it has seen a higher fencing
	// token or the upstream isn't running, and ErrNotExecuted if it is overloaded or down. After any other error the
	// call may still take effect.
	Promote(ctx context.Context, group GroupID, id UpstreamID, holder VMID, token Version) error
}
