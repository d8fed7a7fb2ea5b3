// Package topo is what an entry VM knows of its deployment: the routes and groups of the operators'
// configuration, and the upstreams that discovery reports.
//
// A Directory holds the newest state as an immutable Snapshot. Configurations are adopted only with a
// higher version, so that an entry VM never goes back to an older one. An upstream whose entry
// disappears stays usable for a grace time: entries also expire while the store is unwell, and come
// back.
//
// # Usage
//
//	d := topo.NewDirectory()
//	d.Apply(config)
//	d.Put(upstream)
//	route, ok := d.Snapshot().Route("berth-ledger-1")
package topo

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"snipewall/core"
)

// missingGrace is how long an upstream is used after its entry disappeared. The platform restores
// entries that expired during an outage within about 2 s of its return.
const missingGrace = 2500 * time.Millisecond

// Consistency is what the reads of a route must see.
type Consistency uint8

// Consistencies of routes.
const (
	// Strict reads see every acknowledged commit.
	Strict Consistency = iota
	// Bounded reads may miss commits that were acknowledged within the route's MaxAge.
	Bounded
	// ReadYourWrites reads are like bounded ones and see all commits of their own session.
	ReadYourWrites
)

// Route says how the work for one database is served.
type Route struct {
	Database string
	Group    core.GroupID
	Reads    Consistency
	// MaxAge is the accepted age of bounded reads.
	MaxAge time.Duration
	// StatementTimeout limits one statement.
	StatementTimeout time.Duration
	Rank             core.Rank
}

// Group is one database group of the configuration.
type Group struct {
	ID core.GroupID
	// Connections is the connection limit of each upstream, over all entry VMs.
	Connections int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version core.Version
	// Routes are keyed by database.
	Routes map[string]Route
	Groups map[core.GroupID]Group
	// TxIdle is how long a transaction may stay idle; 0 means no limit.
	TxIdle time.Duration
}

// Upstream is one upstream as discovery reports it.
type Upstream struct {
	core.UpstreamInfo
	Role    core.Role
	Leaving bool
	// Born tells incarnations of the same id apart.
	Born int64
	// Missing is when the entry disappeared, or zero.
	Missing time.Time
}

// Snapshot is the state at one moment. It is never changed.
type Snapshot struct {
	Config    Config
	Upstreams map[core.UpstreamID]Upstream
	// Changed is closed when a newer snapshot exists.
	Changed chan struct{}
}

// Route returns the route of the database.
func (s *Snapshot) Route(database string) (Route, bool) {
	r, ok := s.Config.Routes[database]
	return r, ok
}

// Group returns the group's upstreams that may be used, ordered by id.
func (s *Snapshot) Group(id core.GroupID) []Upstream {
	var out []Upstream
	for _, u := range s.Upstreams {
		if u.Group == id && !u.gone() {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b Upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (u *Upstream) gone() bool { return !u.Missing.IsZero() && time.Since(u.Missing) > missingGrace }

// Directory holds the newest snapshot. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{}
	d.current.Store(&Snapshot{Changed: make(chan struct{})})
	return d
}

// Snapshot returns the newest state.
func (d *Directory) Snapshot() *Snapshot { return d.current.Load() }

// Apply adopts the configuration if its version is higher than the one in force.
func (d *Directory) Apply(c Config) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current.Load()
	if c.Version <= old.Config.Version {
		return false
	}
	d.publish(old, Snapshot{Config: c, Upstreams: old.Upstreams})
	return true
}

// Put adds or replaces an upstream.
func (d *Directory) Put(u Upstream) {
	d.update(func(m map[core.UpstreamID]Upstream) { m[u.ID] = u })
}

// Remove notes that the upstream's entry is gone.
func (d *Directory) Remove(id core.UpstreamID) {
	d.update(func(m map[core.UpstreamID]Upstream) { markMissing(m, id) })
}

// Sync replaces the upstreams by a complete listing.
func (d *Directory) Sync(all []Upstream) {
	d.update(func(m map[core.UpstreamID]Upstream) {
		listed := make(map[core.UpstreamID]bool, len(all))
		for _, u := range all {
			listed[u.ID] = true
			m[u.ID] = u
		}
		for id := range m {
			if !listed[id] {
				markMissing(m, id)
			}
		}
	})
}

// markMissing starts the grace time of an upstream. One that was leaving has said so itself, and its
// entry isn't expected back.
func markMissing(m map[core.UpstreamID]Upstream, id core.UpstreamID) {
	u, ok := m[id]
	if !ok || !u.Missing.IsZero() {
		return
	}
	if u.Leaving {
		delete(m, id)
		return
	}
	u.Missing = time.Now()
	m[id] = u
}

func (d *Directory) update(change func(m map[core.UpstreamID]Upstream)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.current.Load()
	m := maps.Clone(old.Upstreams)
	if m == nil {
		m = make(map[core.UpstreamID]Upstream)
	}
	maps.DeleteFunc(m, func(_ core.UpstreamID, u Upstream) bool { return u.gone() })
	change(m)
	d.publish(old, Snapshot{Config: old.Config, Upstreams: m})
}

// publish makes the snapshot the newest one. The caller holds mu.
func (d *Directory) publish(old *Snapshot, s Snapshot) {
	s.Changed = make(chan struct{})
	d.current.Store(&s)
	close(old.Changed)
}
