package proxy

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/lead"
)

// Guards against a beginning that is lost when answers arrive at the same time, and against an allocation for each answer.
func TestBranchNotesFirstEntries(t *testing.T) {
	var b branch
	var notes sync.WaitGroup
	for i := range 8 {
		notes.Go(func() {
			for n := range core.Offset(1000) {
				b.note(core.Position{Term: core.Term(1 + i%2), Offset: 2000 - n - core.Offset(i)})
			}
		})
	}
	notes.Wait()
	assert.DeepEqual(t, b.get(), lead.Begins{{Term: 2, Offset: 994}, {Term: 1, Offset: 995}})
	assert.Equal(t, testing.AllocsPerRun(100, func() { b.note(core.Position{Term: 2, Offset: 3000}) }), 0.0)
}
