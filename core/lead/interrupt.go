package lead

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// pauseTakeover is the time without a renewal after which another VM ends a pause. The lease of the VM that began it has expired
// then.
const pauseTakeover = leaseTTL + time.Second

const reasonInterrupted = "a change was interrupted"

// isInterrupted reports whether a VM that has paused the group is gone, so that this one must end the pause.
func (d *Driver) isInterrupted(g Group) bool {
	wait := pauseTakeover
	if !g.IsMonitor {
		wait += nonMonitorDelay
	}
	return d.pausesGroup(g) && d.cfg.Pauser.Unrenewed(g.ID) >= wait
}

// endInterrupted ends the pauses of VMs that are gone if the group has a primary that works. A promotion that one of them has
// asked for may still be executed, so that the present primary is promoted first: this changes nothing, except that the
// platform's fence refuses earlier calls from then on.
func (d *Driver) endInterrupted(ctx context.Context, g Group, held *lease, pause *groupPause) error {
	pause.keepPrimary()
	if err := d.renewToken(ctx, g.ID, g.Primary, held); err != nil {
		return err
	}
	d.pause(ctx, g.ID, pause, true)
	if err := d.promote(ctx, g, g.Primary, held, pause); err != nil {
		return err
	}
	level.Info(d.cfg.Log).Log("Msg", "interrupted change ended", "Group", g.ID, "Upstream", g.Primary, "Token", held.token)
	d.resume(ctx, g.ID, true)
	return nil
}
