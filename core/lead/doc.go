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
// The log that ends last isn't always the one that keeps the most: an earlier promotion may have cut off its end. Branches tell
// where the newest terms begin, as far as any VM or the store knows, so that such a log is passed over.
//
// While the store is down, no lease can be acquired. The holder of a lease may continue until the
// lease could have expired, measured on a clock that includes suspend time. Other VMs wait for the
// store.
//
// # Usage
//
//	b := lead.NewBranches(lead.BranchesConfig{Members: roster, Self: vm.ID, Call: client.Call, Begins: proxy.TermBegins, Store: store, Log: logger})
//	err := server.Register("Branch", b.Service())
//	d := lead.New(lead.Config{Cluster: proxy, Store: store, Promoter: promoter, Branches: b, Pauser: pauses, Self: vm.ID, Log: logger})
//	return d.Run(ctx)
package lead
