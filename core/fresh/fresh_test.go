package fresh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"snipewall/core"
)

func at(ms int) core.Instant { return core.Instant(time.Duration(ms) * time.Millisecond) }

// Guards against using a sample that was requested before the instant.
func TestMinPosition(t *testing.T) {
	var tr Tracker
	_, ok := tr.MinPosition(0)
	assert.Assert(t, !ok)
	for i := 1; i <= 5; i++ {
		tr.Add(at(100*i), core.Position{Term: 1, Offset: core.Offset(i)})
	}
	tests := []struct {
		from, want int
	}{{0, 1}, {100, 1}, {101, 2}, {500, 5}}
	for _, tt := range tests {
		p, ok := tr.MinPosition(at(tt.from))
		assert.Assert(t, ok)
		assert.Equal(t, p.Offset, core.Offset(tt.want), "from %d", tt.from)
	}
	_, ok = tr.MinPosition(at(501))
	assert.Assert(t, !ok, "a sample from before the instant proves nothing")
}

// Guards against using a sample that was requested before the instant when samples are close together, old,
// out of order or more than the tracker keeps.
func TestMinPositionWithRandomSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr Tracker
		type added struct {
			requestedAt core.Instant
			p           core.Position
		}
		var all []added
		now := 1
		for i := range rapid.IntRange(1, 600).Draw(t, "samples") {
			now += rapid.IntRange(-5, 40).Draw(t, "step")
			a := added{at(max(now, 1)), core.Position{Term: 1, Offset: core.Offset(i + 1)}}
			tr.Add(a.requestedAt, a.p)
			all = append(all, a)
		}
		from := at(rapid.IntRange(0, now+50).Draw(t, "from"))
		p, ok := tr.MinPosition(from)
		if !ok {
			return
		}
		for _, a := range all {
			if a.p == p {
				assert.Assert(t, a.requestedAt >= from, "sample asked at %v for %v", a.requestedAt, from)
			}
		}
	})
}
