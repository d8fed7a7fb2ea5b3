package proxy

import "time"

const (
	// interRegionRTT and intraRegionRTT are the round trips to another region and to another failure
	// domain of the same region. Deployments report one-way delays of 12 ms and about 1 ms.
	interRegionRTT = 25 * time.Millisecond
	intraRegionRTT = 2 * time.Millisecond
	// primaryPenalty keeps reads off the primary unless a replica would answer this much later: only
	// the primary can run writes and strict reads.
	primaryPenalty = 15 * time.Millisecond
	// lagPenalty is the cost of trying a replica that has just reported that it lacks the position.
	lagPenalty = 40 * time.Millisecond
	// failPenalty ranks an upstream whose last statements got no answer behind all others.
	failPenalty = 2 * time.Second
)

// candidate is an upstream that could serve a read.
type candidate struct {
	primary bool
	// distance is the round-trip time to the upstream.
	distance time.Duration
	// wait is the expected time until the answer, without the round trip.
	wait time.Duration
	// lagging is set if the upstream recently reported that it lacks the position.
	lagging bool
	// skip is set if it reported so repeatedly and must not be tried.
	skip bool
	// failing is set if its last statements got no answer.
	failing bool
}

// cost is the estimated time to the answer, with penalties for the load that the read puts on others.
func (c candidate) cost() time.Duration {
	d := c.distance + c.wait
	if c.primary {
		d += primaryPenalty
	}
	if c.lagging {
		d += lagPenalty
	}
	if c.failing {
		d += failPenalty
	}
	return d
}

// cheapest returns the index of the candidate with the lowest cost, or -1 if all are skipped. Load
// pattern: a surge of one kind of reads in one failure domain, which spills over to other regions only
// once the local wait exceeds the round trip.
func cheapest(cands []candidate) int {
	best := -1
	for i := range cands {
		if cands[i].skip {
			continue
		}
		if best < 0 || cands[i].cost() < cands[best].cost() {
			best = i
		}
	}
	return best
}
