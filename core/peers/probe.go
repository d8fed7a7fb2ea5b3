package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
)

// gossip returns the gossip for the next message. The caller holds mu.
func (p *Peers) gossip() Gossip {
	updates, marks := p.state.nextMessage(time.Now())
	g := Gossip{Self: p.state.selfUpdate(), Updates: updates, Marks: marks}
	if p.cfg.Table != nil {
		g.Table = p.cfg.Table.Version()
	}
	return g
}

// receive merges gossip that was received from the member g.Self.
func (p *Peers) receive(g Gossip) {
	now := time.Now()
	p.mu.Lock()
	before := p.state.incarnation
	changed := p.state.apply(g.Self, now)
	changed = p.state.confirmAlive(g.Self, now) || changed
	for _, u := range g.Updates {
		changed = p.state.apply(u, now) || changed
	}
	for _, m := range g.Marks {
		changed = p.state.applyMark(m, now) || changed
	}
	if changed {
		p.publishView()
	}
	hasRefuted := p.state.incarnation != before
	p.mu.Unlock()
	if hasRefuted {
		p.Announce()
	}
	if g.Self.VM.ID != p.cfg.Self.ID {
		p.fetch(g.Self.VM, g.Table)
	}
}

// ping sends a ping and merges the answer. It returns an error if another member than vm answers.
func (p *Peers) ping(ctx context.Context, vm core.VM) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.PingTimeout)
	defer cancel()
	p.mu.Lock()
	req := &PingRequest{To: vm.ID, Gossip: p.gossip()}
	// The member must receive what other members say about it, so that its answer can refute that.
	req.Updates = append(req.Updates, p.accusations(vm.ID)...)
	p.mu.Unlock()
	p.stats.pings.Add(1)
	answer, err := p.cfg.Transport.Ping(ctx, vm.Control, req)
	if err != nil {
		p.stats.failures.Add(1)
		return err
	}
	if answer.Self.VM.ID == p.cfg.Self.ID {
		p.dropCandidate(vm.Control)
		return core.ErrPeer.New("%s is this entry VM itself", vm.Control)
	}
	p.receive(answer.Gossip)
	if vm.ID != "" && answer.Self.VM.ID != vm.ID {
		return core.ErrPeer.New("%s is now %s instead of %s", vm.Control, answer.Self.VM.ID, vm.ID)
	}
	return nil
}

// accusations returns the record that the member must refute, if there is one. The caller holds mu.
func (p *Peers) accusations(id core.VMID) []Update {
	m := p.state.members[id]
	if m == nil || (m.status == StatusAlive && !m.accused) {
		return nil
	}
	u := Update{VM: core.VM{ID: id}, Status: m.status, Incarnation: m.incarnation}
	if m.accused {
		u.Status = StatusDead
	}
	return []Update{u}
}

// probeNext probes the next member in a new goroutine, unless maxProbes are running.
func (p *Peers) probeNext(ctx context.Context) {
	vm, ok := p.nextTarget()
	if !ok {
		return
	}
	select {
	case p.probeSlots <- struct{}{}:
	default:
		return
	}
	p.start(func() {
		defer func() { <-p.probeSlots }()
		p.probe(ctx, vm)
	})
}

// maxPartners is the number of members that an entry VM pings in turn. With 32, each member is pinged by
// about 32 others, and connections stay open from one round to the next. Pinging all members of a large
// fleet would open a connection for each ping, which needs six times the traffic.
const maxPartners = 32

// nextTarget returns the member to probe next: an accused or suspect member, or the next partner in a
// shuffled order, so that each partner is pinged once per round.
func (p *Peers) nextTarget() (core.VM, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// At most every other ping goes to an accused or suspect member. It is pinged early so that it isn't
	// declared dead after a short pause.
	p.priorityTurn = !p.priorityTurn
	if vm, ok := p.state.priorityTarget(); ok && p.priorityTurn {
		return vm, true
	}
	for range 2 {
		for len(p.pingOrder) > 0 {
			id := p.pingOrder[len(p.pingOrder)-1]
			p.pingOrder = p.pingOrder[:len(p.pingOrder)-1]
			if m := p.state.members[id]; m != nil && m.isAlive() {
				return m.vm, true
			}
		}
		p.pingOrder = p.state.partners(maxPartners)
		rand.Shuffle(len(p.pingOrder), func(i, j int) { p.pingOrder[i], p.pingOrder[j] = p.pingOrder[j], p.pingOrder[i] })
	}
	return core.VM{}, false
}

// probe pings a member directly and then through others, and marks it as suspect if it doesn't answer.
func (p *Peers) probe(ctx context.Context, vm core.VM) {
	if p.ping(ctx, vm) == nil || ctx.Err() != nil {
		return
	}
	if p.probeIndirect(ctx, vm) || ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.markSuspect(vm.ID, time.Now()) {
		level.Info(p.cfg.Logger).Log("Msg", "member is suspect", "VM", vm.ID)
	}
}

// probeIndirect asks other members to ping the member and reports whether it answered one of them.
func (p *Peers) probeIndirect(ctx context.Context, vm core.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*p.cfg.PingTimeout)
	defer cancel()
	helperVMs := p.randomMembers(helpers, vm.ID)
	answers := make(chan bool, len(helperVMs))
	for _, helper := range helperVMs {
		go func() { answers <- p.askHelper(ctx, helper, vm) }()
	}
	answered := false
	for range helperVMs {
		if <-answers {
			answered = true
			cancel()
		}
	}
	return answered
}

// askHelper asks the helper to ping the member, merges the member's record and reports whether it
// answered.
func (p *Peers) askHelper(ctx context.Context, helper, vm core.VM) bool {
	p.stats.probes.Add(1)
	answer, err := p.cfg.Transport.Probe(ctx, helper.Control, &ProbeRequest{Target: vm})
	if err != nil || !answer.Answered || answer.Self.VM.ID != vm.ID {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.apply(answer.Self, time.Now()) {
		p.publishView()
	}
	return true
}

// aliveOthers returns the other members that count as alive.
func (p *Peers) aliveOthers() []core.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []core.VM
	for _, m := range p.state.members {
		if m.isAlive() {
			list = append(list, m.vm)
		}
	}
	return list
}

// randomMembers returns up to n random other members that count as alive, not including excluded.
func (p *Peers) randomMembers(n int, excluded core.VMID) []core.VM {
	list := p.aliveOthers()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	picked := make([]core.VM, 0, n)
	for _, vm := range list {
		if len(picked) < n && vm.ID != excluded {
			picked = append(picked, vm)
		}
	}
	return picked
}

// pingRandom pings n random members at once.
func (p *Peers) pingRandom(ctx context.Context, n int) {
	for _, vm := range p.randomMembers(n, "") {
		p.start(func() { _ = p.ping(ctx, vm) })
	}
}

// Ping implements Handler.
func (p *Peers) Ping(_ context.Context, req *PingRequest) (*PingAnswer, error) {
	p.mu.Lock()
	accusations := p.accusations(req.Self.VM.ID)
	p.mu.Unlock()
	p.receive(req.Gossip)
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := &PingAnswer{Gossip: p.gossip()}
	answer.Updates = append(answer.Updates, accusations...)
	return answer, nil
}

// Probe implements Handler.
func (p *Peers) Probe(ctx context.Context, req *ProbeRequest) (*ProbeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.PingTimeout)
	defer cancel()
	if err := p.ping(ctx, req.Target); err != nil {
		// That the target didn't answer is a result, not an error of this call.
		return &ProbeAnswer{}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.state.members[req.Target.ID]
	if m == nil {
		return &ProbeAnswer{}, nil
	}
	return &ProbeAnswer{Answered: true, Self: m.update(time.Now())}, nil
}

// retry pings a random dead member or candidate, or several of them while this member knows no other.
func (p *Peers) retry(ctx context.Context, alone bool) {
	n := 1
	if alone {
		n = fanout
	}
	for _, vm := range p.retryTargets(n) {
		p.start(func() {
			if p.ping(ctx, vm) == nil {
				// A new member, or one that was unreachable, has missed changes and has others.
				p.sync(ctx, vm)
			}
		})
	}
}

// retryTargets returns up to n random dead members and candidates whose address isn't that of a live
// member.
func (p *Peers) retryTargets(n int) []core.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]bool{p.cfg.Self.Control: true}
	var list []core.VM
	for _, m := range p.state.members {
		if m.isAlive() {
			known[m.vm.Control] = true
		}
	}
	for _, m := range p.state.members {
		if m.status == StatusDead && !known[m.vm.Control] {
			known[m.vm.Control] = true
			list = append(list, m.vm)
		}
	}
	for address := range p.candidates {
		if !known[address] {
			list = append(list, core.VM{Control: address})
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// stats counts calls for the dump. It needs no lock.
type stats struct {
	pings, failures, probes, syncs, fetches counter
}
