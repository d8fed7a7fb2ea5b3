// Package quorum monitors one database group. It polls the status of each upstream and derives from the
// answers the primary, the confirmed position, read indexes and the age of each upstream's data. A
// Monitor implements core.GroupView and core.Service.
//
// # Polls
//
// Each upstream has at most one poll in flight, and its answer serves all waiting callers. A group
// without waiting callers is polled every PollInterval. With a waiting caller, the interval is
// DemandInterval at first and then an eighth of the average wait, so that the number of polls per wait
// stays bounded when replicas lag. Each poll has a deadline and its own goroutine, so that an upstream
// that doesn't answer doesn't delay the polls of others.
//
// # Use of old statuses
//
// Promised terms, and log positions under one promised term, only grow. If a majority has reported
// promised term t and log (t, >= o), at any times, then (t, o) is safe: any later majority for
// prepare(t') contains one of these upstreams, and its answer includes the entry. Confirm therefore
// uses the last status of each upstream regardless of its age. ReadIndex uses only polls that started
// after the call, and Age counts from the start of the polls, since only these show that no higher
// term was in force at that time.
//
// # Size
//
// A Monitor with 3 upstreams uses about 9 KB, most of it for the stacks of Run and of a poll. The list of
// samples grows to another 2.5 KB under writes. BenchmarkIdleGroups measures bytes and CPU time per
// group. A group that no request has used for 10 s, and whose upstreams all answer, is polled once per
// second instead of ten times.
//
// # Usage
//
//	m := quorum.New(quorum.Config{Group: "berth-ledger-1", Upstreams: upstreams})
//	if err := registry.Register(m); err != nil {
//		return err
//	}
//	res, err := conn.Run(ctx, req, w)
//	...
//	if err := m.Confirm(ctx, res.Position); err != nil {
//		// The outcome of the write is unknown.
//	}
package quorum
