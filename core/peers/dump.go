package peers

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"snipewall/core"
)

type counter = atomic.Uint64

// memberDump is a member in a peersDump.
type memberDump struct {
	ID          core.VMID
	Status      string
	Incarnation uint64
	Since       time.Time
}

// peersDump is the result of Peers.Dump, for the admin port.
type peersDump struct {
	Self        core.VMID
	Incarnation uint64
	Generation  uint64
	Members     []memberDump
	Marks       []Mark
	Candidates  int
	Waiting     int
	Pings       uint64
	Failures    uint64
	Probes      uint64
	Syncs       uint64
	Fetches     uint64
}

// Dump implements core.Dumper.
func (p *Peers) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := peersDump{
		Self: p.cfg.Self.ID, Incarnation: p.state.incarnation, Generation: p.Generation(),
		Candidates: len(p.candidates), Waiting: len(p.state.queue.updates) + len(p.state.queue.marks),
		Pings: p.stats.pings.Load(), Failures: p.stats.failures.Load(), Probes: p.stats.probes.Load(),
		Syncs: p.stats.syncs.Load(), Fetches: p.stats.fetches.Load(),
	}
	for id, m := range p.state.members {
		d.Members = append(d.Members, memberDump{ID: id, Status: m.status.String(), Incarnation: m.incarnation, Since: m.since})
	}
	slices.SortFunc(d.Members, func(a, b memberDump) int { return cmp.Compare(a.ID, b.ID) })
	_, d.Marks = p.state.fullState(time.Now())
	return d
}
