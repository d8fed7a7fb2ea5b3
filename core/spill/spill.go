// Package spill decides where a statement that several upstreams may serve runs, and when it pays to leave the caller's
// failure domain for that.
//
// Each upstream that may serve the statement is an Offer: the round trip to it, the wait for one of its slots, and the
// price of the bytes that leave the failure domain, all expressed as time. The VM sends the statement to the cheapest
// offer together with its patience: how long it may wait there before the next offer is better. The owner of the
// upstream, which alone knows its queue, refuses at once what would wait longer. So only that share of the work leaves
// which the nearer upstream can't serve in time, and no VM has to know what the others send.
//
// Two failure domains that both have a queue don't send to each other: what leaves must gain more than the round trip
// and the price, and the patience at the next offer is bounded by the wait that the first one told.
//
// # Usage
//
//	offers := []spill.Offer{{Wait: told.Left(now)}, {Hop: rtt, Toll: tariff.Toll(bytes)}}
//	i := spill.Cheapest(offers)
//	patience := spill.Patience(offers, i)
package spill

import "time"

// minPatience is the patience where another upstream is no worse. It is longer than a slot takes to pass from one
// statement to the next, so that a queue that only turns over isn't left.
const minPatience = 5 * time.Millisecond

// Offer is an upstream that may serve a statement.
type Offer struct {
	// Hop is the round trip to the upstream.
	Hop time.Duration
	// Wait is the expected time until the statement gets a slot, and Run that until its answer from then on.
	Wait, Run time.Duration
	// Toll is the price of the bytes between failure domains.
	Toll time.Duration
	// Burden is the price of what the statement takes from others on the upstream, or of a try that may be in vain.
	Burden time.Duration
	// Skip is set if the upstream must not be used.
	Skip bool
}

// Cost returns the expected time until the answer with all prices.
func (o Offer) Cost() time.Duration { return o.Hop + o.Wait + o.Run + o.Toll + o.Burden }

// Cheapest returns the index of the offer with the lowest cost, or -1 if all are skipped. Of equal ones it is the first.
func Cheapest(offers []Offer) int {
	best := -1
	for i := range offers {
		if offers[i].Skip {
			continue
		}
		if best < 0 || offers[i].Cost() < offers[best].Cost() {
			best = i
		}
	}
	return best
}

// Patience returns how long a statement may wait for a slot at the offer before the next one is better, or 0 if there is
// no other. A statement that finds a longer wait gains by leaving, round trip and price included.
func Patience(offers []Offer, i int) time.Duration {
	next := time.Duration(-1)
	for j := range offers {
		if j == i || offers[j].Skip {
			continue
		}
		if c := offers[j].Cost(); next < 0 || c < next {
			next = c
		}
	}
	if next < 0 {
		return 0
	}
	return max(minPatience, next-(offers[i].Cost()-offers[i].Wait))
}

// Told is the wait that the owner of an upstream told with an answer at At.
type Told struct {
	Wait time.Duration
	At   time.Time
}

// Left returns what is left of the wait. The statements that caused it are served meanwhile, and what has come since isn't
// known here: the owner refuses a statement if the wait is longer than its patience.
func (t Told) Left(now time.Time) time.Duration { return max(0, t.Wait-now.Sub(t.At)) }

// Tariff is the price of bytes between failure domains.
type Tariff struct {
	// PerKiB is the time that a caller may wait to save a KiB.
	PerKiB time.Duration
}

// Toll returns the price of a statement and its answer.
func (t Tariff) Toll(bytes int) time.Duration {
	return time.Duration(float64(t.PerKiB) * float64(bytes) / 1024)
}
