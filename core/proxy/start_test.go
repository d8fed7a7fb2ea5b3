package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core/topo"
)

// Guards against statements that are held until they can't end within their objective, and against callers that are
// refused so late that another try is late. A transaction's statements share the objective.
func TestStartTime(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name               string
		objective, timeout time.Duration
		inTx               bool
		want               time.Duration
	}{
		{"no objective", 0, 1000 * ms, false, 450 * ms},
		{"an objective below the share of the timeout", 800 * ms, 3000 * ms, false, 700 * ms},
		{"an objective above the share of the timeout", 1000 * ms, 1000 * ms, false, 450 * ms},
		{"a transaction", 800 * ms, 3000 * ms, true, 360 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, startTime(topo.Route{Objective: tt.objective, StatementTimeout: tt.timeout}, tt.inTx), tt.want)
		})
	}
}
