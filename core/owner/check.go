package owner

import (
	"context"
	"time"

	"snipewall/core"
)

// requirement is what a request needs from the upstream, as determined before queueing.
type requirement struct {
	// primary is set if the request is served because the upstream is the primary.
	primary bool
	// position is the position that the answer must reflect.
	position core.Position
}

// check decides whether the upstream can serve the request. It waits a limited time for a read index
// and for a replica to catch up.
func (o *Owner) check(ctx context.Context, path Path, req *core.Request) (requirement, error) {
	need := requirement{position: req.Position}
	if err := o.runHook(ctx, path, StepCheck, req); err != nil {
		return need, req.Attempt.Refuse(core.StateUnavailable, err.Error(), 0)
	}
	primary, _, ok := o.cfg.View.Primary()
	need.primary = ok && primary == o.id
	if needsPrimary(req) && !need.primary {
		return need, o.redirect("the request needs the primary")
	}
	if err := o.checkLeaving(need.primary); err != nil {
		return need, err
	}
	if err := o.checkIndex(ctx, path, req, &need); err != nil {
		return need, err
	}
	if err := o.checkCatchUp(ctx, path, req, need); err != nil {
		return need, err
	}
	return need, o.recheck(req, need)
}

// recheck repeats the checks that don't wait, immediately before the request runs.
func (o *Owner) recheck(req *core.Request, need requirement) error {
	if need.primary {
		return o.checkTerm(need.position)
	}
	status, _, ok := o.cfg.View.Status(o.id)
	if !ok || status.Role != core.RoleReplica {
		return o.redirect("the upstream is not known to be a replica")
	}
	if !status.Applied.Covers(need.position) {
		return o.redirectRead(req, need, "the replica has not applied the session's position")
	}
	if req.AcceptedAge <= 0 {
		return nil
	}
	if age, ok := o.cfg.View.Age(o.id); !ok || age > req.AcceptedAge {
		return o.redirectRead(req, need, "the replica's data is too old")
	}
	return nil
}

// checkTerm requires that the upstream is the primary of the term that the monitor reports.
func (o *Owner) checkTerm(p core.Position) error {
	primary, term, ok := o.cfg.View.Primary()
	if !ok || primary != o.id {
		return o.redirect("the upstream is not the primary")
	}
	if p.Term > term {
		return o.redirect("the session has seen a later term")
	}
	if status, _, ok := o.cfg.View.Status(o.id); ok && status.Promised > term {
		return o.redirect("the upstream has accepted a later term")
	}
	return nil
}

// checkLeaving refuses new requests on an upstream that is about to be removed.
func (o *Owner) checkLeaving(primary bool) error {
	if !o.cfg.Leaving() {
		o.leavingSince.Store(0)
		return nil
	}
	now := time.Now()
	since := o.leavingSince.Load()
	if since == 0 {
		since = now.UnixNano()
		o.leavingSince.Store(since)
	}
	if primary && now.Sub(time.Unix(0, since)) < o.cfg.LeaveGrace {
		return nil
	}
	return o.redirect("the upstream is leaving")
}

// checkIndex obtains a read index if the session's last position is not certain, or if a replica has
// to return current data.
func (o *Owner) checkIndex(ctx context.Context, path Path, req *core.Request, need *requirement) error {
	current := !need.primary && req.AcceptedAge <= 0
	if req.Class == core.ClassWrite || req.Class == core.ClassEnd || !req.NeedIndex && !current {
		return nil
	}
	index, err := o.readIndex(ctx, path, req)
	if err == nil {
		need.position = need.position.Max(index)
		return nil
	}
	if req.NeedIndex {
		return req.Attempt.Refuse(core.StateUnavailable, "no read index: "+err.Error(), 0)
	}
	return o.redirect("no read index: " + err.Error())
}

func (o *Owner) readIndex(ctx context.Context, path Path, req *core.Request) (core.Position, error) {
	if err := o.runHook(ctx, path, StepIndex, req); err != nil {
		return core.Position{}, err
	}
	return o.cfg.View.ReadIndex(ctx)
}

// checkCatchUp waits until a replica has applied the required position.
func (o *Owner) checkCatchUp(ctx context.Context, path Path, req *core.Request, need requirement) error {
	if need.primary || need.position.IsZero() {
		return nil
	}
	if status, _, ok := o.cfg.View.Status(o.id); ok && status.Applied.Covers(need.position) {
		return nil
	}
	if err := o.runHook(ctx, path, StepCatchUp, req); err != nil {
		return o.redirect(err.Error())
	}
	limit := o.cfg.CatchUp[req.Rank]
	if age, ok := o.cfg.View.Age(o.id); !ok || age > limit {
		return o.redirectRead(req, need, "the replica is too far behind to wait for it")
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := o.cfg.View.WaitApplied(ctx, o.id, need.position); err != nil {
		return o.redirectRead(req, need, "the replica did not catch up: "+err.Error())
	}
	return nil
}

// needsPrimary reports whether only the primary can serve the request.
func needsPrimary(req *core.Request) bool {
	return req.Class == core.ClassWrite || req.Class == core.ClassBegin
}

// redirectRead redirects to another replica that can serve the read now, or else to the primary.
func (o *Owner) redirectRead(req *core.Request, need requirement, reason string) error {
	e := o.redirect(reason)
	for _, info := range o.cfg.Group {
		if info.ID != o.id && info.ID != e.Primary && o.canRead(info.ID, req, need) {
			e.Better = info.ID
			return e
		}
	}
	return e
}

// canRead reports whether the replica is known to satisfy the read.
func (o *Owner) canRead(id core.UpstreamID, req *core.Request, need requirement) bool {
	status, _, ok := o.cfg.View.Status(id)
	if !ok || status.Role != core.RoleReplica || status.Leaving || !status.Applied.Covers(need.position) {
		return false
	}
	if req.AcceptedAge <= 0 {
		return true
	}
	age, ok := o.cfg.View.Age(id)
	return ok && age <= req.AcceptedAge
}

// redirect returns the error for a request that this upstream can't serve. It names the primary unless
// that is this upstream, which would cause a redirect loop.
func (o *Owner) redirect(reason string) *core.RedirectError {
	o.metrics.redirected.Inc(1)
	e := &core.RedirectError{Group: o.info.Group, Reason: reason}
	if primary, _, ok := o.cfg.View.Primary(); ok && primary != o.id {
		e.Primary, e.Better = primary, primary
	}
	return e
}
