package table

import (
	"context"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/place"
)

const (
	// freshAge is the age of the last confirmation from which the reader reads the store again.
	freshAge = 2 * time.Second
	// rootMaxAge is the age from which the first VM of each failure domain reads the store itself, whatever other
	// VMs say. depthMaxAge is added for each VM between it and another one, so that those closer to the store read
	// it first. Of the 7 s within which a table must be in force, two are left for the read.
	rootMaxAge  = 4 * time.Second
	depthMaxAge = 200 * time.Millisecond
	// fanout is the number of VMs that ask the same one, which limits its traffic.
	fanout = 4
	// askWait is how long another VM may hold a request until it has a newer confirmation, askMargin how much longer
	// its answer may take.
	askWait   = freshAge + 500*time.Millisecond
	askMargin = 500 * time.Millisecond
	// minGain is how much newer than the caller's a confirmation must be to answer a request at once.
	minGain = 500 * time.Millisecond
	// sourceRetryDelay is how long a VM that had no newer confirmation isn't asked again if there is another one.
	sourceRetryDelay = 10 * time.Second
	// minAskInterval is the time between two requests that fail at once.
	minAskInterval = 500 * time.Millisecond
	// minRetryInterval and retryIntervalPerVM determine the time between two reads of a store that fails. It grows
	// with the number of VMs, so that an outage doesn't cause more calls in a larger fleet.
	minRetryInterval   = 2 * time.Second
	retryIntervalPerVM = 20 * time.Millisecond
	// unconfirmedAge is the age of a confirmation that there never was.
	unconfirmedAge = time.Hour
	// confirmTask identifies the choice of the VMs that confirm the table to others.
	confirmTask = "confirm-table"
)

// confirm notes that the store had no version above the given one at the time. It returns false if that is no
// newer confirmation of the version in force.
func (c *Cache) confirm(version core.Version, at core.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.Version() || (c.isConfirmed && at <= c.confirmedAt) {
		return false
	}
	c.isConfirmed, c.confirmedAt = true, at
	close(c.confirmed)
	c.confirmed = make(chan struct{})
	return true
}

// confirmedAge returns how long ago the store is known to have had no version above the one in force, or
// unconfirmedAge and false if that isn't known. The channel is closed at the next confirmation.
func (c *Cache) confirmedAge() (time.Duration, bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isConfirmed {
		return unconfirmedAge, false, c.confirmed
	}
	return c.cfg.Now().Sub(c.confirmedAt), true, c.confirmed
}

// AwaitConfirmation waits until there is a confirmation that is newer than that of a caller whose confirmation has
// the given age. It returns the last confirmation if there is none within wait or before ctx ends.
func (c *Cache) AwaitConfirmation(ctx context.Context, callerAge, wait time.Duration) core.Confirmation {
	began := c.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, min(wait, askWait))
	defer cancel()
	for {
		// The version is read last, since an age also holds for a version that was adopted later.
		age, ok, changed := c.confirmedAge()
		held := c.cfg.Now().Sub(began)
		out := core.Confirmation{OK: ok, Age: age, Held: held, Version: c.Version()}
		if ok && age+minGain <= callerAge+held {
			return out
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return out
		}
	}
}

// confirmRole is the place of an entry VM in the tree that passes confirmations on.
type confirmRole struct {
	// sources are the VMs to ask, from the nearest one to the root of the tree; none for the root.
	sources []core.VM
	// maxAge is the age of the last confirmation from which this VM reads the store itself.
	maxAge time.Duration
}

// chooseConfirmRole returns the role of self. One VM of the fleet, the root, reads the store regularly. The first VM of
// each failure domain asks the root, and the others of the domain ask each other in a tree.
func chooseConfirmRole(self core.VM, alive []core.VM) confirmRole {
	root := place.Owners(core.UpstreamInfo{ID: confirmTask}, alive, 1)
	if len(root) == 0 || root[0].ID == self.ID {
		return confirmRole{maxAge: freshAge}
	}
	local := slices.DeleteFunc(slices.Clone(alive), func(vm core.VM) bool { return vm.FailureDomain != self.FailureDomain })
	local = place.Owners(core.UpstreamInfo{ID: confirmTask, FailureDomain: self.FailureDomain}, local, len(local))
	role := confirmRole{maxAge: rootMaxAge}
	pos := slices.IndexFunc(local, func(vm core.VM) bool { return vm.ID == self.ID })
	for pos > 0 {
		pos = (pos - 1) / fanout
		role.maxAge += depthMaxAge
		if local[pos].ID != root[0].ID {
			role.sources = append(role.sources, local[pos])
		}
	}
	role.sources = append(role.sources, root[0])
	return role
}

// confirmer keeps the confirmation of a Cache recent.
type confirmer struct {
	cache  *Cache
	reader reader
	role   confirmRole
	// generation is that of the membership for which role was chosen.
	generation uint64
	// turn is the source that is asked, until nearestAt instead of the nearest one.
	turn      int
	nearestAt time.Time
	// readAt is when a store that failed is read again.
	readAt time.Time
	// readsAlone is set while the VM reads the store because no other one confirms the table.
	readsAlone bool
}

// run renews the confirmation until ctx ends.
func (f *confirmer) run(ctx context.Context) {
	f.chooseRole()
	for ctx.Err() == nil {
		if f.generation != f.cache.generation() {
			f.chooseRole()
		}
		f.step(ctx)
	}
}

func (f *confirmer) chooseRole() {
	f.generation = f.cache.generation()
	f.role, f.turn = confirmRole{maxAge: freshAge}, 0
	if peers := f.cache.currentPeers(); peers != nil {
		f.role = chooseConfirmRole(peers.Self(), peers.Alive())
	}
}

// step makes the next call to the store or another VM.
func (f *confirmer) step(ctx context.Context) {
	age, _, _ := f.cache.confirmedAge()
	isDue := age >= f.role.maxAge
	if isDue && !time.Now().Before(f.readAt) {
		f.read(ctx, age)
		return
	}
	if len(f.role.sources) > 0 {
		f.ask(ctx, age)
		return
	}
	wait := f.role.maxAge - age
	if isDue {
		wait = time.Until(f.readAt)
	}
	sleep(ctx, wait)
}

// read reads the store. After a failure it is not read again for a while.
func (f *confirmer) read(ctx context.Context, age time.Duration) {
	if len(f.role.sources) > 0 && !f.readsAlone {
		f.readsAlone = true
		level.Info(f.cache.cfg.Logger).Log("Msg", "table not confirmed by other VMs, reading the store", "AgeMs", age.Milliseconds())
	}
	f.reader.poll(ctx)
	if age, _, _ := f.cache.confirmedAge(); age < f.role.maxAge {
		return
	}
	d := f.cache.retryInterval()
	f.readAt = time.Now().Add(d/2 + mathrand.N(d))
}

// ask requests a newer confirmation from another VM. If it has none, another VM is asked next.
func (f *confirmer) ask(ctx context.Context, age time.Duration) {
	if !time.Now().Before(f.nearestAt) {
		f.turn = 0
	}
	vm := f.role.sources[f.turn%len(f.role.sources)]
	left := f.role.maxAge - age
	if left <= 0 {
		left = max(time.Until(f.readAt), minAskInterval)
	}
	timeout := min(left, askWait+askMargin)
	askCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began, startedAt := f.cache.cfg.Now(), time.Now()
	answer, err := f.cache.currentPeers().AskConfirmation(askCtx, vm, age, min(timeout, askWait))
	if err == nil && answer.OK && f.cache.confirm(answer.Version, began.Add(answer.Held-answer.Age)) {
		f.readsAlone = false
		return
	}
	if ctx.Err() != nil {
		return
	}
	level.Debug(f.cache.cfg.Logger).Log("Msg", "no confirmation of the table", "VM", vm.ID, "AgeMs", age.Milliseconds(), "Err", err)
	f.turn++
	f.nearestAt = time.Now().Add(sourceRetryDelay)
	sleep(ctx, minAskInterval-time.Since(startedAt))
}

// retryInterval returns the mean time between two reads of a store that fails.
func (c *Cache) retryInterval() time.Duration {
	d := minRetryInterval
	if peers := c.currentPeers(); peers != nil {
		d = max(d, retryIntervalPerVM*time.Duration(len(peers.Alive())))
	}
	return d
}
