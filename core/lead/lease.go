package lead

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
)

const (
	// leaseTTL also keeps other VMs from replacing a primary again before the last failover shows in
	// the store.
	leaseTTL = 5 * time.Second
	// leaseMargin is the remaining lifetime below which a lease is no longer used, since a call takes
	// time to arrive.
	leaseMargin = time.Second
	// keyPrefix is the prefix of the leases' keys; the group's id follows.
	keyPrefix = "snipewall/lead/"
)

// lease is a group's lease in the store, which entitles its holder to promote an upstream.
type lease struct {
	id        core.LeaseID
	token     core.Version
	expiresAt core.Instant
	// unansweredTarget is the target of a promotion without an answer, which may still be executed.
	unansweredTarget core.UpstreamID
}

// acquire acquires the group's lease, or returns the held one if it is certainly still valid. The
// lifetime counts from before the call that granted the lease.
//
// In a new era the store may have lost the lease of a VM that doesn't know that yet. Others than that VM acquire the lease
// only once they have known the era for the lease's whole life, when that VM has stopped by its own clock.
func (d *Driver) acquire(ctx context.Context, id core.GroupID, held lease) (lease, error) {
	requestedAt := d.cfg.Now()
	isHolder := held.expiresAt.Sub(requestedAt) > leaseMargin
	// Another VM may have written a record before this one got the lease, which the store has lost with the lease.
	needsWait := !isHolder || d.cfg.Permits != nil && !d.wroteHold(id)
	if isHolder && d.isOfNewestEra(held) {
		return held, nil
	}
	if needsWait && d.cfg.Eras.Remaining(leaseTTL) > 0 {
		return keepHolder(held, isHolder), errNewEra
	}
	// When a primary fails, most VMs find the lease taken. Reading the key first saves them two calls.
	switch _, err := d.cfg.Store.Get(ctx, keyPrefix+string(id)); {
	case err == nil:
		return keepHolder(held, isHolder), errLeaseHeld
	case !errors.Is(err, core.ErrNotFound):
		return keepHolder(held, isHolder), err
	}
	granted, err := d.cfg.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return keepHolder(held, isHolder), err
	}
	token, err := d.cfg.Store.CompareAndSwap(ctx, keyPrefix+string(id), []byte(d.cfg.Self), 0, granted)
	if err != nil {
		d.release(ctx, lease{id: granted})
		return keepHolder(held, isHolder), err
	}
	next := lease{id: granted, token: token, expiresAt: requestedAt.Add(leaseTTL)}
	if needsWait && d.cfg.Eras.Remaining(leaseTTL) > 0 {
		// The era has changed during the calls.
		d.release(ctx, next)
		return lease{}, errNewEra
	}
	return next, nil
}

// keepHolder returns the lease of an older era if this VM is its holder, which entitles it to acquire the one of the
// newest era without waiting.
func keepHolder(held lease, isHolder bool) lease {
	if isHolder {
		return held
	}
	return lease{}
}

// isOfNewestEra reports whether the lease was granted in the newest era. Otherwise the store may have granted it to another VM.
func (d *Driver) isOfNewestEra(l lease) bool { return l.token.Era() == d.cfg.Eras.Newest() }

func (d *Driver) release(ctx context.Context, l lease) {
	if err := d.cfg.Store.Revoke(ctx, l.id); err != nil {
		level.Info(d.cfg.Log).Log("Msg", "lease not revoked; it will expire", "Err", err)
	}
}

// renewToken acquires another lease if a promotion of another target got no answer: with the same token, that one could pass the
// fence after the new one.
func (d *Driver) renewToken(ctx context.Context, id core.GroupID, target core.UpstreamID, held *lease) error {
	if held.unansweredTarget == "" || held.unansweredTarget == target {
		return nil
	}
	d.release(ctx, *held)
	var err error
	*held, err = d.acquire(ctx, id, lease{})
	return err
}
