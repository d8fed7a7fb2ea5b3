package place

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"snipewall/core"
)

func fleet(n, domains int) []core.VM {
	vms := make([]core.VM, n)
	for i := range vms {
		vms[i] = core.VM{
			ID:            core.VMID(fmt.Sprintf("vm-%03d", i)),
			FailureDomain: core.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		}
	}
	return vms
}

func upstream(i, domains int) core.UpstreamInfo {
	return core.UpstreamInfo{
		ID:            core.UpstreamID(fmt.Sprintf("ledger-%d", i)),
		FailureDomain: core.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
	}
}

// Guards against an owner in another failure domain while the upstream's own domain has a VM alive, and
// against changing the owner of other upstreams than those of a removed VM.
func TestOwnersMoveMinimally(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		alive := fleet(rapid.IntRange(2, 40).Draw(t, "vms"), domains)
		n := rapid.IntRange(1, 12).Draw(t, "owners")
		for i := range alive {
			alive[i].Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
		}
		lost := rapid.IntRange(0, len(alive)-1).Draw(t, "lost")
		rest := slices.Delete(slices.Clone(alive), lost, lost+1)
		for i := range 20 {
			info := upstream(i, domains)
			before, after := Owners(info, alive, n), Owners(info, rest, n)
			assert.Equal(t, len(before), min(n, len(alive)))
			checkOrder(t, info, before)
			kept := slices.DeleteFunc(slices.Clone(before), func(vm core.VM) bool { return vm.ID == alive[lost].ID })
			assert.DeepEqual(t, kept, after[:len(kept)])
			shuffled := rapid.Permutation(alive).Draw(t, "order")
			assert.DeepEqual(t, Owners(info, shuffled, n), before)
		}
	})
}

func checkOrder(t *rapid.T, info core.UpstreamInfo, owners []core.VM) {
	for i := 1; i < len(owners); i++ {
		a, b := tier(&owners[i-1], info.FailureDomain), tier(&owners[i], info.FailureDomain)
		assert.Assert(t, a <= b, "owners of %s are out of order: %v", info.ID, owners)
	}
}

// Guards against a few entry VMs that own most upstreams. The case has 1200 upstreams and 520 entry VMs.
func TestOwnersAreBalanced(t *testing.T) {
	alive := fleet(520, 4)
	count := map[core.VMID]int{}
	for i := range 1200 {
		count[Owners(upstream(i, 4), alive, 1)[0].ID]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	t.Logf("%d of 520 entry VMs own an upstream, the most loaded one owns %d", len(count), most)
	assert.Assert(t, most <= 12, "one entry VM owns %d upstreams", most)
	assert.Assert(t, len(count) > 400, "only %d entry VMs own an upstream", len(count))
}

// Guards against a task that no VM or more than n VMs of a failure domain carry out.
func TestIsElected(t *testing.T) {
	alive := fleet(40, 4)
	for lost := range len(alive) {
		rest := slices.Delete(slices.Clone(alive), lost, lost+1)
		rest[0].Leaving = true
		count := map[core.FailureDomain]int{}
		for _, vm := range rest {
			if IsElected("table", vm, rest, 2) {
				count[vm.FailureDomain]++
				assert.Assert(t, !vm.Leaving)
			}
		}
		assert.DeepEqual(t, count, map[core.FailureDomain]int{"domain-0": 2, "domain-1": 2, "domain-2": 2, "domain-3": 2})
	}
}

type fakeMembers struct {
	core.Members
	alive []core.VM
	gen   atomic.Uint64
}

func (m *fakeMembers) Alive() []core.VM   { return m.alive }
func (m *fakeMembers) Generation() uint64 { return m.gen.Load() }

// Guards against returning cached owners after the membership changed.
func TestCache(t *testing.T) {
	m := &fakeMembers{alive: fleet(8, 2)}
	c := NewCache(CacheConfig{Members: m})
	info := upstream(1, 2)
	owners := c.Owners(info)
	assert.DeepEqual(t, owners, Owners(info, m.alive, 2))
	assert.Assert(t, c.IsOwner(info, owners[0].ID))
	m.alive = slices.DeleteFunc(slices.Clone(m.alive), func(vm core.VM) bool { return vm.ID == owners[0].ID })
	m.gen.Add(1)
	assert.Equal(t, c.Owners(info)[0].ID, owners[1].ID)
}

func BenchmarkOwners(b *testing.B) {
	for _, n := range []int{8, 520} {
		alive := fleet(n, 4)
		info := upstream(1, 4)
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Owners(info, alive, 2)
			}
		})
		c := NewCache(CacheConfig{Members: &fakeMembers{alive: alive}})
		b.Run(fmt.Sprintf("cached/vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.Owners(info)
			}
		})
	}
}
