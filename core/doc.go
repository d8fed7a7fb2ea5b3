// Package core holds what every other package of snipewall shares: identifiers, units, log
// positions, requests and results, the interfaces to upstreams and to the platform, the typed
// errors of a refused or unconfirmed request, and the kernel in which services find each other.
//
// Decision logic lives in the packages below core and sees the outside only through the
// interfaces of this package. Adapters to real protocols live below io and implement them.
//
// # Usage
//
// A process builds a Kernel, registers its services and runs them until the context ends:
//
//	k := core.NewKernel()
//	if err := k.Register(svc); err != nil {
//		return err
//	}
//	return k.Run(ctx)
//
// A service looks up another one by name and type:
//
//	view, err := core.Find[core.GroupView](k, "quorum/berth-ledger-1")
package core
