package place

import (
	"sync"
	"sync/atomic"

	"snipewall/core"
)

// defaultOwners is the number of owners that a Cache keeps for each upstream: the first, and the one
// that takes over from it.
const defaultOwners = 2

// CacheConfig sets up a Cache.
type CacheConfig struct {
	Members core.Members
	// Owners is the number of owners to keep for each upstream, 2 if 0.
	Owners int
}

// Cache keeps the owners of each upstream until the membership changes. It is safe for concurrent
// use, and a hit takes no lock.
type Cache struct {
	cfg     CacheConfig
	current atomic.Pointer[generation]
}

// generation holds the owners under one state of the membership.
type generation struct {
	number uint64
	owners sync.Map
}

// NewCache returns an empty Cache.
func NewCache(cfg CacheConfig) *Cache {
	if cfg.Owners <= 0 {
		cfg.Owners = defaultOwners
	}
	c := &Cache{cfg: cfg}
	c.current.Store(&generation{})
	return c
}

// Owners returns the owners of the upstream, the preferred one first. The caller must not change
// the result.
func (c *Cache) Owners(info core.UpstreamInfo) []core.VM {
	// The number is read before the members: if they change in between, newer owners are kept under
	// the older number, and the next call computes them again.
	number := c.cfg.Members.Generation()
	g := c.current.Load()
	if g.number != number {
		g = &generation{number: number}
		c.current.Store(g)
	}
	if owners, ok := g.owners.Load(info.ID); ok {
		return owners.([]core.VM)
	}
	owners := Owners(info, c.cfg.Members.Alive(), c.cfg.Owners)
	g.owners.Store(info.ID, owners)
	return owners
}

// IsOwner reports whether the entry VM with the id is the preferred owner of the upstream.
func (c *Cache) IsOwner(info core.UpstreamInfo, id core.VMID) bool {
	owners := c.Owners(info)
	return len(owners) > 0 && owners[0].ID == id
}
