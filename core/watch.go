package core

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrCompacted says that the store no longer has the history that a watch asked for.
	ErrCompacted = errors.New("history compacted")
	// ErrFenced says that the platform refused a call by its fencing token or its subject.
	ErrFenced = errors.New("fenced")
)

// Event is one change of a key.
type Event struct {
	Entry
	// Deleted tells that the key is gone; the value is empty then.
	Deleted bool
}

// PrefixStore is a store that lists and watches all keys with a prefix.
type PrefixStore interface {
	// List returns the entries with the prefix and a version from which WatchPrefix misses nothing.
	// The entries are no snapshot: later changes may show in some of them.
	List(ctx context.Context, prefix string) ([]Entry, Version, error)
	// ListStale is List with entries that may be seconds old, which is cheaper.
	ListStale(ctx context.Context, prefix string) ([]Entry, error)
	// WatchPrefix waits up to the given time for changes after the version and returns them with the
	// version to continue from. It returns ErrCompacted if the history is gone.
	WatchPrefix(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Event, Version, error)
}
