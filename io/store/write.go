package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"snipewall/core"
)

// errOverwritten reports that a write took effect, but that the entry changed again before its version
// could be read.
var errOverwritten = errors.New("written, but the entry changed again before its version was read")

// CompareAndSwap implements core.Store. It makes two calls without a lease and three with one.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected core.Version, lease core.LeaseID) (core.Version, error) {
	query := url.Values{"cas": {strconv.FormatUint(uint64(expected), 10)}}
	if lease != "" {
		if err := s.checkVersion(ctx, key, expected, lease); err != nil {
			return 0, err
		}
		query = url.Values{"acquire": {string(lease)}}
	}
	c := call{
		op: "compare-and-swap", method: http.MethodPut, path: "/v1/kv/" + key,
		query: query, body: value, timeout: s.cfg.CallTimeout,
	}
	a, err := s.do(ctx, c)
	if err != nil {
		return 0, err
	}
	ok, err := decodeBool(c, a)
	if err != nil {
		return 0, err
	}
	if !ok {
		return 0, fmt.Errorf("key %s is not at version %d: %w", key, expected, core.ErrVersionConflict)
	}
	return s.writtenVersion(ctx, c, key, value, expected)
}

// checkVersion compares the version before a write with a lease, for which the platform checks only the
// holder.
func (s *Store) checkVersion(ctx context.Context, key string, expected core.Version, lease core.LeaseID) error {
	e, err := s.Get(ctx, key)
	if errors.Is(err, core.ErrNotFound) {
		e, err = core.Entry{}, nil
	}
	if err != nil {
		return err
	}
	if e.Version != expected || (e.Lease != "" && e.Lease != lease) {
		return fmt.Errorf("key %s is at version %d instead of %d: %w", key, e.Version, expected, core.ErrVersionConflict)
	}
	return nil
}

// writtenVersion reads the version of the value that was just written.
func (s *Store) writtenVersion(ctx context.Context, c call, key string, value []byte, expected core.Version) (core.Version, error) {
	e, err := s.Get(ctx, key)
	if err != nil {
		return 0, c.fail(0, fmt.Errorf("written, but the version could not be read: %w", err))
	}
	if e.Version <= expected || !bytes.Equal(e.Value, value) {
		return 0, c.fail(0, errOverwritten)
	}
	return e.Version, nil
}
