package route

import (
	"context"
	"slices"
	"time"

	"snipewall/core"
)

// choose picks the best upstream that has not turned the request down yet.
func (t *trial) choose() (core.UpstreamInfo, bool) {
	if info, ok := t.group.info(t.better); ok {
		t.better = ""
		if !slices.Contains(t.failed, info.ID) {
			return info, true
		}
	}
	if t.req.Class != core.ClassRead && t.req.Class != core.ClassBeginRead {
		return t.choosePrimary()
	}
	best := core.UpstreamInfo{}
	bestCost := -1
	for _, info := range t.group.upstreams {
		if slices.Contains(t.failed, info.ID) {
			continue
		}
		if cost := t.readCost(info); bestCost < 0 || cost < bestCost {
			best, bestCost = info, cost
		}
	}
	return best, bestCost >= 0
}

// choosePrimary picks the primary, or any upstream whose owner will redirect to it.
func (t *trial) choosePrimary() (core.UpstreamInfo, bool) {
	if view, ok := t.router.view(t.group.id); ok {
		if id, _, ok := view.Primary(); ok {
			t.group.learnPrimary(id)
		}
	}
	if info, ok := t.group.info(t.group.knownPrimary()); ok && !slices.Contains(t.failed, info.ID) {
		return info, true
	}
	for _, info := range t.group.upstreams {
		if !slices.Contains(t.failed, info.ID) {
			return info, true
		}
	}
	return core.UpstreamInfo{}, false
}

// Costs of a read on an upstream. The primary is the last choice, since replicas can take reads
// off it; a leaving upstream comes after it.
const (
	costSameRegion  = 1
	costOtherRegion = 2
	costBehind      = 4
	costPrimary     = 8
	costLeaving     = 16
)

// readCost ranks an upstream for a read; lower is better.
func (t *trial) readCost(info core.UpstreamInfo) int {
	self := t.router.cfg.Members.Self()
	cost := 0
	switch {
	case info.FailureDomain == self.FailureDomain:
	case info.Region == self.Region:
		cost += costSameRegion
	default:
		cost += costOtherRegion
	}
	if info.ID == t.group.knownPrimary() {
		cost += costPrimary
	}
	if t.router.cfg.Members.IsLeaving(info.ID) {
		cost += costLeaving
	}
	if t.isBehind(info.ID) {
		cost += costBehind
	}
	return cost
}

// isBehind tells whether a monitor in this process knows that the upstream can't serve the read.
func (t *trial) isBehind(id core.UpstreamID) bool {
	view, ok := t.router.view(t.group.id)
	if !ok {
		return false
	}
	status, _, ok := view.Status(id)
	if !ok || !status.Applied.Covers(t.req.Position) {
		return true
	}
	if t.req.AcceptedAge == 0 {
		return false
	}
	age, ok := view.Age(id)
	return !ok || age > t.req.AcceptedAge
}

func (r *Router) view(id core.GroupID) (core.GroupView, bool) {
	if r.cfg.View == nil {
		return nil, false
	}
	return r.cfg.View(id)
}

// attempt runs the request on the upstream, through the first of its owners that can be reached.
func (t *trial) attempt(ctx context.Context, info core.UpstreamInfo) (core.Result, error) {
	self := t.router.cfg.Members.Self()
	for _, vm := range t.router.cfg.Owners(info) {
		if vm.ID == self.ID {
			return t.runLocal(ctx, info)
		}
		if t.router.isPenalized(vm.ID) {
			continue
		}
		res, err := t.router.cfg.Remote(vm, info.ID).Execute(ctx, t.req, t.out)
		if err == nil || t.req.Attempt.IsSent() || isTyped(err) {
			return res, err
		}
		t.router.penalize(vm.ID)
	}
	return t.runLocal(ctx, info)
}

func (t *trial) runLocal(ctx context.Context, info core.UpstreamInfo) (core.Result, error) {
	exec, ok := t.router.cfg.Local(info.ID)
	if !ok {
		return core.Result{}, t.req.Attempt.Refuse(core.StateUnavailable, "upstream "+string(info.ID)+" can't be served here", 0)
	}
	return exec.Execute(ctx, t.req, t.out)
}

func (r *Router) isPenalized(id core.VMID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.penalties[id]
	return ok && time.Now().Before(until)
}

func (r *Router) penalize(id core.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.penalties[id] = time.Now().Add(peerPenalty)
}
