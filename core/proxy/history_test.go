package proxy

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// historySeeds is the number of random histories. The default is small for CI; manual runs use more.
var historySeeds = flag.Uint64("history.seeds", 20, "number of random histories")

const (
	historyLength = 8 * time.Second
	maxFaultTime  = 3 * time.Second
)

// mechanism names a safety mechanism that a history disables, to show that the checks detect its
// absence.
type mechanism uint8

const (
	noMechanism mechanism = iota
	// suspensionClock disabled: the proxy's clock stops while the VM is suspended.
	suspensionClock
	// leadershipProof disabled: upstreams that don't lead accept a plain BEGIN.
	leadershipProof
)

// commit is an acknowledged write of a caller of this or another VM.
type commit struct {
	at core.Position
	// acked is when its caller got the answer, on the clock that counts suspension.
	acked      time.Duration
	session    int
	rolledBack bool
}

// leaderChange is one change of the leader. It rolls back commits of lower terms beyond keptUpTo.
type leaderChange struct {
	term     core.Term
	keptUpTo core.Position
}

// rollsBack reports whether the change rolled the commit back, even if its caller gets the answer only
// later.
func (c leaderChange) rollsBack(at core.Position) bool {
	return at.Term < c.term && c.keptUpTo.Less(at)
}

// history runs random statements and faults against a harness, and checks the replies to callers
// against the statements that the upstreams ran.
type history struct {
	*harness
	rand *rand.Rand

	mu      sync.Mutex
	commits []commit
	leader  core.UpstreamID
	// leaderChanges holds all changes. Each has its own term, as the platform assigns it.
	leaderChanges     []leaderChange
	replicationPaused map[core.UpstreamID]bool
	n                 int
	checkedReads      int
	violations        []string
}

func (h *history) clock() time.Duration {
	return time.Since(h.start) + time.Duration(h.suspended.Load())
}

func (h *history) reportViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// ack records that a caller got the answer to a commit.
func (h *history) ack(session int, at core.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rolledBack := slices.ContainsFunc(h.leaderChanges, func(c leaderChange) bool { return c.rollsBack(at) })
	h.commits = append(h.commits, commit{at: at, acked: h.clock(), session: session, rolledBack: rolledBack})
}

// requiredPosition returns the position that a read which arrived at the given time must have at least.
func (h *history) requiredPosition(arrived time.Duration, session int, database string) core.Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	age := map[string]time.Duration{"strict": 0, "bounded": 1500 * time.Millisecond, "own": 2500 * time.Millisecond}[database]
	var p core.Position
	for _, c := range h.commits {
		own := database == "own" && c.session == session
		if c.rolledBack || c.acked >= arrived || (!own && c.acked >= arrived-age) {
			continue
		}
		if p.Less(c.at) {
			p = c.at
		}
	}
	return p
}

// ranWith returns the log positions at which the statement ran, by upstream.
func (h *history) ranWith(text string) map[core.UpstreamID][]core.Position {
	out := map[core.UpstreamID][]core.Position{}
	for id, s := range h.servers {
		for _, x := range s.runs() {
			if x.Text == text {
				out[id] = append(out[id], x.Log)
			}
		}
	}
	return out
}

// runCaller runs statements of one session until the history ends.
func (h *history) runCaller(session int, database string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(session)))
	s := h.proxy.Open(database, noKey)
	defer s.Close()
	for h.clock() < historyLength {
		h.mu.Lock()
		h.n++
		n := h.n
		h.mu.Unlock()
		if r.IntN(4) == 0 {
			h.write(s, session, fmt.Sprintf("WRITE %d", n))
		} else {
			h.read(s, session, database, fmt.Sprintf("READ %d", n))
		}
		time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
	}
}

func (h *history) write(s *Session, session int, text string) {
	reply := h.do(s, VerbWrite, text)
	runs := 0
	for _, at := range h.ranWith(text) {
		runs += len(at)
	}
	switch {
	case runs > 1:
		h.reportViolation("%s ran %d times", text, runs)
	case reply.Fault == core.FaultNone && runs == 0:
		h.reportViolation("%s was acknowledged but didn't run", text)
	case reply.Fault.IsNotRun() && runs > 0:
		h.reportViolation("%s was refused as %s but ran", text, reply.Fault)
	}
	if reply.Fault == core.FaultNone {
		h.ack(session, reply.Position)
	}
}

func (h *history) read(s *Session, session int, database, text string) {
	arrived := h.clock()
	reply := h.do(s, VerbRead, text)
	if reply.Fault != core.FaultNone {
		return
	}
	by := core.UpstreamID(strings.TrimSuffix(strings.TrimPrefix(string(reply.Body), "COMPLETE "), "\r\n"))
	required := h.requiredPosition(arrived, session, database)
	at := h.ranWith(text)[by]
	if len(at) == 0 {
		h.reportViolation("%s was answered by %s but didn't run there", text, by)
		return
	}
	if last := at[len(at)-1]; last.Less(required) {
		h.reportViolation("%s on %s ran at %v on %s, want at least %v", text, database, last, by, required)
	}
	h.mu.Lock()
	h.checkedReads++
	h.mu.Unlock()
}

func (h *history) replicate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	lead := h.servers[h.leader]
	lead.mu.Lock()
	log := lead.log
	lead.mu.Unlock()
	for id, s := range h.servers {
		if id != h.leader && !h.replicationPaused[id] {
			s.update(func(s *server) { s.log = log })
		}
	}
}

// commitElsewhere commits a write of another VM's caller.
func (h *history) commitElsewhere() {
	h.mu.Lock()
	s := h.servers[h.leader]
	h.mu.Unlock()
	var at core.Position
	s.update(func(s *server) {
		s.log.Offset++
		at = s.log
	})
	h.ack(-1, at)
}

// promote makes a random upstream the leader, with the log that it has.
func (h *history) promote() {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := []core.UpstreamID{primaryID, nearID, farID}[h.rand.IntN(3)]
	if next == h.leader {
		return
	}
	c := leaderChange{term: core.Term(len(h.leaderChanges) + 2)}
	h.servers[next].update(func(s *server) {
		c.keptUpTo = s.log
		s.leads = true
		s.log.Term = c.term
	})
	h.leaderChanges = append(h.leaderChanges, c)
	for id, s := range h.servers {
		if id == next {
			continue
		}
		s.update(func(s *server) {
			s.leads = false
			if c.keptUpTo.Less(s.log) {
				s.log = c.keptUpTo
			}
		})
	}
	for i := range h.commits {
		if c.rollsBack(h.commits[i].at) {
			h.commits[i].rolledBack = true
		}
	}
	h.leader = next
	// The change reaches the directory later.
	time.AfterFunc(time.Duration(h.rand.IntN(600))*time.Millisecond, func() {
		for id, u := range h.dir.Snapshot().Upstreams {
			u.Role = core.RoleReplica
			if id == next {
				u.Role = core.RolePrimary
			}
			h.dir.Put(u)
		}
	})
}

// suspend advances the clock of the VM as a suspension does, while other VMs commit and nothing is
// replicated.
func (h *history) suspend(d time.Duration) {
	const steps = 10
	for range steps {
		h.suspended.Add(int64(d / steps))
		h.commitElsewhere()
	}
}

func (h *history) injectFault() {
	id := []core.UpstreamID{primaryID, nearID, farID}[h.rand.IntN(3)]
	s := h.servers[id]
	d := time.Duration(h.rand.Int64N(int64(maxFaultTime)))
	switch h.rand.IntN(6) {
	case 0:
		h.promote()
	case 1:
		h.suspend(d)
	case 2:
		h.mu.Lock()
		h.replicationPaused[id] = true
		h.mu.Unlock()
		time.AfterFunc(d, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.replicationPaused[id] = false
		})
	case 3:
		s.update(func(s *server) { s.silent = true })
		time.AfterFunc(d, func() { s.update(func(s *server) { s.silent = false }) })
	case 4:
		s.update(func(s *server) { s.broken = true })
		time.AfterFunc(d/10, func() { s.update(func(s *server) { s.broken = false }) })
	case 5:
		s.update(func(s *server) { s.busy = 5 })
	}
}

// runHistory runs the history of the seed and returns it.
func runHistory(t *testing.T, seed uint64, disabled mechanism) *history {
	t.Helper()
	h := &history{rand: rand.New(rand.NewPCG(seed, 0)), leader: primaryID, replicationPaused: map[core.UpstreamID]bool{}}
	synctest.Test(t, func(t *testing.T) {
		h.harness = newHarness(t)
		switch disabled {
		case suspensionClock:
			h.proxy.cfg.Now = func() core.Instant { return core.Instant(time.Since(h.start) + time.Hour) }
		case leadershipProof:
			for _, s := range h.servers {
				s.update(func(s *server) { s.skipLeaderCheck = true })
			}
		}
		var wg sync.WaitGroup
		for i, database := range []string{"strict", "bounded", "own", "strict", "bounded", "own"} {
			wg.Go(func() { h.runCaller(i, database, seed) })
		}
		wg.Go(func() {
			for h.clock() < historyLength {
				time.Sleep(10 * time.Millisecond)
				h.replicate()
				if h.rand.IntN(3) == 0 {
					h.commitElsewhere()
				}
				if h.rand.IntN(30) == 0 {
					h.injectFault()
				}
			}
		})
		wg.Wait()
		// Timers that end faults must fire before the bubble ends.
		time.Sleep(maxFaultTime)
	})
	return h
}

// Guards against stale reads, writes that run twice and wrong claims that a statement didn't run, under
// random leader changes, suspensions of the VM, lagging replicas and upstreams that are silent, broken
// or busy.
func TestRandomHistories(t *testing.T) {
	served := 0
	for seed := range *historySeeds {
		h := runHistory(t, seed, noMechanism)
		assert.Equal(t, len(h.violations), 0, "seed %d: %s", seed, strings.Join(h.violations, "; "))
		served += h.checkedReads
	}
	t.Logf("%d reads were checked", served)
	assert.Assert(t, served > 100*int(*historySeeds))
}

// Shows that the checks of TestRandomHistories detect a disabled mechanism.
func TestHistoryChecksDetectDisabledMechanism(t *testing.T) {
	for _, disabled := range []mechanism{suspensionClock, leadershipProof} {
		found := 0
		for seed := uint64(0); found == 0 && seed < *historySeeds; seed++ {
			found = len(runHistory(t, seed, disabled).violations)
		}
		assert.Assert(t, found > 0, "nothing detected with mechanism %d disabled", disabled)
	}
}
