package elect

import (
	"time"

	"snipewall/core/quorum"
)

// spreadLeaving passes on which upstreams say in their status that they are leaving, so that entry
// VMs that don't monitor the group avoid them, too. A mark is withdrawn only after a second without
// it: a status that is older than another entry VM's mark must not undo it.
func (d *Driver) spreadLeaving(now time.Time, reports []quorum.Report) {
	if d.cfg.Members == nil {
		return
	}
	for i, r := range reports {
		switch {
		case !d.isFresh(now, r):
			d.staying[i] = time.Time{}
		case r.Status.Leaving:
			d.staying[i] = time.Time{}
			d.cfg.Members.MarkLeaving(r.ID, true)
		case d.staying[i].IsZero():
			d.staying[i] = now
		case now.Sub(d.staying[i]) >= d.cfg.Timing.FreshWithin:
			d.cfg.Members.MarkLeaving(r.ID, false)
		}
	}
}
