package topo

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
)

const (
	// defaultTarget is the time in which a change must be known if no other is set.
	defaultTarget = 3 * time.Second
	// maxWatchTime limits one watch. If the store drops its history or the connection hangs, a watch misses
	// changes until it ends. After a disruption the platform allows 5 s before changes must be known in
	// time again, which also has to cover a failed watch's backoff.
	maxWatchTime = 3 * time.Second
	// listTimeout limits a listing from the store and, if it fails, from other VMs.
	listTimeout = 3500 * time.Millisecond
	// minBackoff and maxBackoff limit the backoff after failed calls. maxBackoff is well below the target.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// readyTimeout limits the delay of the first watch.
	readyTimeout = time.Second
)

// FeedConfig configures a Feed.
type FeedConfig struct {
	// Title identifies the feed in logs and in its service name.
	Title string
	Store core.PrefixStore
	// Relist lists the keys again when the history that a watch needs is gone; nil stands for Store.List.
	Relist func(ctx context.Context, prefix string) ([]core.Entry, core.Version, error)
	// Prefix selects the keys.
	Prefix string
	// Target is the time within which a change must be known after the store has acknowledged it; 0 means
	// 3 s.
	Target time.Duration
	// Reset is called with a complete listing and its version, Event with each change after it.
	Reset func(entries []core.Entry, at core.Version)
	Event func(e core.Event)
	// Ready delays the first watch until it is closed, for readyTimeout at most; nil means no delay.
	Ready <-chan struct{}
	// Applied is called after the changes of each watch have been delivered; it may be nil.
	Applied func()
	Log     log.Logger
}

// Feed lists the keys with a prefix and then watches them. It implements core.Service.
type Feed struct {
	cfg     FeedConfig
	backoff time.Duration
	// lostAt is when the store was lost, or zero.
	lostAt time.Time
}

// NewFeed returns a feed. It makes no calls until Run is called.
func NewFeed(cfg FeedConfig) *Feed {
	if cfg.Target <= 0 {
		cfg.Target = defaultTarget
	}
	if cfg.Relist == nil {
		cfg.Relist = cfg.Store.List
	}
	return &Feed{cfg: cfg}
}

// Name implements core.Service.
func (f *Feed) Name() string { return "feed/" + f.cfg.Title }

// Run lists and watches the keys until ctx ends, and returns nil. It retries failed calls with a backoff.
// While the store can't be reached, the state that was delivered last stays in force.
func (f *Feed) Run(ctx context.Context) error {
	var version core.Version
	listed, hasListed := false, false
	for ctx.Err() == nil {
		began := time.Now()
		var err error
		if !listed {
			list := f.cfg.Store.List
			if hasListed {
				list = f.cfg.Relist
			}
			version, err = f.list(ctx, list)
			listed = err == nil
			if listed && !hasListed {
				f.awaitReady(ctx)
			}
			hasListed = hasListed || listed
		} else {
			version, err = f.watch(ctx, version)
			if errors.Is(err, core.ErrCompacted) {
				level.Info(f.cfg.Log).Log("Msg", "history is gone, listing again", "Feed", f.cfg.Title, "After", version)
				listed = false
				continue
			}
		}
		f.afterCall(ctx, err, time.Since(began))
	}
	return nil
}

func (f *Feed) awaitReady(ctx context.Context) {
	if f.cfg.Ready == nil {
		return
	}
	timer := time.NewTimer(readyTimeout)
	defer timer.Stop()
	select {
	case <-f.cfg.Ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lister lists the keys with a prefix.
type lister func(ctx context.Context, prefix string) ([]core.Entry, core.Version, error)

func (f *Feed) list(ctx context.Context, list lister) (core.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, at, err := list(ctx, f.cfg.Prefix)
	if err != nil {
		return 0, err
	}
	f.cfg.Reset(entries, at)
	return at, nil
}

// watchTime is how long one watch waits. Half of the target is left for a watch that fails and the next one.
func (f *Feed) watchTime() time.Duration { return min(f.cfg.Target/2, maxWatchTime) }

func (f *Feed) watch(ctx context.Context, after core.Version) (core.Version, error) {
	events, at, err := f.cfg.Store.WatchPrefix(ctx, f.cfg.Prefix, after, f.watchTime())
	if err != nil {
		return after, err
	}
	for _, e := range events {
		f.cfg.Event(e)
	}
	if f.cfg.Applied != nil {
		f.cfg.Applied()
	}
	return max(at, after), nil
}

// afterCall logs when the store is lost or regained, and waits after a failure. Jitter keeps the entry VMs
// from calling the store all at the same time.
func (f *Feed) afterCall(ctx context.Context, err error, took time.Duration) {
	if err == nil {
		if !f.lostAt.IsZero() {
			level.Info(f.cfg.Log).Log("Msg", "store regained", "Feed", f.cfg.Title, "LostMs", time.Since(f.lostAt).Milliseconds())
		}
		f.lostAt, f.backoff = time.Time{}, 0
		return
	}
	if f.lostAt.IsZero() && ctx.Err() == nil {
		level.Warn(f.cfg.Log).Log("Msg", "store lost", "Feed", f.cfg.Title, "WaitedMs", took.Milliseconds(), "Err", err)
		f.lostAt = time.Now()
	}
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	timer := time.NewTimer(f.backoff/2 + rand.N(f.backoff/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
