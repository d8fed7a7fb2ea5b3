package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core/topo"
)

// Guards against statements that are held beyond their objective, that are refused although they would be served within
// it, or that start so late that a write's outcome is unknown. A transaction's statements share the objective.
func TestStartTime(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name               string
		objective, timeout time.Duration
		inTx               bool
		want               time.Duration
	}{
		{"no objective", 0, 1000 * ms, false, 450 * ms},
		{"an objective below the timeout", 800 * ms, 3000 * ms, false, 700 * ms},
		{"a timeout that ends the run", 1000 * ms, 1000 * ms, false, 750 * ms},
		{"a transaction", 1000 * ms, 3000 * ms, true, 450 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, startTime(topo.Route{Objective: tt.objective, StatementTimeout: tt.timeout}, tt.inTx), tt.want)
		})
	}
}
