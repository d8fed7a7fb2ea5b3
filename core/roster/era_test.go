package roster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/eras"
	"snipewall/core/fakes"
)

// eraStore is a store that a VM reads through its own adapter, which knows the newest era.
type eraStore struct {
	*fakes.Store
	eras *eras.Tracker
}

func (s eraStore) List(_ context.Context, prefix string) ([]core.Entry, core.Version, error) {
	entries, at := s.Entries(prefix)
	s.eras.Note(at.Era())
	return entries, at, nil
}

func (s eraStore) ListStale(ctx context.Context, prefix string) ([]core.Entry, error) {
	entries, _, err := s.List(ctx, prefix)
	return entries, err
}

// Guards against a VM that isn't found after the store has lost its entry and lease: VMs that promote wouldn't wait for its
// permits. It writes the entry again as soon as it hears of the new era, and isn't enlisted in between.
func TestEntryIsWrittenInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakes.NewStore()
		defer store.Close()
		store.Save()
		e := eras.New(eras.Config{})
		r := New(Config{Self: core.VM{ID: "a", Relay: "a:1"}, Store: eraStore{store, e}, Eras: e, Log: log.NewNopLogger()})
		ctx, cancel := context.WithCancel(t.Context())
		end := make(chan error, 1)
		go func() { end <- r.Run(ctx) }()
		defer func() {
			cancel()
			assert.NilError(t, <-end)
		}()
		time.Sleep(12 * time.Second)
		_, ok := r.EnlistedAt()
		assert.Assert(t, ok)
		store.SetDown(true)
		e.Note(store.ComeBack())
		synctest.Wait()
		_, ok = r.EnlistedAt()
		assert.Assert(t, !ok, "the store has no entry")
		time.Sleep(5 * time.Second)
		calls := store.Calls()
		time.Sleep(10 * time.Second)
		assert.Assert(t, store.Calls()-calls <= 12, "%d calls in 10 s of an outage", store.Calls()-calls)
		store.SetDown(false)
		time.Sleep(retryInterval + time.Second)
		_, ok = r.EnlistedAt()
		assert.Assert(t, ok)
		entries, _ := store.Entries(Prefix)
		assert.Equal(t, len(entries), 1)
		e.Note(store.ComeBack())
		synctest.Wait()
		entries, _ = store.Entries(Prefix)
		assert.Equal(t, len(entries), 1, "the VM waits for its next listing")
		calls = store.Calls()
		time.Sleep(time.Minute)
		assert.Assert(t, store.Calls()-calls <= 2*14, "%d calls in a minute", store.Calls()-calls)
	})
}
