package queue

import "time"

const (
	// estimateWeight is the weight of a new sample in the moving average.
	estimateWeight = 0.1
	// estimateGrowth limits a sample to a multiple of the average, so that a single stalled
	// statement doesn't make the whole kind look long.
	estimateGrowth = 8
)

// estimate is a moving average of service times.
type estimate struct {
	mean  time.Duration
	known bool
}

func (e *estimate) add(d time.Duration) {
	if !e.known {
		e.mean, e.known = d, true
		return
	}
	d = min(d, estimateGrowth*max(e.mean, time.Millisecond))
	e.mean += time.Duration(estimateWeight * float64(d-e.mean))
}

func (e *estimate) value() time.Duration {
	if !e.known {
		return defaultService
	}
	return e.mean
}
