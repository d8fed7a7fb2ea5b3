package permit

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
)

// Listed tells the guard that a complete listing of the store at a version had the given entries, after those were passed to
// Event. A store that has come back from an older copy may have lost records.
func (g *Guard) Listed(entries []core.Entry, at core.Version) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, st := range g.state.groups {
		key := g.cfg.KeyPrefix + string(id)
		if !slices.ContainsFunc(entries, func(e core.Entry) bool { return e.Key == key }) {
			g.state.groups[id] = st.listed(at)
		}
	}
}

// IsStored reports whether the store has the group's last known record, as far as this VM knows.
func (g *Guard) IsStored(id core.GroupID) bool {
	newest := g.cfg.Eras.Newest()
	g.mu.Lock()
	defer g.mu.Unlock()
	st := g.state.groups[id]
	return st.version > 0 && !st.isLost && st.version.Era() == newest
}

// restore writes the records again that the store has lost, once it is this VM's turn.
func (g *Guard) restore(ctx context.Context) {
	since := g.cfg.Eras.Since()
	if since == 0 {
		return
	}
	known := g.cfg.Now().Sub(since)
	for id, st := range g.lost() {
		if known < g.restoreDelay(st.record) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, voteTimeout)
		err := g.put(callCtx, id, st.record, st.version)
		cancel()
		level.Info(g.cfg.Log).Log("Msg", "lost record of a leader written again", "Group", id, "Held", st.record.Held, "Target", st.record.Target, "Holder", st.record.Holder, "Err", err)
	}
}

// lost returns the groups whose record the store has lost.
func (g *Guard) lost() map[core.GroupID]groupState {
	newest := g.cfg.Eras.Newest()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[core.GroupID]groupState)
	for id, st := range g.state.groups {
		if st.isLost && st.version.Era() == newest {
			out[id] = st
		}
	}
	return out
}

// restoreDelay is how long after the change of the era this VM writes a record again. Its writer is the first one.
func (g *Guard) restoreDelay(r Record) time.Duration {
	if r.Holder == g.cfg.Self {
		return 0
	}
	vms := g.cfg.Members.Alive()
	turn, _ := slices.BinarySearchFunc(vms, g.cfg.Self, func(vm core.VM, id core.VMID) int { return strings.Compare(string(vm.ID), string(id)) })
	return min(time.Duration(turn+1)*restoreStep, maxRestoreDelay)
}
