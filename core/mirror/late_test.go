package mirror

import (
	"encoding/base64"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against changes that are late at a VM which reaches the store, because it waits for watchers that
// are paused, removed or cut off from it.
func TestLateChangeSilentWatchers(t *testing.T) {
	worst := simulate(t, nil, disturbWatchers(func(l *link) { l.deaf = true }), nil)
	assert.Assert(t, worst <= applyTime, "latest VM: %v", worst)
}

// Guards against changes that are late at a VM whose requests reach the watchers while the answers don't
// come back.
func TestLateChangeLostAnswers(t *testing.T) {
	worst := simulate(t, nil, disturbWatchers(func(l *link) { l.mute = true }), nil)
	assert.Assert(t, worst <= applyTime, "latest VM: %v", worst)
}

// Guards against changes that are late at a VM which reaches the store, because the store no longer answers
// the watchers.
func TestLateChangeWatchersLoseStore(t *testing.T) {
	var lost map[core.VMID]bool
	worst := simulate(t, nil, func(s *simulation) {
		lost = map[core.VMID]bool{}
		for _, id := range s.watchers() {
			lost[id] = true
			s.links[id].set(func(l *link) { l.storeSilent = true })
		}
	}, func(_ *simulation, id core.VMID) bool { return lost[id] })
	assert.Assert(t, worst <= applyTime, "latest VM: %v", worst)
}

// Guards against changes that are late although nothing fails: VMs are added, the watchers change, and a VM
// that is no longer a watcher keeps the requests of others.
func TestLateChangeNewWatchers(t *testing.T) {
	worst := simulate(t, hideWatchers, func(s *simulation) {
		s.mu.Lock()
		defer s.mu.Unlock()
		clear(s.hidden)
	}, nil)
	assert.Assert(t, worst <= applyTime, "latest VM: %v", worst)
}

// Guards against changes that are late because VMs disagree about which of them are watchers.
func TestLateChangeDifferentLists(t *testing.T) {
	phase := 0
	worst := simulate(t, nil, func(s *simulation) {
		s.mu.Lock()
		defer s.mu.Unlock()
		phase++
		r := rand.New(rand.NewPCG(uint64(phase), 0))
		for _, self := range s.vms {
			s.lists[self.ID] = slices.DeleteFunc(slices.Clone(s.vms), func(vm core.VM) bool { return vm.ID != self.ID && r.IntN(2) == 0 })
		}
	}, nil)
	assert.Assert(t, worst <= applyTime, "latest VM: %v", worst)
}

// Guards against VMs that learn of no change while the store refuses them, although other VMs know it.
func TestLateChangeStoreRefusesWatchers(t *testing.T) {
	worst := simulate(t, nil, disturbWatchers(func(l *link) { l.storeRefuses = true }), nil)
	assert.Assert(t, worst <= applyTime, "latest VM: %v", worst)
}

// Guards against VMs that learn of no change while the store doesn't answer them, although other VMs know it.
func TestLateChangeStoreSilentToWatchers(t *testing.T) {
	worst := simulate(t, nil, disturbWatchers(func(l *link) { l.storeSilent = true }), nil)
	assert.Assert(t, worst <= applyTime, "latest VM: %v", worst)
}

// Guards against a VM that is cut off for so long that its back-off is at its maximum, and that still lacks
// changes when it counts as undisturbed again, 5 s after the end.
func TestLateChangeAfterLongCut(t *testing.T) {
	const (
		cutTime   = 25 * time.Second
		stableAge = 5 * time.Second
	)
	worst := simulate(t, nil, func(s *simulation) {
		id := s.watchers()[0]
		isolate := func(silent bool) {
			s.links[id].set(func(l *link) { l.storeSilent, l.deaf, l.isolated = silent, silent, silent })
		}
		isolate(true)
		s.group.Go(func() {
			time.Sleep(cutTime)
			isolate(false)
		})
		time.Sleep(cutTime - 100*time.Millisecond)
	}, nil)
	assert.Assert(t, worst <= stableAge, "latest VM: %v", worst)
}

// Guards against a VM behind a slow link that never gets the changes it lacks, since the answer takes longer
// than the store may take to begin it.
func TestLateChangeSlowLink(t *testing.T) {
	worst := simulate(t, nil, func(s *simulation) {
		for _, l := range s.links {
			l.set(func(l *link) { l.transferTime = 1200 * time.Millisecond })
		}
		// The store has been silent for long, so that the next watches ask for a short wait.
		disturbWatchers(func(l *link) { l.storeSilent = true })(s)
		s.group.Go(func() {
			time.Sleep(4 * time.Second)
			disturbWatchers(func(l *link) { l.storeSilent = false })(s)
		})
	}, nil)
	assert.Assert(t, worst <= 9*time.Second, "latest VM: %v", worst)
}

// Guards against a large configuration that is late because the watchers send it to all other VMs of their
// domain over slow links.
func TestLateChangeLargeConfiguration(t *testing.T) {
	const size = 1 << 20
	worst := simulate(t, func(s *simulation) {
		s.store.value = make([]byte, size)
		for _, l := range s.links {
			l.set(func(l *link) {
				l.sendRate, l.transferTime = linkRate, time.Duration(base64.StdEncoding.EncodedLen(size))*time.Second/linkRate
			})
		}
	}, func(*simulation) {}, nil)
	assert.Assert(t, worst <= applyTime, "latest VM: %v", worst)
}

// Guards against a VM behind a slow link that reaches only the store and never gets the versions it lacks, since
// the answer with all of them takes longer than a watch may take.
func TestLateChangeManyVersionsSlowLink(t *testing.T) {
	const versions = 10
	runFleet(t, fleetSize, func(t *testing.T, s *simulation) {
		late := s.watchers()[0]
		s.links[late].set(func(l *link) {
			l.storeSilent, l.deaf, l.isolated, l.transferTime = true, true, true, 2*transferTime/versions
		})
		for range versions {
			time.Sleep(time.Second)
			s.store.change()
		}
		s.links[late].set(func(l *link) { l.storeSilent = false })
		time.Sleep(stableTime)
		assert.Equal(t, s.newest(late), s.store.newest())
	})
}

// Guards against a VM that the store refuses and that leaves out the only VM with the changes for a while, since
// that VM once didn't answer.
func TestLateChangeStandbyDidNotAnswer(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, s *simulation) {
		refused, other := s.vms[0].ID, s.vms[1].ID
		s.links[refused].set(func(l *link) { l.storeRefuses = true })
		s.links[other].set(func(l *link) { l.deaf = true })
		time.Sleep(3 * time.Second)
		s.store.change()
		s.links[other].set(func(l *link) { l.deaf = false })
		time.Sleep(applyTime)
		assert.Equal(t, s.newest(refused), s.store.newest())
	})
}

// Guards against a VM that the store refuses and that never learns of changes, since the other VMs no longer have
// the history that its watch needs.
func TestLateChangeHistoryGoneWhileRefused(t *testing.T) {
	runFleet(t, fleetSize, func(t *testing.T, s *simulation) {
		refused := s.watchers()[0]
		s.links[refused].set(func(l *link) { l.storeRefuses, l.isolated = true, true })
		s.store.change()
		s.store.forget(time.Second)
		time.Sleep(applyTime)
		s.links[refused].set(func(l *link) { l.isolated = false })
		time.Sleep(applyTime)
		assert.Equal(t, s.newest(refused), s.store.newest())
	})
}
