package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"snipewall/core"
)

// syncInterval returns a random time until the next comparison of digests.
func (p *Peers) syncInterval() time.Duration {
	d := max(minSyncInterval, syncIntervalPerMember*time.Duration(len(p.Alive())))
	return d/2 + rand.N(d)
}

// quickSyncDelay returns a random time from a change of the view until an additional comparison.
func (p *Peers) quickSyncDelay() time.Duration {
	d := max(minQuickSyncDelay, quickSyncDelayPerMember*time.Duration(len(p.Alive())))
	return d/2 + rand.N(d)
}

// syncRandom compares digests with one random member in a new goroutine.
func (p *Peers) syncRandom(ctx context.Context) {
	for _, vm := range p.randomMembers(1, "") {
		p.start(func() { p.sync(ctx, vm) })
	}
}

// sync compares digests with the member. If they differ, it merges the member's state and sends back what
// the member lacks.
func (p *Peers) sync(ctx context.Context, vm core.VM) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.mu.Lock()
	req := &SyncRequest{Gossip: p.gossip(), Digest: p.state.digest()}
	p.mu.Unlock()
	p.stats.syncs.Add(1)
	answer, err := p.cfg.Transport.Sync(ctx, vm.Control, req)
	if err != nil || answer.Same {
		return
	}
	p.mu.Lock()
	push := &SyncRequest{Push: true, Gossip: Gossip{Self: p.state.selfUpdate()}}
	push.Updates, push.Marks = p.state.missingFrom(answer.Gossip, time.Now())
	p.mu.Unlock()
	p.receive(answer.Gossip)
	if len(push.Updates) == 0 && len(push.Marks) == 0 {
		return
	}
	p.stats.syncs.Add(1)
	// If this call fails, a later comparison finds the difference again.
	_, _ = p.cfg.Transport.Sync(ctx, vm.Control, push)
}

// Sync implements Handler.
func (p *Peers) Sync(_ context.Context, req *SyncRequest) (*SyncAnswer, error) {
	p.receive(req.Gossip)
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := &SyncAnswer{Gossip: Gossip{Self: p.state.selfUpdate()}}
	if p.cfg.Table != nil {
		answer.Table = p.cfg.Table.Version()
	}
	answer.Same = req.Push || req.Digest == p.state.digest()
	if !answer.Same {
		answer.Updates, answer.Marks = p.state.fullState(time.Now())
	}
	return answer, nil
}
