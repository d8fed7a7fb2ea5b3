// Package core defines what the other packages of snipewall share: identifiers, log positions,
// requests and results, the interfaces to upstreams and to the platform, the typed errors of a
// refused or unconfirmed request, and the registry through which services find each other.
//
// Decision logic lives in the packages below core and reaches the outside only through the
// interfaces of this package. Adapters to real protocols live below io and implement them.
//
// # Usage
//
// A process creates a Registry, registers its services and runs them until the context ends:
//
//	r := core.NewRegistry()
//	if err := r.Register(svc); err != nil {
//		return err
//	}
//	return r.Run(ctx)
//
// A service looks up another one by name and type:
//
//	view, err := core.Find[core.GroupView](r, "quorum/berth-ledger-1")
package core
