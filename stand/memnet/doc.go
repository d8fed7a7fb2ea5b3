// Package memnet is a network in memory whose links can be cut, delayed and silenced. It serves tests
// that run a whole group of upstreams and entry VMs in one process, also on the fake clock of
// testing/synctest: all its waits are on channels and timers.
//
// A host is the part of an address before the colon. A link leads from one host to another, one way.
// Data on a cut link is held back and arrives when the link is healed, as TCP would retransmit it.
//
// # Usage
//
//	n := memnet.New()
//	lis, err := n.Listen("berth-1:5432")
//	if err != nil {
//		return err
//	}
//	go srv.Serve(ctx, lis)
//	cfg.Dial = n.Dialer("entry-1")
//	n.Cut("entry-1", "berth-1")
//	n.Heal("entry-1", "berth-1")
package memnet
