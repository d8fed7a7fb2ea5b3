// Package assign starts and stops, on each entry VM, the work for the upstreams that it owns: an
// owner for each such upstream, and a monitor and a failover driver for each of their groups.
//
// Ownership follows from rendezvous hashing over the live entry VMs. It is not exclusive: an entry
// VM also serves an upstream on demand, when another entry VM believes that it is the owner or
// when the owner can't be reached. Work that was started on demand ends after Linger without use.
//
// # Usage
//
//	m := assign.New(assign.Config{
//		Upstreams: settings.Upstreams, Members: members, Owners: cache.Owners,
//		NewGroup: newGroup, NewOwner: newOwner,
//	})
//	go func() { end <- m.Run(ctx) }()
//	exec, ok := m.Executor("berth-1-galveston")
package assign
