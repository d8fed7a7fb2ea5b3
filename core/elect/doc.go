// Package elect changes the primary of one database group when the primary fails or leaves, and
// brings upstreams that fell out of the group back into it.
//
// # Safety
//
// Nothing here is needed for safety. An upstream accepts prepare(t) only above its promised term, so
// that at most one driver gets a majority at t, and it accepts promote(t) and follow(t) only while t
// is its promised term, so that a driver that was paused and goes on is refused. The driver keeps
// three rules that the upstreams can't check:
//
//   - It promotes only after a majority accepted prepare(t) with answers that it has seen itself.
//   - It promotes an upstream whose log is the highest (term, offset) among those answers. Only a
//     planned change may pass over entries that too few upstreams hold to have been confirmed.
//   - It promotes one upstream per term.
//
// # When a change starts
//
// A driver acts only while it reaches a majority, so that a driver that is cut off raises no terms.
// The reasons are listed as constants of Reason. The driver that holds the advisory lease acts at
// once. Without a store, a random delay keeps drivers apart. A driver that finds the lease held waits
// for LeaseDelay and then acts too.
//
// # Usage
//
//	view := quorum.New(quorum.Config{Group: group, Upstreams: upstreams})
//	d := elect.New(elect.Config{Group: group, Self: vm, Upstreams: upstreams, View: view, Store: store})
//	if err := kernel.Register(d); err != nil {
//		return err
//	}
package elect
