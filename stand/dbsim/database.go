package dbsim

import (
	"slices"
	"sync"
	"time"

	"snipewall/core"
)

// Database is the durable state of one upstream: the log, the promised term and the role, and the
// tables that the applied part of the log amounts to. It is safe for concurrent use.
type Database struct {
	mu sync.RWMutex
	// tables is the state after the first applied entries of the log.
	tables map[string]*table
	// schema grows with each change of a table definition.
	schema  uint64
	log     []Entry
	runs    []Run
	applied int
	// arrived holds the arrival times of the entries that are not applied yet.
	arrived []time.Time
	// promised is the highest term that was accepted.
	promised core.Term
	role     core.Role
	// term is the term in which this upstream is primary, or follows.
	term core.Term
	// primary is the address that a replica follows, empty if it follows nobody.
	primary string
	// heard is when the primary was last heard from, zero if never.
	heard   time.Time
	leaving bool
	// generation grows with each change of role, term or primary.
	generation uint64
	locks      map[lockKey]*Tx
	// watchers are told about each change of the log, the role or the term.
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
// empty address it follows nobody.
func NewReplica(term core.Term, primary string) *Database {
	db := newDatabase()
	db.promised = term
	db.role = core.RoleReplica
	db.term = term
	db.primary = primary
	return db
}

// Status returns the place of the upstream in its group.
func (db *Database) Status() core.UpstreamStatus {
	db.mu.RLock()
	defer db.mu.RUnlock()
	return db.status()
}

func (db *Database) status() core.UpstreamStatus {
	s := core.UpstreamStatus{
		Role:     db.role,
		Promised: db.promised,
		Log:      position(db.log, len(db.log)),
		Applied:  position(db.log, db.applied),
		Leaving:  db.leaving,
	}
	switch {
	case db.role == core.RolePrimary:
	case db.heard.IsZero():
		s.Heard = -1
	default:
		s.Heard = time.Since(db.heard)
	}
	return s
}

// SetLeaving sets whether the status reports that the upstream is about to be taken away.
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
	db.changed()
	return db.status(), nil
}

// Promote makes the upstream primary of its promised term and appends an empty entry. Repeating it
// changes nothing.
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
	db.changed()
}

// Follow makes the upstream a replica of the primary at the address. A diverging log tail is
// dropped as soon as the primary has told its log.
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
	db.heard = time.Time{}
	db.changed()
	return db.status(), nil
}

// changed tells the watchers about a change of role, term or primary.
func (db *Database) changed() {
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

// watch returns a channel that receives a value after each change, and a function that ends it.
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

// applyUpTo applies entries until n are applied.
func (db *Database) applyUpTo(n int) {
	for db.applied < n {
		db.apply(db.log[db.applied].Changes)
		db.applied++
	}
	db.arrived = db.arrived[min(len(db.arrived), max(0, len(db.arrived)-(len(db.log)-db.applied))):]
}

// truncate drops the entries after n and undoes those that were applied.
func (db *Database) truncate(n int) {
	for db.applied > n {
		db.applied--
		db.revert(db.log[db.applied].Changes)
	}
	clear(db.log[n:])
	db.log = db.log[:n]
	db.runs = runsOf(db.log)
	db.arrived = db.arrived[:len(db.log)-db.applied]
}

// Log returns a copy of the log.
func (db *Database) Log() []Entry {
	db.mu.RLock()
	defer db.mu.RUnlock()
	return append([]Entry(nil), db.log...)
}

// commitChanges appends the changes of a transaction and makes them visible.
func (db *Database) commitChanges(changes []Change) (core.Position, error) {
	if err := db.writable(); err != nil {
		return core.Position{}, err
	}
	db.append(Entry{Term: db.term, Changes: changes})
	db.applyUpTo(len(db.log))
	db.notify()
	return position(db.log, len(db.log)), nil
}

// writable returns an error unless the upstream is the primary of its promised term.
func (db *Database) writable() error {
	if db.role != core.RolePrimary || db.term != db.promised {
		return sqlErrorf(stateReadOnly, "cannot write on a replica")
	}
	return nil
}

// stream is a replica's place in following a primary. It is valid until the replica's role, term or
// primary changes.
type stream struct {
	generation uint64
	term       core.Term
	primary    string
}

// following returns what the replica should follow, or false.
func (db *Database) following() (stream, bool) {
	db.mu.RLock()
	defer db.mu.RUnlock()
	s := stream{generation: db.generation, term: db.term, primary: db.primary}
	return s, db.role == core.RoleReplica && db.primary != ""
}

// current reports whether the stream is still what the replica should follow.
func (db *Database) current(s stream) bool {
	db.mu.RLock()
	defer db.mu.RUnlock()
	return db.generation == s.generation
}

// hear records that the primary was heard from.
func (db *Database) hear(s stream) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.generation != s.generation {
		return false
	}
	db.heard = time.Now()
	return true
}

// startStream drops the part of the log that the primary doesn't have.
func (db *Database) startStream(s stream, common core.Offset) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.generation != s.generation || int(common) > len(db.log) {
		return false
	}
	db.truncate(int(common))
	return true
}

// appendStream adds entries of the primary that arrived now.
func (db *Database) appendStream(s stream, first core.Offset, entries []Entry) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.generation != s.generation || int(first) != len(db.log)+1 {
		return false
	}
	now := time.Now()
	for _, e := range entries {
		db.append(e)
		db.arrived = append(db.arrived, now)
	}
	db.notify()
	return true
}

// applyDue applies the entries that arrived at least lag ago. It returns how long to wait for the
// next one, or false if none is waiting.
func (db *Database) applyDue(lag time.Duration) (time.Duration, bool) {
	db.mu.Lock()
	defer db.mu.Unlock()
	due := 0
	for due < len(db.arrived) && time.Since(db.arrived[due]) >= lag {
		due++
	}
	if due > 0 {
		db.applyUpTo(db.applied + due)
	}
	if len(db.arrived) == 0 {
		return 0, false
	}
	return lag - time.Since(db.arrived[0]), true
}

// entriesAfter returns the entries after the offset, at most limit, if this upstream is still
// primary of the term.
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
