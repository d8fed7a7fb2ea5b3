// Package assign starts and stops, on each entry VM, the owners of the upstreams that are assigned to
// it, and a monitor and a failover driver for each of their groups.
//
// The assignment is computed by rendezvous hashing over the live entry VMs. It is not exclusive: an
// entry VM also serves an upstream on demand, when another entry VM considers it the owner or can't
// reach the owner. An owner that was started on demand stops after Config.IdleTimeout without use.
//
// # Usage
//
//	m := assign.New(assign.Config{
//		Upstreams: settings.Upstreams, Members: members, Owners: cache.Owners,
//		NewGroup: newGroup, NewOwner: newOwner,
//	})
//	go func() { exit <- m.Run(ctx) }()
//	exec, ok := m.Executor("berth-1-galveston")
package assign
