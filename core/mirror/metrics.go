package mirror

import "github.com/uber-go/tally/v4"

type metrics struct {
	// storeWatches and mirrorWatches count the watches by their source, mirrorFailures the watches that
	// a mirror didn't answer in time or refused.
	storeWatches, mirrorWatches, mirrorFailures tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return metrics{
		storeWatches:   scope.Counter("StoreWatches"),
		mirrorWatches:  scope.Counter("MirrorWatches"),
		mirrorFailures: scope.Counter("MirrorFailures"),
	}
}
