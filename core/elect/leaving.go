package elect

import (
	"time"

	"snipewall/core/quorum"
)

// publishLeaving publishes which upstreams report that they are leaving, so that entry VMs that don't
// monitor the group avoid them, too. A mark is withdrawn only after FreshWithin without it, so that a
// status that is older than another entry VM's mark doesn't undo that mark.
func (d *Driver) publishLeaving(now time.Time, reports []quorum.Report) {
	if d.cfg.Members == nil {
		return
	}
	for i, r := range reports {
		switch {
		case !d.isFresh(now, r):
			d.notLeavingSince[i] = time.Time{}
		case r.Status.Leaving:
			d.notLeavingSince[i] = time.Time{}
			d.cfg.Members.MarkLeaving(r.ID, true)
		case d.notLeavingSince[i].IsZero():
			d.notLeavingSince[i] = now
		case now.Sub(d.notLeavingSince[i]) >= d.cfg.Timing.FreshWithin:
			d.cfg.Members.MarkLeaving(r.ID, false)
		}
	}
}
