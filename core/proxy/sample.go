package proxy

import (
	"time"

	"snipewall/core"
)

const (
	// sampleAgeShare is the share of the accepted age up to which another VM's sample may be old. The rest is the time in
	// which further reads can use it.
	sampleAgeShare = 0.8
	// clockSkewDivisor divides a sample's age to get the time by which the clocks of two VMs may differ meanwhile.
	clockSkewDivisor = 256
)

// sampleFor returns a sample of the group for a VM whose reads accept the age. Load pattern: so many VMs that each has
// few statements of a group, and thus few samples. Reads would await what the primary has now, which replicas lack for
// the time of their usual lag.
func (g *group) sampleFor(now core.Instant, maxAge time.Duration) core.Sample {
	if maxAge <= 0 {
		return core.Sample{}
	}
	at, position, ok := g.fresh.Oldest(now.Add(-time.Duration(sampleAgeShare * float64(maxAge))))
	if !ok {
		return core.Sample{}
	}
	age := now.Sub(at)
	return core.Sample{Position: position, Age: age + age/clockSkewDivisor}
}

// noteSample records the sample in an answer to a request that was sent after requestedAt. The age was counted when the
// answer was made, later than that, so that the sample is at least as new as recorded.
func (g *group) noteSample(requestedAt core.Instant, s core.Sample) {
	if !s.Position.IsZero() && g.admits() {
		g.fresh.Add(requestedAt.Add(-s.Age), s.Position)
	}
}
