package assign

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// fakeOwner records the calls to the owner of one upstream.
type fakeOwner struct {
	id core.UpstreamID

	mu       sync.Mutex
	running  bool
	drained  bool
	assigned bool
}

func (o *fakeOwner) Name() string { return "owner/" + string(o.id) }

func (o *fakeOwner) Run(ctx context.Context) error {
	o.set(func() { o.running = true })
	<-ctx.Done()
	o.set(func() { o.running = false })
	return nil
}

func (o *fakeOwner) Execute(context.Context, *core.Request, core.ResponseWriter) (core.Result, error) {
	return core.Result{}, nil
}

func (o *fakeOwner) Drain(context.Context) error { o.set(func() { o.drained = true }); return nil }
func (o *fakeOwner) SetAssigned(assigned bool)   { o.set(func() { o.assigned = assigned }) }

func (o *fakeOwner) set(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
}

func (o *fakeOwner) state() (running, drained, assigned bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.running, o.drained, o.assigned
}

// fakeMembers is a membership that the test changes.
type fakeMembers struct {
	core.Members
	mu    sync.Mutex
	alive []core.VM
}

func (m *fakeMembers) Self() core.VM { return core.VM{ID: "vm-1"} }

func (m *fakeMembers) Alive() []core.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive
}

func (m *fakeMembers) set(ids ...core.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive = nil
	for _, id := range ids {
		m.alive = append(m.alive, core.VM{ID: id})
	}
}

// fixture runs a manager with one upstream, which is assigned to the last entry VM that is alive.
type fixture struct {
	*Manager
	members *fakeMembers

	mu     sync.Mutex
	owners []*fakeOwner
}

// started returns the owners that have been started.
func (f *fixture) started() []*fakeOwner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owners
}

func runManager(t *testing.T, scenario func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{members: &fakeMembers{}}
		f.members.set("vm-1")
		f.Manager = New(Config{
			Upstreams: []core.UpstreamInfo{{ID: "berth-1", Group: "berth"}},
			Members:   f.members,
			Owners: func(core.UpstreamInfo) []core.VM {
				alive := f.members.Alive()
				return alive[len(alive)-1:]
			},
			NewGroup: func(core.GroupID, []core.UpstreamInfo) Group { return Group{} },
			NewOwner: func(info core.UpstreamInfo, _ core.GroupView) Owner {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.owners = append(f.owners, &fakeOwner{id: info.ID})
				return f.owners[len(f.owners)-1]
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		end := make(chan error, 1)
		go func() { end <- f.Run(ctx) }()
		synctest.Wait()
		scenario(f)
		cancel()
		assert.NilError(t, <-end)
		for _, o := range f.started() {
			running, _, _ := o.state()
			assert.Assert(t, !running, "owner still runs after the manager ended")
		}
	})
}

// Guards against a starting entry VM that considers itself the only one and opens connections to all
// upstreams.
func TestStartWaitsForMembership(t *testing.T) {
	runManager(t, func(f *fixture) {
		time.Sleep(time.Second)
		assert.Equal(t, len(f.started()), 0)
		f.members.set("vm-1", "vm-2")
		time.Sleep(joinWait)
		assert.Equal(t, len(f.started()), 0)
	})
	runManager(t, func(f *fixture) {
		time.Sleep(joinWait + time.Second)
		assert.Equal(t, len(f.started()), 1)
	})
}

// Guards against an owner that keeps idle connections after its upstream was assigned to another entry
// VM, or that never stops although it is unused.
func TestLostAssignmentStopsOwner(t *testing.T) {
	runManager(t, func(f *fixture) {
		time.Sleep(joinWait + time.Second)
		_, _, assigned := f.started()[0].state()
		assert.Assert(t, assigned)
		f.members.set("vm-1", "vm-2")
		time.Sleep(time.Second)
		running, _, assigned := f.started()[0].state()
		assert.Assert(t, running && !assigned)
		time.Sleep(DefaultIdleTimeout + time.Second)
		running, drained, _ := f.started()[0].state()
		assert.Assert(t, !running && drained)
		_, ok := f.View("berth")
		assert.Assert(t, !ok, "the group's monitor still runs")
	})
}

// Guards against an entry VM that can't serve an upstream on demand when the owner isn't reachable.
func TestServesOnDemand(t *testing.T) {
	runManager(t, func(f *fixture) {
		f.members.set("vm-1", "vm-2")
		time.Sleep(joinWait)
		_, ok := f.Executor("berth-1")
		assert.Assert(t, ok)
		_, _, assigned := f.started()[0].state()
		assert.Assert(t, !assigned)
		for range 10 {
			time.Sleep(DefaultIdleTimeout / 2)
			_, ok = f.Executor("berth-1")
			assert.Assert(t, ok)
		}
		assert.Equal(t, len(f.started()), 1, "an owner in use was replaced")
		_, ok = f.Executor("unknown")
		assert.Assert(t, !ok)
	})
}
