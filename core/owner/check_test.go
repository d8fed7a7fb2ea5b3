package owner

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against reads that wait long for a replica that is known to be far behind. Urgent reads wait
// least, and the redirect must name an upstream that can serve the read.
func TestReadOfLaggingReplica(t *testing.T) {
	behind := core.Position{Term: 1, Offset: 5}
	wanted := core.Position{Term: 1, Offset: 9}
	tests := []struct {
		name string
		rank core.Rank
		age  time.Duration
		wait time.Duration
	}{
		{"urgent read waits 5 ms", core.RankUrgent, time.Millisecond, 5 * time.Millisecond},
		{"middle read waits 20 ms", core.RankMiddle, time.Millisecond, 20 * time.Millisecond},
		{"last read waits 100 ms", core.RankLast, time.Millisecond, 100 * time.Millisecond},
		{"urgent read doesn't wait for 50 ms of lag", core.RankUrgent, 50 * time.Millisecond, 0},
		{"last read doesn't wait for 500 ms of lag", core.RankLast, 500 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, replica(behind), func(t *testing.T, f *fixture) {
				f.view.set(func(v *fakeView) { v.age = tt.age })
				req := f.request(core.ClassRead)
				req.Rank, req.Position, req.AcceptedAge = tt.rank, wanted, time.Hour
				began := time.Now()
				_, err := f.Execute(t.Context(), req, &caller{})
				var redirect *core.RedirectError
				assert.Assert(t, errors.As(err, &redirect), "%v", err)
				assert.Equal(t, redirect.Better, other)
				assert.Equal(t, time.Since(began), tt.wait)
			})
		})
	}
}

// Guards against reporting "has run before" for a write that an isolated primary committed and a
// failover then loses: the caller takes that answer for an acknowledgment.
func TestDuplicateIsConfirmed(t *testing.T) {
	duplicate := func(_ *Config, f *fixture) {
		f.view.index = core.Position{Term: 1, Offset: 9}
		f.up.before = func(context.Context, *core.Request) error { return &core.DuplicateError{ID: "r-81"} }
	}
	run(t, duplicate, func(t *testing.T, f *fixture) {
		_, err := f.Execute(t.Context(), f.request(core.ClassWrite), &caller{})
		var known *core.DuplicateError
		assert.Assert(t, errors.As(err, &known), "%v", err)

		f.view.set(func(v *fakeView) { v.index.Term = 2 })
		_, err = f.Execute(t.Context(), f.request(core.ClassWrite), &caller{})
		var unknown *core.UnknownOutcomeError
		assert.Assert(t, errors.As(err, &unknown), "the term ended: %v", err)
	})
	run(t, duplicate, func(t *testing.T, f *fixture) {
		f.up.before = func(context.Context, *core.Request) error {
			f.view.set(func(v *fakeView) { v.known = false })
			return &core.DuplicateError{ID: "r-81"}
		}
		_, err := f.Execute(t.Context(), f.request(core.ClassWrite), &caller{})
		var unknown *core.UnknownOutcomeError
		assert.Assert(t, errors.As(err, &unknown), "no majority: %v", err)
	})
}
