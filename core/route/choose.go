package route

import (
	"context"
	"slices"
	"time"

	"snipewall/core"
)

// choose picks the best upstream among those that are not in failed.
func (e *execution) choose() (core.UpstreamInfo, bool) {
	if info, ok := e.group.info(e.redirectTarget); ok {
		e.redirectTarget = ""
		if !slices.Contains(e.failed, info.ID) {
			return info, true
		}
	}
	if e.req.Class != core.ClassRead && e.req.Class != core.ClassBeginRead {
		return e.choosePrimary()
	}
	best := core.UpstreamInfo{}
	bestCost := -1
	for _, info := range e.group.upstreams {
		if slices.Contains(e.failed, info.ID) {
			continue
		}
		if cost := e.readCost(info); bestCost < 0 || cost < bestCost {
			best, bestCost = info, cost
		}
	}
	return best, bestCost >= 0
}

// choosePrimary picks the primary, or any upstream whose owner will redirect to it.
func (e *execution) choosePrimary() (core.UpstreamInfo, bool) {
	if view, ok := e.router.view(e.group.id); ok {
		if id, _, ok := view.Primary(); ok {
			e.group.learnPrimary(id)
		}
	}
	if info, ok := e.group.info(e.group.knownPrimary()); ok && !slices.Contains(e.failed, info.ID) {
		return info, true
	}
	for _, info := range e.group.upstreams {
		if !slices.Contains(e.failed, info.ID) {
			return info, true
		}
	}
	return core.UpstreamInfo{}, false
}

// Costs of a read on an upstream; the lowest sum wins. The primary is chosen after all replicas, even
// those that are behind, since replicas can take reads off it. A leaving upstream is chosen last.
const (
	costSameRegion  = 1
	costOtherRegion = 2
	costBehind      = 4
	costPrimary     = 8
	costLeaving     = 16
)

// readCost returns the cost of a read on the upstream.
func (e *execution) readCost(info core.UpstreamInfo) int {
	self := e.router.cfg.Members.Self()
	cost := 0
	switch {
	case info.FailureDomain == self.FailureDomain:
	case info.Region == self.Region:
		cost += costSameRegion
	default:
		cost += costOtherRegion
	}
	if info.ID == e.group.knownPrimary() {
		cost += costPrimary
	}
	if e.router.cfg.Members.IsLeaving(info.ID) {
		cost += costLeaving
	}
	if e.isBehind(info.ID) {
		cost += costBehind
	}
	return cost
}

// isBehind reports whether a monitor in this process knows that the upstream can't serve the read.
func (e *execution) isBehind(id core.UpstreamID) bool {
	view, ok := e.router.view(e.group.id)
	if !ok {
		return false
	}
	status, _, ok := view.Status(id)
	if !ok || !status.Applied.Covers(e.req.Position) {
		return true
	}
	if e.req.AcceptedAge == 0 {
		return false
	}
	age, ok := view.Age(id)
	return !ok || age > e.req.AcceptedAge
}

func (r *Router) view(id core.GroupID) (core.GroupView, bool) {
	if r.cfg.View == nil {
		return nil, false
	}
	return r.cfg.View(id)
}

// attempt runs the request on the upstream, through the first of its owners that is reachable.
func (e *execution) attempt(ctx context.Context, info core.UpstreamInfo) (core.Result, error) {
	self := e.router.cfg.Members.Self()
	for _, vm := range e.router.cfg.Owners(info) {
		if vm.ID == self.ID {
			return e.runLocal(ctx, info)
		}
		if e.router.isPenalized(vm.ID) {
			continue
		}
		res, err := e.router.cfg.Remote(vm, info.ID).Execute(ctx, e.req, e.out)
		if err == nil || e.req.Attempt.IsSent() || isOwnerError(err) {
			return res, err
		}
		e.router.penalize(vm.ID)
	}
	return e.runLocal(ctx, info)
}

func (e *execution) runLocal(ctx context.Context, info core.UpstreamInfo) (core.Result, error) {
	exec, ok := e.router.cfg.Local(info.ID)
	if !ok {
		return core.Result{}, e.req.Attempt.Refuse(core.StateUnavailable, "upstream "+string(info.ID)+" can't be served here", 0)
	}
	return exec.Execute(ctx, e.req, e.out)
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
