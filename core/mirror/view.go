package mirror

import (
	"slices"
	"time"

	"snipewall/core"
)

const (
	// maxEvents is the number of changed keys that are kept for other VMs. A VM that is further behind must
	// list the entries again.
	maxEvents = 1024
	// unconfirmedAge is the age of a confirmation that there never was.
	unconfirmedAge = time.Hour
)

// view is what a VM knows of the keys with one prefix.
type view struct {
	// events holds the newest change of each key above minVersion, sorted by version. They are complete up
	// to maxVersion.
	events                 []core.Event
	minVersion, maxVersion core.Version
	// entries holds all keys, complete up to entriesAt; nil if they are unknown.
	entries   map[string]core.Entry
	entriesAt core.Version
	// listedAt is a time at which the last listing by this VM missed no change.
	listedAt core.Instant
	// isConfirmed is set if the store had no other changes at confirmedAt.
	isConfirmed bool
	confirmedAt core.Instant
	// isLost is set after a failure of the store, until there is a newer confirmation.
	isLost bool
	// hasLarge is set while this VM reads a change from the store that is too large to share.
	hasLarge bool
	// updated is closed at the next change, newer confirmation, failure of the store or large change.
	updated chan struct{}
	// source is the VM whose mirror the last watch used, empty for the store.
	source    core.VMID
	hasSource bool
	// standby replaces the store until storeRetryAt.
	standby      core.VM
	storeRetryAt time.Time
	// pausedUntil is until when a VM that follows others doesn't call the store, after the store has failed.
	pausedUntil time.Time
	// standbyTurn counts the attempts to find a standby.
	standbyTurn int
}

func newView() *view { return &view{updated: make(chan struct{})} }

// age returns how long ago the store confirmed the view.
func (v *view) age(now core.Instant) time.Duration {
	if !v.isConfirmed {
		return unconfirmedAge
	}
	return now.Sub(v.confirmedAt)
}

// reset sets the entries to a complete listing, to which later changes that are known are applied.
func (v *view) reset(entries []core.Entry, at core.Version) {
	if v.entries != nil && at < v.entriesAt {
		return
	}
	if at.Era() > v.maxVersion.Era() {
		// The store has lost an unknown part of the changes.
		v.events, v.minVersion, v.maxVersion = nil, at, at
		v.wake()
	}
	v.entries, v.entriesAt = make(map[string]core.Entry, len(entries)), at
	for _, e := range entries {
		v.entries[e.Key] = e
	}
	if at >= v.maxVersion {
		return
	}
	later, complete := v.eventsAfter(at)
	if !complete {
		v.entries = nil
		return
	}
	v.apply(at, later, v.maxVersion)
}

// apply applies the changes after a version to the entries.
func (v *view) apply(after core.Version, events []core.Event, at core.Version) {
	if after > v.entriesAt {
		// The changes in between are unknown.
		v.entries = nil
	}
	if v.entries == nil {
		return
	}
	for _, e := range events {
		switch {
		case e.Version < v.entries[e.Key].Version:
		case e.Deleted:
			delete(v.entries, e.Key)
		default:
			v.entries[e.Key] = e.Entry
		}
	}
	v.entriesAt = max(v.entriesAt, at)
}

// add adds the changes after a version, which are complete up to at. A zero confirmedAt confirms nothing. It
// reports whether there are changes or a newer confirmation.
func (v *view) add(after core.Version, events []core.Event, at core.Version, confirmedAt core.Instant) bool {
	if after.Era() < v.maxVersion.Era() {
		// A newer era was listed during the watch.
		return false
	}
	v.apply(after, events, at)
	v.hasLarge = false
	if after != v.maxVersion {
		// The VM has listed the entries since: the changes in between are unknown.
		v.events, v.minVersion = nil, after
	}
	for _, e := range events {
		// Older values of a key are of no use, and a configuration can be large.
		v.events = slices.DeleteFunc(v.events, func(old core.Event) bool { return old.Key == e.Key })
		v.events = append(v.events, e)
	}
	v.maxVersion = max(at, after)
	if n := len(v.events) - maxEvents; n > 0 {
		v.minVersion = v.events[n-1].Version
		v.events = slices.Clone(v.events[n:])
	}
	isNewer := confirmedAt != 0 && (!v.isConfirmed || confirmedAt > v.confirmedAt)
	if isNewer {
		v.isConfirmed, v.confirmedAt, v.isLost = true, confirmedAt, false
	}
	if len(events) == 0 && !isNewer {
		// Waking other VMs without news would make two that watch each other call without a pause.
		return false
	}
	v.wake()
	return true
}

// lose notes a failure of the store, so that other VMs don't wait for this one.
func (v *view) lose() {
	v.hasLarge = false
	if !v.isLost {
		v.isLost = true
		v.wake()
	}
}

// expectLarge notes that this VM is about to read a large change from the store, so that those that follow it read the
// change at the same time.
func (v *view) expectLarge() {
	v.hasLarge = true
	v.wake()
}

// confirmListing starts the view with a listing of the store, which was complete at listedAt. Afterwards only watches
// confirm the view, since a listing is not made by the one who follows the changes.
func (v *view) confirmListing(at core.Version, listedAt core.Instant) {
	if !v.isConfirmed && v.maxVersion == 0 {
		v.add(at, nil, at, listedAt)
	}
}

func (v *view) wake() {
	close(v.updated)
	v.updated = make(chan struct{})
}

// eventsAfter returns the newest changes after the version, and false if some are no longer known.
func (v *view) eventsAfter(after core.Version) ([]core.Event, bool) {
	if after < v.minVersion {
		return nil, false
	}
	i := slices.IndexFunc(v.events, func(e core.Event) bool { return e.Version > after })
	if i < 0 {
		return nil, true
	}
	return slices.Clone(v.events[i:]), true
}
