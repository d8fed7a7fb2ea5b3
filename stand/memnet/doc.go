// Package memnet is an in-memory network whose links can be cut, delayed and silenced. With it, tests run
// a whole group of upstreams and entry VMs in one process. It works on the fake clock of
// testing/synctest, since it blocks only on channels and timers.
//
// A host is the part of an address before the colon. A link is one direction of the traffic between two
// hosts. Data on a cut link is held back and arrives after the link is healed, as TCP would retransmit
// it.
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
