// Package quota limits the operations that the callers of an organisation run, counted over all entry VMs.
//
// One entry VM, the keeper, holds a lease in the store and divides each limit. A VM holds a share of a limit and
// a token bucket with that share of rate and burst. What no VM holds is the keeper's reserve, from which it serves
// VMs that need more at once. In a window of Window the operations of an organisation stay below
// (Rate*Window+Burst)*(1+Excess)+Slack on all VMs together, also on those that can't reach each other; the reasons
// are in docs/design/quotas.md.
//
// The decisions don't depend on input and output: Ledger holds those of the keeper, rights those of a VM. Limiter
// runs them, with calls between the VMs and the keeper's lease.
//
// While the configuration limits no organisation, a Limiter makes no calls and uses no timers.
//
// # Usage
//
//	l := quota.New(quota.Config{
//		Self: vm, Members: roster, Call: client.Call, Store: store, Directory: directory,
//		Window: 5 * time.Second, Excess: 0.1, Slack: 20, Log: logger, Metrics: scope,
//	})
//	err := server.Register("Quota", l.Service())
//	go func() { ended <- l.Run(ctx) }()
//	verdict := l.Take(ctx, organisation, deadline)
package quota
