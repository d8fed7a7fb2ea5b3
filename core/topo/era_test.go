package topo

import (
	"testing"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

func at(era core.Era, revision core.Version) core.Version { return era.Start() + revision }

func upstreamAt(id string, v core.Version) Upstream {
	u := upstream(id)
	u.Revision = v
	return u
}

// Guards against a list of upstreams that stays as it was before the store came back from an older copy: revisions are lower
// since, and given out again.
func TestUpstreamsOfNewEra(t *testing.T) {
	d := NewDirectory()
	d.Sync([]Upstream{upstreamAt("a", at(0, 50)), upstreamAt("b", at(0, 51))}, at(0, 60))
	d.Sync([]Upstream{upstreamAt("a", at(1, 20))}, at(1, 40))
	assert.Assert(t, !d.Snapshot().Upstreams["b"].MissingSince.IsZero())
	leaving := upstreamAt("a", at(1, 41))
	leaving.Leaving = true
	d.Put(leaving)
	assert.Assert(t, d.Snapshot().Upstreams["a"].Leaving)
}

// Guards against a listing or change of an older era that arrives after one of a newer one, from the store or a mirror.
func TestOldEraChangesNothing(t *testing.T) {
	d := NewDirectory()
	d.Sync([]Upstream{upstreamAt("a", at(1, 5))}, at(1, 5))
	d.Sync([]Upstream{upstreamAt("b", at(0, 90))}, at(0, 100))
	d.Put(upstreamAt("c", at(0, 101)))
	d.Remove("a", at(0, 102))
	assert.Equal(t, len(d.Snapshot().Upstreams), 1)
	assert.Assert(t, d.Snapshot().Upstreams["a"].MissingSince.IsZero())
}

// Guards against new work on an upstream whose departure the store has lost, until the upstream writes its entry again.
func TestLostDepartures(t *testing.T) {
	leaving, left := upstreamAt("a", at(0, 10)), upstreamAt("b", at(0, 11))
	leaving.Leaving, left.Leaving = true, true
	known := func() *Directory {
		d := NewDirectory()
		d.Sync([]Upstream{leaving, left, upstreamAt("c", at(0, 9))}, at(0, 12))
		d.Remove("b", at(0, 13))
		d.Sync([]Upstream{upstreamAt("a", at(1, 4)), upstreamAt("b", at(1, 5)), upstreamAt("c", at(1, 6))}, at(1, 7))
		return d
	}
	d := known()
	assert.Assert(t, d.Snapshot().Upstreams["a"].Leaving)
	assert.Equal(t, len(d.Snapshot().Group("g")), 2, "the upstream that has left is back")
	d.Sync([]Upstream{upstreamAt("a", at(1, 4)), upstreamAt("b", at(1, 5))}, at(1, 8))
	assert.Assert(t, d.Snapshot().Upstreams["a"].Leaving, "another listing has the same entry")
	d.Put(upstreamAt("a", at(1, 9)))
	d.Put(upstreamAt("b", at(1, 10)))
	assert.Assert(t, !d.Snapshot().Upstreams["a"].Leaving, "it was written again")
	assert.Equal(t, len(d.Snapshot().Group("g")), 3)

	restarted := upstreamAt("a", at(1, 8))
	restarted.Born = 7
	d = known()
	d.Sync([]Upstream{restarted}, at(1, 9))
	assert.Assert(t, !d.Snapshot().Upstreams["a"].Leaving, "it has started anew")
}
