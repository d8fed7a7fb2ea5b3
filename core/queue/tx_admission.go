package queue

import "time"

const (
	// txShare is the share of a kind's slot time that is reserved for new transactions while single
	// statements wait as well.
	txShare = 0.1
	// maxTxCredit limits the credit of new transactions, as a number of transactions.
	maxTxCredit = 2
	// txCountDecay is the factor by which the counts of transactions and their statements decay with
	// each new transaction.
	txCountDecay = 0.98
)

// txAdmission decides when a kind's waiting transactions begin. Load pattern: more work than slots. A
// transaction takes the slot time of all its statements, so single statements go first, since the same
// slots then serve more requests. New transactions keep a share.
type txAdmission struct {
	// txCount and followUpCount count transactions and their further statements, with decay.
	txCount, followUpCount float64
	// credit is the slot time reserved so far for new transactions.
	credit time.Duration
}

// cost is the expected slot time of a transaction with statements of the given service time.
func (a *txAdmission) cost(service time.Duration) time.Duration {
	return time.Duration((1 + a.followUpCount/max(a.txCount, 1)) * float64(service))
}

// noteStart updates the credit and the counts when the item starts.
func (a *txAdmission) noteStart(it *Item) {
	cost := a.cost(it.estimate)
	a.credit = min(a.credit+time.Duration(txShare*float64(it.estimate)), maxTxCredit*cost)
	switch {
	case it.OpensTx:
		a.credit = max(a.credit-cost, 0)
		a.txCount, a.followUpCount = txCountDecay*a.txCount+1, txCountDecay*a.followUpCount
	case it.InTx:
		a.followUpCount++
	}
}

// isDue reports whether a transaction may begin before single statements.
func (a *txAdmission) isDue(service time.Duration) bool { return a.credit >= a.cost(service) }

// slotTimeAhead returns the slot time that the kind uses before a transaction with this many others
// ahead of it begins, if single statements wait all the time.
func (a *txAdmission) slotTimeAhead(others int, service time.Duration) time.Duration {
	need := time.Duration(others+1)*a.cost(service) - a.credit
	return max(0, time.Duration(float64(need)/txShare))
}
