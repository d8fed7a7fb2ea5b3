package core

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Class is what a statement does, as far as routing needs to know.
type Class uint8

// Classes of statements.
const (
	// ClassRead may run on a replica.
	ClassRead Class = iota
	// ClassWrite must run on the primary.
	ClassWrite
	// ClassBegin opens a transaction on the primary.
	ClassBegin
	// ClassBeginRead opens a read-only transaction, which may run on a replica.
	ClassBeginRead
	// ClassEnd commits or rolls back.
	ClassEnd
)

// String returns the name of the class.
func (c Class) String() string {
	return [...]string{"read", "write", "begin", "begin-read", "end"}[c]
}

// Request is one unit of work of a caller: a simple query, or the extended-protocol messages up to
// Sync. It carries everything that an owner needs to decide and run it.
type Request struct {
	// ID is unique within the entry VM that received the request; answers carry it.
	ID      uint64
	Group   GroupID
	Kind    Kind
	Rank    Rank
	Class   Class
	Session SessionID
	// Position is the confirmed position that the answer must reflect.
	Position Position
	// NeedIndex asks for a read index, since the session's last position is not certain.
	NeedIndex bool
	// AcceptedAge is the age of data that the kind accepts; 0 asks for current data.
	AcceptedAge time.Duration
	// RequestID, if set, makes a write run at most once over all entry VMs.
	RequestID RequestID
	// Idempotent tells that a write may be resent.
	Idempotent bool
	// InTx tells that the request belongs to an open transaction.
	InTx bool
	// Deadline is when the caller's answer is due.
	Deadline time.Time
	// Messages are the frontend messages in order, ending with Query or Sync. Statement names in
	// Parse, Bind, Describe and Close are already mapped to names that depend on the SQL only.
	Messages []pgproto3.FrontendMessage
	// Prepared holds the Parse message of each named statement that Messages refers to, by name, so
	// that a connection that lacks it can prepare it first.
	Prepared map[string]*pgproto3.Parse
	// Attempt tracks whether the request may have reached an upstream.
	Attempt *Attempt
}

// TxStatus is the transaction status that ReadyForQuery reports.
type TxStatus byte

// Transaction statuses of the PostgreSQL protocol.
const (
	TxIdle   TxStatus = 'I'
	TxOpen   TxStatus = 'T'
	TxFailed TxStatus = 'E'
)

// Result is the end of a request that ran.
type Result struct {
	Status TxStatus
	// Position is the commit position, if the request committed something. Results of an Executor
	// carry confirmed positions only; results of a Conn carry the position as reported.
	Position Position
	// Upstream is where the request ran.
	Upstream UpstreamID
	// Err is the upstream's error if the request ran and failed. The answer contains it already.
	Err *SQLError
	// Tx is the open transaction, when an Executor leaves one open.
	Tx Tx
}

// ResponseWriter takes the messages of an answer in order. The message is only valid during the
// call. ReadyForQuery isn't passed: Result.Status carries it.
type ResponseWriter interface {
	Send(msg pgproto3.BackendMessage) error
}

// Groups tells which groups exist.
type Groups interface {
	// Has reports whether the group exists.
	Has(id GroupID) bool
}
