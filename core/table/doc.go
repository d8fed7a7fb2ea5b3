// Package table implements the operators' table, which gives each kind of work its rank, limits and
// times. It parses and validates the table as a whole, compares and merges versions, edits the table in
// the platform's store, and caches the current version on an entry VM.
//
// The table is CSV with a header and one row per kind. Columns may be in any order, and all but Kind may
// be omitted. An empty cell or an omitted column has the default:
//
//	Column       Accepted                        Default
//	Kind         1 to 64 of a-z A-Z 0-9 . _ -    none, required
//	Rank         urgent, middle, last            middle
//	Weight       1 to 1000                       1
//	Concurrency  0 to 100000, 0 is no limit      0
//	Rate         0.001 to 1000000 per s, or 0    0
//	QueueTime    1ms to 1m                       1s
//	AcceptedAge  0s to 1h, 0s is current data    0s
//	Idempotent   true, false                     false
//	Deadline     10ms to 1h                      10s
//
// QueueTime must not be greater than Deadline. A table has at most 2000 rows and 256 KiB. The canonical
// form has all columns in the order above, all cells filled, and rows sorted by kind.
//
// Versions are counted in the table itself: each accepted edit has the version of its predecessor plus
// one, and the store's compare-and-swap ensures that no version is used twice. The stored value also
// contains the most recent edits with the rows that they changed. With these, an edit whose answer was
// lost can be found by its id, and the table on which an older edit was based can be restored for a
// merge.
//
// # Confirmations
//
// The silence of the entry VMs that watch the store doesn't prove that the version in force is the newest. Each Cache
// keeps the time at which the store is known to have had no higher version. One entry VM of the fleet reads the store
// regularly, and the others ask each other in a tree whose root it is. Each answer carries the age of the confirmation.
// An entry VM whose confirmation gets too old reads the store itself.
//
// # Usage
//
// An operator's command reads a checkout and later applies the edited table:
//
//	ed := table.NewEditor(table.EditorConfig{Store: s})
//	checkout, err := ed.Read(ctx)
//	...
//	applied, err := ed.Apply(ctx, table.Edit{ID: id, Base: checkout.Version, Table: changed})
//
// An entry VM caches the current version:
//
//	cache := table.NewCache(table.CacheConfig{Store: s})
//	members := peers.New(peers.Config{Table: cache})
//	cache.SetPeers(members)
package table
