package assign

import (
	"snipewall/core"
)

// State is a snapshot of the manager for diagnosis.
type State struct {
	Owners map[core.UpstreamID]OwnerState
	Groups map[core.GroupID]map[string]any
}

// OwnerState describes one running owner.
type OwnerState struct {
	// Assigned is set if rendezvous hashing assigns the upstream to this entry VM; otherwise the owner
	// serves on demand.
	Assigned bool
	Owner    any
}

// Dump implements core.Dumper. It returns a State.
func (m *Manager) Dump() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := State{
		Owners: make(map[core.UpstreamID]OwnerState, len(m.owners)),
		Groups: make(map[core.GroupID]map[string]any, len(m.groups)),
	}
	for id, ro := range m.owners {
		s.Owners[id] = OwnerState{Assigned: ro.assigned, Owner: dump(ro.owner)}
	}
	for id, g := range m.groups {
		services := make(map[string]any, len(g.group.Services))
		for _, service := range g.group.Services {
			services[service.Name()] = dump(service)
		}
		s.Groups[id] = services
	}
	return s
}

func dump(v any) any {
	if d, ok := v.(core.Dumper); ok {
		return d.Dump()
	}
	return nil
}
