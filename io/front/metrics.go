package front

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"snipewall/core"
)

// latencyBuckets covers 100 µs to 13 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)

// metrics holds the counters and histograms, so that requests don't look them up by name.
type metrics struct {
	scope          tally.Scope
	opened, closed tally.Counter
	requests       [core.ClassEnd + 1]tally.Counter
	local          tally.Counter
	latency        [core.RankCount]tally.Histogram

	mu     sync.RWMutex
	errors map[string]tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		scope:  scope,
		opened: scope.Counter("CallerConnectionsOpened"),
		closed: scope.Counter("CallerConnectionsClosed"),
		local:  scope.Counter("CallerLocalStatements"),
		errors: make(map[string]tally.Counter),
	}
	for c := range m.requests {
		m.requests[c] = scope.Tagged(map[string]string{"Class": core.Class(c).String()}).
			Counter("CallerRequests")
	}
	for r := range m.latency {
		m.latency[r] = scope.Tagged(map[string]string{"Rank": core.Rank(r).String()}).
			Histogram("CallerLatency", latencyBuckets)
	}
	return m
}

// countError counts an error that the listener itself reports, by SQLSTATE.
func (m *metrics) countError(state string) {
	m.mu.RLock()
	c := m.errors[state]
	m.mu.RUnlock()
	if c == nil {
		m.mu.Lock()
		c = m.scope.Tagged(map[string]string{"State": state}).Counter("CallerErrors")
		m.errors[state] = c
		m.mu.Unlock()
	}
	c.Inc(1)
}
