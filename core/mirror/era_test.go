package mirror

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against VMs that keep their view when the store comes back older, one of them cut off from the store: it joins the new
// era through the others, without a restart.
func TestFleetJoinsNewEra(t *testing.T) {
	runFleet(t, fleetSize, func(t *testing.T, s *simulation) {
		cutOff := s.watchers()[0]
		for range 30 {
			s.store.change()
		}
		time.Sleep(time.Second)
		s.links[cutOff].set(func(l *link) { l.storeRefuses = true })
		s.store.comeBack(20)
		s.store.change()
		want := s.store.newest()
		time.Sleep(8 * time.Second)
		for _, vm := range s.vms {
			assert.Equal(t, s.newest(vm.ID), want, "%s", vm.ID)
		}
	})
}

func newTestMirror(store core.PrefixStore) *Mirror {
	return New(Config{Store: store, Members: noMembers{}, Self: core.VM{ID: "vm"}, Log: log.NewNopLogger(), Now: now})
}

type noMembers struct{}

func (noMembers) Alive() []core.VM { return []core.VM{{ID: "vm"}} }

// Guards against a confirmation by a VM that knows only an older era, and against changes of that era for a VM of a newer one.
func TestOldViewConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{version: 5, changed: make(chan struct{})}
		m := newTestMirror(store)
		_, at, err := m.List(t.Context(), prefix)
		assert.NilError(t, err)
		_, _, err = m.WatchPrefix(t.Context(), prefix, at, 100*time.Millisecond)
		assert.NilError(t, err)
		out := m.serveWatch(&WatchRequest{Prefix: prefix, After: at})
		assert.Assert(t, out.HasAge && !out.Lost)
		out = m.serveWatch(&WatchRequest{Prefix: prefix, After: core.Era(1).Start() + 3})
		assert.Assert(t, out.Lost && !out.HasAge, "%+v", out)
		assert.Assert(t, !m.serveList(&ListRequest{Prefix: prefix, MaxAge: time.Hour}).OK, "the VM knows since that its listing is old")
		_, _, err = m.WatchPrefix(t.Context(), prefix, at, 100*time.Millisecond)
		assert.ErrorIs(t, err, core.ErrCompacted)
		_, _, err = m.List(t.Context(), prefix)
		assert.ErrorIs(t, err, errNotCurrent, "the store's answer is of an older era")
		store.comeBack(3)
		_, at, err = m.List(t.Context(), prefix)
		assert.NilError(t, err)
		assert.Equal(t, at, core.Era(1).Start()+2)
		assert.Assert(t, m.serveWatch(&WatchRequest{Prefix: prefix, After: 5}).Compacted)
	})
}

// Guards against the result of a watch of the older era that replaces a listing of the newer one.
func TestLateWatchOfOldEra(t *testing.T) {
	v := newView()
	newEra := core.Era(1).Start()
	v.reset([]core.Entry{{Key: "a", Version: 50}}, 60)
	v.add(60, nil, 60, 1)
	v.reset([]core.Entry{{Key: "a", Version: newEra + 20}}, newEra+30)
	assert.Assert(t, !v.add(60, []core.Event{{Entry: core.Entry{Key: "a", Version: 61}}}, 61, 2))
	assert.Equal(t, v.entries["a"].Version, newEra+20)
	assert.Equal(t, v.confirmedAt, core.Instant(1), "confirmed by the older era")
	v.reset([]core.Entry{{Key: "a", Version: 70}}, 70)
	assert.Equal(t, v.entriesAt, newEra+30)
	_, complete := v.eventsAfter(60)
	assert.Assert(t, !complete)
	v.entries = nil
	v.reset([]core.Entry{{Key: "a", Version: 70}}, 70)
	assert.Assert(t, v.entries == nil, "%v", v.entries)
}

// Guards against answers of a VM that knows an older era than this one, and against a newer era that a VM learns of from
// another one only and doesn't follow.
func TestAnswersOfOtherEras(t *testing.T) {
	newEra := core.Era(1).Start()
	store := &fakeStore{version: newEra + 5, changed: make(chan struct{})}
	m := newTestMirror(store)
	var watched WatchAnswer
	var listed ListAnswer
	m.cfg.Call = func(_ context.Context, _, method string, _, answer any) error {
		if method == listMethod {
			*answer.(*ListAnswer) = listed
			return nil
		}
		*answer.(*WatchAnswer) = watched
		return nil
	}
	_, at, err := m.List(t.Context(), prefix)
	assert.NilError(t, err)
	calls := store.calls
	w := watch{prefix: prefix, after: at, wait: time.Second}
	other := core.VM{ID: "other"}
	ask := func() error {
		_, _, _, err := m.watchMirror(t.Context(), other, w, mirrorCall{timeout: time.Second})
		return err
	}
	watched = WatchAnswer{At: 9, Events: []core.Event{{Entry: core.Entry{Key: "a", Version: 9}}}, HasAge: true}
	assert.ErrorIs(t, ask(), errNotCurrent)
	listed = ListAnswer{OK: true, At: 9}
	_, ok := m.listMirror(t.Context(), other, prefix, 0)
	assert.Assert(t, !ok)
	watched = WatchAnswer{At: core.Era(2).Start() + 3, Compacted: true}
	assert.ErrorIs(t, ask(), errNoHistory)
	_, _, err = m.WatchPrefix(t.Context(), prefix, at, time.Second)
	assert.ErrorIs(t, err, core.ErrCompacted)
	assert.Equal(t, store.calls, calls)
	listed = ListAnswer{OK: true, At: core.Era(2).Start() + 3}
	_, ok = m.listMirror(t.Context(), other, prefix, 0)
	assert.Assert(t, ok)
}
