package queue

import "time"

const (
	// openShare is the share of a kind's slot time that is kept for transactions which wait to begin
	// while single statements wait as well.
	openShare = 0.1
	// openCredit limits what is saved up for them, in transactions.
	openCredit = 2
	// openMemory is the weight that the statements and transactions of before keep with each new
	// transaction, in the count of statements for one.
	openMemory = 0.98
)

// opening decides when a kind's waiting transactions begin. Load pattern: more work than slots. A
// transaction takes the slot time of all its statements, so that single statements go first: the same
// slots serve more requests. New transactions keep a share.
type opening struct {
	// opened and followed count transactions and their further statements, with decay.
	opened, followed float64
	// credit is the slot time saved up for new transactions.
	credit time.Duration
}

// cost is the slot time of a transaction whose statements take service each.
func (o *opening) cost(service time.Duration) time.Duration {
	return time.Duration((1 + o.followed/max(o.opened, 1)) * float64(service))
}

// started records that the item begins, with its expected service time.
func (o *opening) started(it *Item) {
	cost := o.cost(it.estimate)
	o.credit = min(o.credit+time.Duration(openShare*float64(it.estimate)), openCredit*cost)
	switch {
	case it.OpensTx:
		o.credit = max(o.credit-cost, 0)
		o.opened, o.followed = openMemory*o.opened+1, openMemory*o.followed
	case it.InTx:
		o.followed++
	}
}

// isDue reports whether a transaction may begin before single statements.
func (o *opening) isDue(service time.Duration) bool { return o.credit >= o.cost(service) }

// ahead returns the slot time of the kind that passes before a transaction begins that has so many
// others ahead, while single statements always wait.
func (o *opening) ahead(others int, service time.Duration) time.Duration {
	need := time.Duration(others+1)*o.cost(service) - o.credit
	return max(0, time.Duration(float64(need)/openShare))
}
