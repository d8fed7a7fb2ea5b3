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
	// Planned is set on a hold if the old primary works, so that statements in progress may end.
	Planned bool
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
