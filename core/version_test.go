package core

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an order of versions that follows revisions which the store gives out again, and against other numbers
// than revisions while the store has no eras.
func TestVersionsAreOrderedByEra(t *testing.T) {
	assert.Equal(t, Era(0).Start()+7, Version(7))
	ordered := []Version{1, Version(MaxRevision), Era(1).Start(), Era(1).Start() + 1, Era(2).Start() + 1, MaxEra.Start() + Version(MaxRevision)}
	for i, v := range ordered[1:] {
		assert.Assert(t, v > ordered[i], "%d after %d", v, ordered[i])
	}
	v := Era(3).Start() + 9
	assert.Equal(t, v.Era(), Era(3))
	assert.Equal(t, v.Revision(), uint64(9))
	assert.Assert(t, Era(8191).Start()+Version(MaxRevision) < 1<<53, "a reader of floating-point numbers confuses two tokens")
}
