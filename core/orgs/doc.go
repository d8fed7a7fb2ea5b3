// Package orgs decides on whose behalf a caller works. A caller's key names its organisation, and a key that was
// withdrawn must be out of use on all entry VMs within a bound, also on those that are cut off from the store.
//
// A Guard refuses callers with keys while the store's last confirmation of the configuration is too old for
// the bound. Keys are handled as digests only; see docs/design/organisations.md.
//
// # Usage
//
//	g := orgs.NewGuard(orgs.Config{Directory: directory, Revocation: 5 * time.Second, Log: logger, Metrics: scope})
//	g.Confirm(at) // after each confirmation of the configuration whose changes have been adopted
//	organisation, fault := g.Identify(route, orgs.Digest(key))
package orgs
