package table

import (
	"context"
	"errors"
	mathrand "math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/place"
)

// Sources of a table, as shown in logs and dumps.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// Run implements core.Service. It loads the table from the store or from peers, whichever answers, and
// then keeps it up to date.
func (c *Cache) Run(ctx context.Context) error {
	fetched := make(chan struct{})
	go func() {
		defer close(fetched)
		c.fetchFromPeers(ctx)
	}()
	w := watcher{cache: c}
	w.poll(ctx)
	for ctx.Err() == nil {
		// The generation is read before the members, so that a change in between is not missed.
		seen := c.generation()
		if c.isWatcher() {
			w.watch(ctx)
			continue
		}
		w.waitAndPoll(ctx, seen)
	}
	<-fetched
	return nil
}

// fetchFromPeers requests the table from other entry VMs until there is one, so that an entry VM can
// start while the platform is down.
func (c *Cache) fetchFromPeers(ctx context.Context) {
	peers := c.currentPeers()
	if peers == nil {
		return
	}
	for n := 0; n < maxPeerFetches && ctx.Err() == nil && c.Version() == 0; n++ {
		encoded, err := peers.FetchTable(ctx)
		if err == nil {
			_, err = c.Adopt(encoded, sourcePeer)
		}
		if err != nil {
			c.setError(err)
		}
		if c.Version() > 0 || !sleepWithJitter(ctx, defaultBackoff<<n) {
			return
		}
	}
}

func (c *Cache) currentPeers() Peers {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers
}

// generation returns the generation of the membership, or 0 without peers.
func (c *Cache) generation() uint64 {
	if peers := c.currentPeers(); peers != nil {
		return peers.Generation()
	}
	return 0
}

// isWatcher reports whether this entry VM is one of those in its failure domain that hold a watch.
func (c *Cache) isWatcher() bool {
	peers := c.currentPeers()
	watching := peers == nil || place.IsElected(c.cfg.Key, peers.Self(), peers.Alive(), c.cfg.WatchersPerDomain)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching = watching
	return watching
}

// pollInterval returns the time until the next poll of an entry VM without a watch, with jitter.
func (c *Cache) pollInterval() time.Duration {
	d := c.cfg.MinPollInterval
	if peers := c.currentPeers(); peers != nil {
		d = max(d, c.cfg.PollIntervalPerVM*time.Duration(len(peers.Alive())))
	}
	return d/2 + mathrand.N(d)
}

func (c *Cache) setError(err error) {
	level.Warn(c.cfg.Logger).Log("Msg", "table not loaded", "Err", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastError = err.Error()
}

func (c *Cache) clearError() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastError = ""
}

// watcher reads the table from the store.
type watcher struct {
	cache *Cache
	// version is the entry's version at the last read.
	version core.Version
	// failures counts the consecutive failed calls.
	failures int
}

// poll reads the entry once.
func (w *watcher) poll(ctx context.Context) {
	entry, err := w.cache.cfg.Store.Get(ctx, w.cache.cfg.Key)
	w.handle(ctx, entry, err)
}

// watch waits for the next change of the entry.
func (w *watcher) watch(ctx context.Context) {
	start, before := time.Now(), w.version
	entry, err := w.cache.cfg.Store.Watch(ctx, w.cache.cfg.Key, w.version)
	w.handle(ctx, entry, err)
	if w.failures > 0 {
		sleepWithJitter(ctx, defaultBackoff<<min(w.failures, 10))
		return
	}
	// A watch that returns early without a change must not cause a busy loop.
	if w.version <= before && time.Since(start) < minWatchInterval {
		sleepWithJitter(ctx, minWatchInterval)
	}
}

// waitAndPoll polls the store when the next poll is due, which is sooner without a table. It returns
// early if this entry VM has to hold a watch. seen is the membership generation for which isWatcher
// returned false.
func (w *watcher) waitAndPoll(ctx context.Context, seen uint64) {
	until := time.Now().Add(w.cache.pollInterval())
	if w.cache.Version() == 0 {
		until = time.Now().Add(emptyPollInterval)
	}
	for time.Now().Before(until) {
		if !sleepWithJitter(ctx, roleCheckInterval) {
			return
		}
		gen := w.cache.generation()
		if gen != seen && w.cache.isWatcher() {
			return
		}
		seen = gen
	}
	w.poll(ctx)
}

// handle processes the result of a read.
func (w *watcher) handle(ctx context.Context, entry core.Entry, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, core.ErrNotFound) {
		// A deleted entry doesn't remove the table in force.
		w.version, w.failures = 0, 0
		return
	}
	if err != nil {
		w.failures++
		w.cache.setError(err)
		return
	}
	w.failures = 0
	changed := entry.Version != w.version
	// The version may also decrease, since a store that was restored counts from a lower version.
	w.version = entry.Version
	if !changed {
		return
	}
	if _, err := w.cache.Adopt(entry.Value, sourceStore); err != nil {
		w.cache.setError(err)
		return
	}
	w.cache.clearError()
}
