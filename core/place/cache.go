package place

import (
	"sync"
	"sync/atomic"

	"snipewall/core"
)

// defaultOwnerCount is the number of owners that a Cache keeps for each upstream: the preferred one and
// its successor.
const defaultOwnerCount = 2

// CacheConfig configures a Cache. Members is required.
type CacheConfig struct {
	Members core.Members
	// Owners is the number of owners to keep for each upstream; 0 stands for 2.
	Owners int
}

// Cache caches the owners of each upstream until the membership changes. It is safe for concurrent
// use, and a hit takes no lock.
type Cache struct {
	cfg     CacheConfig
	current atomic.Pointer[ownerSet]
}

// ownerSet holds the owners that were computed for one generation of the membership.
type ownerSet struct {
	generation uint64
	owners     sync.Map
}

// NewCache returns an empty Cache.
func NewCache(cfg CacheConfig) *Cache {
	if cfg.Owners <= 0 {
		cfg.Owners = defaultOwnerCount
	}
	c := &Cache{cfg: cfg}
	c.current.Store(&ownerSet{})
	return c
}

// Owners returns the owners of the upstream, the preferred one first. The caller must not change
// the result.
func (c *Cache) Owners(info core.UpstreamInfo) []core.VM {
	// The generation is read before the members: if they change in between, newer owners are stored
	// with the older generation, and the next call computes them again.
	generation := c.cfg.Members.Generation()
	set := c.current.Load()
	if set.generation != generation {
		set = &ownerSet{generation: generation}
		c.current.Store(set)
	}
	if owners, ok := set.owners.Load(info.ID); ok {
		return owners.([]core.VM)
	}
	owners := Owners(info, c.cfg.Members.Alive(), c.cfg.Owners)
	set.owners.Store(info.ID, owners)
	return owners
}

// IsOwner reports whether the entry VM with the id is the preferred owner of the upstream.
func (c *Cache) IsOwner(info core.UpstreamInfo, id core.VMID) bool {
	owners := c.Owners(info)
	return len(owners) > 0 && owners[0].ID == id
}
