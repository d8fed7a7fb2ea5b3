package proxy

import "time"

const (
	// regionTime is the round trip between regions, and nearTime the one between failure domains of a
	// region. Deployments report one-way delays of 12 ms and about 1 ms.
	regionTime = 25 * time.Millisecond
	nearTime   = 2 * time.Millisecond
	// primaryPenalty keeps reads off the primary, whose slots are needed for what only it can do,
	// until a replica would answer this much later.
	primaryPenalty = 15 * time.Millisecond
	// lagPenalty is what a try at a replica costs that lacked the position moments ago.
	lagPenalty = 40 * time.Millisecond
	// failPenalty puts an upstream whose last statements got no answer behind all others.
	failPenalty = 2 * time.Second
)

// candidate is an upstream that could serve a read.
type candidate struct {
	primary bool
	// distance is the round trip to the upstream.
	distance time.Duration
	// wait is the expected time until its answer, without the round trip.
	wait time.Duration
	// lagging tells that it lacked the position moments ago.
	lagging bool
	// behind tells that it lacks the position for certain.
	behind bool
	// failing tells that its last statements got no answer.
	failing bool
}

// cost is the estimated time to the answer, with penalties for what the read costs others.
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

// cheapest returns the index of the candidate with the lowest cost, or -1 if none has the position. Load pattern: a surge of
// one kind of reads in one failure domain, which spills over to the other regions only once the
// wait at home exceeds the round trip.
func cheapest(cands []candidate) int {
	best := -1
	for i := range cands {
		if cands[i].behind {
			continue
		}
		if best < 0 || cands[i].cost() < cands[best].cost() {
			best = i
		}
	}
	return best
}
