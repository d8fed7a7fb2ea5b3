package proxy

import (
	"slices"
	"sync"
	"time"

	"snipewall/core"
	"snipewall/core/place"
	"snipewall/core/topo"
)

const (
	// ownerConnShare is the share of an upstream's connections that its owner uses. The rest is for its
	// successor while the owner is paused or cut off, and for VMs that reach no owner.
	ownerConnShare = 0.65
	// minConnsPerVM is the number of connections to an upstream that each VM must be able to open for
	// VMs to dial directly. A VM that needs more for a while relays through others.
	minConnsPerVM = 2
	// maxOwners is the number of owners that are tried before an upstream is dialed directly.
	maxOwners = 2
	// suspectTTL is how long an owner that didn't answer is skipped.
	suspectTTL = 2 * time.Second
)

// path is how a VM reaches an upstream: directly, or through the VM that owns it.
type path struct {
	// owners are tried in order; empty for direct connections.
	owners []core.VM
	// conns is the maximum number of connections.
	conns int
	// byOrganisation is set if a direct connection serves one organisation only.
	byOrganisation bool
}

func (p path) isIndirect() bool { return len(p.owners) > 0 }

func (p path) equal(other path) bool {
	return p.conns == other.conns && p.byOrganisation == other.byOrganisation && slices.EqualFunc(p.owners, other.owners, func(x, y core.VM) bool { return x.ID == y.ID && x.Relay == y.Relay })
}

// connBudget is what the VMs share of an upstream.
type connBudget struct {
	// connections is the upstream's connection limit.
	connections int
	// byOrganisation is set if each connection serves one organisation only: a few for each VM wouldn't suffice then.
	byOrganisation bool
}

// planPath decides how the VM reaches the upstream. While the connections suffice for all VMs, each one
// dials directly, which is the shortest path and has no point of failure. Otherwise the upstream has an
// owner in its failure domain, and the other VMs relay through it.
func planPath(self core.VMID, alive []core.VM, u topo.Upstream, budget connBudget) path {
	connections := budget.connections
	if len(alive)*minConnsPerVM <= connections && !budget.byOrganisation {
		return path{conns: max(1, min(maxConns, connections))}
	}
	owners := place.Owners(u.UpstreamInfo, alive, maxOwners)
	if len(owners) == 0 || owners[0].ID == self {
		return ownerPath(budget)
	}
	owners = slices.DeleteFunc(owners, func(vm core.VM) bool { return vm.ID == self || vm.Relay == "" })
	return path{owners: owners, conns: maxRelayConns, byOrganisation: budget.byOrganisation}
}

// ownerPath is the path of an upstream's owner.
func ownerPath(budget connBudget) path {
	return path{conns: max(maxConns, int(ownerConnShare*float64(budget.connections))), byOrganisation: budget.byOrganisation}
}

// suspects holds the entry VMs that recently didn't answer. It is safe for concurrent use.
type suspects struct {
	mu sync.Mutex
	at map[core.VMID]time.Time
}

func (s *suspects) add(id core.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = make(map[core.VMID]time.Time)
	}
	s.at[id] = time.Now()
}

func (s *suspects) has(id core.VMID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[id]
	return ok && time.Since(at) < suspectTTL
}
