package topo

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

func upstream(id string) Upstream {
	return Upstream{UpstreamInfo: core.UpstreamInfo{ID: core.UpstreamID(id), Group: "g"}}
}

// Guards against returning to an older configuration.
func TestVersionsOnlyGrow(t *testing.T) {
	d := NewDirectory()
	assert.Assert(t, d.Apply(Config{Version: 5}))
	assert.Assert(t, !d.Apply(Config{Version: 5}))
	assert.Assert(t, !d.Apply(Config{Version: 4}))
	assert.Equal(t, d.Snapshot().Config.Version, core.Version(5))
	assert.Assert(t, d.Apply(Config{Version: 9}))
}

// Guards against dropping all upstreams when their entries expire during an outage of the store, and
// against using one that was removed.
func TestMissingEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDirectory()
		leaving := upstream("b")
		leaving.Leaving = true
		d.Sync([]Upstream{upstream("a"), leaving}, 1)
		d.Sync(nil, 2)
		assert.Equal(t, len(d.Snapshot().Group("g")), 1, "one that was leaving is gone at once")
		time.Sleep(2 * time.Second)
		d.Put(upstream("a"))
		time.Sleep(missingGracePeriod)
		assert.Equal(t, len(d.Snapshot().Group("g")), 1, "its entry is back")
		d.Remove("a", 3)
		time.Sleep(missingGracePeriod + time.Millisecond)
		assert.Equal(t, len(d.Snapshot().Group("g")), 0)
	})
}

// Guards against a listing that was made before a change and arrives after it, as one that a change of primary
// asks for beside the watch: an upstream that leaves must not get work again, and one that is new must stay.
func TestLateListingChangesNothingNewer(t *testing.T) {
	d := NewDirectory()
	before, after := upstream("a"), upstream("a")
	before.Revision, after.Revision, after.Leaving = 5, 8, true
	added := upstream("b")
	added.Revision = 9
	gone := upstream("c")
	gone.Revision = 4
	listing := []Upstream{before, gone}
	d.Sync(listing, 7)
	d.Put(after)
	d.Put(added)
	d.Remove("c", 10)
	d.Sync(listing, 7)
	upstreams := d.Snapshot().Upstreams
	assert.Assert(t, upstreams["a"].Leaving)
	assert.Assert(t, upstreams["b"].MissingSince.IsZero())
	assert.Assert(t, !upstreams["c"].MissingSince.IsZero())
	added.Revision = 12
	d.Put(added)
	gone.Revision = 13
	d.Sync([]Upstream{gone}, 13)
	upstreams = d.Snapshot().Upstreams
	assert.Assert(t, upstreams["c"].MissingSince.IsZero(), "its entry is back")
	assert.Assert(t, !upstreams["b"].MissingSince.IsZero(), "a later listing lacks it")
}

// fakeStore is a store whose watches deliver no events.
type fakeStore struct {
	mu      sync.Mutex
	entries []core.Entry
	version core.Version
	err     error
	watches int
}

func (s *fakeStore) List(context.Context, string) ([]core.Entry, core.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries, s.version, s.err
}

func (s *fakeStore) ListStale(ctx context.Context, prefix string) ([]core.Entry, error) {
	entries, _, err := s.List(ctx, prefix)
	return entries, err
}

func (s *fakeStore) WatchPrefix(ctx context.Context, _ string, after core.Version, wait time.Duration) ([]core.Event, core.Version, error) {
	s.mu.Lock()
	s.watches++
	compacted, err := after < s.version, s.err
	s.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	if compacted {
		return nil, 0, core.ErrCompacted
	}
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

func (s *fakeStore) set(change func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func runFeed(t *testing.T, s *fakeStore) *[][]core.Entry {
	t.Helper()
	var resets [][]core.Entry
	f := NewFeed(FeedConfig{
		Title: "test", Store: s, Prefix: "p", Log: log.NewNopLogger(),
		Reset: func(entries []core.Entry, _ core.Version) { resets = append(resets, entries) },
		Event: func(core.Event) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-end)
	})
	return &resets
}

// Guards against a change that is missed for too long after the store dropped its history and left the
// watch waiting: with watches of 20 s, configurations were late 11 times. The change must be known
// within the 5 s after which configurations must be in force in time again.
func TestWatchMissesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{version: 3}
		resets := runFeed(t, s)
		time.Sleep(100 * time.Millisecond)
		s.set(func(s *fakeStore) { s.version, s.entries = 9, []core.Entry{{Key: "p", Version: 9}} })
		time.Sleep(5 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(*resets), 2)
		assert.Equal(t, len((*resets)[1]), 1)
	})
}

// Guards against a feed that asks the store again for what another VM has listed, and against one that takes its first
// listing from somewhere else or delays a watch after the first.
func TestListsAgainElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{version: 3}
		var relists atomic.Int64
		f := NewFeed(FeedConfig{
			Title: "test", Store: s, Prefix: "p", Log: log.NewNopLogger(), Ready: make(chan struct{}),
			Relist: func(ctx context.Context, prefix string) ([]core.Entry, core.Version, error) {
				relists.Add(1)
				return s.List(ctx, prefix)
			},
			Reset: func([]core.Entry, core.Version) {}, Event: func(core.Event) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		end := make(chan error, 1)
		go func() { end <- f.Run(ctx) }()
		time.Sleep(readyTimeout - time.Millisecond)
		s.set(func(s *fakeStore) { assert.Equal(t, s.watches, 0) })
		assert.Equal(t, relists.Load(), int64(0))
		time.Sleep(time.Second)
		s.set(func(s *fakeStore) { s.version = 9 })
		time.Sleep(defaultTarget/2 + 10*time.Millisecond)
		assert.Equal(t, relists.Load(), int64(1))
		s.set(func(s *fakeStore) { assert.Assert(t, s.watches >= 3, "%d watches", s.watches) })
		cancel()
		assert.NilError(t, <-end)
	})
}

// Guards against calling a store that is down without a backoff, and against a slow recovery after it is
// back.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{version: 3}
		resets := runFeed(t, s)
		time.Sleep(time.Second)
		s.set(func(s *fakeStore) { s.err = errors.New("down") })
		time.Sleep(10 * time.Second)
		s.set(func(s *fakeStore) {
			assert.Assert(t, s.watches < 30, "%d calls", s.watches)
			s.err, s.version = nil, 4
		})
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, len(*resets), 2)
	})
}

// Guards against a listing that was made before a draining upstream left, and arrives after it: the upstream would be back
// in use, and count as a member that doesn't answer.
func TestLateListingBringsNothingBack(t *testing.T) {
	draining := Upstream{UpstreamInfo: core.UpstreamInfo{ID: "i-1", Group: "g"}, Leaving: true, Born: 1, Revision: 7}
	for _, removeByEvent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			d := NewDirectory()
			d.Put(draining)
			if removeByEvent {
				d.Remove("i-1", 9)
			} else {
				d.Sync(nil, 9)
			}
			assert.Equal(t, len(d.Snapshot().Group("g")), 0)
			d.Sync([]Upstream{draining}, 8)
			d.Put(draining)
			assert.Equal(t, len(d.Snapshot().Group("g")), 0, "the upstream is back")
			// The upstream starts again under its id.
			reborn := draining
			reborn.Leaving, reborn.Born, reborn.Revision = false, 2, 12
			d.Put(reborn)
			assert.Equal(t, len(d.Snapshot().Group("g")), 1)
			time.Sleep(2 * departureTime)
			d.Put(reborn)
			assert.Equal(t, len(d.left), 0)
		})
	}
}
