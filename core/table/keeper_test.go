package table

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"snipewall/core"
	"snipewall/stand/kvsim"
)

// hub is a membership that tests change by hand.
type hub struct {
	mu      sync.Mutex
	alive   []core.VM
	gen     uint64
	answer  []byte
	spreads int
	// afterAlive, if set, runs once after the next call of Alive.
	afterAlive func()
}

func (h *hub) remove(id core.VMID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.alive = slices.DeleteFunc(slices.Clone(h.alive), func(vm core.VM) bool { return vm.ID == id })
	h.gen++
}

// hubPeers is the hub as one member sees it.
type hubPeers struct {
	core.Members
	*hub
	self core.VM
}

func (p hubPeers) Self() core.VM { return p.self }

func (p hubPeers) Alive() []core.VM {
	p.mu.Lock()
	alive, after := p.alive, p.afterAlive
	p.afterAlive = nil
	p.mu.Unlock()
	if after != nil {
		after()
	}
	return alive
}

func (p hubPeers) Generation() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gen
}

func (p hubPeers) AskTable(context.Context) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answer == nil {
		return nil, errors.New("no other entry VM has a table")
	}
	return p.answer, nil
}

func (p hubPeers) Announce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spreads++
}

// keepers is a fleet of Keepers on one platform.
type keepers struct {
	platform
	hub  *hub
	list []*Cache
	stop map[*Cache]func()
}

func newKeepers(t *testing.T, p platform, size int) *keepers {
	f := &keepers{platform: p, hub: &hub{}, stop: map[*Cache]func(){}}
	for i := range size {
		f.hub.alive = append(f.hub.alive, core.VM{
			ID: core.VMID(fmt.Sprintf("vm-%03d", i)), FailureDomain: core.FailureDomain(fmt.Sprint(i % 4)),
		})
	}
	for _, vm := range f.hub.alive {
		k := NewCache(CacheConfig{Store: p.store})
		k.SetPeers(hubPeers{hub: f.hub, self: vm})
		ctx, cancel := context.WithCancel(context.Background())
		end := make(chan error, 1)
		go func() { end <- k.Run(ctx) }()
		f.list = append(f.list, k)
		f.stop[k] = sync.OnceFunc(func() {
			cancel()
			assert.Check(t, <-end)
		})
		t.Cleanup(f.stop[k])
	}
	return f
}

// count returns how many keepers have the version in force.
func (f *keepers) count(v core.Version) int {
	n := 0
	for _, k := range f.list {
		if k.Version() == v {
			n++
		}
	}
	return n
}

func encodedTable(t testing.TB, v core.Version, text string) []byte {
	value, err := (&record{}).next(v, "edit", mustParse(t, text)).encode()
	assert.NilError(t, err)
	return value
}

// Guards against an entry VM that has no table as long as the platform is down, and against one that
// doesn't notice that the platform is back.
func TestKeeperStartsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		for base, text := range []string{startTable, quote2} {
			_, err := p.editor().Apply(t.Context(), Edit{ID: NewEditID(), Base: core.Version(base), Table: mustParse(t, text)})
			assert.NilError(t, err)
		}
		assert.NilError(t, p.SetFault(kvsim.FaultDown, "true"))
		f := newKeepers(t, p, 1)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.count(0), 1)
		f.hub.mu.Lock()
		f.hub.answer = encodedTable(t, 1, startTable)
		f.hub.mu.Unlock()
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.count(1), 1)
		row, ok := f.list[0].Policy("quote")
		assert.Assert(t, ok && row.Weight == 1)
		time.Sleep(time.Hour)
		assert.NilError(t, p.ClearFault(kvsim.FaultDown))
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.count(2), 1)
	})
}

// Guards against calls to the store that grow with the fleet, and against a change that is not seen
// since the watchers have gone.
func TestKeeperWatchers(t *testing.T) {
	for _, size := range []int{8, 64, 520} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlatform(t)
				_, err := p.editor().Apply(t.Context(), Edit{ID: "1", Table: mustParse(t, startTable)})
				assert.NilError(t, err)
				f := newKeepers(t, p, size)
				// Not a multiple of the watches' 30 s, at which each is between two calls.
				time.Sleep(70 * time.Second)
				assert.Equal(t, f.count(1), size)
				assert.Equal(t, p.Calls().Waiting, 8)
				p.ResetCalls()
				const quiet = 20 * time.Minute
				time.Sleep(quiet)
				calls := p.Calls()
				t.Logf("%d entry VMs: %.2f reads/s, of them %.2f watches/s, %d watches waiting, at most %d reads in a second",
					size, float64(calls.Reads)/quiet.Seconds(), float64(calls.Watches)/quiet.Seconds(), calls.MaxWaiting, calls.MaxReads)
				assert.Assert(t, float64(calls.Reads) < quiet.Seconds())

				if size == 8 {
					return
				}
				for i, k := range slices.Clone(f.list) {
					if k.Dump().(keeperDump).Watching {
						f.hub.remove(core.VMID(fmt.Sprintf("vm-%03d", i)))
						f.stop[k]()
						f.list = slices.DeleteFunc(f.list, func(other *Cache) bool { return other == k })
					}
				}
				time.Sleep(time.Second)
				_, err = p.editor().Apply(t.Context(), Edit{ID: "2", Base: 1, Table: mustParse(t, quote2)})
				assert.NilError(t, err)
				time.Sleep(100 * time.Millisecond)
				// An entry VM without a watch may learn of the change by its slow poll at this moment.
				watching := 0
				for _, k := range f.list {
					if k.Dump().(keeperDump).Watching {
						assert.Equal(t, k.Version(), core.Version(2))
						watching++
					}
				}
				assert.Equal(t, watching, 8)
				f.hub.mu.Lock()
				defer f.hub.mu.Unlock()
				assert.Equal(t, f.hub.spreads, size+f.count(2))
			})
		})
	}
}

// Guards against a watch that nobody takes over, since the watchers went away between the check of
// the membership and the wait for its next change.
func TestKeeperSeesChangeDuringCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &keepers{platform: newPlatform(t), hub: &hub{}}
		for _, id := range []core.VMID{"a", "b", "c"} {
			f.hub.alive = append(f.hub.alive, core.VM{ID: id})
		}
		for _, vm := range slices.Clone(f.hub.alive) {
			f.hub.afterAlive = func() {
				for _, other := range []core.VMID{"a", "b", "c"} {
					if other != vm.ID {
						f.hub.remove(other)
					}
				}
			}
			k := NewCache(CacheConfig{Store: f.store})
			k.SetPeers(hubPeers{hub: f.hub, self: vm})
			ctx, cancel := context.WithCancel(t.Context())
			end := make(chan error, 1)
			go func() { end <- k.Run(ctx) }()
			time.Sleep(2 * time.Second)
			assert.Check(t, k.Dump().(keeperDump).Watching, "%s doesn't watch", vm.ID)
			cancel()
			assert.NilError(t, <-end)
			f.hub.alive = []core.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}}
		}
	})
}

// Guards against a version that goes back, in any order of arrival and from any source, and against
// callbacks that show it.
func TestKeeperVersionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		k := NewCache(CacheConfig{})
		var mu sync.Mutex
		var seen []core.Version
		k.OnChange(func(v core.Version) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, v)
		})
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 30), 1, 40).Draw(rt, "versions")
		var adopters sync.WaitGroup
		for i, v := range versions {
			adopt := func() {
				inForce, err := k.Adopt(encodedTable(t, core.Version(v), startTable), "test")
				assert.Check(t, err)
				assert.Check(t, inForce >= core.Version(v))
			}
			if i%2 == 0 {
				adopters.Go(adopt)
				continue
			}
			adopt()
		}
		adopters.Wait()
		assert.Equal(rt, k.Version(), core.Version(slices.Max(versions)))
		assert.Assert(rt, slices.IsSorted(seen), "callbacks saw %v", seen)
	})
}

// Guards against a broken value, a lost entry or a lagging place that puts the table out of force.
func TestKeeperKeepsTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		ed := p.editor()
		_, err := ed.Apply(t.Context(), Edit{ID: "1", Table: mustParse(t, startTable)})
		assert.NilError(t, err)
		f := newKeepers(t, p, 1)
		k := f.list[0]
		time.Sleep(time.Second)
		entry, err := p.store.Get(t.Context(), DefaultKey)
		assert.NilError(t, err)
		v, err := p.store.CompareAndSwap(t.Context(), DefaultKey, []byte(`{"Version":9,"Table":"Kind,Rank\nquote,high\n"}`), entry.Version, "")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, k.Version(), core.Version(1))
		assert.Assert(t, k.Dump().(keeperDump).LastError != "")
		_, err = ed.Apply(t.Context(), Edit{ID: "2", Base: 1, Table: mustParse(t, quote2)})
		assert.ErrorContains(t, err, `"high" is not accepted`)

		_, err = p.store.CompareAndSwap(t.Context(), DefaultKey, encodedTable(t, 10, quote2), v, "")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, k.Version(), core.Version(10))
		assert.Equal(t, k.Dump().(keeperDump).LastError, "")
		assert.NilError(t, p.SetFault(kvsim.FaultStale, "1m30s"))
		time.Sleep(10 * time.Minute)
		assert.Equal(t, k.Version(), core.Version(10))
		encoded, short := k.Encoded()
		assert.Equal(t, encoded, core.Version(10))
		again := NewCache(CacheConfig{})
		_, err = again.Adopt(short, "peer")
		assert.NilError(t, err)
		assert.Assert(t, again.Checkout().Table.Equal(k.Checkout().Table))
	})
}

func BenchmarkPolicy(b *testing.B) {
	k := NewCache(CacheConfig{})
	_, err := k.Adopt(encodedTable(b, 1, startTable), "test")
	assert.NilError(b, err)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			k.Policy("quote")
		}
	})
}
