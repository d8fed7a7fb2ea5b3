package core

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's store.
var (
	// ErrVersionConflict says that the entry has another version than the one expected.
	ErrVersionConflict = errors.New("version conflict")
	// ErrNotFound says that the entry does not exist.
	ErrNotFound = errors.New("not found")
	// ErrLeaseLost says that the lease has expired or belongs to somebody else.
	ErrLeaseLost = errors.New("lease lost")
)

// Entry is a value in the platform's store.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
	// Lease is the lease that holds the entry, or empty.
	Lease LeaseID
}

// Store is the platform's key-value service. Each call counts against its rates. A call that fails
// with any other error than the ones named here may have taken effect.
type Store interface {
	// Get returns the entry or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes the value if the entry has the version, 0 for a new entry, or returns
	// ErrVersionConflict. With a lease, the entry is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error)
	// Watch waits until the entry's version is above after, or returns the entry as it is at the
	// end of the service's waiting time.
	Watch(ctx context.Context, key string, after Version) (Entry, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease or returns ErrLeaseLost.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its entries.
	Revoke(ctx context.Context, id LeaseID) error
	// VMs returns the platform's list of VMs, which lags.
	VMs(ctx context.Context) ([]VM, error)
}

// VM is an entry VM or an upstream's VM as the platform or a peer describes it.
type VM struct {
	ID            VMID
	FailureDomain FailureDomain
	Region        Region
	// Upstream is the upstream on this VM, or empty for an entry VM.
	Upstream UpstreamID `json:",omitempty"`
	// Control and Relay are the addresses for other entry VMs, host:port.
	Control string `json:",omitempty"`
	Relay   string `json:",omitempty"`
	// Leaving tells that the VM is about to be taken away.
	Leaving bool `json:",omitempty"`
}

// Members is the view of the entry VMs. Implementations are safe for concurrent use.
type Members interface {
	// Self returns this entry VM.
	Self() VM
	// Alive returns the entry VMs that are believed to be alive, this one included, sorted by id.
	Alive() []VM
	// Generation grows whenever Alive or Leaving changes.
	Generation() uint64
	// IsLeaving reports whether any entry VM or the platform has seen that the upstream is leaving.
	IsLeaving(id UpstreamID) bool
	// MarkLeaving spreads that the upstream is leaving, or no longer is.
	MarkLeaving(id UpstreamID, leaving bool)
}
