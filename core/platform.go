package core

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's store.
var (
	// ErrVersionConflict means that the entry has another version than the expected one.
	ErrVersionConflict = errors.New("version conflict")
	// ErrNotFound means that the entry does not exist.
	ErrNotFound = errors.New("not found")
	// ErrLeaseLost means that the lease has expired or has another holder.
	ErrLeaseLost = errors.New("lease lost")
)

// Entry is a value in the platform's store.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	// Lease is the lease to which the entry is bound, or empty.
	Lease LeaseID
}

// Store is the platform's key-value store. Each call counts against its rate limits. A call that
// fails with an error other than those named here may still have taken effect.
type Store interface {
	// Get returns the entry or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes the value if the entry has the expected version, 0 for a new entry, and
	// returns the new version. Otherwise it returns ErrVersionConflict. With a lease, the entry is
	// deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error)
	// Watch waits until the entry's version is higher than after. When the store's wait limit passes
	// first, it returns the unchanged entry.
	Watch(ctx context.Context, key string, after Version) (Entry, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease or returns ErrLeaseLost.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its entries.
	Revoke(ctx context.Context, id LeaseID) error
	// VMs returns the platform's list of VMs, which may be out of date.
	VMs(ctx context.Context) ([]VM, error)
}

// VM is an entry VM or an upstream's VM as the platform or a peer describes it.
type VM struct {
	ID            VMID
	FailureDomain FailureDomain
	Region        Region
	// Upstream is the upstream on this VM, or empty for an entry VM.
	Upstream UpstreamID `json:",omitempty"`
	// Control and Relay are the addresses on which other entry VMs connect, host:port.
	Control string `json:",omitempty"`
	Relay   string `json:",omitempty"`
	// Leaving is set if the VM is about to be removed.
	Leaving bool `json:",omitempty"`
}

// Confirmation says that the store had no version of the operators' table above Version, at a time that was Age before
// the end of a call. OK is set if such a time is known.
type Confirmation struct {
	OK      bool
	Version Version
	Age     time.Duration
	// Held is how long the call waited for a newer confirmation.
	Held time.Duration
}

// Members is this entry VM's view of the membership. Implementations are safe for concurrent use.
type Members interface {
	// Self returns this entry VM.
	Self() VM
	// Alive returns the entry VMs that are considered alive, this one included, sorted by id.
	Alive() []VM
	// Generation returns a counter that increases whenever Alive or IsLeaving changes.
	Generation() uint64
	// IsLeaving reports whether any entry VM or the platform has seen that the upstream is leaving.
	IsLeaving(id UpstreamID) bool
	// MarkLeaving announces to all entry VMs that the upstream is leaving, or no longer is.
	MarkLeaving(id UpstreamID, leaving bool)
}
