package elect

import (
	"context"
	"errors"
	"time"

	"snipewall/core"
)

// leaseResult is the result of acquiring the advisory lease.
type leaseResult uint8

const (
	// leaseUnknown means that there is no store or that it didn't answer in time.
	leaseUnknown leaseResult = iota
	leaseAcquired
	leaseHeldByOther
)

// lease is the advisory lease of a group. It isn't needed for safety: a driver that doesn't get it only
// acts later.
type lease struct {
	store core.Store
	key   string
	self  core.VMID
	// id is the granted lease, or empty; held is set while that lease owns the key.
	id   core.LeaseID
	held bool
}

// acquire tries to acquire the lease within the timeout.
func (l *lease) acquire(ctx context.Context, ttl, timeout time.Duration) (leaseResult, error) {
	if l.store == nil {
		return leaseUnknown, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := l.renew(ctx, ttl); err != nil {
		return leaseUnknown, err
	}
	if l.held {
		return leaseAcquired, nil
	}
	_, err := l.store.CompareAndSwap(ctx, l.key, []byte(l.self), 0, l.id)
	if err != nil {
		return l.readBack(ctx, err)
	}
	l.held = true
	return leaseAcquired, nil
}

// renew keeps the lease of an earlier attempt alive, or requests a new one.
func (l *lease) renew(ctx context.Context, ttl time.Duration) error {
	if l.id != "" && l.store.KeepAlive(ctx, l.id) == nil {
		return nil
	}
	l.held = false
	id, err := l.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	l.id = id
	return nil
}

// readBack reads who holds the key after a compare-and-swap that failed or whose answer was lost.
func (l *lease) readBack(ctx context.Context, cause error) (leaseResult, error) {
	entry, err := l.store.Get(ctx, l.key)
	if err != nil {
		return leaseUnknown, errors.Join(cause, err)
	}
	if entry.Lease != l.id && string(entry.Value) != string(l.self) {
		return leaseHeldByOther, nil
	}
	l.held = entry.Lease == l.id
	return leaseAcquired, nil
}

// release revokes the lease within the timeout. If that fails, the lease expires.
func (l *lease) release(ctx context.Context, timeout time.Duration) error {
	if l.store == nil || l.id == "" {
		return nil
	}
	id := l.id
	l.id = ""
	l.held = false
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return l.store.Revoke(ctx, id)
}
