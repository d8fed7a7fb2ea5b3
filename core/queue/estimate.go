package queue

import (
	"math"
	"time"
)

const (
	// estimateWeight is the weight of a new sample in the moving average.
	estimateWeight = 0.1
	// maxSampleGrowth limits a sample to a multiple of the average, so that a single stalled statement
	// doesn't make the whole kind count as long.
	maxSampleGrowth = 8
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
	d = min(d, maxSampleGrowth*max(e.mean, time.Millisecond))
	e.mean += time.Duration(estimateWeight * float64(d-e.mean))
}

func (e *estimate) value() time.Duration {
	if !e.known {
		return defaultService
	}
	return e.mean
}

// meterWindow is the time constant of a meter.
const meterWindow = time.Second

// meter measures slot time per second, with exponential decay.
type meter struct {
	sum time.Duration
	at  time.Time
}

func (m *meter) add(now time.Time, d time.Duration) {
	m.sum = m.value(now) + d
	m.at = now
}

func (m *meter) value(now time.Time) time.Duration {
	if m.sum == 0 {
		return 0
	}
	return time.Duration(float64(m.sum) * math.Exp(-float64(now.Sub(m.at))/float64(meterWindow)))
}

// slots returns the average number of occupied slots.
func (m *meter) slots(now time.Time) float64 { return float64(m.value(now)) / float64(meterWindow) }
