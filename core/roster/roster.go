// Package roster keeps the list of live entry VMs in the platform's store.
//
// Each entry VM writes an entry under a lease, renews the lease and lists the entries now and then: a
// watch would return to each VM for each other one that starts or stops. An entry that disappears is kept for a grace time, since leases also end
// while the store is unwell; an entry VM that stops says so in its entry first. The list only
// distributes work: two entry VMs that disagree about it are both right.
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
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
)

// Prefix starts the keys of the entries.
const Prefix = "snipewall/vms/"

const (
	// leaseTime is how long an entry outlives its VM, and renewEvery how often the lease is renewed.
	// Each call is charged, and a VM that is gone is passed over long before its lease ends.
	leaseTime  = 30 * time.Second
	renewEvery = 10 * time.Second
	// listEvery is the time between listings, and listFirst the one after the start, from which it
	// doubles: VMs often start together.
	listEvery = 5 * time.Second
	listFirst = 500 * time.Millisecond
	// callTime limits one listing.
	callTime = 2 * time.Second
	// retryEvery is the time between attempts to write the entry.
	retryEvery = time.Second
	// missingGrace is how long a VM counts after its entry disappeared: it finds that out with its next
	// listing, and the others with theirs.
	missingGrace = 2*listEvery + 2*time.Second
)

// Store is what a Roster needs of the platform's store.
type Store interface {
	core.Store
	ListStale(ctx context.Context, prefix string) ([]core.Entry, error)
}

// Config configures a Roster.
type Config struct {
	// Self is this entry VM.
	Self  core.VM
	Store Store
	Log   log.Logger
}

// Roster is the service "roster". It is safe for concurrent use.
type Roster struct {
	cfg  Config
	wake chan struct{}

	mu      sync.Mutex
	vms     map[core.VMID]member
	leaving bool
	changed chan struct{}
	lease   core.LeaseID
	// written tells that the entry says what it should, since writtenAt.
	written   bool
	writtenAt time.Time
}

type member struct {
	vm      core.VM
	missing time.Time
}

// New returns a roster that knows only this entry VM.
func New(cfg Config) *Roster {
	return &Roster{
		cfg: cfg, wake: make(chan struct{}, 1), changed: make(chan struct{}),
		vms: map[core.VMID]member{cfg.Self.ID: {vm: cfg.Self}},
	}
}

// Name implements core.Service.
func (r *Roster) Name() string { return "roster" }

// Alive returns the entry VMs, sorted by id, this one included.
func (r *Roster) Alive() []core.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]core.VM, 0, len(r.vms))
	for _, m := range r.vms {
		if m.missing.IsZero() || time.Since(m.missing) < missingGrace {
			out = append(out, m.vm)
		}
	}
	slices.SortFunc(out, func(a, b core.VM) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// list reads the entries. This VM's own entry is written again if it is gone.
func (r *Roster) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	entries, err := r.cfg.Store.ListStale(ctx, Prefix)
	if err != nil {
		return err
	}
	listed := make(map[core.VMID]core.VM, len(entries))
	for _, e := range entries {
		var vm core.VM
		if err := json.Unmarshal(e.Value, &vm); err != nil || Prefix+string(vm.ID) != e.Key {
			level.Warn(r.cfg.Log).Log("Msg", "entry of a VM can't be read", "Key", e.Key, "Err", err)
			continue
		}
		listed[vm.ID] = vm
	}
	r.take(listed)
	return nil
}

// take replaces the list of VMs.
func (r *Roster) take(listed map[core.VMID]core.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.cfg.Self.ID
	if _, ok := listed[self]; !ok && r.written && time.Since(r.writtenAt) > listEvery {
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
	if changed {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// markMissing starts the grace of a VM whose entry is gone, or drops it once that is over. It reports
// whether the list changed.
func markMissing(m map[core.VMID]member, id core.VMID) bool {
	v := m[id]
	switch {
	case v.vm.Leaving, !v.missing.IsZero() && time.Since(v.missing) >= missingGrace:
		delete(m, id)
		return true
	case v.missing.IsZero():
		v.missing = time.Now()
		m[id] = v
	}
	return false
}

// Leave tells the others that this VM stops.
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

// Run keeps this VM's entry and the list until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	lost := false
	var renewAt, listAt time.Time
	pause := listFirst
	for ctx.Err() == nil {
		now := time.Now()
		var err error
		if !now.Before(renewAt) || !r.isWritten() {
			err = r.keep(ctx)
			renewAt = now.Add(renewEvery)
		}
		if !now.Before(listAt) && err == nil {
			err = r.list(ctx)
			listAt = now.Add(pause)
			pause = min(2*pause, listEvery)
		}
		if (err != nil) != lost && ctx.Err() == nil {
			lost = err != nil
			level.Info(r.cfg.Log).Log("Msg", "list of VMs", "Kept", !lost, "Err", err)
		}
		next := listAt
		if err != nil {
			next = now.Add(retryEvery)
			renewAt, listAt = next, next
		}
		r.sleep(ctx, time.Until(next)+rand.N(retryEvery/10))
	}
	return nil
}

// sleep waits, at most until Leave is called.
func (r *Roster) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.wake:
	}
}

func (r *Roster) isWritten() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.written
}

// keep writes the entry, or renews its lease if it is written.
func (r *Roster) keep(ctx context.Context) error {
	r.mu.Lock()
	written, leaving, id := r.written, r.leaving, r.lease
	r.mu.Unlock()
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
		if id, err = r.cfg.Store.Grant(ctx, leaseTime); err != nil {
			return err
		}
	}
	vm := r.cfg.Self
	vm.Leaving = leaving
	if err := r.write(ctx, vm, id); err != nil {
		return err
	}
	r.mu.Lock()
	r.lease, r.written, r.writtenAt = id, r.leaving == leaving, time.Now()
	r.mu.Unlock()
	return nil
}

// write puts the entry over the one that an earlier incarnation may have left.
func (r *Roster) write(ctx context.Context, vm core.VM, id core.LeaseID) error {
	value, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	key := Prefix + string(vm.ID)
	_, err = r.cfg.Store.CompareAndSwap(ctx, key, value, 0, id)
	if !errors.Is(err, core.ErrVersionConflict) {
		return err
	}
	e, err := r.cfg.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = r.cfg.Store.CompareAndSwap(ctx, key, value, e.Version, id)
	return err
}
