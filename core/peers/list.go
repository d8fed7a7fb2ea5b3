package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/place"
)

// listElectionKey is the key that elects the entry VMs that poll the platform's list often.
const listElectionKey = "snipewall/vms"

// minWithdrawAge is the age from which a leaving mark is withdrawn by a platform's list without it. Two
// entry VMs may read lists that are out of date by different times.
const minWithdrawAge = time.Minute

// maxCandidates limits the number of candidate addresses.
const maxCandidates = 2000

// runList polls the platform's list of VMs: often on a few entry VMs of each failure domain and rarely on
// the others, so that the number of calls doesn't grow with the number of VMs.
func (p *Peers) runList(ctx context.Context) {
	if p.cfg.Platform == nil {
		return
	}
	for ctx.Err() == nil {
		vms, err := p.cfg.Platform.VMs(ctx)
		if err != nil {
			level.Warn(p.cfg.Logger).Log("Msg", "polling the list of VMs failed", "Err", err)
		}
		p.applyList(vms)
		p.waitForNextList(ctx, time.Now())
	}
}

// waitForNextList waits until the next poll of the list is due. last is the time of the last one.
func (p *Peers) waitForNextList(ctx context.Context, last time.Time) {
	slow := max(minSlowListInterval, slowListIntervalPerMember*time.Duration(len(p.Alive())))
	slow = slow/2 + rand.N(slow)
	for ctx.Err() == nil {
		sleep(ctx, p.cfg.ListInterval)
		if time.Since(last) >= slow || p.isLister() {
			return
		}
	}
}

// isLister reports whether this entry VM polls the list often. One that knows no other VM does, since it
// may have just started.
func (p *Peers) isLister() bool {
	alive := p.Alive()
	return len(alive) <= 1 || place.IsElected(listElectionKey, p.cfg.Self, alive, listers)
}

// applyList updates candidates and leaving marks from the platform's list.
func (p *Peers) applyList(vms []core.VM) {
	changed := false
	for _, vm := range vms {
		m := Mark{VM: vm.ID, Source: SourcePlatform, Leaving: vm.Leaving}
		if vm.Upstream != "" {
			m = Mark{Upstream: vm.Upstream, Source: SourcePlatform, Leaving: vm.Leaving}
		}
		changed = p.applyListedMark(m) || changed
	}
	if changed {
		p.Announce()
	}
	p.setCandidates(vms)
}

// applyListedMark applies a mark from the platform's list and reports whether that changed anything.
func (p *Peers) applyListedMark(m Mark) bool {
	p.mu.Lock()
	old := p.state.marks[m.key()]
	p.mu.Unlock()
	if !m.Leaving && time.Since(old.since) < minWithdrawAge {
		return false
	}
	return p.mark(m)
}

// setCandidates replaces the candidates from the platform's list. Seeds from the settings stay.
func (p *Peers) setCandidates(vms []core.VM) {
	if len(vms) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, id := range p.candidates {
		if id != "" {
			delete(p.candidates, address)
		}
	}
	for _, vm := range vms {
		if vm.Upstream == "" && vm.Control != "" {
			p.addCandidate(vm.Control, vm.ID)
		}
	}
}

// addCandidate adds a candidate address. id is empty for a seed. The caller holds mu, except in New.
func (p *Peers) addCandidate(address string, id core.VMID) {
	if _, known := p.candidates[address]; known || len(p.candidates) >= maxCandidates {
		return
	}
	p.candidates[address] = id
}

// dropCandidate removes a candidate address that turned out to be this entry VM's own.
func (p *Peers) dropCandidate(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.candidates, address)
}
