// Package quorum monitors one database group. It polls the status of each upstream and derives the
// primary, the confirmed position, read indexes and the age of each upstream's data from the
// answers. It implements core.GroupView and core.Service.
//
// # Polls
//
// One poll per upstream is in flight at most, and its answer serves all waiting callers. A group
// without waiting callers is polled every PollInterval. A waiting caller shortens the interval: to
// DemandInterval at first, then to an eighth of the time that such callers usually wait, so that
// the number of polls per wait stays bounded when replicas lag. Each poll has a deadline and its
// own goroutine, so that a silent upstream delays only itself.
//
// # Why old statuses count
//
// Promised terms and log positions under one promised term only grow. If a majority has reported
// promised term t and log (t, >= o), at whatever times, then (t, o) is safe: any later majority of
// prepare(t') contains one of these upstreams, and its answer includes the entry. Confirm therefore
// uses the last status of each upstream whatever its age. ReadIndex and Age need more: they rest on
// polls that started after the call, since only these show that no higher term was in force.
//
// # Size
//
// A Monitor with 3 upstreams holds about 9 KB, most of it the stacks of Run and of a poll. The ring of
// samples grows to another 2.5 KB under writes. BenchmarkIdleGroups measures bytes and CPU time per
// group. A group that no request has asked for in 10 s, and whose upstreams all answer, is polled once
// per second instead of ten times.
//
// # Usage
//
//	m := quorum.New(quorum.Config{Group: "berth-ledger-1", Upstreams: upstreams})
//	if err := kernel.Register(m); err != nil {
//		return err
//	}
//	res, err := conn.Run(ctx, req, w)
//	...
//	if err := m.Confirm(ctx, res.Position); err != nil {
//		// The outcome of the write is unknown.
//	}
package quorum
