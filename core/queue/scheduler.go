package queue

import (
	"time"

	"snipewall/core"
)

// Defaults of Config and of kinds without a row in the table.
const (
	defaultQueueTime  = time.Second
	defaultMaxWaiting = 4096
	// defaultService is the expected service time of a kind without a measurement.
	defaultService = 5 * time.Millisecond
)

// Config configures the scheduler of one upstream. Policies is required.
type Config struct {
	// Slots is the maximum number of concurrent statements, at least 1.
	Slots int
	// MaxOpen limits the open transactions, since each one occupies a connection; 0 means no limit.
	MaxOpen int
	// MaxWaiting limits the waiting requests of one kind; 0 stands for 4096.
	MaxWaiting int
	// Policies is the operators' table.
	Policies core.Policies
}

// Scheduler decides the order in which requests get slots. It is used by one goroutine at a time, with
// times that never decrease. Each item that Add accepts leaves through exactly one of Next, Expire and
// Remove.
type Scheduler interface {
	// Add queues the item or refuses it.
	Add(now time.Time, it *Item) *Refusal
	// Next removes and returns the item that starts now, or returns nil if none may start.
	Next(now time.Time) *Item
	// Done ends an item that Next returned. ran reports whether its service time is valid.
	Done(now time.Time, it *Item, ran bool)
	// Expire removes and returns the items that can no longer start in time.
	Expire(now time.Time) []*Item
	// Remove removes a waiting item and reports whether it waited.
	Remove(it *Item) bool
	// Waiting returns the number of waiting items.
	Waiting() int
	// BeginTx and EndTx count open transactions. Next itself counts those of items with OpensTx.
	BeginTx()
	EndTx()
	// ExpectedWait estimates the wait of an item that would be added now.
	ExpectedWait(now time.Time, it *Item) time.Duration
	// Estimate returns the expected service time of the kind.
	Estimate(kind core.Kind) time.Duration
	// Dump returns a snapshot for status output.
	Dump() State
}

// State is a snapshot of a scheduler for status output.
type State struct {
	Slots, Running, OpenTransactions, Waiting int
	Kinds                                     []KindState `json:",omitempty"`
}

// KindState is a snapshot of one kind.
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

func (o *occupancy) isFull() bool    { return o.running >= o.slots }
func (o *occupancy) canOpenTx() bool { return o.maxOpen <= 0 || o.open < o.maxOpen }
func (o *occupancy) BeginTx()        { o.open++ }
func (o *occupancy) EndTx()          { o.open-- }

// start counts the item's slot and transaction.
func (o *occupancy) start(now time.Time, it *Item) {
	it.started = now
	o.running++
	if it.OpensTx {
		o.open++
	}
}
