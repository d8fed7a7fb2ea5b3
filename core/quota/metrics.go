package quota

import "github.com/uber-go/tally/v4"

type metrics struct {
	// granted and refused count operations of limited organisations, waited those that found no right.
	granted, refused, waited tally.Counter
	// failures counts failed calls to the keeper, renewalsFailed failed renewals of the keeper's lease.
	failures, renewalsFailed tally.Counter
	// held is the number of organisations of which the VM holds rights, keeper is 1 on the keeper and 0 elsewhere.
	held, keeper tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return metrics{
		granted:        scope.Counter("Granted"),
		refused:        scope.Counter("Refused"),
		waited:         scope.Counter("Waited"),
		failures:       scope.Counter("KeeperFailures"),
		renewalsFailed: scope.Counter("RenewalsFailed"),
		held:           scope.Gauge("RightsHeld"),
		keeper:         scope.Gauge("IsKeeper"),
	}
}
