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
	// watchTime is how long one watch waits. A store that drops its history, or a connection that went
	// silent, can leave a watch waiting although there were changes. The platform allows 5 s after
	// such a disruption before configurations have to be in force in time again.
	watchTime = 4 * time.Second
	// listTimeout limits one listing.
	listTimeout = 3 * time.Second
	// watchSlack is what a watch may take beyond its waiting time, about three round trips to a slow
	// store.
	watchSlack = 700 * time.Millisecond
	// minBackoff and maxBackoff limit the time between calls after failures. The longest one stays
	// well below the 3 s in which a configuration has to be in force.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// FeedConfig configures a Feed.
type FeedConfig struct {
	// Title names the feed in logs and in the kernel.
	Title string
	Store core.PrefixStore
	// Prefix selects the keys.
	Prefix string
	// Reset gets a complete listing, Event each change after it.
	Reset func(entries []core.Entry)
	Event func(e core.Event)
	Log   log.Logger
}

// Feed follows the keys with a prefix. It implements core.Service.
type Feed struct {
	cfg     FeedConfig
	backoff time.Duration
	lost    bool
}

// NewFeed returns a feed.
func NewFeed(cfg FeedConfig) *Feed { return &Feed{cfg: cfg} }

// Name implements core.Service.
func (f *Feed) Name() string { return "feed/" + f.cfg.Title }

// Run follows the keys until ctx ends. While the store can't be reached, what is known stays in
// force.
func (f *Feed) Run(ctx context.Context) error {
	var at core.Version
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			at, err = f.list(ctx)
			listed = err == nil
		} else {
			at, err = f.watch(ctx, at)
			if errors.Is(err, core.ErrCompacted) {
				level.Info(f.cfg.Log).Log("Msg", "history is gone, listing again", "Feed", f.cfg.Title, "After", at)
				listed = false
				continue
			}
		}
		f.pause(ctx, err)
	}
	return nil
}

func (f *Feed) list(ctx context.Context) (core.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, at, err := f.cfg.Store.List(ctx, f.cfg.Prefix)
	if err != nil {
		return 0, err
	}
	f.cfg.Reset(entries)
	return at, nil
}

func (f *Feed) watch(ctx context.Context, after core.Version) (core.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTime+watchSlack)
	defer cancel()
	events, at, err := f.cfg.Store.WatchPrefix(ctx, f.cfg.Prefix, after, watchTime)
	if err != nil {
		return after, err
	}
	for _, e := range events {
		f.cfg.Event(e)
	}
	return max(at, after), nil
}

// pause logs a lost or regained store and waits after a failure. Jitter keeps the entry VMs from
// calling at the same moments.
func (f *Feed) pause(ctx context.Context, err error) {
	if err == nil {
		if f.lost {
			level.Info(f.cfg.Log).Log("Msg", "store regained", "Feed", f.cfg.Title)
		}
		f.lost, f.backoff = false, 0
		return
	}
	if !f.lost && ctx.Err() == nil {
		level.Warn(f.cfg.Log).Log("Msg", "store lost", "Feed", f.cfg.Title, "Err", err)
	}
	f.lost = true
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	timer := time.NewTimer(f.backoff/2 + rand.N(f.backoff/2+1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
