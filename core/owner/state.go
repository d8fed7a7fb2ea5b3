package owner

import (
	"snipewall/core"
	"snipewall/core/pool"
	"snipewall/core/queue"
)

// State is the state of an owner.
type State struct {
	Upstream core.UpstreamID
	// InFlight is the number of requests from outside a transaction, Open that of transactions.
	InFlight, Open int
	Draining       bool
	Queue          queue.State
	Pool           pool.Stats
	// RetriesLeft is the number of retries that may follow now.
	RetriesLeft float64
}

// Dump returns the owner's state, a State.
func (o *Owner) Dump() any { return o.State() }

// State returns the owner's state.
func (o *Owner) State() State {
	st := State{Upstream: o.id, Queue: o.queue.Dump(), Pool: o.pool.Stats(), RetriesLeft: o.retries.Left()}
	o.mu.Lock()
	defer o.mu.Unlock()
	st.InFlight, st.Open, st.Draining = o.inFlight, len(o.open), o.draining
	return st
}
