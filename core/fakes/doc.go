// Package fakes provides an in-memory database group and an in-memory platform store for tests in a
// testing/synctest bubble. The group implements terms, a log, asynchronous replication and the faults of
// the fault matrix. It delivers messages with a one-way delay between endpoints, which are the upstreams
// and sites; a site is the name of an entry VM.
//
// # Faults
//
// After Kill, an upstream refuses connections. Cut drops messages in one direction between two
// endpoints, Isolate in both directions between an upstream and all other endpoints. Freeze stops an
// upstream's process: arriving messages are queued until Thaw and take effect then, even if their caller
// no longer waits. Slow multiplies an upstream's processing time. SetAnswerFault drops or delays the
// answers of one kind of call, after the call has taken effect.
//
// # Usage
//
//	g := fakes.NewGroup(fakes.GroupConfig{Group: "g", Size: 3, Delay: 500 * time.Microsecond})
//	defer g.Close()
//	m := quorum.New(quorum.Config{Group: "g", Upstreams: g.View("vm-a")})
package fakes
