package proxy

import (
	"context"
	"crypto/sha256"
	"slices"
	"strconv"
	"strings"
	"time"

	"snipewall/core"
	"snipewall/core/topo"
)

// firstConfigTimeout is how long a new connection waits for the first configuration. Callers give up
// after 2 s.
const firstConfigTimeout = 1700 * time.Millisecond

// Verb is what a caller's statement does.
type Verb uint8

// Verbs of statements.
const (
	VerbRead Verb = iota
	VerbWrite
	VerbBegin
	VerbBeginRead
	VerbCommit
	VerbRollback
	// VerbSet sets the session value Name to Arg.
	VerbSet
	// VerbPrepare prepares the statement with the text Arg as Name.
	VerbPrepare
	// VerbExecute runs the prepared statement Name with the arguments Arg.
	VerbExecute
	VerbDeallocate
)

// Statement is one statement of a caller.
type Statement struct {
	ID   core.RequestID
	Verb Verb
	// Text is the whole statement. Upstreams get it unchanged.
	Text string
	// Name and Arg are the operands, as the verb defines them.
	Name, Arg string
	// Write is set if the prepared statement writes.
	Write bool
}

// Reply is the answer to a statement.
type Reply struct {
	// Fault is FaultNone if the statement succeeded.
	Fault core.Fault
	// Text explains the fault.
	Text string
	// Body is the upstream's encoded answer, or nil if snipewall answers itself. It is valid until the
	// next statement of the session.
	Body     []byte
	Status   core.TxStatus
	Position core.Position
	// NoMemory is set if the upstream's answer was dropped for lack of memory.
	NoMemory bool
	// overloaded is set if the upstream's queue refused the statement because of load, so that a retry
	// there is useless.
	overloaded bool
	// declined is set if it refused the statement only because another upstream serves it sooner.
	declined bool
}

// maxIdleBody is the size of the largest memory for answers that a session or relay keeps between statements.
const maxIdleBody = 8 << 10

// copyBody copies an answer into buf, since its connection reuses the memory once it is free. Large answers aren't copied:
// no connection keeps their memory (see core.Answer). It returns the answer, and what may be kept of buf.
func copyBody(buf, body []byte) (out, kept []byte) {
	if cap(body) > core.MaxKeptBody {
		return body, buf
	}
	buf = append(buf[:0], body...)
	if cap(buf) > maxIdleBody {
		return buf, nil
	}
	return buf, buf
}

// value is a session value. Its key encodes both texts for comparison.
type value struct{ name, value, key string }

// Session is one caller's connection. It is used by one goroutine at a time.
type Session struct {
	p        *Proxy
	database string
	key      topo.KeyDigest
	values   []value
	// valueKey encodes all values, for comparison with those of a connection, which keeps it. It has hashes of long texts.
	valueKey string
	prepared map[string]preparedStmt
	// stateBytes is the size of the values and prepared statements.
	stateBytes int
	// lastCommit is the position of the session's last commit; lastCommitUnknown is set if the
	// upstream didn't report it.
	lastCommit        core.Position
	lastCommitUnknown bool
	tx                *tx
	body              []byte
}

// Open starts a session on the database for a caller with the key.
func (p *Proxy) Open(database string, key topo.KeyDigest) *Session {
	return &Session{p: p, database: database, key: key}
}

// Admit reports whether a caller with the key can open the database: FaultNone, FaultNoDatabase,
// FaultUnauthorized, or FaultBusy if no configuration is known, or none that is recent enough to tell whether the
// key is valid. An entry VM that has just started waits a short time for its first one.
func (p *Proxy) Admit(ctx context.Context, database string, key topo.KeyDigest) core.Fault {
	timer := time.NewTimer(firstConfigTimeout)
	defer timer.Stop()
	for {
		snap := p.cfg.Directory.Snapshot()
		if snap.Config.Version > 0 {
			route, ok := snap.Route(database)
			if !ok {
				return core.FaultNoDatabase
			}
			_, fault := p.identify(route, key)
			return fault
		}
		select {
		case <-ctx.Done():
			return core.FaultBusy
		case <-timer.C:
			return core.FaultBusy
		case <-snap.Changed:
		}
	}
}

// ConfigVersion returns the version of the configuration in force on this VM, or 0 if none is known.
func (p *Proxy) ConfigVersion() core.Version { return p.cfg.Directory.Snapshot().Config.Version }

// Status returns the session's transaction status.
func (s *Session) Status() core.TxStatus {
	switch {
	case s.tx == nil:
		return core.TxIdle
	case s.tx.failed:
		return core.TxFailed
	}
	return core.TxOpen
}

// StateBytes returns the size of the session's values and prepared statements.
func (s *Session) StateBytes() int { return s.stateBytes }

// Busy reports whether an open transaction holds an upstream connection.
func (s *Session) Busy() bool { return s.tx != nil && s.tx.held != nil }

// TxIdle returns how long the session's transaction may stay idle, or 0 if there is no limit now.
func (s *Session) TxIdle() time.Duration {
	if !s.Busy() {
		return 0
	}
	return s.p.cfg.Directory.Snapshot().Config.TxIdle
}

// Abort rolls an open transaction back. Its next statement gets FaultAborted with the reason.
func (s *Session) Abort(reason string) {
	if s.tx == nil || s.tx.failed {
		return
	}
	s.p.metrics.aborts.Inc(1)
	s.p.logDecision("transaction aborted", "Database", s.database, "Reason", reason)
	s.rollback()
	s.tx.failed, s.tx.abortReason = true, reason
}

// Close ends the session and rolls an open transaction back.
func (s *Session) Close() { s.endTx() }

// Execute runs one statement and blocks until its answer is known.
func (s *Session) Execute(ctx context.Context, st *Statement) Reply {
	began := time.Now()
	r := s.dispatch(ctx, st, began)
	r.Status = s.Status()
	m := &s.p.metrics
	m.statements.Inc(1)
	if r.Fault != core.FaultNone {
		m.faults.Inc(1)
		s.p.logFault(s, st, r, time.Since(began))
	} else if r.Body != nil {
		m.latency.RecordDuration(time.Since(began))
	}
	return r
}

func (s *Session) dispatch(ctx context.Context, st *Statement, began time.Time) Reply {
	if st.Verb == VerbRollback {
		s.endTx()
		return Reply{}
	}
	if s.tx != nil && s.tx.failed {
		return s.replyInFailedTx(st)
	}
	switch st.Verb {
	case VerbBegin, VerbBeginRead:
		return s.begin(st)
	case VerbSet:
		s.set(st.Name, st.Arg)
		return Reply{}
	case VerbPrepare:
		s.prepare(st)
		return Reply{}
	case VerbDeallocate:
		s.deallocate(st.Name)
		return Reply{}
	case VerbCommit:
		if s.tx == nil {
			return Reply{Fault: core.FaultMalformed, Text: "no transaction is open"}
		}
	}
	w, fault := s.newWork(st, began)
	if fault != nil {
		return s.failTx(st, *fault)
	}
	if s.tx != nil {
		return s.runTx(ctx, w)
	}
	return s.runSingle(ctx, w)
}

// replyInFailedTx answers a statement in a failed transaction, which allows only COMMIT and ROLLBACK.
func (s *Session) replyInFailedTx(st *Statement) Reply {
	reason := s.tx.abortReason
	s.tx.abortReason = ""
	if st.Verb == VerbCommit {
		s.endTx()
		return Reply{Fault: core.FaultAborted, Text: "the transaction had failed and is rolled back"}
	}
	if reason != "" {
		return Reply{Fault: core.FaultAborted, Text: reason}
	}
	return Reply{Fault: core.FaultMalformed, Text: "the transaction has failed"}
}

func (s *Session) begin(st *Statement) Reply {
	if s.tx != nil {
		return Reply{Fault: core.FaultMalformed, Text: "a transaction is open"}
	}
	route, ok := s.route()
	s.tx = &tx{readOnly: st.Verb == VerbBeginRead}
	if ok {
		s.tx.route = &route
	}
	return Reply{}
}

// fail rolls an open transaction back, marks it as failed and returns the reply.
func (s *Session) fail(r Reply) Reply {
	if s.tx != nil {
		s.rollback()
		s.tx.failed = true
	}
	return r
}

// entryBytes is the memory that a value or a prepared statement takes besides its texts.
const entryBytes = 128

func (s *Session) prepare(st *Statement) {
	if s.prepared == nil {
		s.prepared = make(map[string]preparedStmt)
	}
	s.deallocate(st.Name)
	// The name is copied, since it may share the memory of a long text.
	s.prepared[strings.Clone(st.Name)] = newPreparedStmt(st.Write, st.Arg)
	s.stateBytes += entryBytes + len(st.Name) + len(st.Arg)
}

func (s *Session) deallocate(name string) {
	if old, ok := s.prepared[name]; ok {
		s.stateBytes -= entryBytes + len(name) + len(old.text)
		delete(s.prepared, name)
	}
}

func (s *Session) set(name, v string) {
	key := keyPart(name) + keyPart(v)
	i := slices.IndexFunc(s.values, func(v value) bool { return v.name == name })
	if i >= 0 {
		s.stateBytes += len(v) - len(s.values[i].value)
		s.values[i].value, s.values[i].key = v, key
	} else {
		s.stateBytes += entryBytes + len(name) + len(v)
		// The name is copied, since it may share the memory of a long text.
		s.values = append(s.values, value{strings.Clone(name), v, key})
		slices.SortFunc(s.values, func(a, b value) int { return strings.Compare(a.name, b.name) })
	}
	var b strings.Builder
	for _, v := range s.values {
		b.WriteString(v.key)
	}
	s.valueKey = b.String()
}

// maxPlainKey is the length up to which a value key holds a text itself instead of its hash.
const maxPlainKey = 128

// keyPart encodes a text for a value key, with its length, which also tells hashes from plain texts. Equal hashes of
// different texts are out of the question.
func keyPart(text string) string {
	n := strconv.Itoa(len(text)) + ":"
	if len(text) <= maxPlainKey {
		return n + text
	}
	sum := sha256.Sum256([]byte(text))
	return n + string(sum[:])
}

// noteCommit records the position of the session's own commit.
func (s *Session) noteCommit(p core.Position) {
	if p.IsZero() {
		s.lastCommitUnknown = true
		return
	}
	s.lastCommitUnknown = false
	if s.lastCommit.Less(p) {
		s.lastCommit = p
	}
}
