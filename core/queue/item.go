package queue

import (
	"time"

	"snipewall/core"
)

// Item is one request that waits for a slot or occupies one. It can be used only once.
type Item struct {
	Kind core.Kind
	// Rank is used only for a kind that has no row in the table.
	Rank core.Rank
	// InTx is set if the request belongs to an open transaction.
	InTx bool
	// OpensTx is set if the request opens a transaction.
	OpensTx bool
	// Patience is the expected wait above which the item is refused at once, since it is served sooner elsewhere; 0
	// means no such limit.
	Patience time.Duration
	// KeepFree is the number of slots that an item with patience leaves to the work that can't go elsewhere: it is refused
	// at once if no more than these are free.
	KeepFree int
	// Deadline is when the answer is due; zero means no deadline.
	Deadline time.Time

	arrived, started time.Time
	// latestStart is the latest time at which a start is useful.
	latestStart time.Time
	// state is the state of the item's kind, and rank is the rank that its slot time is charged to.
	state *kindState
	rank  core.Rank
	// estimate is the service time that was charged at the start.
	estimate time.Duration
	// long is set if the item counts as a long statement while it runs.
	long bool
	// contested is set if work of another rank was waiting at the start.
	contested bool
	refusal   *Refusal
	// ready is closed when the item is started or refused.
	ready chan struct{}
}

// Waited returns the time between the arrival and the start.
func (it *Item) Waited() time.Duration { return it.started.Sub(it.arrived) }

// Refusal is the error of a request that can't start in time. The request has not run.
type Refusal struct {
	Reason string
	// RetryAfter suggests how long to wait before a retry; 0 means no suggestion.
	RetryAfter time.Duration
	// IsDeclined is set if the request was refused only because of its patience.
	IsDeclined bool
}

func (e *Refusal) Error() string { return "refused: " + e.Reason }

// fifo holds waiting items in order of arrival.
type fifo []*Item

func (f *fifo) push(it *Item) { *f = append(*f, it) }

// remove removes the item and reports whether it was waiting.
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

// head returns the oldest item, or nil.
func (f fifo) head() *Item {
	if len(f) == 0 {
		return nil
	}
	return f[0]
}

// dropExpired refuses the items that can no longer start in time and appends them to late.
func (f *fifo) dropExpired(now time.Time, late []*Item) []*Item {
	kept := (*f)[:0]
	for _, it := range *f {
		if now.After(it.latestStart) {
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
