package store

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/stand/kvsim"
)

const key = "snipewall/table"

func newStore(t *testing.T, sim *kvsim.Server) *Store {
	t.Helper()
	s, err := New(Config{Address: "http://platform", Transport: sim.Client().Transport})
	assert.NilError(t, err)
	return s
}

// Guards against lost updates and against versions that go back over a deletion.
func TestCompareAndSwap(t *testing.T) {
	srv := httptest.NewServer(kvsim.New(kvsim.Config{}))
	defer srv.Close()
	s, err := New(Config{Address: srv.URL})
	assert.NilError(t, err)
	ctx := t.Context()
	_, err = s.Get(ctx, key)
	assert.ErrorIs(t, err, core.ErrNotFound)
	v1, err := s.CompareAndSwap(ctx, key, []byte("a"), 0, "")
	assert.NilError(t, err)
	_, err = s.CompareAndSwap(ctx, key, []byte("b"), 0, "")
	assert.ErrorIs(t, err, core.ErrVersionConflict)
	v2, err := s.CompareAndSwap(ctx, key, []byte("b"), v1, "")
	assert.NilError(t, err)
	assert.Assert(t, v2 > v1)
	e, err := s.Get(ctx, key)
	assert.NilError(t, err)
	assert.DeepEqual(t, e, core.Entry{Key: key, Value: []byte("b"), Version: v2})
}

// Guards against a lease that outlives its holder, and against two holders.
func TestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(t, kvsim.New(kvsim.Config{}))
		ctx := t.Context()
		first, err := s.Grant(ctx, 10*time.Second)
		assert.NilError(t, err)
		second, err := s.Grant(ctx, time.Minute)
		assert.NilError(t, err)
		v, err := s.CompareAndSwap(ctx, "lead", []byte("vm-1"), 0, first)
		assert.NilError(t, err)
		_, err = s.CompareAndSwap(ctx, "lead", []byte("vm-2"), v, second)
		assert.ErrorIs(t, err, core.ErrVersionConflict)
		time.Sleep(6 * time.Second)
		assert.NilError(t, s.KeepAlive(ctx, first))
		time.Sleep(6 * time.Second)
		e, err := s.Get(ctx, "lead")
		assert.NilError(t, err)
		assert.Equal(t, e.Lease, first)

		// The holder pauses: the watch of the others ends at the expiry, not at the end of its time.
		start := time.Now()
		_, err = s.Watch(ctx, "lead", v)
		assert.ErrorIs(t, err, core.ErrNotFound)
		assert.Equal(t, time.Since(start), 4*time.Second)
		assert.ErrorIs(t, s.KeepAlive(ctx, first), core.ErrLeaseLost)

		// The next watch waits for the creation instead of returning the deletion again.
		created := make(chan error, 1)
		go func() {
			time.Sleep(3 * time.Second)
			_, err := s.CompareAndSwap(ctx, "lead", []byte("vm-2"), 0, second)
			created <- err
		}()
		start = time.Now()
		e, err = s.Watch(ctx, "lead", 0)
		assert.NilError(t, err)
		assert.Equal(t, string(e.Value), "vm-2")
		assert.Equal(t, time.Since(start), 3*time.Second)
		assert.NilError(t, <-created)
		assert.NilError(t, s.Revoke(ctx, second))
		_, err = s.Get(ctx, "lead")
		assert.ErrorIs(t, err, core.ErrNotFound)
	})
}

// Guards against a call without a deadline, and against an error that hides whether a write took
// effect.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := kvsim.New(kvsim.Config{})
		s := newStore(t, sim)
		ctx := t.Context()
		assert.NilError(t, sim.SetFault(kvsim.FaultLostAnswer, "1"))
		_, err := s.CompareAndSwap(ctx, key, []byte("a"), 0, "")
		var failed *CallError
		assert.Assert(t, errors.As(err, &failed), "%v", err)
		assert.Equal(t, failed.Status, 0)
		e, err := s.Get(ctx, key)
		assert.NilError(t, err)
		assert.Equal(t, string(e.Value), "a")

		assert.NilError(t, sim.SetFault(kvsim.FaultSlow, "1m"))
		start := time.Now()
		_, err = s.Get(ctx, key)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), defaultCallTimeout)
		assert.NilError(t, sim.ClearFault(kvsim.FaultSlow))

		time.Sleep(5 * time.Second)
		assert.NilError(t, sim.SetFault(kvsim.FaultStale, "5s"))
		_, err = s.Get(ctx, key)
		assert.NilError(t, err)
		_, err = s.CompareAndSwap(ctx, key, []byte("b"), e.Version, "")
		assert.ErrorIs(t, err, errOverwritten)
		start = time.Now()
		e, err = s.Watch(ctx, key, e.Version)
		assert.NilError(t, err)
		assert.Equal(t, string(e.Value), "b")
		assert.Equal(t, time.Since(start), 5*time.Second)

		assert.NilError(t, sim.SetFault(kvsim.FaultDown, "true"))
		_, err = s.Get(ctx, key)
		assert.Assert(t, errors.As(err, &failed))
	})
}

// Guards against watches that cost more than one call each.
func TestWatchCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := kvsim.New(kvsim.Config{})
		s := newStore(t, sim)
		v, err := s.CompareAndSwap(t.Context(), key, []byte("a"), 0, "")
		assert.NilError(t, err)
		sim.ResetCalls()
		for range 3 {
			start := time.Now()
			e, err := s.Watch(t.Context(), key, v)
			assert.NilError(t, err)
			assert.Equal(t, e.Version, v)
			assert.Equal(t, time.Since(start), defaultWatchWait)
		}
		assert.DeepEqual(t, sim.Calls(), kvsim.Calls{Reads: 3, Watches: 3, MaxWaiting: 1, MaxReads: 1})
	})
}
