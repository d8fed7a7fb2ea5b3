package proxy

import (
	"time"

	"github.com/uber-go/tally/v4"
)

type metrics struct {
	statements, faults, retries, refusals, dials, overloads, aborts, ownerDials, declined, crossings, lagRefusals, overQuota, unusable tally.Counter
	latency                                                                                                                            tally.Histogram
}

// latencyBuckets covers 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return metrics{
		statements:  scope.Counter("Statements"),
		faults:      scope.Counter("Faults"),
		retries:     scope.Counter("Retries"),
		refusals:    scope.Counter("Refusals"),
		dials:       scope.Counter("Dials"),
		overloads:   scope.Counter("ConnectionLimit"),
		ownerDials:  scope.Counter("OwnerDials"),
		declined:    scope.Counter("Declined"),
		lagRefusals: scope.Counter("LagRefusals"),
		crossings:   scope.Counter("Crossings"),
		overQuota:   scope.Counter("OverQuota"),
		unusable:    scope.Counter("UnusableConnections"),
		aborts:      scope.Counter("AbortedTransactions"),
		latency:     scope.Histogram("StatementTime", latencyBuckets),
	}
}
