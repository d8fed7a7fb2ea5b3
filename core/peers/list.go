package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/place"
)

// listDuty is the name under which the entry VMs that poll the platform's list are elected.
const listDuty = "snipewall/vms"

// withdrawTime is how old a platform's leaving mark has to be before a list without it withdraws it.
// Two entry VMs may read the list from places that lag differently.
const withdrawTime = time.Minute

// maxCandidates limits the addresses that are tried again.
const maxCandidates = 2000

// runList polls the platform's list of VMs: often on a few entry VMs of each failure domain, seldom
// on the others, so that the platform's calls don't grow with the fleet.
func (p *Peers) runList(ctx context.Context) {
	if p.cfg.Platform == nil {
		return
	}
	for ctx.Err() == nil {
		vms, err := p.cfg.Platform.VMs(ctx)
		if err != nil {
			level.Warn(p.cfg.Logger).Log("Msg", "list of VMs not loaded", "Err", err)
		}
		p.takeList(vms)
		p.waitList(ctx, time.Now())
	}
}

// waitList waits until the next poll is due.
func (p *Peers) waitList(ctx context.Context, last time.Time) {
	slow := max(minSlowListTime, slowListStep*time.Duration(len(p.Alive())))
	slow = slow/2 + rand.N(slow)
	for ctx.Err() == nil {
		sleep(ctx, p.cfg.ListInterval)
		if time.Since(last) >= slow || p.isLister() {
			return
		}
	}
}

// isLister reports whether this entry VM polls often. One that knows no other does, since it may
// have just started.
func (p *Peers) isLister() bool {
	alive := p.Alive()
	return len(alive) <= 1 || place.IsElected(listDuty, p.cfg.Self, alive, listers)
}

// takeList takes candidates and leaving marks from the platform's list.
func (p *Peers) takeList(vms []core.VM) {
	news := false
	for _, vm := range vms {
		m := Mark{VM: vm.ID, Source: SourcePlatform, Leaving: vm.Leaving}
		if vm.Upstream != "" {
			m = Mark{Upstream: vm.Upstream, Source: SourcePlatform, Leaving: vm.Leaving}
		}
		news = p.markListed(m) || news
	}
	if news {
		p.Announce()
	}
	p.setCandidates(vms)
}

// markListed takes a mark from the platform's list and reports whether it is news.
func (p *Peers) markListed(m Mark) bool {
	p.mu.Lock()
	old := p.state.marks[m.key()]
	p.mu.Unlock()
	if !m.Leaving && time.Since(old.since) < withdrawTime {
		return false
	}
	return p.mark(m)
}

// setCandidates replaces the candidates from the list. Seeds from the settings stay.
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

// addCandidate adds an address to try. The caller holds mu or is alone. A seed has no id.
func (p *Peers) addCandidate(address string, id core.VMID) {
	if _, known := p.candidates[address]; known || len(p.candidates) >= maxCandidates {
		return
	}
	p.candidates[address] = id
}

// dropCandidate forgets an address that leads back to this entry VM.
func (p *Peers) dropCandidate(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.candidates, address)
}
