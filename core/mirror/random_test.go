package mirror

import (
	"context"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"snipewall/core"
)

var (
	fleetSeed  = flag.Uint64("fleet.seed", 1, "first seed of TestLateChangeRandomFaults")
	fleetSeeds = flag.Uint64("fleet.seeds", defaultSeeds, "number of seeds of TestLateChangeRandomFaults")
)

const (
	// defaultSeeds is the number of runs with random faults.
	defaultSeeds = 30
	// skewTime is how much longer a change may take while the store turns VMs away or drops its history.
	skewTime = 15 * time.Second
	// faultyTime is how long each run injects faults.
	faultyTime = time.Minute
)

// faults injects random faults into a fleet, and knows which VMs must have which changes.
type faults struct {
	*simulation
	rnd *rand.Rand
	// unstable is until when changes may be late at the VM, skewed until when they may take skewTime
	// longer. Both are guarded by simulation.mu.
	unstable, skewed map[core.VMID]time.Time
	stop             map[core.VMID]context.CancelFunc
	// aloneAt is when the store refused the VM and it reached no VM with a current view.
	aloneAt map[core.VMID]time.Time
	// withEras is set if the store also comes back from older copies.
	withEras bool
	// acked holds the changes in the order of their versions.
	acked []ackedChange
}

// ackedChange is a change of the store and when it was acknowledged.
type ackedChange struct {
	version core.Version
	at      time.Time
}

// Guards against changes that are late at a VM without faults of its own when faults overlap: VMs that don't
// reach each other, restart, leave or have different lists, a store that turns VMs away, doesn't answer them
// or drops its history, and changes of any size.
func TestLateChangeRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := *fleetSeed; seed < *fleetSeed+*fleetSeeds; seed++ {
		synctest.Test(t, func(t *testing.T) { runFaults(t, seed, oneDomain, false) })
		synctest.Test(t, func(t *testing.T) { runFaults(t, seed, tree, false) })
		if t.Failed() {
			t.Fatalf("to repeat: go test ./core/mirror -run TestLateChangeRandomFaults -fleet.seed %d -fleet.seeds 1", seed)
		}
	}
}

// Guards against the same while the store also comes back from copies that lack up to 40 changes: a VM that keeps what it knew
// before, or that a VM with an older view confirms.
func TestLateChangeRandomEras(t *testing.T) {
	for seed := *fleetSeed; seed < *fleetSeed+*fleetSeeds; seed++ {
		synctest.Test(t, func(t *testing.T) { runFaults(t, seed, oneDomain, true) })
		synctest.Test(t, func(t *testing.T) { runFaults(t, seed, tree, true) })
		if t.Failed() {
			t.Fatalf("to repeat: go test ./core/mirror -run TestLateChangeRandomEras -fleet.seed %d -fleet.seeds 1", seed)
		}
	}
}

func runFaults(t *testing.T, seed uint64, l layout, withEras bool) {
	f := &faults{
		simulation: newSimulation(t, l), rnd: rand.New(rand.NewPCG(seed, 5)), unstable: map[core.VMID]time.Time{},
		skewed: map[core.VMID]time.Time{}, stop: map[core.VMID]context.CancelFunc{}, aloneAt: map[core.VMID]time.Time{},
		withEras: withEras,
	}
	if l == oneDomain {
		// The first and third VM are in another failure domain.
		for _, i := range []int{0, 2} {
			f.vms[i].FailureDomain = "there"
			f.startMirror(f.vms[i])
		}
	}
	for _, l := range f.links {
		if f.rnd.IntN(2) == 0 {
			l.set(func(l *link) { l.sendRate, l.transferTime = linkRate, 50*time.Millisecond })
		}
	}
	defer f.group.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, vm := range f.vms {
		f.start(ctx, vm)
	}
	f.group.Go(func() { f.changeStore(ctx, rand.New(rand.NewPCG(seed, 6))) })
	f.group.Go(func() { f.check(ctx) })
	for end := time.Now().Add(faultyTime); time.Now().Before(end); {
		f.inject(ctx)
		time.Sleep(time.Duration(f.rnd.IntN(1500)) * time.Millisecond)
	}
	time.Sleep(skewTime + stableTime)
}

// start starts the VM's feed.
func (f *faults) start(ctx context.Context, vm core.VM) {
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	f.stop[vm.ID] = cancel
	f.mu.Unlock()
	f.mark(f.unstable, vm.ID, 0)
	f.run(ctx, vm.ID)
}

// mark notes that the VM has a fault for d from now.
func (f *faults) mark(until map[core.VMID]time.Time, id core.VMID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := time.Now().Add(d + stableTime); t.After(until[id]) {
		until[id] = t
	}
}

// changeStore changes the key until ctx ends, at times in quick succession.
func (f *faults) changeStore(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		f.store.mu.Lock()
		f.store.value = make([]byte, []int{1 << 10, 20 << 10, 200 << 10}[rnd.IntN(3)])
		f.store.mu.Unlock()
		f.store.change()
		f.mu.Lock()
		f.acked = append(f.acked, ackedChange{f.store.newest(), time.Now()})
		f.mu.Unlock()
		time.Sleep(time.Duration([]int{100, 400, 3000}[rnd.IntN(3)]) * time.Millisecond)
	}
}

// check compares what the VMs know with what they must know, until ctx ends.
func (f *faults) check(ctx context.Context) {
	for ctx.Err() == nil && !f.t.Failed() {
		time.Sleep(20 * time.Millisecond)
		f.mu.Lock()
		for _, vm := range f.vms {
			now, limit := time.Now(), applyTime
			if f.links[vm.ID].get().storeRefuses && !f.reachesCurrent(vm) {
				f.aloneAt[vm.ID] = now
			}
			if now.Before(f.unstable[vm.ID]) {
				continue
			}
			if now.Before(f.skewed[vm.ID]) {
				if f.latest[vm.ID] == 0 || now.Sub(f.aloneAt[vm.ID]) < stableTime {
					// A VM that started while the store refused it isn't ready.
					continue
				}
				limit += skewTime
			}
			if c, ok := f.required(now.Add(-limit)); ok && f.latest[vm.ID] < c.version {
				f.t.Errorf("VM %s knows version %d and not %d, acknowledged %v ago", vm.ID, f.latest[vm.ID], c.version, now.Sub(c.at))
			}
		}
		f.mu.Unlock()
	}
}

// reachesCurrent reports whether the VM can call another one that has had no fault for some time. The caller
// holds mu.
func (f *faults) reachesCurrent(vm core.VM) bool {
	if f.links[vm.ID].get().isolated {
		return false
	}
	list, ok := f.lists[vm.ID]
	if !ok {
		list = f.vms
	}
	return slices.ContainsFunc(list, func(o core.VM) bool {
		l, now := f.links[o.ID].get(), time.Now()
		return o.ID != vm.ID && !l.storeRefuses && !l.storeSilent && !l.deaf && !l.mute && now.After(f.unstable[o.ID])
	})
}

// required returns the newest change that was acknowledged before the given time. The caller holds mu.
func (f *faults) required(before time.Time) (ackedChange, bool) {
	for _, c := range slices.Backward(f.acked) {
		if c.at.Before(before) {
			return c, true
		}
	}
	return ackedChange{}, false
}

// inject starts a random fault.
func (f *faults) inject(ctx context.Context) {
	vm := f.vms[f.rnd.IntN(len(f.vms))]
	d := time.Duration(f.rnd.IntN(7000)) * time.Millisecond
	kinds := 9
	if f.withEras {
		kinds = 11
	}
	switch f.rnd.IntN(kinds) {
	case 0:
		f.changeLink(vm, d, func(l *link, on bool) { l.deaf = on })
	case 1:
		f.changeLink(vm, d, func(l *link, on bool) { l.mute = on })
	case 2:
		f.changeLink(vm, d, func(l *link, on bool) { l.isolated = on })
	case 3:
		f.mark(f.unstable, vm.ID, d)
		f.changeLink(vm, d, func(l *link, on bool) { l.storeSilent = on })
	case 4:
		f.mark(f.unstable, vm.ID, d)
		f.changeLink(vm, d, func(l *link, on bool) { l.storeSilent, l.deaf, l.mute, l.isolated = on, on, on, on })
	case 5:
		// Longer than a change may take, so that it has to come from another VM.
		d += skewTime + applyTime
		f.mark(f.skewed, vm.ID, d)
		f.changeLink(vm, d, func(l *link, on bool) { l.storeRefuses = on })
	case 6:
		f.restart(ctx, vm, d/4)
	case 7:
		f.changeList(vm)
	case 8:
		mutedFor := min(d, time.Second)
		for _, vm := range f.vms {
			f.mark(f.skewed, vm.ID, mutedFor)
		}
		f.group.Go(func() { f.store.forget(mutedFor) })
	case 9, 10:
		for _, vm := range f.vms {
			f.mark(f.skewed, vm.ID, 0)
		}
		f.store.comeBack(f.rnd.Uint64N(40))
	}
}

// changeLink changes the VM's link for d. Overlapping faults of one link end with the first of them.
func (f *faults) changeLink(vm core.VM, d time.Duration, set func(l *link, on bool)) {
	f.links[vm.ID].set(func(l *link) { set(l, true) })
	f.group.Go(func() {
		time.Sleep(d)
		f.links[vm.ID].set(func(l *link) { set(l, false) })
	})
}

// restart stops the VM and starts it again after d.
func (f *faults) restart(ctx context.Context, vm core.VM, d time.Duration) {
	f.mu.Lock()
	stop := f.stop[vm.ID]
	f.mu.Unlock()
	stop()
	f.mark(f.unstable, vm.ID, d)
	f.changeLink(vm, d, func(l *link, on bool) { l.deaf = on })
	f.group.Go(func() {
		time.Sleep(d)
		f.startMirror(vm)
		f.start(ctx, vm)
	})
}

// changeList makes the VM's list of VMs lack some of them, or none.
func (f *faults) changeList(vm core.VM) {
	lacking := f.rnd.IntN(len(f.vms))
	list := slices.Clone(f.vms)
	f.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[lacking:]
	if !slices.Contains(list, vm) {
		list = append(list, vm)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists[vm.ID] = list
}
