package table

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"snipewall/core"
)

// Limits of the history in a record.
const (
	// maxRecent is the maximum number of edits in the history.
	maxRecent = 64
	// maxRecentBytes limits the size of the old rows in the history.
	maxRecentBytes = 128 << 10
	// maxRecordBytes limits the size of a record. It is the store's limit for a value.
	maxRecordBytes = 1 << 20
)

// DefaultKey is the key of the table in the platform's store.
const DefaultKey = "snipewall/table"

// record is the value in the store. Without the history, it is also what entry VMs send each other.
type record struct {
	Version core.Version
	Edit    core.EditID
	// Table is the canonical CSV form.
	Table string
	// Recent lists the most recent edits, this one included, oldest first.
	Recent []recentEdit `json:",omitempty"`

	table *Table
}

// recentEdit contains what is needed to undo one edit.
type recentEdit struct {
	Version core.Version
	Edit    core.EditID
	// Before contains the rows that the edit changed or removed, as CSV.
	Before string
	// Added lists the kinds that the edit added.
	Added []core.Kind `json:",omitempty"`
}

// decodeRecord reads and validates a record from the store or from a peer.
func decodeRecord(data []byte) (*record, error) {
	if len(data) > maxRecordBytes {
		return nil, core.ErrTable.New("record has %d bytes, want at most %d", len(data), maxRecordBytes)
	}
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, core.ErrTable.New("record: %v", err)
	}
	if r.Version == 0 {
		return nil, core.ErrTable.New("record: Version is 0, want at least 1")
	}
	t, err := Parse([]byte(r.Table))
	if err != nil {
		return nil, fmt.Errorf("record of version %d: %w", r.Version, err)
	}
	r.table = t
	return &r, nil
}

func (r *record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, core.ErrTable.Wrap(err)
	}
	if len(data) > maxRecordBytes {
		return nil, core.ErrTable.New("record has %d bytes, want at most %d", len(data), maxRecordBytes)
	}
	return data, nil
}

// withoutHistory returns the record without the history, which entry VMs don't need.
func (r *record) withoutHistory() *record {
	return &record{Version: r.Version, Edit: r.Edit, Table: r.Table, table: r.table}
}

// versionOfEdit returns the version that the edit created, or 0 if the history doesn't contain the edit.
func (r *record) versionOfEdit(id core.EditID) core.Version {
	if r.Version > 0 && r.Edit == id {
		return r.Version
	}
	for _, e := range r.Recent {
		if e.Edit == id {
			return e.Version
		}
	}
	return 0
}

// hasHistorySince reports whether the history contains every edit after the version.
func (r *record) hasHistorySince(version core.Version) bool {
	if r.Version <= version {
		return true
	}
	return len(r.Recent) > 0 && r.Recent[0].Version <= version+1
}

// next returns the record after an edit that replaces the table.
func (r *record) next(version core.Version, id core.EditID, t *Table) *record {
	undo := recentEdit{Version: version, Edit: id}
	var before []core.KindPolicy
	for _, c := range Diff(r.table, t) {
		if c.Before == nil {
			undo.Added = append(undo.Added, c.Kind)
			continue
		}
		before = append(before, *c.Before)
	}
	undo.Before = string(encode(before))
	return &record{
		Version: version, Edit: id, Table: string(t.CSV()),
		Recent: trimHistory(append(slices.Clone(r.Recent), undo)),
		table:  t,
	}
}

// trimHistory drops the oldest edits beyond the limits. It always keeps the newest one, whose id is
// needed to resolve a lost answer.
func trimHistory(list []recentEdit) []recentEdit {
	size := 0
	for i := len(list) - 1; i >= 0; i-- {
		size += len(list[i].Before)
		for _, kind := range list[i].Added {
			size += len(kind)
		}
		if size > maxRecentBytes || len(list)-i > maxRecent {
			return list[min(i+1, len(list)-1):]
		}
	}
	return list
}

// errHistoryTruncated means that an older version can't be restored anymore.
var errHistoryTruncated = errors.New("the base version is too old to restore")

// restore returns the table of the version and the kinds that any later edit has touched.
func (r *record) restore(version core.Version) (*Table, map[core.Kind]bool, error) {
	if !r.hasHistorySince(version) {
		return nil, nil, errHistoryTruncated
	}
	rows := make(map[core.Kind]core.KindPolicy)
	for _, row := range r.table.Kinds() {
		rows[row.Kind] = row
	}
	touched := make(map[core.Kind]bool)
	for i := len(r.Recent) - 1; i >= 0 && r.Recent[i].Version > version; i-- {
		before, err := Parse([]byte(r.Recent[i].Before))
		if err != nil {
			return nil, nil, fmt.Errorf("history of version %d: %w", r.Recent[i].Version, err)
		}
		for _, kind := range r.Recent[i].Added {
			delete(rows, kind)
			touched[kind] = true
		}
		for _, row := range before.Kinds() {
			rows[row.Kind] = row
			touched[row.Kind] = true
		}
	}
	return newTableFromMap(rows), touched, nil
}
