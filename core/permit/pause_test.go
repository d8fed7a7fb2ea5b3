package permit

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// pauseFleet is a fleet of VMs that call each other's pauses.
type pauseFleet struct {
	vms    []core.VM
	pauses map[core.VMID]*Pauses
	mu     sync.Mutex
	// silent holds the VMs that don't answer.
	silent map[core.VMID]bool
	// refreshErr is the result of reading the list of VMs.
	refreshErr error
	changes    atomic.Int32
}

func (f *pauseFleet) Alive() []core.VM                 { return f.vms }
func (f *pauseFleet) EnlistedAt() (core.Instant, bool) { return 0, false }
func (f *pauseFleet) IsSettled() bool                  { return true }
func (f *pauseFleet) Refresh(context.Context) error    { return f.refreshErr }

func (f *pauseFleet) setSilent(id core.VMID, isSilent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[id] = isSilent
}

func (f *pauseFleet) call(ctx context.Context, address, method string, req, _ any) error {
	id := core.VMID(address)
	f.mu.Lock()
	isSilent := f.silent[id]
	f.mu.Unlock()
	if isSilent {
		<-ctx.Done()
		return ctx.Err()
	}
	s := f.pauses[id].Service()
	if method == beginPauseMethod {
		return s.Begin(req.(*PauseRequest), &PauseAnswer{})
	}
	return s.End(req.(*PauseRequest), &PauseAnswer{})
}

func newPauseFleet(t *testing.T) *pauseFleet {
	t.Helper()
	f := &pauseFleet{pauses: map[core.VMID]*Pauses{}, silent: map[core.VMID]bool{}}
	start := time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	var ends []chan error
	for _, id := range []core.VMID{"vm-1", "vm-2", "vm-3"} {
		f.vms = append(f.vms, core.VM{ID: id, Control: string(id)})
		p := NewPauses(PausesConfig{
			Members: f, Self: id, Call: f.call, Changed: func() { f.changes.Add(1) }, Log: log.NewNopLogger(),
			Now: func() core.Instant { return core.Instant(time.Since(start)) + core.Instant(time.Hour) },
		})
		f.pauses[id] = p
		end := make(chan error, 1)
		ends = append(ends, end)
		go func() { end <- p.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for _, end := range ends {
			assert.NilError(t, <-end)
		}
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
		assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", true, 0))
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
		go func() { paused <- f.pauses["vm-1"].Pause(t.Context(), "g", true, 0) }()
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
		assert.Assert(t, !f.pauses["vm-1"].Pause(t.Context(), "g", false, 0))
		f.silent["vm-3"], f.refreshErr = false, errors.New("store is down")
		assert.Assert(t, !f.pauses["vm-1"].Pause(t.Context(), "g", false, 0))
	})
}

// Guards against a group that stays paused because the VM that asked for it is gone, and against statements that aren't
// woken when the pause ends.
func TestPauseEndsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPauseFleet(t)
		assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, 0))
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
			assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, lasts))
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
			assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, 15*time.Second))
			f.setSilent("vm-3", true)
			f.pauses["vm-1"].Resume(t.Context(), "g", true)
			time.Sleep(100 * time.Millisecond)
			f.setSilent("vm-3", false)
			if again {
				assert.Assert(t, f.pauses["vm-1"].Pause(t.Context(), "g", false, 15*time.Second))
			}
			time.Sleep(2 * endRetryDelay)
			_, admits := f.pauses["vm-3"].Admits("g")
			assert.Equal(t, admits, !again)
		})
	}
}
