package table

import (
	"context"
	"errors"
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
	r := reader{cache: c}
	r.poll(ctx)
	confirmed := make(chan struct{})
	go func() {
		defer close(confirmed)
		f := confirmer{cache: c, reader: reader{cache: c}}
		f.run(ctx)
	}()
	for ctx.Err() == nil {
		// The generation is read before the members, so that a change in between is not missed.
		seen := c.generation()
		if c.isWatcher() {
			r.watch(ctx)
			continue
		}
		c.awaitWatch(ctx, seen)
	}
	<-fetched
	<-confirmed
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

// reader reads the table from the store. It is used by one goroutine.
type reader struct {
	cache *Cache
	// version is the entry's version at the last read, table that of the table in it.
	version, table core.Version
	// failures counts the consecutive failed calls.
	failures int
}

// poll reads the entry once.
func (r *reader) poll(ctx context.Context) {
	began := r.cache.cfg.Now()
	entry, err := r.cache.cfg.Store.Get(ctx, r.cache.cfg.Key)
	r.handle(ctx, entry, err, began)
}

// watch waits for the next change of the entry.
func (r *reader) watch(ctx context.Context) {
	start, before := time.Now(), r.version
	began := r.cache.cfg.Now()
	entry, err := r.cache.cfg.Store.Watch(ctx, r.cache.cfg.Key, r.version)
	r.handle(ctx, entry, err, began)
	if r.failures > 0 {
		sleepWithJitter(ctx, defaultBackoff<<min(r.failures, 10))
		return
	}
	// A watch that returns early without a change must not cause a busy loop.
	if r.version <= before && time.Since(start) < minWatchInterval {
		sleepWithJitter(ctx, minWatchInterval)
	}
}

// awaitWatch waits until this entry VM has to hold a watch. seen is the membership generation for which
// isWatcher returned false.
func (c *Cache) awaitWatch(ctx context.Context, seen uint64) {
	for sleepWithJitter(ctx, roleCheckInterval) {
		gen := c.generation()
		if gen != seen && c.isWatcher() {
			return
		}
		seen = gen
	}
}

// handle processes the result of a read that began at the given time.
func (r *reader) handle(ctx context.Context, entry core.Entry, err error, began core.Instant) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, core.ErrNotFound) {
		// A deleted entry doesn't remove the table in force.
		r.version, r.failures = 0, 0
		r.cache.confirm(r.cache.Version(), began)
		return
	}
	if err != nil {
		r.failures++
		r.cache.setError(err)
		return
	}
	r.failures = 0
	// The version may also decrease, since a store that was restored counts from a lower version.
	if entry.Version != r.version {
		r.version, r.table = entry.Version, r.adopt(entry.Value)
	}
	if r.table < r.cache.Version() {
		// An old read, or the version in force came from another VM in the meantime.
		return
	}
	r.cache.confirm(r.table, began)
}

// adopt puts the stored table into force and returns its version. For a table that can't be read, it is that of the
// table which stays in force instead.
func (r *reader) adopt(encoded []byte) core.Version {
	rec, err := decodeRecord(encoded)
	if err == nil {
		_, err = r.cache.adopt(rec, sourceStore)
	}
	if err != nil {
		r.cache.setError(err)
		return r.cache.Version()
	}
	r.cache.clearError()
	return rec.Version
}
