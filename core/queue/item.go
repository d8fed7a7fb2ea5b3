package queue

import (
	"time"

	"snipewall/core"
)

// Item is one request that waits for a slot or occupies one. An item is used once.
type Item struct {
	Kind core.Kind
	// Rank is the rank of a kind that has no row in the table.
	Rank core.Rank
	// InTx tells that the request belongs to an open transaction.
	InTx bool
	// OpensTx tells that the request opens a transaction.
	OpensTx bool
	// Deadline is when the answer is due; zero means never.
	Deadline time.Time

	arrived, started time.Time
	// latest is the last moment at which a start is useful.
	latest time.Time
	// state is the item's kind, rank the rank that its slot time is charged to.
	state *kindState
	rank  core.Rank
	// estimate is the service time that was charged at the start.
	estimate time.Duration
	// long tells that the item counts as a long statement while it runs.
	long bool
	// contested tells that work of another rank waited at the start.
	contested bool
	refusal   *Refusal
	// ready is closed once the item is started or refused.
	ready chan struct{}
}

// Waited returns the time between the arrival and the start.
func (it *Item) Waited() time.Duration { return it.started.Sub(it.arrived) }

// Refusal says that a request can't start in time. It has not run.
type Refusal struct {
	Reason string
	// RetryAfter hints when a repetition has a chance.
	RetryAfter time.Duration
}

func (e *Refusal) Error() string { return "refused: " + e.Reason }

// fifo holds waiting items in the order of their arrival.
type fifo []*Item

func (f *fifo) push(it *Item) { *f = append(*f, it) }

// remove takes the item out and reports whether it was in.
func (f *fifo) remove(it *Item) bool {
	for i, x := range *f {
		if x == it {
			copy((*f)[i:], (*f)[i+1:])
			(*f)[len(*f)-1] = nil
			*f = (*f)[:len(*f)-1]
			return true
		}
	}
	return false
}

// head returns the oldest item or nil.
func (f fifo) head() *Item {
	if len(f) == 0 {
		return nil
	}
	return f[0]
}

// dropLate removes the items whose start would be too late and appends them to late.
func (f *fifo) dropLate(now time.Time, late []*Item) []*Item {
	kept := (*f)[:0]
	for _, it := range *f {
		if now.After(it.latest) {
			it.refusal = &Refusal{Reason: "no slot became free in time", RetryAfter: now.Sub(it.arrived)}
			late = append(late, it)
			continue
		}
		kept = append(kept, it)
	}
	clear((*f)[len(kept):])
	*f = kept
	return late
}
