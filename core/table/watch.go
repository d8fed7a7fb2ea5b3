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

// Sources of a table, as logs and dumps show them.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// Run implements core.Service: it loads the table from the store or from peers, whichever answers,
// and then keeps it current.
func (k *Cache) Run(ctx context.Context) error {
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		k.askPeers(ctx)
	}()
	w := watcher{keeper: k}
	w.poll(ctx)
	for ctx.Err() == nil {
		// The generation is read before the members, so that no change in between is missed.
		seen := k.generation()
		if k.isWatcher() {
			w.watch(ctx)
			continue
		}
		w.idle(ctx, seen)
	}
	<-asked
	return nil
}

// askPeers asks the other entry VMs until there is a table, so that an entry VM can start while the
// platform is down.
func (k *Cache) askPeers(ctx context.Context) {
	peers := k.joined()
	if peers == nil {
		return
	}
	for n := 0; n < maxAsks && ctx.Err() == nil && k.Version() == 0; n++ {
		encoded, err := peers.AskTable(ctx)
		if err == nil {
			_, err = k.Adopt(encoded, sourcePeer)
		}
		if err != nil {
			k.setError(err)
		}
		if k.Version() > 0 || !pause(ctx, defaultBackoff<<n) {
			return
		}
	}
}

func (k *Cache) joined() Peers {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.peers
}

// generation returns the number of the membership's state, or 0 without one.
func (k *Cache) generation() uint64 {
	if peers := k.joined(); peers != nil {
		return peers.Generation()
	}
	return 0
}

// isWatcher reports whether this entry VM is one of those of its failure domain that hold a watch.
func (k *Cache) isWatcher() bool {
	peers := k.joined()
	is := peers == nil || place.IsElected(k.cfg.Key, peers.Self(), peers.Alive(), k.cfg.Watchers)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.watching = is
	return is
}

// pollTime returns the time between polls of an entry VM without a watch.
func (k *Cache) pollTime() time.Duration {
	d := k.cfg.PollBase
	if peers := k.joined(); peers != nil {
		d = max(d, k.cfg.PollStep*time.Duration(len(peers.Alive())))
	}
	return d/2 + mathrand.N(d)
}

func (k *Cache) setError(err error) {
	level.Warn(k.cfg.Logger).Log("Msg", "table not loaded", "Err", err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastError = err.Error()
}

func (k *Cache) clearError() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastError = ""
}

// watcher reads the table from the store.
type watcher struct {
	keeper *Cache
	// version is the entry's version as it was read last.
	version core.Version
	// failures counts the calls that failed in a row.
	failures int
}

// poll reads the entry once.
func (w *watcher) poll(ctx context.Context) {
	entry, err := w.keeper.cfg.Store.Get(ctx, w.keeper.cfg.Key)
	w.take(ctx, entry, err)
}

// watch waits for the next change.
func (w *watcher) watch(ctx context.Context) {
	start, before := time.Now(), w.version
	entry, err := w.keeper.cfg.Store.Watch(ctx, w.keeper.cfg.Key, w.version)
	w.take(ctx, entry, err)
	if w.failures > 0 {
		pause(ctx, defaultBackoff<<min(w.failures, 10))
		return
	}
	// A watch that returns early without news must not turn into a busy loop.
	if w.version <= before && time.Since(start) < watchSpacing {
		pause(ctx, watchSpacing)
	}
}

// idle waits until this entry VM has to hold a watch, or polls after a long time. Without a table it
// polls sooner. It was decided at the generation seen that no watch is needed.
func (w *watcher) idle(ctx context.Context, seen uint64) {
	until := time.Now().Add(w.keeper.pollTime())
	if w.keeper.Version() == 0 {
		until = time.Now().Add(emptyPollTime)
	}
	for time.Now().Before(until) {
		if !pause(ctx, roleCheckTime) {
			return
		}
		gen := w.keeper.generation()
		if gen != seen && w.keeper.isWatcher() {
			return
		}
		seen = gen
	}
	w.poll(ctx)
}

// take adopts what a read returned.
func (w *watcher) take(ctx context.Context, entry core.Entry, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, core.ErrNotFound) {
		// The table in force stays when the entry is gone.
		w.version, w.failures = 0, 0
		return
	}
	if err != nil {
		w.failures++
		w.keeper.setError(err)
		return
	}
	w.failures = 0
	changed := entry.Version != w.version
	// The version follows the entry downward too, since a store that was restored counts anew.
	w.version = entry.Version
	if !changed {
		return
	}
	if _, err := w.keeper.Adopt(entry.Value, sourceStore); err != nil {
		w.keeper.setError(err)
		return
	}
	w.keeper.clearError()
}
