package elect

import (
	"testing"

	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/quorum"
)

// Guards against promoting an upstream that may lack a confirmed entry.
func TestChoose(t *testing.T) {
	at := func(index int, term core.Term, offset core.Offset, leaving bool) promise {
		return promise{index: index, status: core.UpstreamStatus{Log: core.Position{Term: term, Offset: offset}, Leaving: leaving}}
	}
	tests := []struct {
		name     string
		reason   Reason
		promises []promise
		want     int
	}{
		{"highest term before longest log", ReasonSilent, []promise{at(1, 1, 9, false), at(2, 2, 5, false)}, 2},
		{"longest log of a term", ReasonSilent, []promise{at(1, 2, 5, false), at(2, 2, 6, false)}, 2},
		{"equal logs: the one that is not leaving", ReasonSilent, []promise{at(1, 2, 6, true), at(2, 2, 6, false)}, 2},
		{"failure: highest log even if leaving", ReasonSilent, []promise{at(1, 2, 6, true), at(2, 2, 5, false)}, 1},
		{"planned, all answered: entry only on the leaving one", ReasonLeaving, []promise{at(0, 2, 9, true), at(1, 2, 8, false), at(2, 2, 3, false)}, 1},
		{"planned, one without answer: any entry may be confirmed", ReasonLeaving, []promise{at(0, 2, 9, true), at(1, 2, 8, false)}, 0},
		{"planned, caught up, one without answer", ReasonLeaving, []promise{at(0, 2, 9, true), at(2, 2, 9, false)}, 2},
		{"planned, longer log of an old term", ReasonLeaving, []promise{at(0, 2, 9, true), at(1, 1, 20, false), at(2, 2, 8, false)}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(Config{Upstreams: make([]core.Upstream, 3), View: &fixedView{reports: make([]quorum.Report, 3)}})
			assert.Equal(t, d.choose(tt.promises, assessment{reason: tt.reason, primary: 0}).index, tt.want)
		})
	}
}
