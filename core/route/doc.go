// Package route decides, on the entry VM that received a request, which upstream serves it and
// which entry VM runs it there.
//
// Writes and transactions go to the group's primary. Reads go to a replica that is expected to
// satisfy them, nearest first; the upstream's owner has the last word and redirects when the
// replica is too far behind. A request is only sent again when it certainly did not run, or when
// it is idempotent and no part of its answer has been passed on.
//
// # Usage
//
//	r := route.New(route.Config{
//		Upstreams: settings.Upstreams, Members: members, Owners: cache.Owners,
//		Local: cells.Executor, Remote: client.Executor,
//	})
//	res, err := r.Execute(ctx, req, w)
package route
