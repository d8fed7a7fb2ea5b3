package queue

import (
	"time"

	"snipewall/core"
)

// Defaults of Config and of kinds without a row in the table.
const (
	defaultQueueTime  = time.Second
	defaultMaxWaiting = 4096
	// defaultService is the expected service time of a kind that has not run yet.
	defaultService = 5 * time.Millisecond
)

// Config describes the scheduler of one upstream.
type Config struct {
	// Slots is the number of statements that may execute at once.
	Slots int
	// MaxOpen limits the open transactions, since each one occupies a connection; 0 means no limit.
	MaxOpen int
	// MaxWaiting limits the waiting requests of one kind.
	MaxWaiting int
	// Policies is the operators' table.
	Policies core.Policies
}

// Scheduler decides the order in which requests get slots. Its methods are called by one goroutine
// at a time with a time that never goes back. Each item that Add accepts leaves through exactly one
// of Next, Expire and Remove.
type Scheduler interface {
	// Add lets the item wait, or refuses it.
	Add(now time.Time, it *Item) *Refusal
	// Next takes the item that starts now, or returns nil if none may.
	Next(now time.Time) *Item
	// Done ends an item that Next returned. ran tells whether its service time is valid.
	Done(now time.Time, it *Item, ran bool)
	// Expire takes out the items that can't start in time any more.
	Expire(now time.Time) []*Item
	// Remove takes out a waiting item and reports whether it waited.
	Remove(it *Item) bool
	// Waiting returns the number of waiting items.
	Waiting() int
	// BeginTx and EndTx count open transactions. Next counts an item that opens one by itself.
	BeginTx()
	EndTx()
	// Estimate returns the expected service time of the kind.
	Estimate(kind core.Kind) time.Duration
	// Dump returns the state.
	Dump() State
}

// State shows a scheduler's state.
type State struct {
	Slots, Running, OpenTransactions, Waiting int
	Kinds                                     []KindState `json:",omitempty"`
}

// KindState shows the state of one kind.
type KindState struct {
	Kind    core.Kind
	Rank    string
	Waiting int
	Running int
	// ServiceMs is the expected service time.
	ServiceMs float64
}

// occupancy counts the slots and open transactions of an upstream.
type occupancy struct {
	slots, maxOpen int
	running, open  int
}

func (o *occupancy) full() bool    { return o.running >= o.slots }
func (o *occupancy) mayOpen() bool { return o.maxOpen <= 0 || o.open < o.maxOpen }
func (o *occupancy) BeginTx()      { o.open++ }
func (o *occupancy) EndTx()        { o.open-- }

// start counts the item's slot and transaction.
func (o *occupancy) start(now time.Time, it *Item) {
	it.started = now
	o.running++
	if it.OpensTx {
		o.open++
	}
}
