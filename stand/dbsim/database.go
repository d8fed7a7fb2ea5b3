package dbsim

import (
	"slices"
	"sync"
	"time"

	"snipewall/core"
)

// Database is the durable state of one upstream: the log, the promised term and the role, and the
// tables that result from the applied entries of the log. It is safe for concurrent use.
type Database struct {
	mu sync.RWMutex
	// tables is the state after the applied entries of the log.
	tables map[string]*table
	// schema is incremented at each change of a table definition.
	schema uint64
	log    []Entry
	runs   []Run
	// applied is the number of entries, from the start of the log, that are applied to tables.
	applied int
	// arrivalTimes holds the arrival time of each entry that a replica has not applied yet.
	arrivalTimes []time.Time
	// promised is the highest term that was accepted by Prepare or Follow.
	promised core.Term
	role     core.Role
	// term is the term in which this upstream is primary or follows the primary.
	term core.Term
	// primary is the address of the primary that a replica follows, empty if it follows none.
	primary string
	// lastHeard is when the last message of the primary arrived, zero if none has.
	lastHeard time.Time
	leaving   bool
	// generation is incremented at each change of role, term or primary.
	generation uint64
	locks      map[lockKey]*Tx
	// watchers receive a value at each change of the log, the role or the term.
	watchers map[chan struct{}]struct{}
}

func newDatabase() *Database {
	return &Database{
		tables:   make(map[string]*table),
		locks:    make(map[lockKey]*Tx),
		watchers: make(map[chan struct{}]struct{}),
	}
}

// NewPrimary returns an empty database that is primary of the term.
func NewPrimary(term core.Term) *Database {
	db := newDatabase()
	db.promised = term
	db.becomePrimary(term)
	return db
}

// NewReplica returns an empty database that follows the primary at the address in the term. With an
// empty address it follows no primary.
func NewReplica(term core.Term, primary string) *Database {
	db := newDatabase()
	db.promised = term
	db.role = core.RoleReplica
	db.term = term
	db.primary = primary
	return db
}

// Status returns the upstream's role, promised term and positions in the log. Heard is -1 on a replica that
// has not heard from its primary.
func (db *Database) Status() core.UpstreamStatus {
	db.mu.RLock()
	defer db.mu.RUnlock()
	return db.status()
}

func (db *Database) status() core.UpstreamStatus {
	s := core.UpstreamStatus{
		Role:     db.role,
		Promised: db.promised,
		Log:      positionAt(db.log, len(db.log)),
		Applied:  positionAt(db.log, db.applied),
		Leaving:  db.leaving,
	}
	switch {
	case db.role == core.RolePrimary:
	case db.lastHeard.IsZero():
		s.Heard = -1
	default:
		s.Heard = time.Since(db.lastHeard)
	}
	return s
}

// SetLeaving sets whether the status reports that the upstream is about to be removed.
func (db *Database) SetLeaving(leaving bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.leaving = leaving
}

// Prepare accepts a term above the promised one. A primary of a lower term steps down, and a
// replica stops following.
func (db *Database) Prepare(term core.Term) (core.UpstreamStatus, error) {
	db.mu.Lock()
	defer db.mu.Unlock()
	if term <= db.promised {
		return db.status(), sqlErrorf(statePrerequisite, "term %d is not above the promised term %d", term, db.promised)
	}
	db.promised = term
	db.role = core.RoleReplica
	db.primary = ""
	db.bumpGeneration()
	return db.status(), nil
}

// Promote makes the upstream primary of its promised term and appends an empty entry. It is
// idempotent.
func (db *Database) Promote(term core.Term) (core.UpstreamStatus, error) {
	db.mu.Lock()
	defer db.mu.Unlock()
	if term != db.promised {
		return db.status(), sqlErrorf(statePrerequisite, "term %d is not the promised term %d", term, db.promised)
	}
	if db.role == core.RolePrimary {
		return db.status(), nil
	}
	if db.primary != "" {
		return db.status(), sqlErrorf(statePrerequisite, "the upstream follows %s in term %d", db.primary, term)
	}
	db.becomePrimary(term)
	return db.status(), nil
}

func (db *Database) becomePrimary(term core.Term) {
	db.applyUpTo(len(db.log))
	db.role = core.RolePrimary
	db.term = term
	db.primary = ""
	db.append(Entry{Term: term})
	db.applyUpTo(len(db.log))
	db.bumpGeneration()
}

// Follow makes the upstream a replica of the primary at the address. Entries that the primary doesn't
// have are truncated once the replica is connected to it. It is idempotent.
func (db *Database) Follow(term core.Term, primary string) (core.UpstreamStatus, error) {
	db.mu.Lock()
	defer db.mu.Unlock()
	if term < db.promised {
		return db.status(), sqlErrorf(statePrerequisite, "term %d is below the promised term %d", term, db.promised)
	}
	if db.role == core.RolePrimary && db.term == term {
		return db.status(), sqlErrorf(statePrerequisite, "the upstream is primary of term %d", term)
	}
	if db.role == core.RoleReplica && db.term == term && db.primary == primary {
		return db.status(), nil
	}
	db.promised = term
	db.role = core.RoleReplica
	db.term = term
	db.primary = primary
	db.lastHeard = time.Time{}
	db.bumpGeneration()
	return db.status(), nil
}

// bumpGeneration invalidates the current stream and notifies the watchers, after a change of role, term or
// primary.
func (db *Database) bumpGeneration() {
	db.generation++
	db.notify()
}

func (db *Database) notify() {
	for w := range db.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// watch returns a channel that receives a value after each change, and a function that unsubscribes it.
func (db *Database) watch() (<-chan struct{}, func()) {
	w := make(chan struct{}, 1)
	db.mu.Lock()
	defer db.mu.Unlock()
	db.watchers[w] = struct{}{}
	return w, func() {
		db.mu.Lock()
		defer db.mu.Unlock()
		delete(db.watchers, w)
	}
}

// append adds an entry to the log without applying it.
func (db *Database) append(e Entry) {
	db.log = append(db.log, e)
	last := core.Offset(len(db.log))
	if n := len(db.runs); n > 0 && db.runs[n-1].Term == e.Term {
		db.runs[n-1].Last = last
		return
	}
	db.runs = append(db.runs, Run{Term: e.Term, Last: last})
}

// applyUpTo applies entries until the first n of the log are applied.
func (db *Database) applyUpTo(n int) {
	for db.applied < n {
		db.apply(db.log[db.applied].Changes)
		db.applied++
	}
	db.arrivalTimes = db.arrivalTimes[min(len(db.arrivalTimes), max(0, len(db.arrivalTimes)-(len(db.log)-db.applied))):]
}

// truncate drops the entries after the first n. It reverts those that were applied.
func (db *Database) truncate(n int) {
	for db.applied > n {
		db.applied--
		db.revert(db.log[db.applied].Changes)
	}
	clear(db.log[n:])
	db.log = db.log[:n]
	db.runs = runsOf(db.log)
	db.arrivalTimes = db.arrivalTimes[:len(db.log)-db.applied]
}

// Log returns a copy of the log.
func (db *Database) Log() []Entry {
	db.mu.RLock()
	defer db.mu.RUnlock()
	return append([]Entry(nil), db.log...)
}

// commitChanges appends the changes of a transaction and makes them visible.
func (db *Database) commitChanges(changes []Change) (core.Position, error) {
	if err := db.checkWritable(); err != nil {
		return core.Position{}, err
	}
	db.append(Entry{Term: db.term, Changes: changes})
	db.applyUpTo(len(db.log))
	db.notify()
	return positionAt(db.log, len(db.log)), nil
}

// checkWritable returns a read-only error unless the upstream is the primary of its promised term.
func (db *Database) checkWritable() error {
	if db.role != core.RolePrimary || db.term != db.promised {
		return sqlErrorf(stateReadOnly, "cannot write on a replica")
	}
	return nil
}

// stream identifies a replication stream from a primary. It is valid until the replica's role, term or
// primary changes.
type stream struct {
	generation uint64
	term       core.Term
	primary    string
}

// streamToFollow returns the stream that the replica should follow. It returns false for a primary, and
// for a replica that follows no primary.
func (db *Database) streamToFollow() (stream, bool) {
	db.mu.RLock()
	defer db.mu.RUnlock()
	s := stream{generation: db.generation, term: db.term, primary: db.primary}
	return s, db.role == core.RoleReplica && db.primary != ""
}

// isCurrent reports whether the stream is still valid.
func (db *Database) isCurrent(s stream) bool {
	db.mu.RLock()
	defer db.mu.RUnlock()
	return db.generation == s.generation
}

// recordHeard records that a message of the primary arrived now. It returns false if the stream is no
// longer valid.
func (db *Database) recordHeard(s stream) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.generation != s.generation {
		return false
	}
	db.lastHeard = time.Now()
	return true
}

// startStream truncates the log to the offset common, up to which it equals the primary's. It returns false
// if the stream is no longer valid or the offset is beyond the log.
func (db *Database) startStream(s stream, common core.Offset) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.generation != s.generation || int(common) > len(db.log) {
		return false
	}
	db.truncate(int(common))
	return true
}

// appendStream appends entries that arrived from the primary now. It returns false if the stream is no
// longer valid or first isn't the next offset.
func (db *Database) appendStream(s stream, first core.Offset, entries []Entry) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.generation != s.generation || int(first) != len(db.log)+1 {
		return false
	}
	now := time.Now()
	for _, e := range entries {
		db.append(e)
		db.arrivalTimes = append(db.arrivalTimes, now)
	}
	db.notify()
	return true
}

// applyDue applies the entries that arrived at least lag ago. It returns how long to wait until the next
// one can be applied, or false if there is none.
func (db *Database) applyDue(lag time.Duration) (time.Duration, bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	due := 0
	for due < len(db.arrivalTimes) && time.Since(db.arrivalTimes[due]) >= lag {
		due++
	}
	if due > 0 {
		db.applyUpTo(db.applied + due)
	}
	if len(db.arrivalTimes) == 0 {
		return 0, false
	}
	return lag - time.Since(db.arrivalTimes[0]), true
}

// entriesAfter returns at most limit entries after the offset. It returns false if this upstream is no
// longer primary of the term.
func (db *Database) entriesAfter(term core.Term, after core.Offset, limit int) ([]Entry, bool) {
	db.mu.RLock()
	defer db.mu.RUnlock()
	if db.role != core.RolePrimary || db.term != term || db.promised != term {
		return nil, false
	}
	end := min(len(db.log), int(after)+limit)
	if int(after) >= end {
		return nil, true
	}
	return slices.Clone(db.log[after:end]), true
}

// logRuns returns the runs of the log.
func (db *Database) logRuns() []Run {
	db.mu.RLock()
	defer db.mu.RUnlock()
	return append([]Run(nil), db.runs...)
}
