// Package place determines which entry VMs own an upstream, by rendezvous hashing over the entry
// VMs that are believed to be alive. All entry VMs with the same view compute the same owners
// without talking to each other. When an entry VM comes or goes, only the upstreams that it gains or
// loses move.
//
// The order of an upstream's owners is: the entry VMs of its failure domain in hash order, then the
// others in hash order, then those that are about to leave. A disagreement about the owner is safe,
// since the upstream itself refuses surplus connections.
//
// # Usage
//
//	owners := place.Owners(info, members.Alive(), 2)
//
// On the path of a request, a Cache saves the hashing until the membership changes:
//
//	cache := place.NewCache(place.CacheConfig{Members: members, Owners: 2})
//	owners := cache.Owners(info)
package place

import (
	"github.com/cespare/xxhash/v2"

	"snipewall/core"
)

// Owners returns the first n owners of the upstream, the preferred one first. It returns fewer if
// fewer entry VMs are alive. The result is new memory; alive isn't kept.
func Owners(info core.UpstreamInfo, alive []core.VM, n int) []core.VM {
	n = min(n, len(alive))
	if n <= 0 {
		return nil
	}
	seed := xxhash.Sum64String(string(info.ID))
	best := make([]core.VM, 0, n)
	var scores [maxRanked]score
	if n > maxRanked {
		return ranked(seed, info.FailureDomain, alive, best, make([]score, n))
	}
	return ranked(seed, info.FailureDomain, alive, best, scores[:n])
}

// maxRanked is the number of owners up to which the scores need no allocation.
const maxRanked = 8

// score orders the candidates of one upstream: lower tiers first, then higher hashes.
type score struct {
	tier uint8
	hash uint64
}

func (s score) before(t score) bool {
	if s.tier != t.tier {
		return s.tier < t.tier
	}
	return s.hash > t.hash
}

// Tiers of candidates.
const (
	tierNear uint8 = iota
	tierFar
	tierLeaving
)

// ranked inserts each candidate into best, which stays sorted and keeps its capacity.
func ranked(seed uint64, domain core.FailureDomain, alive, best []core.VM, scores []score) []core.VM {
	for i := range alive {
		vm := &alive[i]
		s := score{tier: tier(vm, domain), hash: mix(seed ^ xxhash.Sum64String(string(vm.ID)))}
		at := len(best)
		for at > 0 && isBefore(s, vm, scores[at-1], &best[at-1]) {
			at--
		}
		if at == cap(best) {
			continue
		}
		if len(best) < cap(best) {
			best = best[:len(best)+1]
		}
		copy(best[at+1:], best[at:])
		copy(scores[at+1:len(best)], scores[at:])
		best[at], scores[at] = *vm, s
	}
	return best
}

// isBefore orders two candidates. Equal hashes are ordered by id, so that all entry VMs agree.
func isBefore(s score, vm *core.VM, t score, other *core.VM) bool {
	if s == t {
		return vm.ID < other.ID
	}
	return s.before(t)
}

func tier(vm *core.VM, domain core.FailureDomain) uint8 {
	switch {
	case vm.Leaving:
		return tierLeaving
	case vm.FailureDomain == domain:
		return tierNear
	default:
		return tierFar
	}
}

// mix is the finalizer of splitmix64. The xor of two hashes alone would order the candidates of two
// similar upstreams alike.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// IsElected reports whether the entry VM is one of the n of its failure domain that carry out the
// duty, for example to watch a key of the store. Others take over when one of them is no longer
// alive.
func IsElected(duty string, self core.VM, alive []core.VM, n int) bool {
	seed := xxhash.Sum64String(duty)
	own := mix(seed ^ xxhash.Sum64String(string(self.ID)))
	ahead := 0
	for i := range alive {
		vm := &alive[i]
		if vm.ID == self.ID || vm.FailureDomain != self.FailureDomain {
			continue
		}
		// A VM that is about to leave hands its duties over, unless only such VMs are left.
		if vm.Leaving != self.Leaving {
			if self.Leaving {
				ahead++
			}
			continue
		}
		h := mix(seed ^ xxhash.Sum64String(string(vm.ID)))
		if h > own || (h == own && vm.ID < self.ID) {
			ahead++
		}
	}
	return ahead < n
}
