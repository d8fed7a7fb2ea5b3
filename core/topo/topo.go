// Package topo holds the topology of the deployment as an entry VM knows it: the routes and groups of the
// operators' configuration, and the upstreams that discovery reports.
//
// A Directory holds the newest state as an immutable Snapshot. A configuration is adopted only if its
// version is higher, so that an entry VM never returns to an older one. An upstream whose entry
// disappears remains usable for a grace period, since entries also expire during failures of the store
// and are restored afterwards.
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

// missingGracePeriod is how long an upstream remains usable after its entry disappeared. The platform
// restores entries that expired during an outage within about 2 s after the outage.
const missingGracePeriod = 2500 * time.Millisecond

// departureTime is how long the directory remembers that an upstream has left. A listing is never that late.
const departureTime = time.Minute

// Consistency is the guarantee for the reads of a route.
type Consistency uint8

// Consistencies of routes.
const (
	// Strict reads see all commits acknowledged before.
	Strict Consistency = iota
	// Bounded reads may miss commits that were acknowledged within the last Route.MaxAge.
	Bounded
	// ReadYourWrites reads are bounded and also see all commits of their own session.
	ReadYourWrites
)

var consistencyNames = [...]string{"strict", "bounded", "read-your-writes"}

// String returns the name of the consistency.
func (c Consistency) String() string { return consistencyNames[c] }

// Route is the configuration for one database.
type Route struct {
	Database string
	Group    core.GroupID
	Reads    Consistency
	// MaxAge is the highest age of the data that bounded reads may see.
	MaxAge time.Duration
	// StatementTimeout limits one statement.
	StatementTimeout time.Duration
	// Objective is the time in which an operation of one or more statements should end; 0 if it isn't known.
	Objective time.Duration
	Rank      core.Rank
	// Public is set if callers need no key.
	Public bool
}

// KeyDigest is the digest of a caller's key. Keys themselves are not kept.
type KeyDigest [16]byte

// Organisation is one customer of the deployment.
type Organisation struct {
	ID core.OrganisationID
	// Rate and Burst limit the operations of the organisation's callers on all entry VMs together: operations a
	// second, and operations beyond that. A Rate of 0 means no limit.
	Rate, Burst float64
}

// Group is one database group of the configuration.
type Group struct {
	ID core.GroupID
	// Connections is the connection limit of each upstream, shared by all entry VMs.
	Connections int
	// SyncReplicas is the number of replicas that must have received a commit before its upstream acknowledges it.
	SyncReplicas int
}

// Config is one version of the operators' configuration.
type Config struct {
	Version core.Version
	// Routes are keyed by database.
	Routes map[string]Route
	Groups map[core.GroupID]Group
	// NeedsKeys is set if callers need a key, except on public routes. Keys holds the organisation of each key.
	NeedsKeys     bool
	Organisations map[core.OrganisationID]Organisation
	Keys          map[KeyDigest]core.OrganisationID
	// TxIdle is how long a transaction may stay idle; 0 means no limit.
	TxIdle time.Duration
}

// Upstream is one upstream as discovery reports it.
type Upstream struct {
	core.UpstreamInfo
	Role    core.Role
	Leaving bool
	// Born distinguishes successive upstreams with the same id.
	Born int64
	// Revision is the version of the entry, or of its deletion.
	Revision core.Version
	// MissingSince is when the upstream's entry disappeared, or zero.
	MissingSince time.Time
}

// Snapshot is an immutable state of a Directory.
type Snapshot struct {
	Config    Config
	Upstreams map[core.UpstreamID]Upstream
	// Changed is closed when the directory has a newer snapshot.
	Changed chan struct{}
}

// Route returns the route of the database.
func (s *Snapshot) Route(database string) (Route, bool) {
	r, ok := s.Config.Routes[database]
	return r, ok
}

// Group returns the usable upstreams of the group, sorted by id.
func (s *Snapshot) Group(id core.GroupID) []Upstream {
	var out []Upstream
	for _, u := range s.Upstreams {
		if u.Group == id && !u.isGone() {
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

func (u *Upstream) isGone() bool {
	return !u.MissingSince.IsZero() && time.Since(u.MissingSince) > missingGracePeriod
}

// Directory holds the newest snapshot. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	// left holds the upstreams that left lately, so that a listing which is older than the change doesn't bring them back.
	left map[core.UpstreamID]departure
	// era is the newest era of a change or listing. What is older changes nothing.
	era core.Era
}

// departure is the removal of an upstream.
type departure struct {
	// revision is that of the upstream's last entry, or of its deletion, or of an older entry in a newer era.
	revision core.Version
	born     int64
	at       time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{left: make(map[core.UpstreamID]departure)}
	d.current.Store(&Snapshot{Changed: make(chan struct{})})
	return d
}

// Snapshot returns the newest state.
func (d *Directory) Snapshot() *Snapshot { return d.current.Load() }

// Apply adopts the configuration and returns true if its version is higher than the current one.
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

// Put adds or replaces an upstream, unless a later revision of it is known.
func (d *Directory) Put(u Upstream) {
	d.update(u.Revision, func(m map[core.UpstreamID]Upstream) { d.put(m, u) })
}

// Remove handles the disappearance of an upstream's entry at the given version.
func (d *Directory) Remove(id core.UpstreamID, at core.Version) {
	d.update(at, func(m map[core.UpstreamID]Upstream) {
		d.markMissing(m, id, at)
		if u, ok := m[id]; ok && u.Revision < at {
			u.Revision = at
			m[id] = u
		}
		if left, ok := d.left[id]; ok && left.revision < at {
			d.left[id] = departure{at, left.born, left.at}
		}
	})
}

// Sync updates all upstreams from a complete listing at the given version. Changes may have arrived since the
// listing was made, and those are kept.
func (d *Directory) Sync(all []Upstream, at core.Version) {
	d.update(at, func(m map[core.UpstreamID]Upstream) {
		listed := make(map[core.UpstreamID]bool, len(all))
		for _, u := range all {
			listed[u.ID] = true
			d.put(m, d.restore(m, u))
		}
		for id := range m {
			if !listed[id] {
				d.markMissing(m, id, at)
			}
		}
	})
}

// restore returns a listed upstream with what the store may have lost of it at a change of the era: that it is leaving,
// or that it has left. Both last until the upstream starts anew or its entry is written again. The caller holds mu.
func (d *Directory) restore(m map[core.UpstreamID]Upstream, u Upstream) Upstream {
	if left, ok := d.left[u.ID]; ok && left.revision.Era() < u.Revision.Era() && left.born == u.Born {
		left.revision = u.Revision
		d.left[u.ID] = left
	}
	known, ok := m[u.ID]
	isSame := known.Revision.Era() < u.Revision.Era() || known.Revision == u.Revision
	if ok && isSame && known.Born == u.Born {
		u.Leaving = u.Leaving || known.Leaving
	}
	return u
}

// put adds or replaces an upstream. The caller holds mu.
func (d *Directory) put(m map[core.UpstreamID]Upstream, u Upstream) {
	if left, ok := d.left[u.ID]; ok && u.Revision <= left.revision {
		return
	}
	if u.Revision >= m[u.ID].Revision {
		m[u.ID] = u
	}
}

// markMissing starts the grace period of an upstream whose entry disappeared. An upstream that was leaving
// is removed at once, since its entry won't be restored. The caller holds mu.
func (d *Directory) markMissing(m map[core.UpstreamID]Upstream, id core.UpstreamID, at core.Version) {
	u, ok := m[id]
	if !ok || u.Revision > at || !u.MissingSince.IsZero() {
		return
	}
	if u.Leaving {
		delete(m, id)
		d.left[id] = departure{u.Revision, u.Born, time.Now()}
		return
	}
	u.MissingSince = time.Now()
	m[id] = u
}

// update makes a change that is known from the store at a version, unless a newer era is known.
func (d *Directory) update(at core.Version, change func(m map[core.UpstreamID]Upstream)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.Era() < d.era {
		return
	}
	d.era = at.Era()
	old := d.current.Load()
	m := maps.Clone(old.Upstreams)
	if m == nil {
		m = make(map[core.UpstreamID]Upstream)
	}
	maps.DeleteFunc(m, func(_ core.UpstreamID, u Upstream) bool { return u.isGone() })
	maps.DeleteFunc(d.left, func(_ core.UpstreamID, left departure) bool { return time.Since(left.at) > departureTime })
	change(m)
	d.publish(old, Snapshot{Config: old.Config, Upstreams: m})
}

// publish makes the snapshot the newest one. The caller holds mu.
func (d *Directory) publish(old *Snapshot, s Snapshot) {
	s.Changed = make(chan struct{})
	d.current.Store(&s)
	close(old.Changed)
}
