// Package eras keeps which era of the platform's store is the newest that this VM has seen, and since when.
//
// The store may come back from a copy some seconds old. What was written since is gone, and revisions are given out
// again. Its answers name the era, which rises by one each time. A Version contains the era in its high bits, so that
// versions of a newer era are higher.
//
// # Usage
//
//	e := eras.New(eras.Config{Log: logger, Metrics: scope})
//	if !e.Note(era) { ... } // an answer of an older era, which must not be used
//	if e.Remaining(life) > 0 { ... } // a holder of the former era may still act
package eras

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"snipewall/core"
)

// Config configures a Tracker. All fields may be unset.
type Config struct {
	Log     log.Logger
	Metrics tally.Scope
	// Now reads a clock that advances while the VM is suspended; nil stands for core.Now.
	Now func() core.Instant
}

// Tracker keeps the newest era. It is safe for concurrent use.
type Tracker struct {
	cfg   Config
	gauge tally.Gauge

	mu      sync.Mutex
	newest  core.Era
	since   core.Instant
	changed chan struct{}
}

// New returns a tracker of a store whose first era is 0.
func New(cfg Config) *Tracker {
	if cfg.Log == nil {
		cfg.Log = log.NewNopLogger()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	return &Tracker{cfg: cfg, gauge: cfg.Metrics.Gauge("StoreEra"), changed: make(chan struct{})}
}

// Note records the era of an answer of the store or of another VM. It returns false if a newer era is known, so that the
// answer must not be used.
func (t *Tracker) Note(era core.Era) bool {
	t.mu.Lock()
	old := t.newest
	if era > old {
		t.newest, t.since = era, t.cfg.Now()
		close(t.changed)
		t.changed = make(chan struct{})
	}
	t.mu.Unlock()
	if era > old {
		t.gauge.Update(float64(era))
		level.Warn(t.cfg.Log).Log("Msg", "store has come back from an older copy", "Era", era, "Old", old)
	}
	return era >= old
}

// Newest returns the newest era that this VM has seen.
func (t *Tracker) Newest() core.Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

// Since returns when this VM first saw the newest era, or 0 in era 0. A VM that has just started can't know how
// long the era has lasted.
func (t *Tracker) Since() core.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.since
}

// Remaining returns how much longer this VM must know the newest era until it has known it for d. It is 0 in era 0.
func (t *Tracker) Remaining(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest == 0 {
		return 0
	}
	return max(0, t.since.Add(d).Sub(t.cfg.Now()))
}

// Changed returns a channel that is closed when a newer era is seen.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}
