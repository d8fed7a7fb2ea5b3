// Package lead replaces primaries that fail or leave, on a platform that executes promotions under a
// fencing token.
//
// Each entry VM watches each group. A Detector, a plain state machine, decides when to probe the
// primary and when to replace it. The Driver then takes the group's lease in the store; the version
// at which the lease's key was created is the fencing token, so that no two holders ever have the
// same one and a later holder's is higher. It promotes the replica with the newest log among those
// that answer. A call without an answer is repeated with the same token and target, since it may
// still be executed. A call that was refused ends the lease: the next try has a new token.
//
// While the store is down nobody can take a lease. A holder goes on until its own lease may have
// ended, measured on a clock that counts suspension; everybody else waits for the store.
//
// # Usage
//
//	d := lead.New(lead.Config{Cluster: proxy, Store: store, Promoter: promoter, Self: vm.ID, Log: logger})
//	return d.Run(ctx)
package lead
