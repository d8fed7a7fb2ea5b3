package orgs

import (
	"crypto/hmac"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"snipewall/core"
	"snipewall/core/eras"
	"snipewall/core/topo"
)

// maxAgeShare is the share of the bound up to which a confirmation lets callers with keys work. The store's
// watches may hear nothing for a second while changes are made, and the rest covers that.
const maxAgeShare = 0.78

// FeedTarget returns the time within which the configuration must be known for its confirmations to be recent in
// calm. A watch takes half of it, and the rest of the bound is left for a store that is away for a moment.
func FeedTarget(configTarget, revocation time.Duration) time.Duration {
	if revocation <= 0 {
		return configTarget
	}
	return min(configTarget, 2*revocation/5)
}

// restoreTime is how long after a VM has seen a new era of the store a configuration that the store has lost may still be
// missing there. The operator writes it again.
const restoreTime = 2500 * time.Millisecond

// digestLabel keeps digests of keys apart from those of other texts.
var digestLabel = []byte("snipewall caller key")

// Digest returns the digest of a caller's key. Keys are long random texts, so that it can't be reversed by trying.
func Digest(key string) topo.KeyDigest {
	mac := hmac.New(sha256.New, digestLabel)
	_, _ = mac.Write([]byte(key))
	var d topo.KeyDigest
	copy(d[:], mac.Sum(nil))
	return d
}

// Config configures a Guard. Eras, Metrics and Now may be nil.
type Config struct {
	Directory *topo.Directory
	// Revocation is the time after which a withdrawn key must be out of use on all VMs, counted from the
	// acknowledgment of the configuration without it; 0 means that there is no bound.
	Revocation time.Duration
	// Eras keeps the newest era of the store; nil stands for a store that never comes back from a copy.
	Eras    *eras.Tracker
	Log     log.Logger
	Metrics tally.Scope
	// Now reads a clock that advances while the VM is suspended; nil stands for core.Now.
	Now func() core.Instant
}

// Guard identifies callers. It is safe for concurrent use.
type Guard struct {
	cfg                       Config
	unauthorized, unconfirmed tally.Counter

	mu sync.Mutex
	// confirmedAt is when the store had no configuration that this VM hasn't adopted; 0 if that was never so.
	confirmedAt core.Instant
	// isUnreadable is set while the newest configuration can't be read, so that nobody knows which keys it withdraws.
	isUnreadable bool
	// readAt is the newest version of the store at which its configuration was read. isOlder is set while that
	// configuration is older than the adopted one, so that the store may also lack newer ones.
	readAt  core.Version
	isOlder bool
	// isStale is set since callers with keys are refused.
	isStale bool
}

// NewGuard returns a guard to which nothing is confirmed.
func NewGuard(cfg Config) *Guard {
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	if cfg.Eras == nil {
		cfg.Eras = eras.New(eras.Config{Now: cfg.Now})
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	return &Guard{cfg: cfg, unauthorized: cfg.Metrics.Counter("Unauthorized"), unconfirmed: cfg.Metrics.Counter("KeysUnconfirmed")}
}

// Confirm records that the store had no other configuration than the adopted one at the given time. It does nothing while
// the store, come back from an older copy, may lack the newest configuration.
func (g *Guard) Confirm(at core.Instant) {
	if since := g.cfg.Eras.Since(); since != 0 && at < since.Add(restoreTime) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isUnreadable && !g.isOlder {
		g.confirmedAt = max(g.confirmedAt, at)
	}
}

// NoteReadable records whether the newest configuration could be read.
func (g *Guard) NoteReadable(ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isUnreadable = !ok
}

// NoteStored records that the store had the given version of the configuration, 0 if it had none, at a version of the store.
// It must be called after the configuration was adopted.
func (g *Guard) NoteStored(config, at core.Version) {
	adopted := g.cfg.Directory.Snapshot().Config.Version
	g.mu.Lock()
	defer g.mu.Unlock()
	if at < g.readAt {
		return
	}
	isOlder := config < adopted
	if isOlder != g.isOlder {
		level.Warn(g.cfg.Log).Log("Msg", "configuration in the store", "IsOlder", isOlder, "Stored", config, "Adopted", adopted)
	}
	g.readAt, g.isOlder = at, isOlder
}

// Identify returns the organisation of the key on the route. The fault is FaultUnauthorized if the key is unknown or
// was withdrawn, and FaultBusy if this VM can't tell whether it was withdrawn lately. A caller of a public route
// has no organisation.
func (g *Guard) Identify(route topo.Route, key topo.KeyDigest) (core.OrganisationID, core.Fault) {
	cfg := &g.cfg.Directory.Snapshot().Config
	if !cfg.NeedsKeys || route.Public {
		return "", core.FaultNone
	}
	organisation, ok := cfg.Keys[key]
	if !ok {
		g.unauthorized.Inc(1)
		return "", core.FaultUnauthorized
	}
	if !g.IsCurrent() {
		g.unconfirmed.Inc(1)
		return "", core.FaultBusy
	}
	return organisation, core.FaultNone
}

// IsCurrent reports whether the configuration was confirmed lately enough to serve callers with keys. It is true
// where there is no bound or nobody needs a key.
func (g *Guard) IsCurrent() bool {
	if g.cfg.Revocation <= 0 || !g.cfg.Directory.Snapshot().Config.NeedsKeys {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	age := g.cfg.Now().Sub(g.confirmedAt)
	isStale := g.confirmedAt == 0 || age > g.MaxAge()
	if isStale != g.isStale {
		g.isStale = isStale
		level.Info(g.cfg.Log).Log("Msg", "callers with keys", "Served", !isStale, "AgeMs", age.Milliseconds(), "Table", g.cfg.Directory.Snapshot().Config.Version)
	}
	return !isStale
}

// MaxAge is the age up to which a confirmation suffices.
func (g *Guard) MaxAge() time.Duration { return MaxAge(g.cfg.Revocation) }

// MaxAge is the age up to which a confirmation of the configuration suffices for the bound.
func MaxAge(revocation time.Duration) time.Duration {
	return time.Duration(maxAgeShare * float64(revocation))
}
