package core

// Era counts how often the platform's store has come back from a copy that lacked changes which it had acknowledged.
type Era uint32

const (
	// revisionBits is the size of a revision in a Version; the era takes the bits above. A fencing token stays below 2^53,
	// which any reader of numbers takes, up to era 8191.
	revisionBits = 40
	// MaxEra is the largest era that fits into a Version.
	MaxEra Era = 1<<(64-revisionBits) - 1
	// MaxRevision is the largest revision that fits into a Version.
	MaxRevision uint64 = 1<<revisionBits - 1
)

// Era returns the era in which the version was read or written.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Start returns a version that is lower than those of all entries of the era and higher than all earlier ones. As the
// expected version of an entry it means that the entry doesn't exist in this era.
func (e Era) Start() Version { return Version(e) << revisionBits }

// Revision returns the number that the store's adapter needs for a call. It means nothing without the era.
func (v Version) Revision() uint64 { return uint64(v) & MaxRevision }
