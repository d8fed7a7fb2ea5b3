package matrix

import (
	"time"

	"snipewall/core"
	"snipewall/core/elect"
	"snipewall/core/fakes"
)

// Op is an operation of a client. A write that isn't Done has an unknown outcome. Failed reads and writes
// that certainly had no effect are not recorded.
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

// Sighting is an entry VM's view of the primary and the confirmed position at one time.
type Sighting struct {
	At        time.Time
	Site      string
	Primary   core.UpstreamID
	Term      core.Term
	Confirmed core.Position
}

// Connection records whether a majority was connected, from At until the next Connection.
type Connection struct {
	At       time.Time
	Majority bool
}

// History is the record of a run that the checkers use.
type History struct {
	Ops       []Op
	Sightings []Sighting
	Connected []Connection
	Changes   []elect.Change
	Reigns    map[core.Term][]core.UpstreamID
	// Logs and States are the logs and statuses of the upstreams at the end.
	Logs   map[core.UpstreamID][]fakes.Entry
	States map[core.UpstreamID]core.UpstreamStatus
	// Primary is the primary at the end, or empty.
	Primary core.UpstreamID
	End     time.Time
}

// record returns the history so far.
func (w *World) record() History {
	h := History{
		Reigns:  w.Group.PrimariesByTerm(),
		Logs:    make(map[core.UpstreamID][]fakes.Entry),
		States:  make(map[core.UpstreamID]core.UpstreamStatus),
		Primary: w.Primary(),
		End:     time.Now(),
	}
	for _, id := range w.Group.IDs() {
		h.Logs[id] = w.Group.Log(id)
		h.States[id] = w.Group.State(id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	h.Ops = append([]Op(nil), w.history...)
	h.Sightings = append([]Sighting(nil), w.sightings...)
	h.Connected = append([]Connection(nil), w.connected...)
	h.Changes = append([]elect.Change(nil), w.changes...)
	return h
}
