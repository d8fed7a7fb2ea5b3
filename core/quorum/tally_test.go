package quorum

import (
	"testing"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against counting upstreams towards a majority that have promised another term, have a longer
// log of an old primary, or have no known status.
func TestCountConfirmed(t *testing.T) {
	at := func(role core.Role, promised, term core.Term, offset core.Offset) member {
		return member{hasStatus: true, status: core.UpstreamStatus{Role: role, Promised: promised, Log: core.Position{Term: term, Offset: offset}}}
	}
	const p, r = core.RolePrimary, core.RoleReplica
	tests := []struct {
		name      string
		members   []member
		confirmed core.Position
		holds     bool
		primary   int
	}{
		{"all hold", []member{at(p, 2, 2, 9), at(r, 2, 2, 8), at(r, 2, 2, 7)}, core.Position{Term: 2, Offset: 8}, true, 0},
		{"rejoined with a longer old log", []member{at(p, 2, 2, 9), at(r, 2, 1, 20), at(r, 1, 1, 8)}, core.Position{}, false, -1},
		{"follows with a longer old log", []member{at(p, 2, 2, 9), at(r, 2, 1, 20), at(r, 2, 2, 6)}, core.Position{Term: 2, Offset: 6}, true, 0},
		{"one promised a higher term", []member{at(p, 2, 2, 9), at(r, 2, 2, 8), at(r, 3, 2, 9)}, core.Position{Term: 2, Offset: 8}, true, 0},
		{"majority promised a higher term", []member{at(p, 2, 2, 9), at(r, 3, 2, 9), at(r, 3, 2, 9)}, core.Position{}, false, -1},
		{"too few statuses", []member{at(p, 2, 2, 9), {}, {}}, core.Position{}, false, -1},
		{"five, two behind", []member{at(p, 4, 4, 9), at(r, 4, 4, 8), at(r, 4, 4, 7), at(r, 3, 3, 9), {}}, core.Position{Term: 4, Offset: 7}, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := newTally(tt.members, len(tt.members)/2+1)
			assert.Equal(t, got.isConfirmed, tt.holds)
			assert.Equal(t, got.confirmed, tt.confirmed)
			if tt.holds {
				assert.Equal(t, got.primary, tt.primary)
			}
		})
	}
}
