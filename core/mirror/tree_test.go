package mirror

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// freeze makes the VM neither answer nor hear anybody.
func freeze(l *link) { l.storeSilent, l.deaf, l.mute, l.isolated = true, true, true, true }

// runLarge runs a large fleet for 10 s and then the scenario.
func runLarge(t *testing.T, scenario func(t *testing.T, s *simulation)) {
	t.Helper()
	runLayout(t, large, scenario)
}

// runLayout runs a fleet for 10 s and then the scenario.
func runLayout(t *testing.T, l layout, scenario func(t *testing.T, s *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, l)
		defer s.group.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, vm := range s.vms {
			s.run(ctx, vm.ID)
			time.Sleep(4 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		scenario(t, s)
	})
}

// Guards against changes that are late at a VM which reaches the store, because the VMs between it and the roots are
// silent, with or without the roots.
func TestLateChangeSilentLevels(t *testing.T) {
	t.Parallel()
	for _, withRoots := range []bool{false, true} {
		frozen := map[core.VMID]bool{}
		worst := simulateLayout(t, tree, nil, func(s *simulation) {
			clear(frozen)
			ids := s.domainWatchers()
			if withRoots {
				ids = append(ids, s.watchers()...)
			}
			for _, id := range ids {
				frozen[id] = true
				s.links[id].set(freeze)
			}
		}, func(_ *simulation, id core.VMID) bool { return frozen[id] })
		assert.Assert(t, worst <= applyTime, "latest VM: %v", worst)
	}
}

// Guards against a number of calls to the store that grows with the failure domains or the VMs, in calm and after the
// failure of a root.
func TestStoreCallsLargeFleet(t *testing.T) {
	runLarge(t, func(t *testing.T, s *simulation) {
		started := s.store.takeCalls()
		assert.Assert(t, started <= largeFleetSize+2*rootCount*9, "%d calls in the first 10 s", started)
		time.Sleep(time.Minute)
		quiet := s.store.takeCalls()
		assert.Assert(t, quiet <= rootCount*51, "%d calls in a minute", quiet)
		s.store.change()
		time.Sleep(100 * time.Millisecond)
		for _, vm := range s.vms {
			assert.Equal(t, s.newest(vm.ID), s.store.newest())
		}
		s.store.takeCalls()
		s.links[s.watchers()[0]].set(freeze)
		time.Sleep(20 * time.Second)
		failed := s.store.takeCalls()
		assert.Assert(t, failed <= rootCount*18+3*watchers*largeDomains, "%d calls in 20 s without a root", failed)
		t.Logf("calls: start %d, a minute %d, 20 s without a root %d", started, quiet, failed)
	})
}

// Guards against a store that all VMs call without a pause while it fails, and against VMs that find its return late.
func TestStoreCallsDuringOutage(t *testing.T) {
	runLarge(t, func(t *testing.T, s *simulation) {
		s.store.takeCalls()
		s.store.setDown(true)
		time.Sleep(10 * time.Second)
		down := s.store.takeCalls()
		assert.Assert(t, down <= largeFleetSize*7, "%d calls in 10 s", down)
		s.store.setDown(false)
		s.store.change()
		time.Sleep(applyTime)
		for _, vm := range s.vms {
			assert.Equal(t, s.newest(vm.ID), s.store.newest())
		}
		t.Logf("calls: 10 s outage %d, 3 s after it %d", down, s.store.takeCalls())
	})
}

// Guards against confirmations that get too old for permits and callers' keys, in calm and when the VMs freeze that the
// others follow: both rest on the watch's time and callMargin at every VM, and on less in calm.
func TestConfirmationAges(t *testing.T) {
	// calls is the time of a short watch of the store and of the messages.
	const wait, calls = applyTime / 2, minStoreWait + 10*messageTime
	frozen := map[string]func(s *simulation) []core.VMID{
		"no VM":    func(*simulation) []core.VMID { return nil },
		"a root":   func(s *simulation) []core.VMID { return s.watchers()[:1] },
		"roots":    (*simulation).watchers,
		"watchers": (*simulation).domainWatchers,
		"both":     func(s *simulation) []core.VMID { return append(s.watchers(), s.domainWatchers()...) },
	}
	for name, choose := range frozen {
		for phase := range 20 {
			runLayout(t, tree, func(t *testing.T, s *simulation) {
				time.Sleep(time.Duration(phase) * wait / 20)
				ids := choose(s)
				for _, id := range ids {
					s.links[id].set(freeze)
				}
				limit := wait + callMargin + calls
				if len(ids) == 0 {
					limit = wait - levelMargin + calls
				}
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					for _, vm := range s.vms {
						age := now().Sub(s.mirror(vm.ID).ConfirmedAt(prefix))
						assert.Assert(t, slices.Contains(ids, vm.ID) || age <= limit, "%s frozen: age %v at %s", name, age, vm.ID)
					}
				}
			})
		}
	}
}

// Guards against a listing of the store by each VM after it has dropped its history.
func TestStoreCallsAfterCompaction(t *testing.T) {
	runLarge(t, func(t *testing.T, s *simulation) {
		s.store.takeCalls()
		s.store.change()
		s.store.forget(500 * time.Millisecond)
		s.store.change()
		s.store.forget(0)
		time.Sleep(applyTime)
		calls := s.store.takeCalls()
		assert.Assert(t, calls <= largeFleetSize, "%d calls", calls)
		for _, vm := range s.vms {
			assert.Equal(t, s.newest(vm.ID), s.store.newest())
		}
		t.Logf("calls: %d", calls)
	})
}

// Guards against VMs that ask the store although their watcher has just confirmed that nothing changed: the mirror had
// ended its request shortly before, and kept the next one until the following confirmation.
func TestFollowersNeedNoStore(t *testing.T) {
	for delay := time.Duration(0); delay < 8*messageTime; delay += messageTime / 8 {
		runFleet(t, fleetSize, func(t *testing.T, s *simulation) {
			for _, l := range s.links {
				l.set(func(l *link) { l.answerDelay = delay })
			}
			time.Sleep(10 * time.Second)
			s.store.takeCalls()
			time.Sleep(time.Minute)
			calls := s.store.takeCalls()
			assert.Assert(t, calls <= watchers*41, "%d calls in a minute, delay %v", calls, delay)
		})
	}
}

// Guards against roots that fail together with their failure domain, and against VMs that choose different ones.
func TestRootsAreInDifferentDomains(t *testing.T) {
	s := newSimulation(t, large)
	var chosen []core.VMID
	for _, vm := range s.vms {
		roots := s.mirror(vm.ID).roots(slices.Clone(s.vms))
		assert.Equal(t, len(roots), rootCount)
		assert.Assert(t, roots[0].FailureDomain != roots[1].FailureDomain)
		ids := []core.VMID{roots[0].ID, roots[1].ID}
		slices.Sort(ids)
		if chosen == nil {
			chosen = ids
		}
		assert.DeepEqual(t, ids, chosen)
	}
}
