// Package place determines which entry VMs own an upstream, by rendezvous hashing over the entry
// VMs that are believed to be alive. All entry VMs with the same list of them compute the same owners
// without communication. When an entry VM is added or removed, only the upstreams that it gains or
// loses get another owner.
//
// The order of an upstream's owners is: the entry VMs of its failure domain in hash order, then the
// others in hash order, then those that are about to leave. A disagreement about the owner is safe,
// since the upstream itself refuses connections beyond its limit.
//
// # Usage
//
//	owners := place.Owners(info, members.Alive(), 2)
//
// For each request, a Cache avoids the hashing until the membership changes:
//
//	cache := place.NewCache(place.CacheConfig{Members: members, Owners: 2})
//	owners := cache.Owners(info)
package place

import (
	"github.com/cespare/xxhash/v2"

	"snipewall/core"
)

// Owners returns the first n owners of the upstream, the preferred one first. It returns fewer if
// fewer entry VMs are alive. The result is newly allocated, and alive isn't retained.
func Owners(info core.UpstreamInfo, alive []core.VM, n int) []core.VM {
	n = min(n, len(alive))
	if n <= 0 {
		return nil
	}
	seed := xxhash.Sum64String(string(info.ID))
	best := make([]core.VM, 0, n)
	var scores [maxStackScores]score
	if n > maxStackScores {
		return insertRanked(seed, info.FailureDomain, alive, best, make([]score, n))
	}
	return insertRanked(seed, info.FailureDomain, alive, best, scores[:n])
}

// maxStackScores is the number of owners up to which the scores need no heap allocation.
const maxStackScores = 8

// score orders the candidates of one upstream: lower tiers first, then higher hashes.
type score struct {
	tier uint8
	hash uint64
}

func (s score) isBefore(t score) bool {
	if s.tier != t.tier {
		return s.tier < t.tier
	}
	return s.hash > t.hash
}

// Tiers of candidates, the preferred one first.
const (
	tierSameDomain uint8 = iota
	tierOtherDomain
	tierLeaving
)

// insertRanked inserts the candidates into best in order of preference and drops those beyond its capacity.
func insertRanked(seed uint64, domain core.FailureDomain, alive, best []core.VM, scores []score) []core.VM {
	for i := range alive {
		vm := &alive[i]
		s := score{tier: tier(vm, domain), hash: mix(seed ^ xxhash.Sum64String(string(vm.ID)))}
		pos := len(best)
		for pos > 0 && isCandidateBefore(s, vm, scores[pos-1], &best[pos-1]) {
			pos--
		}
		if pos == cap(best) {
			continue
		}
		if len(best) < cap(best) {
			best = best[:len(best)+1]
		}
		copy(best[pos+1:], best[pos:])
		copy(scores[pos+1:len(best)], scores[pos:])
		best[pos], scores[pos] = *vm, s
	}
	return best
}

// isCandidateBefore reports whether vm with the score s is preferred to other with t. Equal scores are
// ordered by id, so that all entry VMs agree.
func isCandidateBefore(s score, vm *core.VM, t score, other *core.VM) bool {
	if s == t {
		return vm.ID < other.ID
	}
	return s.isBefore(t)
}

func tier(vm *core.VM, domain core.FailureDomain) uint8 {
	switch {
	case vm.Leaving:
		return tierLeaving
	case vm.FailureDomain == domain:
		return tierSameDomain
	default:
		return tierOtherDomain
	}
}

// mix is the finalizer of splitmix64. With only the xor of the two hashes, two upstreams with similar
// hashes would have their candidates in nearly the same order.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// IsElected reports whether the entry VM is one of the n in its failure domain that carry out the
// task, for example to watch a key of the store. When one of them is no longer alive, another VM takes
// over.
func IsElected(task string, self core.VM, alive []core.VM, n int) bool {
	seed := xxhash.Sum64String(task)
	own := mix(seed ^ xxhash.Sum64String(string(self.ID)))
	ahead := 0
	for i := range alive {
		vm := &alive[i]
		if vm.ID == self.ID || vm.FailureDomain != self.FailureDomain {
			continue
		}
		// A VM that is about to leave is elected only if no others are left.
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
