package core

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Class classifies statements for routing.
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
	return nameOf(c, "Class", []string{"read", "write", "begin", "begin-read", "end"})
}

// Request is one unit of work of a caller: a simple query, or the messages of the extended query
// protocol up to Sync. It contains everything that an owner needs to admit and run it.
type Request struct {
	// ID is unique within the entry VM that received the request; answers refer to it.
	ID      uint64
	Group   GroupID
	Kind    Kind
	Rank    Rank
	Class   Class
	Session SessionID
	// Position is the confirmed position that the answer must reflect.
	Position Position
	// NeedIndex requires a read index, because the session's last position is not certain.
	NeedIndex bool
	// AcceptedAge is the maximum age of data that the kind accepts; 0 requires current data.
	AcceptedAge time.Duration
	// RequestID, if set, makes a write run at most once across all entry VMs.
	RequestID RequestID
	// Idempotent is set if a write may be sent again.
	Idempotent bool
	// InTx is set if the request belongs to an open transaction.
	InTx bool
	// Deadline is when the caller's answer is due.
	Deadline time.Time
	// Messages are the frontend messages in order, ending with Query or Sync. Statement names in
	// Parse, Bind, Describe and Close are already mapped to names that depend on the SQL only.
	Messages []pgproto3.FrontendMessage
	// Prepared holds the Parse message of each named statement that Messages refers to, by name, so
	// that it can be prepared first on a connection that doesn't have it.
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

// Result is the result of a request that ran.
type Result struct {
	Status TxStatus
	// Position is the commit position, or zero if the request committed nothing. An Executor returns
	// confirmed positions only, a Conn the position as reported by the upstream.
	Position Position
	// Upstream is the upstream on which the request ran.
	Upstream UpstreamID
	// Err is the upstream's error if the request ran and failed. The answer contains it already.
	Err *SQLError
	// Tx is the transaction that an Executor left open, or nil.
	Tx Tx
}

// ResponseWriter receives the messages of an answer in order. A message is only valid during the
// call. ReadyForQuery isn't passed on; Result.Status contains its status.
type ResponseWriter interface {
	Send(msg pgproto3.BackendMessage) error
}

// Groups knows which groups exist.
type Groups interface {
	// Has reports whether the group exists.
	Has(id GroupID) bool
}
