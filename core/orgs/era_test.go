package orgs

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/eras"
	"snipewall/core/topo"
)

// Guards against a confirmation by a store that has come back without the newest configuration, which may withdraw keys: while
// it has an older one than the adopted one, and for the time in which the operator writes again what this VM never saw.
func TestOlderConfigurationConfirmsNothing(t *testing.T) {
	now := core.Instant(time.Hour)
	clock := func() core.Instant { return now }
	e := eras.New(eras.Config{Now: clock})
	d := topo.NewDirectory()
	g := NewGuard(Config{Directory: d, Revocation: 5 * time.Second, Eras: e, Log: log.NewNopLogger(), Now: clock})
	d.Apply(topo.Config{Version: 8, NeedsKeys: true})
	g.NoteStored(8, 20)
	g.Confirm(now)
	assert.Assert(t, g.IsCurrent(), "a store without eras")

	e.Note(1)
	newEra := core.Era(1).Start()
	g.NoteStored(8, newEra+15)
	now = now.Add(restoreTime - time.Millisecond)
	g.Confirm(now)
	now = now.Add(g.MaxAge() - restoreTime + 2*time.Millisecond)
	assert.Assert(t, !g.IsCurrent(), "the store may have lost a newer configuration that this VM never saw")
	g.Confirm(now)
	assert.Assert(t, g.IsCurrent())

	e.Note(2)
	newEra = core.Era(2).Start()
	g.NoteStored(7, newEra+10)
	now = now.Add(time.Minute)
	g.Confirm(now)
	assert.Assert(t, !g.IsCurrent(), "the store has an older configuration")
	g.NoteStored(8, 21)
	g.Confirm(now)
	assert.Assert(t, !g.IsCurrent(), "an answer of the older era")
	g.NoteStored(0, newEra+11)
	g.Confirm(now)
	assert.Assert(t, !g.IsCurrent(), "the store has no configuration")
	g.NoteStored(8, newEra+12)
	g.Confirm(now)
	assert.Assert(t, g.IsCurrent())
}
