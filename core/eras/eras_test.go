package eras

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against the use of answers of an older era, and against a wait that ends before the time since this VM first saw
// the era.
func TestTracker(t *testing.T) {
	now := core.Instant(time.Hour)
	e := New(Config{Now: func() core.Instant { return now }})
	assert.Assert(t, e.Note(0))
	assert.Equal(t, e.Remaining(time.Minute), time.Duration(0), "a store without eras makes nobody wait")
	assert.Equal(t, e.Since(), core.Instant(0))
	changed := e.Changed()
	assert.Assert(t, e.Note(2))
	<-changed
	assert.Assert(t, !e.Note(1))
	assert.Assert(t, !e.Note(0))
	now = now.Add(40 * time.Second)
	assert.Assert(t, e.Note(2))
	assert.Equal(t, e.Remaining(time.Minute), 20*time.Second)
	assert.Assert(t, e.Note(3))
	assert.Equal(t, e.Remaining(time.Minute), time.Minute)
	now = now.Add(2 * time.Minute)
	assert.Equal(t, e.Remaining(time.Minute), time.Duration(0))
	assert.Equal(t, e.Newest(), core.Era(3))
}
