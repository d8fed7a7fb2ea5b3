// Package permit keeps entry VMs from using the primary of a group after another upstream was promoted, on
// platforms where a promotion doesn't stop the old primary.
//
// The store holds one Record for each group: either a hold, written before a promotion, or the upstream
// that was promoted last. A VM may use a primary only while its permit lasts: there is no hold, and the
// store has confirmed within the last TTL that the VM knows all records. The confirmations come with the
// watch of the upstreams' entries and cost no calls of their own.
//
// A VM that promotes writes a hold first and sends it to all VMs. VMs that acknowledge it have ended their
// permits. The permits of the others run out a TTL after the hold was written, since no later confirmation
// of the store can miss it. See Tally.
//
// # Outages of the store
//
// While the store is down nobody new can promote, but a confirmation isn't available either. Permits are then
// renewed by a majority of the VMs, each of which reports the records that it knows. A VM that promotes
// therefore needs the acknowledgments of so many VMs that the others are no majority.
//
// # Clock
//
// Instants come from a clock that advances while the VM is suspended. A VM that was suspended finds its
// permit expired. An answer of a primary counts only if the permit covers a moment after the answer arrived.
//
// # Pauses
//
// Where a promotion stops the old primary, no permits are needed. Pauses keep all VMs from using a primary while it is replaced,
// so that its log doesn't grow any more. A VM that pauses a group writes a record to the store, then lists the VMs and calls them.
// A VM that starts, or that was suspended, reads the records once it is listed and before it uses a primary again, so that it
// either is called or finds the record.
//
// # Usage
//
//	g := permit.New(permit.Config{Store: store, Members: roster, Self: vm, Call: client.Call, Log: logger})
//	err := server.Register("Permit", g.Service())
//	feed := topo.NewFeed(topo.FeedConfig{Event: g.Event, Applied: func() { g.Confirm(mirror.ConfirmedAt(prefix)) }})
//	if g.Admits(group) { ... }
//
//	p := permit.NewPauses(permit.PausesConfig{
//		Members: roster, Store: store, Self: vm, NeedsRecords: waitsForReplicas, Call: client.Call, Changed: wake, Log: logger,
//	})
//	err = server.Register("Pause", p.Service())
//	if p.Pause(ctx, group, true, 0).IsComplete() { ... }
//	p.Resume(ctx, group, true)
package permit
