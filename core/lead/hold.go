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
	// releaseTimeout limits giving a group back, also after this VM was told to stop.
	releaseTimeout = 500 * time.Millisecond
)

// Permits are the VMs' permits to use the group's primary, needed where a promotion doesn't stop the old one.
// *permit.Guard implements it.
type Permits interface {
	Record(id core.GroupID) (permit.Record, bool)
	// IsStored reports whether the store has that record. It may have lost it at a change of its era.
	IsStored(id core.GroupID) bool
	// Write writes the group's record to the store. It fails if another VM has written one meanwhile.
	Write(ctx context.Context, id core.GroupID, r permit.Record) error
	// Refresh reads the list of VMs from the store.
	Refresh(ctx context.Context) error
	// Spread sends the record to all VMs and counts those that acknowledged it.
	Spread(ctx context.Context, id core.GroupID) permit.Tally
	// Reachable returns the VMs that the upstream has recently answered as a primary.
	Reachable(ctx context.Context, id core.UpstreamID) []core.VMID
}

// errOverwritten says that another record than this VM's hold is in force.
var errOverwritten = errors.New("the hold is no longer in force")

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
// meanwhile, it returns errReachable, unless a promotion may have been sent already.
func (d *Driver) hold(ctx context.Context, g Group, target core.UpstreamID, acts, mayBeSent bool, held *lease) error {
	if err := d.writeHold(ctx, g, target, acts); err != nil {
		return err
	}
	if err := d.cfg.Permits.Refresh(ctx); err != nil {
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
		if !mayBeSent && !g.Leaving && d.leads(ctx, g.Primary) {
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
	return ctx.Err()
}

// writeHold writes a hold with the target, unless this VM has written it already. The record always names the target of a
// promotion that may be sent, since another VM that finishes it must promote the same one. acts is set if the target acts as a
// primary but is deposed.
func (d *Driver) writeHold(ctx context.Context, g Group, target core.UpstreamID, acts bool) error {
	rec, ok := d.cfg.Permits.Record(g.ID)
	if ok && rec.Held && rec.Holder == d.cfg.Self && rec.Target == target && rec.TargetActs == acts && d.cfg.Permits.IsStored(g.ID) {
		return nil
	}
	rec = permit.Record{Held: true, Old: g.Primary, Target: target, Holder: d.cfg.Self, Planned: g.Leaving, TargetActs: acts}
	if err := d.cfg.Permits.Write(ctx, g.ID, rec); err != nil {
		return err
	}
	level.Info(d.cfg.Log).Log("Msg", "group held", "Group", g.ID, "Old", g.Primary, "Target", target)
	return nil
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
	return held, nil
}

// prepareHeld holds the group and chooses the candidate again, since its log may have grown until then. If the
// candidate leads already, it only records that.
func (d *Driver) prepareHeld(
	ctx context.Context, g Group, target core.UpstreamID, best ProbeResult, req failoverRequest, held *lease,
) (core.UpstreamID, ProbeResult, error) {
	// A call of an earlier attempt that got no answer may still be executed, and no fence would stop it: the same target
	// is promoted, and the group isn't given back.
	earlier := d.earlierTarget(g.ID)
	if best.Leads && (earlier == "" || earlier == target) {
		d.finish(ctx, g, target)
		return target, best, nil
	}
	acts := best.IsDeposed
	if earlier != "" && earlier != target {
		target, acts = earlier, d.isDeposed(g.ID, earlier)
	}
	err := d.hold(ctx, g, target, acts, earlier != "", held)
	if err == nil {
		target, best, err = d.selectHeld(ctx, g, req)
	}
	if err == nil && !d.holds(g.ID) {
		// A record that the store had lost at a change of its era may be known since.
		err = errOverwritten
	}
	if err != nil {
		if earlier == "" {
			d.endHold(ctx, g)
		}
		return "", ProbeResult{}, err
	}
	if earlier != "" && earlier != target && slices.Contains(g.Replicas, earlier) {
		if res, err := d.probeUpstream(ctx, earlier); err == nil {
			target, best = earlier, d.judge(g.ID, earlier, res)
		}
	}
	if best.Leads {
		d.finish(ctx, g, target)
		return target, best, nil
	}
	return target, best, d.writeHold(ctx, g, target, best.IsDeposed)
}

// holds reports whether this VM's hold is in force and in the store.
func (d *Driver) holds(id core.GroupID) bool { return d.wroteHold(id) && d.cfg.Permits.IsStored(id) }

// wroteHold reports whether the last known record is a hold of this VM, which the store may have lost.
func (d *Driver) wroteHold(id core.GroupID) bool {
	rec, ok := d.cfg.Permits.Record(id)
	return ok && rec.Held && rec.Holder == d.cfg.Self
}

// judge returns the result of a probe, in which an upstream that acts as a primary leads only if it isn't deposed.
func (d *Driver) judge(id core.GroupID, upstream core.UpstreamID, res ProbeResult) ProbeResult {
	if res.Leads && d.isDeposed(id, upstream) {
		res.Leads, res.IsDeposed = false, true
	}
	return res
}

// isDeposed reports whether the upstream can't be the primary although it may act as one.
func (d *Driver) isDeposed(id core.GroupID, upstream core.UpstreamID) bool {
	if d.cfg.Permits == nil {
		return false
	}
	rec, ok := d.cfg.Permits.Record(id)
	return ok && rec.IsDeposed(upstream)
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
	res, err := d.probeUpstream(ctx, id)
	return err == nil && res.Leads
}

// keepLease extends the lease if it would expire soon.
func (d *Driver) keepLease(ctx context.Context, held *lease) error {
	if !d.isOfNewestEra(*held) {
		return errLeaseOfOldEra
	}
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

// endHold gives the group back to its old primary, if this VM holds it. It must not be called after a promotion was sent.
func (d *Driver) endHold(ctx context.Context, g Group) {
	if g.Primary == "" || !d.wroteHold(g.ID) {
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

// record writes a record that ends a hold and sends it to the other VMs. It gives up if another VM holds the group since.
func (d *Driver) record(ctx context.Context, id core.GroupID, r permit.Record) {
	for range finishAttempts {
		err := d.cfg.Permits.Write(ctx, id, r)
		rec, _ := d.cfg.Permits.Record(id)
		if err == nil || !rec.Held {
			break
		}
		if rec.Holder != d.cfg.Self {
			return
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
		if res, err := d.probeUpstream(ctx, g.Primary); err == nil {
			end = res.Log
		}
	}
	for until := time.Now().Add(catchUpTime); ; sleep(ctx, catchUpDelay) {
		target, best, err := d.selectCandidate(ctx, g, req)
		if err != nil || best.Leads || !best.End().Less(end) || time.Now().After(until) || ctx.Err() != nil {
			return target, best, err
		}
	}
}

// earlierTarget returns the target of a promotion that this VM or another one has begun and not finished, and that may
// have been sent, or an empty id.
func (d *Driver) earlierTarget(id core.GroupID) core.UpstreamID {
	if rec, ok := d.cfg.Permits.Record(id); ok && rec.Held {
		return rec.Target
	}
	return ""
}
