package quota

import (
	"math"
	"time"

	"snipewall/core"
)

const (
	// recentTime is the time over which the demand of an organisation is averaged, to compare it with the limit.
	recentTime = 3 * time.Second
	// slowTime is the time over which a VM's demand is averaged if it is so small that a shorter time would have
	// few operations.
	slowTime = 15 * time.Second
	// fastTime is the time after which a VM notices that its callers need less than it holds.
	fastTime = time.Second
)

// meter measures a rate of events, averaged with exponential weights.
type meter struct {
	rate float64
	at   core.Instant
}

func (m *meter) decay(now core.Instant, over time.Duration) float64 {
	if d := now.Sub(m.at); d > 0 {
		m.rate *= math.Exp(-d.Seconds() / over.Seconds())
		m.at = now
	}
	return m.rate
}

// add notes one event.
func (m *meter) add(now core.Instant, over time.Duration) {
	m.decay(now, over)
	m.rate += 1 / over.Seconds()
}

// demand measures the operations of an organisation's callers on a VM.
type demand struct{ fast, recent, slow meter }

func (d *demand) add(now core.Instant) {
	d.fast.add(now, fastTime)
	d.recent.add(now, recentTime)
	d.slow.add(now, slowTime)
}

// hold makes the demand the same as at the last call of another method.
func (d *demand) hold(now core.Instant) { d.fast.at, d.recent.at, d.slow.at = now, now, now }

// rate returns the average rate. A higher recent one counts as far as it can't be chance.
func (d *demand) rate(now core.Instant) float64 {
	recent := d.recent.decay(now, recentTime)
	slow := d.slow.decay(now, slowTime)
	chance := math.Sqrt(recent / (2 * recentTime.Seconds()))
	return max(recent-chance, min(slow, recent+2*chance))
}
