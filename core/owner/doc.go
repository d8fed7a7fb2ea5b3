// Package owner serves the requests for one upstream: it decides whether the upstream can serve a
// request, queues the request for a slot, runs it on a pooled connection and confirms its commit.
//
// A request that the upstream can't serve is answered with *core.RedirectError before anything runs.
// The end of a write's answer is withheld until a majority of the group has the commit; if that can't
// be confirmed in time, the outcome is unknown. A connection that failed, timed out or was canceled is
// closed and never reused, so that a late answer can't reach another caller.
//
// Steps and Hook let the fault matrix enumerate the steps of each path and inject faults there.
//
// # Usage
//
//	o := owner.New(owner.Config{
//		Upstream: upstream,
//		View:     monitor,
//		Policies: table,
//		Leaving:  func() bool { return members.IsLeaving(id) },
//		Log:      logger,
//		Metrics:  scope,
//	})
//	if err := registry.Register(o); err != nil {
//		return err
//	}
//
// On a planned stop, call Drain before ending the context of Run, so that requests in flight complete.
package owner
