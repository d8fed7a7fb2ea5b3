// Package elect changes the primary of one database group when the primary fails or leaves, and makes
// upstreams that no longer follow the primary follow it again.
//
// # Safety
//
// The upstreams enforce most of what safety needs. An upstream accepts prepare(t) only if t is above
// its promised term, so that at most one driver gets a majority for t. It accepts promote(t) and
// follow(t) only while t is its promised term, so that a driver that continues after a pause is
// refused. Timing and the lease are not needed for safety. The driver keeps three rules that the
// upstreams can't check:
//
//   - It promotes only after it has received answers to prepare(t) from a majority.
//   - It promotes an upstream whose log is the highest (term, offset) among those answers. Only a
//     planned change may skip entries that too few upstreams hold to have been confirmed.
//   - It promotes one upstream per term.
//
// # When a change starts
//
// A driver acts only while it reaches a majority, so that a driver in a minority partition raises no
// terms. The constants of Reason list the reasons. The driver that holds the advisory lease acts at
// once. A driver that finds the lease held by another one waits for LeaseDelay and then acts, too.
// Without an answer from the store, a random delay makes it unlikely that two drivers act at once.
//
// # Usage
//
//	view := quorum.New(quorum.Config{Group: group, Upstreams: upstreams})
//	d := elect.New(elect.Config{Group: group, Self: vm, Upstreams: upstreams, View: view, Store: store})
//	if err := registry.Register(d); err != nil {
//		return err
//	}
package elect
