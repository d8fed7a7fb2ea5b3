package core

import (
	"context"
	"time"
)

// Role is the role of an upstream in its group.
type Role uint8

// Roles of an upstream.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// String returns the name of the role.
func (r Role) String() string {
	return nameOf(r, "Role", []string{"unknown", "primary", "replica"})
}

// UpstreamInfo is the configuration of an upstream.
type UpstreamInfo struct {
	ID    UpstreamID
	Group GroupID
	// Address is host:port.
	Address       string
	FailureDomain FailureDomain
	Region        Region
	// Slots is the number of statements that may execute at once.
	Slots int
	// Connections is the upstream's connection limit.
	Connections int
	// ConnectTime is the expected time to open a connection.
	ConnectTime time.Duration
}

// UpstreamStatus is the replication status that an upstream reports.
type UpstreamStatus struct {
	Role Role
	// Promised is the highest term that the upstream has accepted.
	Promised Term
	// Log is the position of the last entry in the log.
	Log Position
	// Applied is the position up to which the log is applied and visible to reads.
	Applied Position
	// Heard is the time since a replica last heard from its primary; 0 on a primary, negative if it
	// never has.
	Heard time.Duration
	// Leaving is set if the upstream is about to be removed.
	Leaving bool
}

// Upstream is one database server of a group. Implementations are safe for concurrent use.
type Upstream interface {
	Info() UpstreamInfo
	// Dial opens a connection for requests. It returns *RefusedError if the upstream is at its
	// connection limit.
	Dial(ctx context.Context) (Conn, error)
	// Status queries the upstream's replication status.
	Status(ctx context.Context) (UpstreamStatus, error)
	// Prepare makes the upstream promise the term, which must be higher than its promised term, and
	// reject log entries and commits of lower terms from then on. It returns the new status.
	Prepare(ctx context.Context, term Term) (UpstreamStatus, error)
	// Promote makes the upstream primary of the term, which must be its promised term.
	Promote(ctx context.Context, term Term) (UpstreamStatus, error)
	// Follow makes the upstream a replica of the primary of the term, which must be at least its
	// promised term.
	Follow(ctx context.Context, term Term, primary UpstreamInfo) (UpstreamStatus, error)
}

// Conn is one connection to an upstream. It serves one request at a time. After an error from Run
// the connection must be closed.
type Conn interface {
	// Run sends the request and passes the answer to w. It marks the request's Attempt before its
	// first write. An error reported by the upstream is in Result.Err, not in the error.
	Run(ctx context.Context, req *Request, w ResponseWriter) (Result, error)
	// Ping checks that the connection still works.
	Ping(ctx context.Context) error
	Close() error
}

// Executor runs requests on one upstream within the upstream's limits. It is the owner in this
// process, or a relay to the owner on another entry VM.
type Executor interface {
	// Execute admits the request, runs it and, for a write, waits until it is confirmed. Its errors
	// are *NotRunError, *RedirectError, *UnknownOutcomeError, *DuplicateError, or a transport error.
	// After a transport error, req.Attempt.IsSent reports whether anything may have been sent.
	Execute(ctx context.Context, req *Request, w ResponseWriter) (Result, error)
}

// SessionIndexer is implemented by executors on the primary that know which commits are the
// session's own.
type SessionIndexer interface {
	// SessionIndex returns a position that covers every write of the session that was acknowledged
	// before the call, by any entry VM. It is at most the read index.
	SessionIndex(ctx context.Context, session SessionID) (Position, error)
}

// Tx is an open transaction. It holds an upstream connection until Run returns an error or a Result
// with status TxIdle, or until Close.
type Tx interface {
	Run(ctx context.Context, req *Request, w ResponseWriter) (Result, error)
	// Close rolls the transaction back if it is still open. It is idempotent.
	Close() error
}

// GroupView is the state of a group as its monitor sees it. Implementations are safe for concurrent
// use.
type GroupView interface {
	// Primary returns the primary and its term, or false if no majority reported that term recently.
	Primary() (UpstreamID, Term, bool)
	// Status returns the last status of the upstream and its age.
	Status(id UpstreamID) (UpstreamStatus, time.Duration, bool)
	// Confirm waits until a majority of the group has the commit at p in p's term. It returns an error
	// if the term was superseded or ctx ended.
	Confirm(ctx context.Context, p Position) error
	// ReadIndex returns a position that covers every write acknowledged before the call.
	ReadIndex(ctx context.Context) (Position, error)
	// Age returns an upper bound on the age of the upstream's data, or false if unknown.
	Age(id UpstreamID) (time.Duration, bool)
	// WaitApplied waits until the upstream's applied position covers p.
	WaitApplied(ctx context.Context, id UpstreamID, p Position) error
	// Suspect requests an immediate poll of the upstream, after a request to it failed.
	Suspect(id UpstreamID)
}
