// Package lead fails over to a replica when a primary fails or leaves, on a platform that executes
// promotions under a fencing token.
//
// Every entry VM runs a Driver for all groups. For each group, a Detector decides when to probe the
// primary and when to replace it. To replace it, the Driver acquires the group's lease in the store.
// The version at which the lease's key was created is the fencing token: it is unique, and each later
// holder has a higher one. The Driver then promotes the replica that has received the most among those that
// answer. A promotion without an answer is repeated with the same token and target, since the platform
// may still execute it. A promotion that the fence refused ends the lease, so that the next attempt
// has a new token.
//
// Where commits are acknowledged once a replica has received them (Group.SyncReplicas), all replicas must answer, and the log
// of the old primary is closed before the promotion: all VMs pause the group, or the primary steps down.
//
// While the store is down, no lease can be acquired. The holder of a lease may continue until the
// lease could have expired, measured on a clock that includes suspend time. Other VMs wait for the
// store.
//
// # Usage
//
//	d := lead.New(lead.Config{Cluster: proxy, Store: store, Promoter: promoter, Pauser: pauses, Self: vm.ID, Log: logger})
//	return d.Run(ctx)
package lead
