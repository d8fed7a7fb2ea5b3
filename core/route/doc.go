// Package route decides, on the entry VM that received a request, which upstream serves the request and
// through which entry VM it runs.
//
// Writes and transactions go to the group's primary. Reads go to the nearest replica that is expected to
// satisfy them; the upstream's owner makes the final decision and redirects if the replica is too far
// behind. A request is only sent again if it certainly did not run, or if it is idempotent and no part
// of its answer has been forwarded.
//
// # Usage
//
//	r := route.New(route.Config{
//		Upstreams: settings.Upstreams, Members: members, Owners: cache.Owners,
//		Local: manager.Executor, Remote: client.Executor,
//	})
//	res, err := r.Execute(ctx, req, w)
package route
