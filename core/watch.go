package core

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrCompacted means that the store no longer has the history that a watch needs.
	ErrCompacted = errors.New("history compacted")
	// ErrFenced means that the platform refused a call because of its fencing token or the state of
	// its target.
	ErrFenced = errors.New("fenced")
	// ErrNotExecuted means that the platform answered that it has not executed a call, and won't.
	ErrNotExecuted = errors.New("not executed")
)

// WatchMargin is how long after the wait time of a watch the store must have begun to answer: about three
// round trips to a slow store.
const WatchMargin = 700 * time.Millisecond

// Event is one change of a key.
type Event struct {
	Entry
	// Deleted is set if the key was deleted; the value is then empty.
	Deleted bool
	// Source is the VM whose mirror delivered the change; empty for the store itself.
	Source VMID
}

// PrefixStore lists and watches all keys with a prefix.
type PrefixStore interface {
	// List returns the entries with the prefix, and a version from which WatchPrefix misses no change.
	// The entries are not a snapshot: some may already contain later changes.
	List(ctx context.Context, prefix string) ([]Entry, Version, error)
	// ListStale is a cheaper List whose entries may be seconds old.
	ListStale(ctx context.Context, prefix string) ([]Entry, error)
	// WatchPrefix waits up to the given time for changes after the version, and returns them with the
	// version to continue from. Of several changes of a key it may return only the newest. It fails if the
	// store hasn't begun to answer WatchMargin after the wait time, and reads a large answer until ctx
	// ends. It returns ErrCompacted if the history is no longer available, or too large for one answer or for
	// the time until ctx ends.
	WatchPrefix(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Event, Version, error)
}
