package permit

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/eras"
	"snipewall/core/fakes"
)

// pauseFleet is a fleet of VMs that call each other's pauses and share a store.
type pauseFleet struct {
	t      *testing.T
	start  time.Time
	store  *fakes.Store
	vms    []core.VM
	pauses map[core.VMID]*Pauses
	// kills end the processes of the VMs.
	kills   map[core.VMID]func()
	eras    map[core.VMID]*eras.Tracker
	changes atomic.Int32

	mu sync.Mutex
	// silent holds the VMs that don't answer, unlisted those that no other VM and no listing of the store finds.
	silent, unlisted map[core.VMID]bool
	// suspended is for how long each VM was suspended.
	suspended map[core.VMID]time.Duration
	// refreshErr is the result of reading the list of VMs.
	refreshErr error
}

// pauseMember is a VM's view of a pauseFleet.
type pauseMember struct {
	f  *pauseFleet
	id core.VMID
}

func (m pauseMember) Alive() []core.VM {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(m.f.vms), func(vm core.VM) bool { return m.f.unlisted[vm.ID] })
}

func (m pauseMember) EnlistedAt() (core.Instant, bool) {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	return core.Instant(time.Hour), !m.f.unlisted[m.id]
}
func (m pauseMember) IsSettled() bool               { return true }
func (m pauseMember) Refresh(context.Context) error { return m.f.refreshErr }

// pauseStore adds listings to the fake store.
type pauseStore struct{ *fakes.Store }

func (s pauseStore) List(ctx context.Context, prefix string) ([]core.Entry, core.Version, error) {
	if _, err := s.Get(ctx, "any"); !errors.Is(err, core.ErrNotFound) {
		return nil, 0, err
	}
	entries, at := s.Entries(prefix)
	return entries, at, nil
}

func (f *pauseFleet) setSilent(id core.VMID, isSilent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[id] = isSilent
}

func (f *pauseFleet) setUnlisted(id core.VMID, isUnlisted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unlisted[id] = isUnlisted
}

func (f *pauseFleet) call(ctx context.Context, address, method string, req, answer any) error {
	id := core.VMID(address)
	f.mu.Lock()
	p := f.pauses[id]
	isSilent := f.silent[id] || p == nil
	f.mu.Unlock()
	if isSilent {
		<-ctx.Done()
		return ctx.Err()
	}
	s := p.Service()
	switch method {
	case beginPauseMethod:
		return s.Begin(req.(*PauseRequest), &PauseAnswer{})
	case endPauseMethod:
		return s.End(req.(*PauseRequest), &PauseAnswer{})
	default:
		return s.List(req.(*ListPausesRequest), answer.(*ListPausesAnswer))
	}
}

// admits reports whether the VM admits work on the group "g".
func (f *pauseFleet) admits(id core.VMID) bool {
	f.mu.Lock()
	p := f.pauses[id]
	f.mu.Unlock()
	_, ok := p.Admits("g")
	return ok
}

// launch starts a process of the VM.
func (f *pauseFleet) launch(id core.VMID) {
	ctx, cancel := context.WithCancel(f.t.Context())
	now := func() core.Instant {
		f.mu.Lock()
		defer f.mu.Unlock()
		return core.Instant(time.Since(f.start)) + core.Instant(time.Hour) + core.Instant(f.suspended[id])
	}
	e := eras.New(eras.Config{Now: now})
	p := NewPauses(PausesConfig{
		Members: pauseMember{f, id}, Store: pauseStore{f.store}, Eras: e, Self: id, NeedsRecords: func(core.GroupID) bool { return true },
		Call: f.call, Changed: func() { f.changes.Add(1) }, Log: log.NewNopLogger(), Now: now,
	})
	end := make(chan error, 1)
	go func() { end <- p.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.ContainsFunc(f.vms, func(vm core.VM) bool { return vm.ID == id }) {
		f.vms = append(f.vms, core.VM{ID: id, Control: string(id)})
	}
	f.pauses[id], f.eras[id] = p, e
	f.kills[id] = func() {
		cancel()
		assert.NilError(f.t, <-end)
	}
}

// kill ends the processes of the VMs.
func (f *pauseFleet) kill(ids ...core.VMID) {
	for _, id := range ids {
		f.kills[id]()
		f.mu.Lock()
		delete(f.pauses, id)
		delete(f.kills, id)
		f.mu.Unlock()
	}
}

func newPauseFleet(t *testing.T) *pauseFleet {
	t.Helper()
	f := &pauseFleet{
		t: t, start: time.Now(), store: fakes.NewStore(), pauses: map[core.VMID]*Pauses{}, kills: map[core.VMID]func(){},
		eras: map[core.VMID]*eras.Tracker{}, silent: map[core.VMID]bool{}, unlisted: map[core.VMID]bool{}, suspended: map[core.VMID]time.Duration{},
	}
	for _, id := range []core.VMID{"vm-1", "vm-2", "vm-3"} {
		f.launch(id)
		f.admits(id)
	}
	// All VMs read the records.
	synctest.Wait()
	t.Cleanup(func() {
		f.kill(slices.Collect(maps.Keys(f.kills))...)
		f.store.Close()
	})
	return f
}

// Guards against a VM that acknowledges a pause and still starts work, or reports work as committed that ended after its
// acknowledgment.
func TestPauseStopsAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		epochs := map[core.VMID]core.Version{}
		for id, p := range f.pauses {
			epoch, ok := p.Admits("g")
			assert.Assert(t, ok)
			epochs[id] = epoch
		}
		began := time.Now()
		assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", true, 0).IsComplete())
		assert.Equal(t, time.Since(began), drainTime)
		for id, p := range f.pauses {
			_, admits := p.Admits("g")
			assert.Assert(t, !admits && !p.Covers("g", epochs[id]), "%s", id)
			_, admitsOther := p.Admits("other")
			assert.Assert(t, admitsOther)
		}
		f.pauses["vm-1"].Resume(t.Context(), "g", false)
		for id, p := range f.pauses {
			epoch, admits := p.Admits("g")
			assert.Assert(t, admits && p.Covers("g", epoch), "%s", id)
			assert.Assert(t, !p.Covers("g", epochs[id]), "%s covers work from before the pause", id)
		}
	})
}

// Guards against failing statements that end soon after a pause of a working primary was asked for.
func TestWorkInProgressEndsDuringDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		epoch, _ := f.pauses["vm-2"].Admits("g")
		paused := make(chan bool)
		go func() { paused <- f.pauses["vm-1"].Pause(t.Context(), "g", true, 0).IsComplete() }()
		time.Sleep(drainTime / 2)
		_, admits := f.pauses["vm-2"].Admits("g")
		assert.Assert(t, !admits && f.pauses["vm-2"].Covers("g", epoch))
		assert.Assert(t, <-paused)
	})
}

// Guards against a pause that counts as complete although a VM, known or not, may still use the primary.
func TestPauseNeedsAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		f.silent["vm-3"] = true
		assert.Assert(t, !f.pauses["vm-1"].Pause(t.Context(), "g", false, 0).IsComplete())
		f.silent["vm-3"], f.refreshErr = false, errors.New("store is down")
		assert.Assert(t, !f.pauses["vm-1"].Pause(t.Context(), "g", false, 0).IsComplete())
	})
}

// Guards against a group that stays paused because the VM that asked for it is gone, and against statements that aren't
// woken when the pause ends.
func TestPauseEndsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, 0).IsComplete())
		before := f.changes.Load()
		time.Sleep(pauseTime + time.Millisecond)
		_, admits := f.pauses["vm-2"].Admits("g")
		assert.Assert(t, admits)
		assert.Equal(t, f.changes.Load()-before, int32(len(f.vms)))
	})
}

// Guards against a VM that ends the pause of another one, and against work that outlives two overlapping pauses.
func TestOverlappingPauses(t *testing.T) {
	var p pause
	p = p.begin(100, &PauseRequest{Holder: "vm-1", Drain: 50}).begin(120, &PauseRequest{Holder: "vm-2", Drain: 50})
	assert.Assert(t, p.covers(149, 0) && !p.covers(150, 0))
	p = p.revoke().resume(&PauseRequest{Holder: "vm-1"})
	assert.Assert(t, !p.admits(130) && !p.covers(130, 0))
	p = p.revoke().resume(&PauseRequest{Holder: "vm-2"})
	assert.Assert(t, p.admits(130) && p.covers(130, 1) && p.epoch == 1)
	p = p.begin(140, &PauseRequest{Holder: "vm-1", Seq: 2}).resume(&PauseRequest{Holder: "vm-1", Seq: 1})
	assert.Assert(t, !p.admits(150), "an older request has ended the pause")
}

// Guards against a VM that was suspended in the middle of a pause and takes work from before it for valid.
func TestSuspendedDuringPause(t *testing.T) {
	p := pause{}.begin(100, &PauseRequest{Holder: "vm-1", Drain: 50})
	late := core.Instant(100).Add(time.Minute)
	assert.Assert(t, p.admits(late) && !p.covers(late, 0))
}

// Guards against a VM that uses the old primary again while a promotion may still be executed, since the VM that asked for it
// is gone, and against one that is paused for longer than that.
func TestPauseLastsAsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		for _, lasts := range []time.Duration{0, pauseTime / 2, 15 * time.Second, time.Hour} {
			want := min(max(pauseTime, lasts), maxPauseTime)
			assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, lasts).IsComplete())
			before := f.changes.Load()
			time.Sleep(want - time.Millisecond)
			_, admits := f.pauses["vm-2"].Admits("g")
			assert.Assert(t, !admits, "%v", lasts)
			time.Sleep(2 * time.Millisecond)
			_, admits = f.pauses["vm-2"].Admits("g")
			assert.Assert(t, admits, "%v", lasts)
			assert.Equal(t, f.changes.Load()-before, int32(len(f.vms)))
		}
	})
}

// Guards against ending the pause of a VM that may still be overtaken by its own promotion, because another one ends its pause,
// and against a group that stays paused after another VM has replaced the primary.
func TestPausesOfTwoVMs(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newPauseFleet(t)
			f.pauses["vm-1"].Pause(t.Context(), "g", false, 15*time.Second)
			time.Sleep(time.Second)
			f.pauses["vm-2"].Pause(t.Context(), "g", false, 0)
			f.pauses["vm-2"].Resume(t.Context(), "g", replaced)
			for id, p := range f.pauses {
				_, admits := p.Admits("g")
				assert.Equal(t, admits, replaced, "%s", id)
			}
		})
	}
}

// Guards against a VM that stays paused for as long as a pause may last, because it missed that the pause has ended, and against
// ending a newer pause of the same VM on it.
func TestEndOfPauseIsRepeated(t *testing.T) {
	for _, again := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newPauseFleet(t)
			assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, 15*time.Second).IsComplete())
			f.setSilent("vm-3", true)
			f.pauses["vm-1"].Resume(t.Context(), "g", true)
			time.Sleep(100 * time.Millisecond)
			f.setSilent("vm-3", false)
			if again {
				assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, 15*time.Second).IsComplete())
			}
			time.Sleep(2 * endRetryDelay)
			_, admits := f.pauses["vm-3"].Admits("g")
			assert.Equal(t, admits, !again)
		})
	}
}
