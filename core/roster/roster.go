// Package roster keeps the list of live entry VMs in the platform's store.
//
// Each entry VM writes an entry under a lease and renews the lease. A Roster holds the entries that
// the store's feed reports. An entry that disappears is kept for a grace time, since leases also end
// while the store is unwell; an entry VM that stops says so in its entry first. The list only
// distributes work: two entry VMs that disagree about it are both right.
//
// # Usage
//
//	r := roster.New(roster.Config{Self: vm, Store: store, Log: logger})
//	go func() { ended <- r.Run(ctx) }()
//	feed: r.Put(key, value), r.Remove(key), r.Sync(entries)
//	vms := r.Alive()
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
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
	// retryEvery is the time between attempts to write the entry.
	retryEvery = time.Second
	// missingGrace is how long a VM counts after its entry disappeared, enough to write it again.
	missingGrace = 4 * time.Second
)

// Config configures a Roster.
type Config struct {
	// Self is this entry VM.
	Self  core.VM
	Store core.Store
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
	written bool
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

// Put takes over an entry of the store.
func (r *Roster) Put(e core.Entry) {
	var vm core.VM
	if err := json.Unmarshal(e.Value, &vm); err != nil || Prefix+string(vm.ID) != e.Key {
		level.Warn(r.cfg.Log).Log("Msg", "entry of a VM can't be read", "Key", e.Key, "Err", err)
		return
	}
	if vm.ID == r.cfg.Self.ID {
		return
	}
	r.update(func(m map[core.VMID]member) { m[vm.ID] = member{vm: vm} })
}

// Remove notes that an entry is gone. This VM's own entry is written again.
func (r *Roster) Remove(key string) {
	id := core.VMID(strings.TrimPrefix(key, Prefix))
	if id == r.cfg.Self.ID {
		r.mu.Lock()
		r.written = false
		r.mu.Unlock()
		r.signal()
		return
	}
	r.update(func(m map[core.VMID]member) { markMissing(m, id) })
}

// Sync replaces the list by a complete listing.
func (r *Roster) Sync(entries []core.Entry) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
		r.Put(e)
	}
	r.update(func(m map[core.VMID]member) {
		for id := range m {
			if id != r.cfg.Self.ID && !listed[Prefix+string(id)] {
				markMissing(m, id)
			}
		}
	})
}

func markMissing(m map[core.VMID]member, id core.VMID) {
	v, ok := m[id]
	if !ok || !v.missing.IsZero() {
		return
	}
	if v.vm.Leaving {
		delete(m, id)
		return
	}
	v.missing = time.Now()
	m[id] = v
}

func (r *Roster) update(change func(m map[core.VMID]member)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.vms, func(_ core.VMID, m member) bool {
		return !m.missing.IsZero() && time.Since(m.missing) >= missingGrace
	})
	change(r.vms)
	close(r.changed)
	r.changed = make(chan struct{})
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

// Run keeps this VM's entry until ctx ends.
func (r *Roster) Run(ctx context.Context) error {
	lost := false
	for ctx.Err() == nil {
		err := r.keep(ctx)
		if (err != nil) != lost && ctx.Err() == nil {
			lost = err != nil
			level.Info(r.cfg.Log).Log("Msg", "entry of this VM", "Kept", !lost, "Err", err)
		}
		pause := renewEvery
		if err != nil {
			pause = retryEvery
		}
		timer := time.NewTimer(pause + rand.N(pause/10))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.wake:
		}
		timer.Stop()
	}
	return nil
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
	r.lease, r.written = id, r.leaving == leaving
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
