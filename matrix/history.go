package matrix

import (
	"time"

	"snipewall/core"
	"snipewall/core/elect"
	"snipewall/core/fakes"
)

// Op is one operation of a client. A write that isn't Done has an unknown outcome. Reads that fail
// and writes that were refused before they ran are not recorded.
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

// Sighting is what an entry VM took for the primary and the confirmed position.
type Sighting struct {
	At        time.Time
	Site      string
	Primary   core.UpstreamID
	Term      core.Term
	Confirmed core.Position
}

// Connection says from when on a majority was, or wasn't, connected.
type Connection struct {
	At       time.Time
	Majority bool
}

// History is everything that the checkers look at.
type History struct {
	Ops       []Op
	Sightings []Sighting
	Connected []Connection
	Changes   []elect.Change
	Reigns    map[core.Term][]core.UpstreamID
	// Logs are the logs at the end, by upstream, and States the statuses.
	Logs   map[core.UpstreamID][]fakes.Entry
	States map[core.UpstreamID]core.UpstreamStatus
	// Primary is the reigning primary at the end.
	Primary core.UpstreamID
	End     time.Time
}

// record takes the history so far.
func (w *World) record() History {
	h := History{
		Reigns:  w.Group.Reigns(),
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
