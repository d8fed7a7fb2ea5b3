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

// fakeMembership is a membership that the test changes.
type fakeMembership struct {
	mu            sync.Mutex
	alive         []core.VM
	gen           uint64
	answer        []byte
	announcements int
	// afterAlive, if set, runs once after the next call of Alive.
	afterAlive func()
	// caches are the tables of the entry VMs. Those in silent don't answer.
	caches map[core.VMID]*Cache
	silent map[core.VMID]bool
}

// now is core.Now on the clock of the test.
func now() core.Instant { return core.Instant(time.Now().UnixNano()) }

// start starts the table of the entry VM and returns it with the function that stops it.
func (m *fakeMembership) start(t *testing.T, s core.Store, vm core.VM) (*Cache, func()) {
	c := NewCache(CacheConfig{Store: s, Now: now})
	c.SetPeers(fakePeers{fakeMembership: m, self: vm})
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.caches == nil {
		m.caches, m.silent = map[core.VMID]*Cache{}, map[core.VMID]bool{}
	}
	m.caches[vm.ID] = c
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- c.Run(ctx) }()
	return c, sync.OnceFunc(func() {
		cancel()
		assert.Check(t, <-end)
	})
}

func (m *fakeMembership) remove(id core.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.alive = slices.DeleteFunc(slices.Clone(m.alive), func(vm core.VM) bool { return vm.ID == id })
	m.gen++
}

// fakePeers is the membership as one entry VM sees it.
type fakePeers struct {
	core.Members
	*fakeMembership
	self core.VM
}

func (p fakePeers) Self() core.VM { return p.self }

func (p fakePeers) Alive() []core.VM {
	p.mu.Lock()
	alive, after := p.alive, p.afterAlive
	p.afterAlive = nil
	p.mu.Unlock()
	if after != nil {
		after()
	}
	return alive
}

func (p fakePeers) Generation() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gen
}

func (p fakePeers) FetchTable(context.Context) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answer == nil {
		return nil, errors.New("no other entry VM has a table")
	}
	return p.answer, nil
}

// AskConfirmation doesn't transfer the table, so that a VM that lacks a version has to read the store.
func (p fakePeers) AskConfirmation(ctx context.Context, vm core.VM, age, wait time.Duration) (core.Confirmation, error) {
	p.mu.Lock()
	c, silent := p.caches[vm.ID], p.silent[vm.ID]
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return core.Confirmation{}, ctx.Err()
	}
	if c == nil {
		return core.Confirmation{}, errors.New("unknown VM")
	}
	return c.AwaitConfirmation(ctx, age, wait), nil
}

func (p fakePeers) Announce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announcements++
}

// cacheFleet is the Caches of several entry VMs with one platform.
type cacheFleet struct {
	platform
	membership *fakeMembership
	list       []*Cache
	stop       map[*Cache]func()
}

func newCacheFleet(t *testing.T, p platform, size int) *cacheFleet {
	f := &cacheFleet{platform: p, membership: &fakeMembership{}, stop: map[*Cache]func(){}}
	for i := range size {
		f.membership.alive = append(f.membership.alive, core.VM{
			ID: core.VMID(fmt.Sprintf("vm-%03d", i)), FailureDomain: core.FailureDomain(fmt.Sprint(i % 4)),
		})
	}
	for _, vm := range f.membership.alive {
		c, stop := f.membership.start(t, p.store, vm)
		f.list, f.stop[c] = append(f.list, c), stop
		t.Cleanup(stop)
	}
	return f
}

// count returns the number of Caches that have the version.
func (f *cacheFleet) count(v core.Version) int {
	n := 0
	for _, c := range f.list {
		if c.Version() == v {
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

// Guards against an entry VM that gets no table while the platform is down, or doesn't detect that the
// platform is up again.
func TestCacheStartsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		for base, text := range []string{startTable, quote2} {
			_, err := p.editor().Apply(t.Context(), Edit{ID: NewEditID(), Base: core.Version(base), Table: mustParse(t, text)})
			assert.NilError(t, err)
		}
		assert.NilError(t, p.SetFault(kvsim.FaultDown, "true"))
		f := newCacheFleet(t, p, 1)
		time.Sleep(3 * time.Second)
		assert.Equal(t, f.count(0), 1)
		f.membership.mu.Lock()
		f.membership.answer = encodedTable(t, 1, startTable)
		f.membership.mu.Unlock()
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

// Guards against a rate of store calls that grows with the number of entry VMs, and against a missed
// change after the watching entry VMs have stopped.
func TestCacheWatchers(t *testing.T) {
	for _, size := range []int{8, 64, 520} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlatform(t)
				_, err := p.editor().Apply(t.Context(), Edit{ID: "1", Table: mustParse(t, startTable)})
				assert.NilError(t, err)
				f := newCacheFleet(t, p, size)
				// Not a multiple of the 30 s duration of a watch, at which each watch is between two calls.
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
				for i, c := range slices.Clone(f.list) {
					if c.Dump().(cacheDump).Watching {
						f.membership.remove(core.VMID(fmt.Sprintf("vm-%03d", i)))
						f.stop[c]()
						f.list = slices.DeleteFunc(f.list, func(other *Cache) bool { return other == c })
					}
				}
				time.Sleep(time.Second)
				_, err = p.editor().Apply(t.Context(), Edit{ID: "2", Base: 1, Table: mustParse(t, quote2)})
				assert.NilError(t, err)
				time.Sleep(100 * time.Millisecond)
				// An entry VM without a watch may have learned of the change by a regular poll.
				watching := 0
				for _, c := range f.list {
					if c.Dump().(cacheDump).Watching {
						assert.Equal(t, c.Version(), core.Version(2))
						watching++
					}
				}
				assert.Equal(t, watching, 8)
				f.membership.mu.Lock()
				defer f.membership.mu.Unlock()
				assert.Equal(t, f.membership.announcements, size+f.count(2))
			})
		})
	}
}

// Guards against a watch that no entry VM takes over because the watchers left between the check of the
// membership and the wait for its next change.
func TestCacheSeesChangeDuringCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &cacheFleet{platform: newPlatform(t), membership: &fakeMembership{}}
		for _, id := range []core.VMID{"a", "b", "c"} {
			f.membership.alive = append(f.membership.alive, core.VM{ID: id})
		}
		for _, vm := range slices.Clone(f.membership.alive) {
			f.membership.afterAlive = func() {
				for _, other := range []core.VMID{"a", "b", "c"} {
					if other != vm.ID {
						f.membership.remove(other)
					}
				}
			}
			c, stop := f.membership.start(t, f.store, vm)
			time.Sleep(2 * time.Second)
			assert.Check(t, c.Dump().(cacheDump).Watching, "%s doesn't watch", vm.ID)
			stop()
			f.membership.alive = []core.VM{{ID: "a"}, {ID: "b"}, {ID: "c"}}
		}
	})
}

// Guards against a version that decreases, for any order and source of arrival, and against callbacks
// that see it decrease.
func TestCacheVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := NewCache(CacheConfig{})
		var mu sync.Mutex
		var seen []core.Version
		c.OnChange(func(v core.Version) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, v)
		})
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 30), 1, 40).Draw(rt, "versions")
		var adopters sync.WaitGroup
		for i, v := range versions {
			adopt := func() {
				inForce, err := c.Adopt(encodedTable(t, core.Version(v), startTable), "test")
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
		assert.Equal(rt, c.Version(), core.Version(slices.Max(versions)))
		assert.Assert(rt, slices.IsSorted(seen), "callbacks saw %v", seen)
	})
}

// Guards against losing the current table because of an invalid value, a deleted entry or a stale read.
func TestCacheKeepsTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t)
		ed := p.editor()
		_, err := ed.Apply(t.Context(), Edit{ID: "1", Table: mustParse(t, startTable)})
		assert.NilError(t, err)
		f := newCacheFleet(t, p, 1)
		c := f.list[0]
		time.Sleep(time.Second)
		entry, err := p.store.Get(t.Context(), DefaultKey)
		assert.NilError(t, err)
		v, err := p.store.CompareAndSwap(t.Context(), DefaultKey, []byte(`{"Version":9,"Table":"Kind,Rank\nquote,high\n"}`), entry.Version, "")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, c.Version(), core.Version(1))
		assert.Assert(t, c.Dump().(cacheDump).LastError != "")
		_, err = ed.Apply(t.Context(), Edit{ID: "2", Base: 1, Table: mustParse(t, quote2)})
		assert.ErrorContains(t, err, `"high" is not accepted`)

		_, err = p.store.CompareAndSwap(t.Context(), DefaultKey, encodedTable(t, 10, quote2), v, "")
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.Equal(t, c.Version(), core.Version(10))
		assert.Equal(t, c.Dump().(cacheDump).LastError, "")
		assert.NilError(t, p.SetFault(kvsim.FaultStale, "1m30s"))
		time.Sleep(10 * time.Minute)
		assert.Equal(t, c.Version(), core.Version(10))
		encoded, short := c.Encoded()
		assert.Equal(t, encoded, core.Version(10))
		again := NewCache(CacheConfig{})
		_, err = again.Adopt(short, "peer")
		assert.NilError(t, err)
		assert.Assert(t, again.Checkout().Table.Equal(c.Checkout().Table))
	})
}

func BenchmarkPolicy(b *testing.B) {
	c := NewCache(CacheConfig{})
	_, err := c.Adopt(encodedTable(b, 1, startTable), "test")
	assert.NilError(b, err)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.Policy("quote")
		}
	})
}
