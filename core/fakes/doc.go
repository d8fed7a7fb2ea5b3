// Package fakes provides an in-memory database group and an in-memory platform store for tests that
// run on the clock of testing/synctest. The group implements terms, a log, asynchronous replication
// and the faults of the fault matrix; it delivers messages between named places with a one-way delay.
//
// # Faults
//
// Kill refuses connections. Cut loses messages in one direction between two places, Isolate in both
// directions between an upstream and all others. Freeze stops an upstream's process: messages that
// arrive wait until Thaw and take effect then, even if their caller has given up. Slow multiplies its
// processing time. FaultAnswers loses or delays the answers of one kind of call after the effect.
//
// # Usage
//
//	g := fakes.NewGroup(fakes.GroupConfig{Group: "g", Size: 3, Delay: 500 * time.Microsecond})
//	defer g.Close()
//	m := quorum.New(quorum.Config{Group: "g", Upstreams: g.View("vm-a")})
package fakes
