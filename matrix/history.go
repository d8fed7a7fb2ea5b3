package matrix

import (
	"time"

	"snipewall/core"
	"snipewall/core/elect"
	"snipewall/core/fakes"
)

// Op is an operation of a client. A write that isn't Done has an unknown outcome. Failed reads are not
// recorded, nor are writes that were refused before they had any effect.
type Op struct {
	Client int
	Site   string
	Key    string
	Write  bool
	Value  int
	// Position is the commit position of a write, or the read index of a read.
	Position   core.Position
	Start, End time.Time
	Done       bool
}

// Observation is an entry VM's view of the primary and the confirmed position at one time.
type Observation struct {
	At        time.Time
	Site      string
	Primary   core.UpstreamID
	Term      core.Term
	Confirmed core.Position
}

// Connectivity records whether a majority was connected, from At until the next Connectivity.
type Connectivity struct {
	At       time.Time
	Majority bool
}

// History is the record of a run that the checkers use.
type History struct {
	Ops             []Op
	Observations    []Observation
	Connected       []Connectivity
	Changes         []elect.Change
	PrimariesByTerm map[core.Term][]core.UpstreamID
	// Logs and States are the logs and statuses of the upstreams at the end.
	Logs   map[core.UpstreamID][]fakes.Entry
	States map[core.UpstreamID]core.UpstreamStatus
	// Primary is the primary at the end, or empty.
	Primary core.UpstreamID
	End     time.Time
}

// takeHistory returns the history so far.
func (sim *Simulation) takeHistory() History {
	h := History{
		PrimariesByTerm: sim.Group.PrimariesByTerm(),
		Logs:            make(map[core.UpstreamID][]fakes.Entry),
		States:          make(map[core.UpstreamID]core.UpstreamStatus),
		Primary:         sim.Primary(),
		End:             time.Now(),
	}
	for _, id := range sim.Group.IDs() {
		h.Logs[id] = sim.Group.Log(id)
		h.States[id] = sim.Group.State(id)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	h.Ops = append([]Op(nil), sim.ops...)
	h.Observations = append([]Observation(nil), sim.observations...)
	h.Connected = append([]Connectivity(nil), sim.connected...)
	h.Changes = append([]elect.Change(nil), sim.changes...)
	return h
}
