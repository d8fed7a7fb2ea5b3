package orgs

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"snipewall/core"
	"snipewall/core/topo"
)

const revocation = 5 * time.Second

func newTestGuard(now func() core.Instant) (*Guard, *topo.Directory) {
	d := topo.NewDirectory()
	return NewGuard(Config{Directory: d, Revocation: revocation, Log: log.NewNopLogger(), Now: now}), d
}

func withKeys(version core.Version, keys map[string]core.OrganisationID) topo.Config {
	c := topo.Config{Version: version, NeedsKeys: true, Keys: make(map[topo.KeyDigest]core.OrganisationID)}
	for key, id := range keys {
		c.Keys[Digest(key)] = id
	}
	return c
}

// Guards against callers with unknown or withdrawn keys that are served, and public routes that ask for a key.
func TestIdentify(t *testing.T) {
	now := core.Instant(time.Hour)
	g, d := newTestGuard(func() core.Instant { return now })
	_, fault := g.Identify(topo.Route{}, Digest("any"))
	assert.Equal(t, fault, core.FaultNone, "nobody needs a key")
	d.Apply(withKeys(1, map[string]core.OrganisationID{"k1": "a", "k2": "b"}))
	_, fault = g.Identify(topo.Route{}, Digest("k1"))
	assert.Equal(t, fault, core.FaultBusy, "nothing is confirmed")
	g.Confirm(now)
	id, fault := g.Identify(topo.Route{}, Digest("k2"))
	assert.Equal(t, fault, core.FaultNone)
	assert.Equal(t, id, core.OrganisationID("b"))
	_, fault = g.Identify(topo.Route{}, Digest("other"))
	assert.Equal(t, fault, core.FaultUnauthorized)
	id, fault = g.Identify(topo.Route{Public: true}, Digest("other"))
	assert.Equal(t, fault, core.FaultNone)
	assert.Equal(t, id, core.OrganisationID(""))
	d.Apply(withKeys(2, map[string]core.OrganisationID{"k1": "a"}))
	_, fault = g.Identify(topo.Route{}, Digest("k2"))
	assert.Equal(t, fault, core.FaultUnauthorized)
	d.Apply(topo.Config{Version: 3, NeedsKeys: true})
	_, fault = g.Identify(topo.Route{}, Digest("k1"))
	assert.Equal(t, fault, core.FaultUnauthorized, "the last key was withdrawn")
}

// Guards against a configuration that can't be read and may withdraw keys, while its version counts as known.
func TestUnreadableConfiguration(t *testing.T) {
	now := core.Instant(time.Hour)
	g, d := newTestGuard(func() core.Instant { return now })
	d.Apply(withKeys(1, map[string]core.OrganisationID{"k": "a"}))
	g.Confirm(now)
	g.NoteReadable(false)
	now = now.Add(g.MaxAge() + time.Millisecond)
	g.Confirm(now)
	assert.Assert(t, !g.IsCurrent())
	g.NoteReadable(true)
	g.Confirm(now)
	assert.Assert(t, g.IsCurrent())
}

// The longest times of the feed that confirms the configuration.
const (
	// deafTime is how long the store's watches may hear nothing while changes are made.
	deafTime = time.Second
	// watchTime is the wait time of a watch, and callTime how long the answer of the store may take.
	watchTime = time.Second
	callTime  = 600 * time.Millisecond
)

// Guards against a withdrawn key in use later than the bound after the acknowledgement, whatever the phase of the
// watches, the pauses of the VM and the failures of the store. A caller's request is checked after it was sent.
func TestRevocationBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		withdrawnAt := time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "withdrawnMs")) * time.Millisecond
		deaf := time.Duration(rapid.IntRange(0, int(deafTime/time.Millisecond)).Draw(rt, "deafMs")) * time.Millisecond
		lostAt := time.Duration(rapid.IntRange(0, 25_000).Draw(rt, "lostMs")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			suspended := time.Duration(0)
			clock := func() core.Instant { return core.Instant(time.Hour + time.Since(began) + suspended) }
			now := func() time.Duration { return time.Since(began) + suspended }
			g, d := newTestGuard(clock)
			d.Apply(withKeys(1, map[string]core.OrganisationID{"k": "a"}))
			known := false
			confirm := func(at core.Instant, seen time.Duration) {
				if !known && seen >= withdrawnAt+deaf {
					d.Apply(withKeys(2, nil))
					known = true
				}
				g.Confirm(at)
			}
			confirm(clock(), now())
			for now() < withdrawnAt+2*revocation {
				wait := time.Duration(rapid.IntRange(1, int(watchTime/time.Millisecond)).Draw(rt, "watchMs")) * time.Millisecond
				time.Sleep(wait)
				at, seen := clock(), now()
				time.Sleep(time.Duration(rapid.IntRange(0, int(callTime/time.Millisecond)).Draw(rt, "callMs")) * time.Millisecond)
				if rapid.IntRange(0, 5).Draw(rt, "suspend") == 0 {
					suspended += time.Duration(rapid.IntRange(0, 4000).Draw(rt, "suspendMs")) * time.Millisecond
				}
				if seen < lostAt {
					confirm(at, seen)
				}
				_, fault := g.Identify(topo.Route{}, Digest("k"))
				if fault == core.FaultNone && now() > withdrawnAt+revocation {
					rt.Fatalf("in use %v after the withdrawal", now()-withdrawnAt)
				}
			}
		})
	})
}

// Guards against a sum of timers that leaves no time between a confirmation in calm and the end of the service of
// callers with keys: a watch, the margin of its answer, and a call of the store after that.
func TestCalmFeedConfirmsInTime(t *testing.T) {
	g, _ := newTestGuard(nil)
	assert.Assert(t, watchTime+callTime <= g.MaxAge())
	assert.Assert(t, g.MaxAge()+deafTime <= revocation)
	assert.Equal(t, FeedTarget(5*time.Second, revocation)/2, watchTime)
	assert.Equal(t, FeedTarget(3*time.Second, 0), 3*time.Second)
	// A store that is away for 0.6 of the bound isn't noticed.
	assert.Assert(t, g.MaxAge()-watchTime >= 11*revocation/20)
}

// Guards against a key that can be read from its digest, or a digest that differs between VMs.
func TestDigest(t *testing.T) {
	assert.Equal(t, Digest("a"), Digest("a"))
	assert.Assert(t, Digest("a") != Digest("b"))
	assert.Assert(t, Digest("") != topo.KeyDigest{})
}
