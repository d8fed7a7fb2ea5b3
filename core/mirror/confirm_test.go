package mirror

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// memberList is a fixed list of VMs.
type memberList []core.VM

func (l memberList) Alive() []core.VM { return append([]core.VM(nil), l...) }

// follower returns a mirror that isn't a watcher, and whose calls of mirrors go to call.
func follower(store core.PrefixStore, logger log.Logger, call func(ctx context.Context, address, method string, req, answer any) error) *Mirror {
	var vms memberList
	for _, name := range []string{"a", "b", "c"} {
		vms = append(vms, core.VM{ID: core.VMID(name), FailureDomain: "here", Control: name})
	}
	for _, vm := range vms {
		m := New(Config{Store: store, Members: vms, Self: vm, Call: call, Log: logger, Now: now})
		if watchesMirror(m) {
			return m
		}
	}
	panic("no VM follows a mirror")
}

// confirm makes the VM's first watch, which has to ask the store.
func confirm(t *testing.T, m *Mirror) {
	t.Helper()
	_, _, err := m.WatchPrefix(t.Context(), prefix, 5, applyTime/2)
	assert.NilError(t, err)
}

// Guards against trusting an answer for too long that a partition held up on its way.
func TestDelayedAnswerConfirmsItsDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := follower(&fakeStore{version: 5, changed: make(chan struct{})}, log.NewNopLogger(),
			func(_ context.Context, _, _ string, _, answer any) error {
				*answer.(*WatchAnswer) = WatchAnswer{HasAge: true, At: 5}
				time.Sleep(time.Second)
				return nil
			})
		confirm(t, m)
		_, _, err := m.WatchPrefix(t.Context(), prefix, 5, applyTime/2)
		assert.NilError(t, err)
		age := m.confirmationAge(prefix)
		assert.Assert(t, age >= time.Second, "age %v", age)
	})
}

// Guards against a mirror that takes its view for recent after it was suspended, since its timers and the
// runtime's clock stood still.
func TestSuspendedMirrorHasOldConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		vms := memberList{{ID: "a", FailureDomain: "here", Control: "a"}}
		m := New(Config{
			Store: &fakeStore{version: 5, changed: make(chan struct{})}, Members: vms, Self: vms[0], Log: log.NewNopLogger(),
			Now: func() core.Instant { return now().Add(time.Duration(suspended.Load())) },
		})
		confirm(t, m)
		suspended.Store(int64(4 * time.Second))
		var out WatchAnswer
		assert.NilError(t, m.Service().Watch(&WatchRequest{Prefix: prefix, After: 5}, &out))
		assert.Assert(t, out.HasAge && out.Age >= 4*time.Second, "age %v", out.Age)
	})
}

// Guards against taking the silence of an older build's mirror, which confirms nothing, for "no change".
func TestAnswerWithoutAgeConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{version: 5, changed: make(chan struct{})}
		m := follower(store, log.NewNopLogger(), func(_ context.Context, _, _ string, _, answer any) error {
			*answer.(*WatchAnswer) = WatchAnswer{At: 5}
			return nil
		})
		confirm(t, m)
		store.change()
		events, _, err := m.WatchPrefix(t.Context(), prefix, 5, applyTime/2)
		assert.NilError(t, err)
		assert.Equal(t, len(events), 1)
	})
}

// Guards against a failed mirror that leaves no trace in the logs.
func TestFailedMirrorIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		m := follower(&fakeStore{version: 5, changed: make(chan struct{})}, log.NewLogfmtLogger(&out),
			func(ctx context.Context, _, _ string, _, _ any) error {
				<-ctx.Done()
				return ctx.Err()
			})
		confirm(t, m)
		confirm(t, m)
		for _, want := range []string{`Msg="mirror failed"`, "Prefix=p", "WaitedMs=", "deadline exceeded", `Msg="watch source changed"`} {
			assert.Assert(t, strings.Contains(out.String(), want), "%s is missing in %s", want, out.String())
		}
	})
}

// Guards against VMs that call each other without a pause while the store is down for all of them.
func TestCallsOfMirrorsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, oneDomain)
		s.vms = s.vms[:2]
		ctx, cancel := context.WithCancel(t.Context())
		for _, vm := range s.vms {
			s.run(ctx, vm.ID)
		}
		time.Sleep(5 * time.Second)
		s.store.setDown(true)
		calls := s.calls.Load()
		time.Sleep(20 * time.Second)
		// At most a call of the store and standbyTries of mirrors in each backoff, which ends at 0.4 to
		// 0.8 s.
		n := s.calls.Load() - calls
		assert.Assert(t, n <= 2*standbyTries*20*3, "%d calls in 20 s", n)
		cancel()
		s.group.Wait()
	})
}

func event(key string, v core.Version) core.Event {
	return core.Event{Entry: core.Entry{Key: key, Version: v}}
}

// Guards against a view that keeps every version of a large configuration, and against one that hides
// changes or claims to know those from before it began.
func TestViewKeepsNewestChanges(t *testing.T) {
	v := newView()
	v.add(5, []core.Event{event("a", 6), event("b", 7), event("a", 8)}, 8, 1)
	events, complete := v.eventsAfter(5)
	assert.Assert(t, complete)
	assert.DeepEqual(t, events, []core.Event{event("b", 7), event("a", 8)})
	events, complete = v.eventsAfter(7)
	assert.Assert(t, complete)
	assert.DeepEqual(t, events, []core.Event{event("a", 8)})
	_, complete = v.eventsAfter(4)
	assert.Assert(t, !complete, "changes from before the view")
	v.add(20, nil, 20, 2)
	_, complete = v.eventsAfter(8)
	assert.Assert(t, !complete, "changes between a view and a later listing")
}

// Guards against a listing that hides changes which arrived while it was made, or that makes the view claim to be
// complete although it isn't.
func TestLateListingHidesNoChanges(t *testing.T) {
	listing := []core.Entry{event("a", 4).Entry, event("b", 5).Entry}
	v := newView()
	v.add(5, []core.Event{event("a", 7), {Entry: event("b", 8).Entry, Deleted: true}}, 8, 1)
	v.reset(listing, 5)
	assert.DeepEqual(t, v.entries, map[string]core.Entry{"a": event("a", 7).Entry})
	assert.Equal(t, v.entriesAt, core.Version(8))
	v.reset(listing, 5)
	assert.Equal(t, v.entriesAt, core.Version(8), "an older listing")
	v.add(12, []core.Event{event("a", 13)}, 13, 2)
	assert.Assert(t, v.entries == nil, "changes between 8 and 12 are unknown")
	v.reset(listing, 11)
	assert.Assert(t, v.entries == nil, "changes between 11 and 12 are unknown")
}

// Guards against VMs without permits for a whole watch after their start: where only watches confirm, the first one ends at
// once, also after a listing.
func TestFirstWatchAfterListing(t *testing.T) {
	for _, needsWatch := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			m := newTestMirror(&fakeStore{version: 5, changed: make(chan struct{})})
			m.cfg.NeedsWatch = needsWatch
			_, at, err := m.List(t.Context(), prefix)
			assert.NilError(t, err)
			began := time.Now()
			_, _, err = m.WatchPrefix(t.Context(), prefix, at, 2*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, time.Since(began) == minStoreWait, needsWatch, "after %v", time.Since(began))
		})
	}
}
