package owner

import (
	"snipewall/core"
	"snipewall/core/pool"
	"snipewall/core/queue"
)

// State is a snapshot of an owner for diagnosis.
type State struct {
	Upstream core.UpstreamID
	// InFlight is the number of requests outside of transactions, Open the number of open transactions.
	InFlight, Open int
	Draining       bool
	Queue          queue.State
	Pool           pool.Stats
	// RetriesLeft is the number of retries that the retry budget allows now.
	RetriesLeft float64
}

// Dump implements core.Dumper. It returns a State.
func (o *Owner) Dump() any { return o.State() }

// State returns the owner's state.
func (o *Owner) State() State {
	st := State{Upstream: o.id, Queue: o.queue.Dump(), Pool: o.pool.Stats(), RetriesLeft: o.retries.Left()}
	o.mu.Lock()
	defer o.mu.Unlock()
	st.InFlight, st.Open, st.Draining = o.inFlight, len(o.open), o.draining
	return st
}
