package core

import (
	"time"
)

// Named identifiers. They are opaque strings that are unique within one deployment.
type (
	// VMID names an entry VM.
	VMID string
	// GroupID names a group of database servers; callers use it as the database name.
	GroupID string
	// UpstreamID names one database server of a group.
	UpstreamID string
	// FailureDomain names a set of VMs that a network partition can cut off together.
	FailureDomain string
	// Region names the region that contains a failure domain.
	Region string
	// OrganisationID names a customer of the deployment on whose behalf callers work.
	OrganisationID string
	// Kind names a kind of work, a row of the operators' table.
	Kind string
	// SessionID names a caller's session across connections and entry VMs.
	SessionID string
	// RequestID names a request that may run at most once.
	RequestID string
	// EditID names one change of the operators' table.
	EditID string
	// LeaseID names a lease granted by the platform's store.
	LeaseID string
	// Version is the version of an entry in the platform's store. It increases with each write; 0
	// means that the entry does not exist.
	Version uint64
)

// Rank orders kinds of work by urgency. Lower values are served first.
type Rank uint8

// Ranks, most urgent first.
const (
	RankUrgent Rank = iota
	RankMiddle
	RankLast
	// RankCount is the number of ranks.
	RankCount = 3
)

var rankNames = [RankCount]string{"urgent", "middle", "last"}

// String returns the name of the rank as used in the operators' table.
func (r Rank) String() string {
	return nameOf(r, "Rank", rankNames[:])
}

// ParseRank returns the rank with the name, or false if the name is unknown.
func ParseRank(s string) (Rank, bool) {
	for i, name := range rankNames {
		if s == name {
			return Rank(i), true
		}
	}
	return 0, false
}

// KindPolicy is one row of the operators' table.
type KindPolicy struct {
	Kind Kind
	Rank Rank
	// Weight is the share of the kind within its rank, at least 1.
	Weight int
	// Concurrency limits the requests of this kind that run at once on one upstream; 0 means no limit.
	Concurrency int
	// Rate limits the requests of this kind per second on one upstream; 0 means no limit.
	Rate float64
	// QueueTime limits the time in the queue.
	QueueTime time.Duration
	// AcceptedAge is the maximum age of data that reads of this kind accept; 0 requires current data.
	AcceptedAge time.Duration
	// Idempotent is set if a request of this kind may run more than once.
	Idempotent bool
	// Deadline limits the whole request, from its arrival to the last byte of the answer.
	Deadline time.Duration
}

// Policies looks up the row of a kind. Implementations are safe for concurrent use.
type Policies interface {
	// Policy returns the current row of the kind, or false if the table has none.
	Policy(kind Kind) (KindPolicy, bool)
	// Kinds returns all current rows, sorted by kind.
	Kinds() []KindPolicy
}
