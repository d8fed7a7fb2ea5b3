package permit

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/eras"
)

const (
	// WatchTime is the longest time that a watch of the records may wait for a change.
	WatchTime = 2300 * time.Millisecond
	// TTL is how long a permit lasts after a confirmation. The store confirms each WatchTime, and a watch may
	// take 0.6 s longer (see core/mirror). A longer TTL delays a promotion while a VM doesn't answer.
	TTL = WatchTime + time.Second
	// maxVotedTime is how long VMs renew permits without the store. It is shorter than the lease of a VM's
	// entry, after which other VMs no longer count it.
	maxVotedTime = 25 * time.Second
	// voteAfter is the age of the last confirmation from which on other VMs are asked. It is longer than
	// confirmations take while the store is available.
	voteAfter = WatchTime + 400*time.Millisecond
	// voteInterval is the time between two votes, and voteTimeout limits one.
	voteInterval = 500 * time.Millisecond
	voteTimeout  = 300 * time.Millisecond
	// drainTime is how long statements in progress may take after a planned promotion was announced.
	drainTime = 100 * time.Millisecond
	// expiryMargin is added to the lifetime of other VMs' permits, for the drift between two clocks.
	expiryMargin = 50 * time.Millisecond
	// spreadTimeout limits a call to one VM. It is several round trips between regions.
	spreadTimeout = 150 * time.Millisecond
	// RestoreTime is how long after a VM has seen a new era of the store the records that the store has lost may be missing
	// there. Other VMs that know them write them again. The leases of those that promote end within it.
	RestoreTime = 5 * time.Second
	// restoreStep is the time between the attempts of two VMs to write a record again, so that most find it written,
	// and maxRestoreDelay is the latest attempt.
	restoreStep     = 100 * time.Millisecond
	maxRestoreDelay = 1500 * time.Millisecond
	// reachAge is the age of a primary's last proof of leadership up to which it counts as reachable.
	reachAge = 400 * time.Millisecond
)

// Members are the live entry VMs.
type Members interface {
	// Alive returns a list that must not be changed.
	Alive() []core.VM
	// EnlistedAt returns since when other VMs find this one in the store, or false if they don't yet.
	EnlistedAt() (core.Instant, bool)
	// IsSettled reports whether the list was read so long after this VM got its entry that it has the VMs which
	// started at the same time. Votes of a smaller number would be no majority.
	IsSettled() bool
	// Refresh updates the list with all VMs that are in the store at the time of the call.
	Refresh(ctx context.Context) error
}

// Config configures a Guard. Eras and Now may be nil.
type Config struct {
	Store   core.Store
	Members Members
	Self    core.VMID
	// Call calls a method of another entry VM at its control address.
	Call func(ctx context.Context, address, method string, req, answer any) error
	// ProvedAgo returns how long ago the upstream proved to this VM that it leads, or false if it never did.
	ProvedAgo func(id core.UpstreamID) (time.Duration, bool)
	// Changed is called when a group's permit may have become valid or a record has changed.
	Changed func()
	// KeyPrefix is the prefix of the records' keys in the store; the group's id follows.
	KeyPrefix string
	// Eras keeps the newest era of the store; nil stands for a store that never comes back from a copy.
	Eras *eras.Tracker
	Log  log.Logger
	// Now reads a clock that advances while the VM is suspended; nil stands for core.Now.
	Now func() core.Instant
}

// Guard keeps this VM's permits. It implements core.Permits and core.Service, and is safe for concurrent use.
type Guard struct {
	cfg Config

	mu    sync.Mutex
	state *state
	// voteLost is set if the last vote found no majority.
	voteLost bool
}

var _ core.Permits = (*Guard)(nil)

// New returns a guard without permits.
func New(cfg Config) *Guard {
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	if cfg.Eras == nil {
		cfg.Eras = eras.New(eras.Config{Now: cfg.Now})
	}
	return &Guard{cfg: cfg, state: newState(TTL)}
}

// Admits implements core.Permits.
func (g *Guard) Admits(id core.GroupID) (core.Version, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.state.groups[id]
	return st.epoch, st.admits(g.cfg.Now(), g.state.life)
}

// Covers implements core.Permits.
func (g *Guard) Covers(id core.GroupID, epoch core.Version) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.groups[id].covers(g.cfg.Now(), g.state.life, epoch)
}

// Leader implements core.Permits.
func (g *Guard) Leader(id core.GroupID) (core.UpstreamID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.state.groups[id]
	return st.record.Target, st.version > 0 && !st.record.Held
}

// IsDeposed implements core.Permits.
func (g *Guard) IsDeposed(id core.GroupID, upstream core.UpstreamID) bool {
	rec, ok := g.Record(id)
	return ok && rec.IsDeposed(upstream)
}

// Hold implements core.Permits.
func (g *Guard) Hold(id core.GroupID) (core.Hold, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.state.groups[id]
	return core.Hold{Old: st.record.Old, Holder: st.record.Holder, Since: st.heldAt}, st.record.Held
}

// Record returns the group's last known record, or false if there is none.
func (g *Guard) Record(id core.GroupID) (Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.state.groups[id]
	return st.record, st.version > 0
}

// Event adopts a changed key of the store. It reports whether the key is that of a record.
func (g *Guard) Event(e core.Entry) bool {
	id, ok := strings.CutPrefix(e.Key, g.cfg.KeyPrefix)
	if !ok {
		return false
	}
	r, ok := decode(e.Value)
	if !ok {
		level.Warn(g.cfg.Log).Log("Msg", "invalid record of a group's leader ignored", "Key", e.Key, "Revision", e.Version)
		return true
	}
	g.adopt(core.GroupID(id), r, e.Version)
	return true
}

// adopt adopts a record unless a later one is known.
func (g *Guard) adopt(id core.GroupID, r Record, v core.Version) {
	g.mu.Lock()
	old := g.state.groups[id]
	next := old.apply(g.cfg.Now(), g.state.life, r, v)
	changed := next != old
	if changed {
		g.state.groups[id] = next
	}
	g.mu.Unlock()
	if !changed {
		return
	}
	level.Info(g.cfg.Log).Log("Msg", "leader's record changed", "Group", id, "Held", r.Held, "Old", r.Old, "Target", r.Target, "Holder", r.Holder, "Revision", v)
	g.cfg.Changed()
}

// Confirm renews the permits: the store had no other records than those known at the given time. It does nothing
// if a VM that wrote a hold by then didn't find this one, or if the store may have lacked records then because it had come
// back from an older copy. Votes renew the permits meanwhile: a VM that promotes has told the record to so many VMs that the
// others are no majority.
func (g *Guard) Confirm(at core.Instant) {
	if since := g.cfg.Eras.Since(); since != 0 && at < since.Add(RestoreTime) {
		return
	}
	if enlistedAt, ok := g.cfg.Members.EnlistedAt(); !ok || at < enlistedAt {
		return
	}
	g.mu.Lock()
	renewed := g.renew(&g.state.life.confirmedAt, at)
	g.mu.Unlock()
	if renewed {
		g.cfg.Changed()
	}
}

// renew advances one of the instants of the permits' life, and reports whether they had expired and no longer have.
// The caller holds mu.
func (g *Guard) renew(instant *core.Instant, at core.Instant) bool {
	now := g.cfg.Now()
	expired := now >= g.state.life.expiresAt()
	*instant = max(*instant, at)
	return expired && now < g.state.life.expiresAt()
}

// Write writes the record of a group over the last known one, and adopts it. It returns core.ErrVersionConflict
// if another VM has written one.
func (g *Guard) Write(ctx context.Context, id core.GroupID, r Record) error {
	g.mu.Lock()
	known := g.state.groups[id]
	g.mu.Unlock()
	r.Era, r.Number = max(known.record.Era, g.cfg.Eras.Newest()), known.record.Number+1
	return g.put(ctx, id, r, known.version)
}

// put writes a record over the one that has the given version, and adopts it.
func (g *Guard) put(ctx context.Context, id core.GroupID, r Record, known core.Version) error {
	v, err := g.cfg.Store.CompareAndSwap(ctx, g.cfg.KeyPrefix+string(id), r.encode(), known, "")
	if err != nil {
		return err
	}
	g.adopt(id, r, v)
	return nil
}

// Name implements core.Service.
func (g *Guard) Name() string { return "permit" }

// Run renews the permits by votes while the store confirms nothing, until ctx ends. It returns nil.
func (g *Guard) Run(ctx context.Context) error {
	ticker := time.NewTicker(voteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.restore(ctx)
			if g.needsVote() {
				g.vote(ctx)
			}
		}
	}
}

// needsVote reports whether the store has confirmed nothing for voteAfter, but recently enough that a vote
// counts.
func (g *Guard) needsVote() bool {
	if !g.cfg.Members.IsSettled() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	confirmedAt := g.state.life.confirmedAt
	age := g.cfg.Now().Sub(confirmedAt)
	return confirmedAt != 0 && age > voteAfter && age <= maxVotedTime
}
