// Package roster maintains the list of live entry VMs in the platform's store.
//
// Each entry VM writes an entry under a lease, renews the lease and lists the entries periodically. A
// watch would cost more calls, since it would return on each VM whenever any other VM starts or stops.
// A VM whose entry disappears stays in the list for a grace period, since leases also expire during
// failures of the store. An entry VM that stops first marks its entry as leaving. The list is used only
// to distribute work, so that nothing breaks if the lists of two entry VMs differ.
//
// # Usage
//
//	r := roster.New(roster.Config{Self: vm, Store: store, Log: logger})
//	go func() { ended <- r.Run(ctx) }()
//	vms := r.Alive()
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/eras"
)

// Prefix is the prefix of the entries' keys; the VM's id follows.
const Prefix = "snipewall/vms/"

const (
	// leaseTTL is how long an entry remains after its VM has failed. It and renewInterval are long because
	// calls to the store are charged, and other VMs stop using a failed VM long before its lease ends.
	leaseTTL      = 30 * time.Second
	renewInterval = 10 * time.Second
	// The time between listings starts at firstListInterval and doubles up to listInterval, since VMs
	// often start at the same time.
	listInterval      = 5 * time.Second
	firstListInterval = 500 * time.Millisecond
	listTimeout       = 2 * time.Second
	// settleTime is how long after this VM got its entry a listing has all VMs that started at the same time: a
	// listing may be seconds old.
	settleTime = 8 * time.Second
	// foundTime is how long after this VM got its entry a listing has most VMs that started at the same time.
	foundTime = firstListInterval - 100*time.Millisecond
	// retryInterval is the time until the next attempt after a failed call.
	retryInterval = time.Second
	// missingGracePeriod is how long a VM stays in the list after its entry disappeared. The VM writes
	// it again after its own next listing, and the others see that with theirs.
	missingGracePeriod = 2*listInterval + 2*time.Second
)

// Store is the part of the platform's store that a Roster uses.
type Store interface {
	core.Store
	List(ctx context.Context, prefix string) ([]core.Entry, core.Version, error)
	ListStale(ctx context.Context, prefix string) ([]core.Entry, error)
}

// Config configures a Roster.
type Config struct {
	// Self is this entry VM.
	Self  core.VM
	Store Store
	// Eras keeps the newest era of the store; nil stands for a store that never comes back from a copy.
	Eras *eras.Tracker
	Log  log.Logger
}

// Roster maintains this VM's entry and the list of live entry VMs. It implements core.Service and is safe
// for concurrent use.
type Roster struct {
	cfg  Config
	wake chan struct{}

	alive atomic.Pointer[snapshot]

	mu      sync.Mutex
	vms     map[core.VMID]member
	leaving bool
	changed chan struct{}
	// enlistedAt is when the entry was first written in enlistedEra.
	enlistedAt  core.Instant
	enlistedEra core.Era
	// enlisted is closed when the entry is first written.
	enlisted chan struct{}
	// found is closed when the list was read foundTime after enlistedAt.
	found   chan struct{}
	isFound bool
	// settled is set once the list was read settleTime after enlistedAt.
	settled bool
	lease   core.LeaseID
	// written is set if the entry in the store is up to date, and writtenAt is when it was written.
	written   bool
	writtenAt time.Time
}

type member struct {
	vm           core.VM
	missingSince time.Time
}

// New returns a roster that lists only this entry VM until Run is called.
func New(cfg Config) *Roster {
	if cfg.Eras == nil {
		cfg.Eras = eras.New(eras.Config{})
	}
	return &Roster{
		cfg: cfg, wake: make(chan struct{}, 1), changed: make(chan struct{}), enlisted: make(chan struct{}), found: make(chan struct{}),
		vms: map[core.VMID]member{cfg.Self.ID: {vm: cfg.Self}},
	}
}

// Name implements core.Service.
func (r *Roster) Name() string { return "roster" }

// Alive returns the live entry VMs, including this one, sorted by id. The result is shared and must not be changed:
// copying it for each call would cost more the more VMs there are.
func (r *Roster) Alive() []core.VM {
	if s := r.alive.Load(); s != nil && (s.until.IsZero() || time.Now().Before(s.until)) {
		return s.vms
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.publish()
}

// snapshot is an immutable list of the live VMs.
type snapshot struct {
	vms []core.VM
	// until is when the grace period of a missing VM ends, or zero if none is missing.
	until time.Time
}

// publish computes the list of the live VMs. The caller holds mu.
func (r *Roster) publish() []core.VM {
	s := &snapshot{vms: make([]core.VM, 0, len(r.vms))}
	now := time.Now()
	for _, m := range r.vms {
		end := m.missingSince.Add(missingGracePeriod)
		if m.missingSince.IsZero() {
			s.vms = append(s.vms, m.vm)
			continue
		}
		if !now.Before(end) {
			continue
		}
		s.vms = append(s.vms, m.vm)
		if s.until.IsZero() || end.Before(s.until) {
			s.until = end
		}
	}
	slices.SortFunc(s.vms, func(a, b core.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	r.alive.Store(s)
	return s.vms
}

// Changed returns a channel that is closed at the next change of the list.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Enlisted returns a channel that is closed once this VM has an entry, so that listings by other VMs have it.
func (r *Roster) Enlisted() <-chan struct{} { return r.enlisted }

// Found returns a channel that is closed once this VM has an entry and its list has most VMs that started at the same
// time.
func (r *Roster) Found() <-chan struct{} { return r.found }

// EnlistedAt returns when this VM got its entry, or false if it has none yet. A store that has come back from an older copy
// may have lost it, until it is written again.
func (r *Roster) EnlistedAt() (core.Instant, bool) {
	newest := r.cfg.Eras.Newest()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.enlistedAt, r.enlistedAt != 0 && r.enlistedEra == newest
}

// IsSettled reports whether the list was read at least settleTime after this VM got its entry.
func (r *Roster) IsSettled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled
}

// Refresh updates the list with all VMs that have an entry at the time of the call.
func (r *Roster) Refresh(ctx context.Context) error {
	return r.updateFrom(ctx, func(ctx context.Context) ([]core.Entry, error) {
		entries, _, err := r.cfg.Store.List(ctx, Prefix)
		return entries, err
	})
}

// list reads the entries and updates the list.
func (r *Roster) list(ctx context.Context) error {
	return r.updateFrom(ctx, func(ctx context.Context) ([]core.Entry, error) { return r.cfg.Store.ListStale(ctx, Prefix) })
}

func (r *Roster) updateFrom(ctx context.Context, read func(ctx context.Context) ([]core.Entry, error)) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := core.Now()
	entries, err := read(ctx)
	if err != nil {
		return err
	}
	listed := make(map[core.VMID]core.VM, len(entries))
	for _, e := range entries {
		var vm core.VM
		if err := json.Unmarshal(e.Value, &vm); err != nil || Prefix+string(vm.ID) != e.Key {
			level.Warn(r.cfg.Log).Log("Msg", "invalid entry of a VM ignored", "Key", e.Key, "Err", err)
			continue
		}
		listed[vm.ID] = vm
	}
	r.update(listed)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled = r.settled || r.enlistedAt != 0 && began.Sub(r.enlistedAt) >= settleTime
	if !r.isFound && r.enlistedAt != 0 && began.Sub(r.enlistedAt) >= foundTime {
		r.isFound = true
		close(r.found)
	}
	return nil
}

// update updates the list from a listing. If this VM's own entry is missing, it will be written again.
func (r *Roster) update(listed map[core.VMID]core.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.cfg.Self.ID
	if _, ok := listed[self]; !ok && r.written && time.Since(r.writtenAt) > listInterval {
		r.written = false
	}
	changed := false
	for id, vm := range listed {
		if id != self && r.vms[id] != (member{vm: vm}) {
			r.vms[id] = member{vm: vm}
			changed = true
		}
	}
	for id := range r.vms {
		if _, ok := listed[id]; !ok && id != self {
			changed = markMissing(r.vms, id) || changed
		}
	}
	r.publish()
	if changed {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// markMissing handles a VM whose entry is missing. It removes a VM that was leaving or whose grace period
// is over, and starts the grace period of others. It reports whether it removed the VM.
func markMissing(m map[core.VMID]member, id core.VMID) bool {
	v := m[id]
	switch {
	case v.vm.Leaving, !v.missingSince.IsZero() && time.Since(v.missingSince) >= missingGracePeriod:
		delete(m, id)
		return true
	case v.missingSince.IsZero():
		v.missingSince = time.Now()
		m[id] = v
	}
	return false
}

// Leave marks this VM's entry as leaving. Run writes the entry.
func (r *Roster) Leave() {
	r.mu.Lock()
	r.leaving, r.written = true, false
	r.mu.Unlock()
	r.signal()
}

func (r *Roster) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run maintains this VM's entry and the list until ctx ends. It returns nil.
func (r *Roster) Run(ctx context.Context) error {
	failing := false
	var renewAt, listAt time.Time
	interval := firstListInterval
	for ctx.Err() == nil {
		now, changed := time.Now(), r.cfg.Eras.Changed()
		var err error
		if !now.Before(renewAt) || !r.isWritten() {
			err = r.refreshEntry(ctx)
			renewAt = now.Add(renewInterval)
		}
		if !now.Before(listAt) && err == nil {
			err = r.list(ctx)
			listAt = now.Add(interval)
			interval = min(2*interval, listInterval)
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			level.Info(r.cfg.Log).Log("Msg", "list of VMs", "Kept", !failing, "Err", err)
		}
		next := listAt
		if err != nil {
			next = now.Add(retryInterval)
			renewAt, listAt = next, next
		}
		r.sleep(ctx, time.Until(next)+rand.N(retryInterval/10), changed)
	}
	return nil
}

// sleep waits for d, or until Leave is called, the channel is closed or ctx ends.
func (r *Roster) sleep(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.wake:
	case <-changed:
	}
}

// isWritten reports whether the entry in the store is up to date. A newer era of the store may lack it.
func (r *Roster) isWritten() bool {
	newest := r.cfg.Eras.Newest()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written && r.enlistedEra == newest
}

// refreshEntry renews the lease, and writes the entry if it is missing or out of date.
func (r *Roster) refreshEntry(ctx context.Context) error {
	r.mu.Lock()
	leaving, id := r.leaving, r.lease
	r.mu.Unlock()
	written := r.isWritten()
	if id != "" {
		err := r.cfg.Store.KeepAlive(ctx, id)
		if errors.Is(err, core.ErrLeaseLost) {
			id, written = "", false
		} else if err != nil {
			return err
		}
	}
	if written {
		return nil
	}
	if id == "" {
		var err error
		if id, err = r.cfg.Store.Grant(ctx, leaseTTL); err != nil {
			return err
		}
	}
	vm := r.cfg.Self
	vm.Leaving = leaving
	at, err := r.writeEntry(ctx, vm, id)
	if err != nil {
		return err
	}
	r.mu.Lock()
	if r.enlistedAt == 0 {
		close(r.enlisted)
	}
	if r.enlistedAt == 0 || r.enlistedEra != at.Era() {
		r.enlistedAt, r.enlistedEra = core.Now(), at.Era()
	}
	r.lease, r.written, r.writtenAt = id, r.leaving == leaving, time.Now()
	r.mu.Unlock()
	return nil
}

// writeEntry writes the entry and returns its version. It replaces one that an earlier process of the same VM may have left.
func (r *Roster) writeEntry(ctx context.Context, vm core.VM, id core.LeaseID) (core.Version, error) {
	value, err := json.Marshal(vm)
	if err != nil {
		return 0, err
	}
	key := Prefix + string(vm.ID)
	at, err := r.cfg.Store.CompareAndSwap(ctx, key, value, 0, id)
	if !errors.Is(err, core.ErrVersionConflict) {
		return at, err
	}
	e, err := r.cfg.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	return r.cfg.Store.CompareAndSwap(ctx, key, value, e.Version, id)
}
