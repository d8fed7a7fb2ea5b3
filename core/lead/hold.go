package lead

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/permit"
)

const (
	// holdRetryDelay is the time between two attempts to reach VMs that didn't acknowledge a hold.
	holdRetryDelay = 250 * time.Millisecond
	// holdTakeover is the age from which on other VMs finish a promotion. The lease of its holder has expired
	// then.
	holdTakeover = leaseTTL + time.Second
	// catchUpTime limits the wait for a replica to receive what the leaving primary has committed.
	catchUpTime  = 300 * time.Millisecond
	catchUpDelay = 10 * time.Millisecond
	// finishAttempts is how often the record of a promotion is written if the store doesn't answer.
	finishAttempts = 20
	releaseTimeout = 500 * time.Millisecond
)

// Permits are the VMs' permits to use the group's primary, needed where a promotion doesn't stop the old one.
// *permit.Guard implements it.
type Permits interface {
	Record(id core.GroupID) (permit.Record, bool)
	// Write writes the group's record to the store. It fails if another VM has written one meanwhile.
	Write(ctx context.Context, id core.GroupID, r permit.Record) error
	// Refresh reads the list of VMs from the store.
	Refresh(ctx context.Context) error
	// Spread sends the record to all VMs and counts those that acknowledged it.
	Spread(ctx context.Context, id core.GroupID) permit.Tally
	// Reachable returns the VMs that the upstream has recently answered as a primary.
	Reachable(ctx context.Context, id core.UpstreamID) []core.VMID
}

var errReachable = errors.New("other VMs reach the primary")

// survey asks the other VMs whether they reach the primary, and makes this one relay through those that do. The
// result is sent on the returned channel.
func (d *Driver) survey(ctx context.Context, g Group) <-chan bool {
	reached := make(chan bool, 1)
	if d.cfg.Permits == nil || g.Primary == "" || g.Leaving || g.IsHeld {
		reached <- false
		return reached
	}
	go func() {
		vms := d.cfg.Permits.Reachable(ctx, g.Primary)
		if len(vms) > 0 {
			d.cfg.Cluster.RelayThrough(g.Primary, vms)
		}
		reached <- len(vms) > 0
	}()
	return reached
}

// hold writes a hold of the group and returns once no VM can use the old primary. If the primary answers
// meanwhile, it ends the hold and returns errReachable.
func (d *Driver) hold(ctx context.Context, g Group, target core.UpstreamID, held *lease) error {
	takesOver := g.IsHeld && !g.IsHeldBySelf
	if rec, ok := d.cfg.Permits.Record(g.ID); !ok || !rec.Held || rec.Holder != d.cfg.Self {
		rec = permit.Record{Held: true, Old: g.Primary, Target: target, Holder: d.cfg.Self, Planned: g.Leaving}
		if err := d.cfg.Permits.Write(ctx, g.ID, rec); err != nil {
			return err
		}
		level.Info(d.cfg.Log).Log("Msg", "group held", "Group", g.ID, "Old", g.Primary, "Target", target, "Token", held.token)
	}
	if err := d.cfg.Permits.Refresh(ctx); err != nil {
		d.endHold(ctx, g)
		return err
	}
	progress := permit.Progress{TTL: permit.TTL}
	warned := false
	for ctx.Err() == nil {
		tally := d.cfg.Permits.Spread(ctx, g.ID)
		now := d.cfg.Now()
		if progress.Note(now, tally) || (g.Leaving && d.stepDown(ctx, g)) {
			return nil
		}
		if !tally.CanExpire() && !warned {
			warned = true
			level.Warn(d.cfg.Log).Log("Msg", "too many VMs don't answer, which may still use the primary", "Group", g.ID, "Members", tally.Members, "Held", tally.Held)
		}
		if !takesOver && !g.Leaving && d.leads(ctx, g.Primary) {
			d.endHold(ctx, g)
			return errReachable
		}
		if err := d.keepLease(ctx, held); err != nil {
			return err
		}
		// A call may have taken longer than the delay.
		if wait := progress.NextAt(now, holdRetryDelay).Sub(d.cfg.Now()); wait > 0 {
			sleep(ctx, wait)
		}
	}
	d.endHold(ctx, g)
	return ctx.Err()
}

// acquireUnlessReached acquires the group's lease. It returns errReachable if other VMs reach the primary, which it
// finds out at the same time.
func (d *Driver) acquireUnlessReached(ctx context.Context, g Group, old lease) (lease, error) {
	reached := d.survey(ctx, g)
	held, err := d.acquire(ctx, g.ID, old)
	isReached := <-reached
	if err != nil {
		return held, err
	}
	if isReached {
		d.release(ctx, held)
		return lease{}, errReachable
	}
	if d.cfg.Permits != nil && held.unansweredTarget == "" {
		// Without a fence, a later lease doesn't stop a call of an earlier one.
		held.unansweredTarget = old.unansweredTarget
	}
	return held, nil
}

// prepareHeld holds the group and chooses the candidate again, since its log may have grown until then. If the
// candidate leads already, it only records that.
func (d *Driver) prepareHeld(
	ctx context.Context, g Group, target core.UpstreamID, best ProbeResult, req failoverRequest, held *lease,
) (core.UpstreamID, ProbeResult, error) {
	if best.Leads {
		d.finish(ctx, g, target)
		return target, best, nil
	}
	interrupted := d.interruptedTarget(g)
	if err := d.hold(ctx, g, target, held); err != nil {
		return "", ProbeResult{}, err
	}
	target, best, err := d.selectHeld(ctx, g, req)
	switch {
	case err != nil && interrupted == "" && held.unansweredTarget == "":
		d.endHold(ctx, g)
		return "", best, err
	case err != nil:
		return "", best, err
	case best.Leads:
		d.finish(ctx, g, target)
		return target, best, nil
	}
	// A call that got no answer may still be executed, and no fence would stop it: the same target is promoted.
	for _, unanswered := range []core.UpstreamID{held.unansweredTarget, interrupted} {
		if unanswered != "" && slices.Contains(g.Replicas, unanswered) && d.answers(ctx, unanswered) {
			return unanswered, best, nil
		}
	}
	return target, best, nil
}

// answers reports whether the upstream answers a probe.
func (d *Driver) answers(ctx context.Context, id core.UpstreamID) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := d.cfg.Cluster.Probe(ctx, id)
	return err == nil
}

// stepDown makes the group's leaving primary a replica, so that VMs that don't answer can't use it either.
func (d *Driver) stepDown(ctx context.Context, g Group) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := d.cfg.Cluster.StepDown(ctx, g.Primary)
	level.Info(d.cfg.Log).Log("Msg", "stepping the primary down", "Group", g.ID, "Upstream", g.Primary, "Err", err)
	return err == nil
}

// leads reports whether the upstream answers as a primary.
func (d *Driver) leads(ctx context.Context, id core.UpstreamID) bool {
	if id == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	res, err := d.cfg.Cluster.Probe(ctx, id)
	return err == nil && res.Leads
}

// keepLease extends the lease if it would expire soon.
func (d *Driver) keepLease(ctx context.Context, held *lease) error {
	requestedAt := d.cfg.Now()
	if held.expiresAt.Sub(requestedAt) > leaseTTL/2 {
		return nil
	}
	if err := d.cfg.Store.KeepAlive(ctx, held.id); err != nil {
		if held.expiresAt.Sub(requestedAt) > leaseMargin && !errors.Is(err, core.ErrLeaseLost) {
			return nil
		}
		return err
	}
	held.expiresAt = requestedAt.Add(leaseTTL)
	return nil
}

// endHold gives the group back to its old primary. It must not be called after a promotion was sent.
func (d *Driver) endHold(ctx context.Context, g Group) {
	if g.Primary == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	d.record(ctx, g.ID, permit.Record{Target: g.Primary, Holder: d.cfg.Self})
}

// finish records that the upstream was promoted, so that all VMs use it.
func (d *Driver) finish(ctx context.Context, g Group, target core.UpstreamID) {
	if d.cfg.Permits == nil {
		return
	}
	rec, ok := d.cfg.Permits.Record(g.ID)
	if ok && !rec.Held && rec.Target == target {
		return
	}
	d.record(ctx, g.ID, permit.Record{Old: g.Primary, Target: target, Holder: d.cfg.Self})
}

// record writes a record that ends a hold and sends it to the other VMs.
func (d *Driver) record(ctx context.Context, id core.GroupID, r permit.Record) {
	for range finishAttempts {
		err := d.cfg.Permits.Write(ctx, id, r)
		if rec, _ := d.cfg.Permits.Record(id); err == nil || !rec.Held {
			break
		}
		level.Info(d.cfg.Log).Log("Msg", "leader not recorded", "Group", id, "Leader", r.Target, "Err", err)
		sleep(ctx, checkInterval)
		if ctx.Err() != nil {
			return
		}
	}
	_ = d.cfg.Permits.Spread(ctx, id)
}

// selectHeld chooses the candidate of a group that is held. No VM commits any more, so that a leaving primary's log
// doesn't grow; the candidate gets the time to receive it.
func (d *Driver) selectHeld(ctx context.Context, g Group, req failoverRequest) (core.UpstreamID, ProbeResult, error) {
	var end core.Position
	if g.Leaving {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		if res, err := d.cfg.Cluster.Probe(probeCtx, g.Primary); err == nil {
			end = res.Log
		}
		cancel()
	}
	for until := time.Now().Add(catchUpTime); ; sleep(ctx, catchUpDelay) {
		target, best, err := d.selectCandidate(ctx, g, req.allowMinority)
		if err != nil || best.Leads || !best.Log.Less(end) || time.Now().After(until) || ctx.Err() != nil {
			return target, best, err
		}
	}
}

// interruptedTarget returns the target of a promotion that another VM may have sent before it failed.
func (d *Driver) interruptedTarget(g Group) core.UpstreamID {
	rec, ok := d.cfg.Permits.Record(g.ID)
	if !ok || !rec.Held || rec.Holder == d.cfg.Self {
		return ""
	}
	return rec.Target
}
