package elect

import (
	"context"
	"errors"
	"time"

	"snipewall/core"
)

// leaseAnswer is what the store said about the advisory lease.
type leaseAnswer uint8

const (
	// leaseUnknown: there is no store, or it didn't answer in time.
	leaseUnknown leaseAnswer = iota
	leaseMine
	leaseTaken
)

// lease is the advisory lease of a group. It only delays the second driver.
type lease struct {
	store core.Store
	key   string
	self  core.VMID
	// id is the granted lease, or empty; held tells whether it holds the key.
	id   core.LeaseID
	held bool
}

// acquire tries to take the lease within the timeout.
func (l *lease) acquire(ctx context.Context, ttl, timeout time.Duration) (leaseAnswer, error) {
	if l.store == nil {
		return leaseUnknown, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := l.renew(ctx, ttl); err != nil {
		return leaseUnknown, err
	}
	if l.held {
		return leaseMine, nil
	}
	_, err := l.store.CompareAndSwap(ctx, l.key, []byte(l.self), 0, l.id)
	if err != nil {
		return l.readBack(ctx, err)
	}
	l.held = true
	return leaseMine, nil
}

// renew keeps the lease of an earlier attempt alive or is granted a new one.
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

// readBack finds out who holds the key after a swap that failed or whose answer was lost.
func (l *lease) readBack(ctx context.Context, cause error) (leaseAnswer, error) {
	entry, err := l.store.Get(ctx, l.key)
	if err != nil {
		return leaseUnknown, errors.Join(cause, err)
	}
	if entry.Lease != l.id && string(entry.Value) != string(l.self) {
		return leaseTaken, nil
	}
	l.held = entry.Lease == l.id
	return leaseMine, nil
}

// release ends the lease, as far as the store answers in time. An unreleased lease expires.
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
