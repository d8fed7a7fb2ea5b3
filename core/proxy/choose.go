package proxy

import (
	"time"

	"snipewall/core/spill"
)

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
	// wait is the expected time until the read starts, and run that until its answer from then on.
	wait, run time.Duration
	// toll is the price of the bytes, if the upstream is in another failure domain.
	toll time.Duration
	// lagging is set if the upstream recently reported that it lacks the position.
	lagging bool
	// skip is set if it reported so repeatedly and must not be tried.
	skip bool
	// failing is set if its last statements got no answer.
	failing bool
	// faults is the price of the tries that fail.
	faults time.Duration
}

// offer returns the candidate with penalties for the load that the read puts on others and for tries in vain.
func (c candidate) offer() spill.Offer {
	o := spill.Offer{Hop: c.distance, Wait: c.wait, Run: c.run, Toll: c.toll, Burden: c.faults, Skip: c.skip}
	if c.primary {
		o.Burden += primaryPenalty
	}
	if c.lagging {
		o.Burden += lagPenalty
	}
	if c.failing {
		o.Burden += failPenalty
	}
	return o
}

// cheapest returns the index of the candidate with the lowest cost, or -1 if all are skipped, and how long the read may
// wait there before the next one is better. Load pattern: a surge of one kind of reads in one failure domain, of which
// the part spills over to others that would wait longer than the round trip.
func cheapest(cands []candidate) (int, time.Duration) {
	offers := make([]spill.Offer, len(cands))
	for i := range cands {
		offers[i] = cands[i].offer()
	}
	i := spill.Cheapest(offers)
	if i < 0 {
		return i, 0
	}
	return i, spill.Patience(offers, i)
}
