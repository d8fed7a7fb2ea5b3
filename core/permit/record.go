package permit

import (
	"encoding/json"
	"time"

	"snipewall/core"
)

// Record is what the store holds about the leadership of a group, as JSON.
type Record struct {
	// Held is set from before a promotion until its result is known.
	Held bool
	// Old is the primary that is being replaced, Target the upstream that leads or shall lead.
	Old, Target core.UpstreamID
	// Holder is the VM that wrote the record.
	Holder core.VMID
	// Era is the era of the store in which the record was first written, and Number counts the records of the group. They
	// order the records that the store has lost and those that it has instead; see isNewer.
	Era    core.Era `json:",omitempty"`
	Number uint64   `json:",omitempty"`
	// Planned is set on a hold if the old primary works, so that statements in progress may end.
	Planned bool
	// TargetActs is set on a hold if the target acts as a primary although another one was promoted after it, so that this doesn't
	// show that it was promoted.
	TargetActs bool `json:",omitempty"`
}

// isNewer reports whether the record was written after another one of the group. One that was lost is newer than those
// that the copy of the store has, and older than those written since, whose writers waited for lost ones.
func (r Record) isNewer(than Record) bool {
	return r.Era > than.Era || r.Era == than.Era && r.Number > than.Number
}

// IsDeposed reports whether the upstream can't be the primary although it may act as one: only the upstreams that the record names
// can lead, and the target of a hold that has acted as a primary all the time only once its promotion has been answered.
func (r Record) IsDeposed(upstream core.UpstreamID) bool {
	if upstream == r.Target {
		return r.Held && r.TargetActs
	}
	return !r.Held || upstream != r.Old
}

// drain is how long statements in progress may take after the record became known.
func (r Record) drain() time.Duration {
	if r.Held && r.Planned {
		return drainTime
	}
	return 0
}

// decode decodes a record. It returns false if the value isn't one.
func decode(value []byte) (Record, bool) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil || r.Target == "" {
		return Record{}, false
	}
	return r, true
}

func (r Record) encode() []byte {
	// A struct of strings and a bool can always be encoded.
	data, _ := json.Marshal(r)
	return data
}
