package assign

import (
	"snipewall/core"
)

// State is the manager's part of a state dump.
type State struct {
	Owners map[core.UpstreamID]OwnerState
	Groups map[core.GroupID]map[string]any
}

// OwnerState describes one running owner.
type OwnerState struct {
	// Assigned tells that rendezvous hashing names this entry VM; otherwise it serves on demand.
	Assigned bool
	Owner    any
}

// Dump implements core.Dumper.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := State{
		Owners: make(map[core.UpstreamID]OwnerState, len(m.owners)),
		Groups: make(map[core.GroupID]map[string]any, len(m.groups)),
	}
	for id, cell := range m.owners {
		s.Owners[id] = OwnerState{Assigned: cell.assigned, Owner: dumpOf(cell.owner)}
	}
	for id, g := range m.groups {
		services := make(map[string]any, len(g.group.Services))
		for _, service := range g.group.Services {
			services[service.Name()] = dumpOf(service)
		}
		s.Groups[id] = services
	}
	return s
}

func dumpOf(v any) any {
	if d, ok := v.(core.Dumper); ok {
		return d.Dump()
	}
	return nil
}
