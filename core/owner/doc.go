// Package owner is the owner's work for one upstream: it decides whether a request may be served
// there, queues it for a slot, runs it on a pooled connection and confirms what it committed.
//
// A request that the upstream may not serve is answered with *core.RedirectError before anything
// ran. The end of a write's answer is withheld until a majority of the group holds the commit; if
// that can't be confirmed in time, the outcome is unknown. A connection that failed, timed out or
// was canceled is closed and never used for another request, so that a late answer can't reach
// anybody else.
//
// Steps and Hook let the fault matrix enumerate the steps of each path and inject faults at them.
//
// # Usage
//
//	o := owner.New(owner.Config{
//		Upstream: upstream,
//		View:     monitor,
//		Policies: table,
//		Leaving:  func() bool { return members.Leaving(id) },
//		Log:      logger,
//		Metrics:  scope,
//	})
//	if err := kernel.Register(o); err != nil {
//		return err
//	}
//
// On a planned stop, Drain finishes the work in flight before the context of Run ends.
package owner
