package quota

import "time"

// Parts of the slack and of the excess. The rest covers the overlap of two keepers.
const (
	// poolPart is the part of the slack that buckets may hold beyond the burst.
	poolPart = 0.4
	// reservePart is the part of the slack for the capacity of the reserve, and again for what is added to it in a
	// window.
	reservePart = 0.1
	// transitPart is the part of the slack for tokens that are in transit.
	transitPart = 0.1
	// excessPart is the part of the excess that is used at all, for the drift of clocks.
	excessPart = 0.95
	// transitTime is how long tokens may be in transit where the excess has to cover it: the reserve refills meanwhile.
	// A VM with little processor time takes as long to answer.
	transitTime = 250 * time.Millisecond
	maxTransit  = time.Second
	// overlapTime is how long the reserves of two keepers may both be in use.
	overlapTime = drawTime
)

// Bound holds the settings of the bound: operations in any Window stay below
// (Rate*Window+Burst)*(1+Excess)+Slack.
type Bound struct {
	Window        time.Duration
	Excess, Slack float64
}

// Max returns the bound for the operations of an organisation in one window.
func (b Bound) Max(limit Limit) float64 {
	return (limit.Rate*b.Window.Seconds()+limit.Burst)*(1+b.Excess) + b.Slack
}

// transit returns how long after its request a VM may add tokens of an answer to its bucket.
func (b Bound) transit(limit Limit) time.Duration {
	ops := b.transitOps(limit) + transitPart*b.Slack
	return min(maxTransit, time.Duration(ops/limit.Rate*float64(time.Second)))
}

// transitOps returns how many operations of the excess are for tokens in transit.
func (b Bound) transitOps(limit Limit) float64 {
	return min(limit.Rate*transitTime.Seconds(), 0.75*b.excess(limit))
}

// pool returns how many operations all buckets may hold together: the burst, and parts of slack and excess.
func (b Bound) pool(limit Limit) float64 {
	return limit.Burst + poolPart*b.Slack + b.excess(limit) - b.transitOps(limit)
}

// capacity is how many operations a bucket with the right can hold.
func (b Bound) capacity(r Right, limit Limit) float64 {
	return r.Burst.of(b.pool(limit))
}

// excess returns how many operations of the excess are left for tokens in transit and for buckets.
func (b Bound) excess(limit Limit) float64 {
	overlap := hardReserve.Rate.of(limit.Rate) * overlapTime.Seconds()
	return max(0, excessPart*b.Excess*(limit.Rate*b.Window.Seconds()+limit.Burst)-overlap)
}
