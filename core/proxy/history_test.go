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

// historySeeds is the number of random histories: few in CI, more by hand.
var historySeeds = flag.Uint64("history.seeds", 20, "number of random histories")

const (
	// historyTime is the length of a history.
	historyTime = 8 * time.Second
	// longestFault is the longest time for which a fault lasts.
	longestFault = 3 * time.Second
)

// missing is a mechanism that a history runs without, to show that the checks notice.
type missing uint8

const (
	nothing missing = iota
	// suspensionClock makes the proxy's clock stand still while the VM is suspended.
	suspensionClock
	// leadershipProof makes upstreams open plain transactions that don't lead.
	leadershipProof
)

// commit is an acknowledged write, of this VM's callers or of others.
type commit struct {
	at core.Position
	// acked is when its caller learned of it, on the clock that counts suspension.
	acked   time.Duration
	session int
	undone  bool
}

// change is a change of leader: commits of lower terms that aren't kept are undone.
type change struct {
	term core.Term
	kept core.Position
}

// undoes reports whether the change rolled the commit back, which its caller may learn of only later.
func (c change) undoes(at core.Position) bool { return at.Term < c.term && c.kept.Less(at) }

// history runs random statements and faults against a rig, and checks what the callers were told
// against what the upstreams ran.
type history struct {
	*rig
	rand *rand.Rand

	mu      sync.Mutex
	commits []commit
	leader  core.UpstreamID
	// changes are the changes of leader. Each has a term of its own, as the platform gives it.
	changes []change
	paused  map[core.UpstreamID]bool
	n       int
	served  int
	faults  []string
}

func (h *history) clock() time.Duration {
	return time.Since(h.start) + time.Duration(h.suspended.Load())
}

func (h *history) report(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

// ack records that a caller learned of a commit.
func (h *history) ack(session int, at core.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	undone := slices.ContainsFunc(h.changes, func(c change) bool { return c.undoes(at) })
	h.commits = append(h.commits, commit{at: at, acked: h.clock(), session: session, undone: undone})
}

// floor returns the position that a read which arrived at the time must not lack.
func (h *history) floor(arrived time.Duration, session int, database string) core.Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	age := map[string]time.Duration{"strict": 0, "bounded": 1500 * time.Millisecond, "own": 2500 * time.Millisecond}[database]
	var p core.Position
	for _, c := range h.commits {
		own := database == "own" && c.session == session
		if c.undone || c.acked >= arrived || (!own && c.acked >= arrived-age) {
			continue
		}
		if p.Less(c.at) {
			p = c.at
		}
	}
	return p
}

// ranWith returns the log positions with which the text ran, by upstream.
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

// caller runs statements of one session until the history ends.
func (h *history) caller(session int, database string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(session)))
	s := h.proxy.Open(database)
	defer s.Close()
	for h.clock() < historyTime {
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
		h.report("%s ran %d times", text, runs)
	case reply.Fault == core.FaultNone && runs == 0:
		h.report("%s was acknowledged and didn't run", text)
	case reply.Fault.IsNotRun() && runs > 0:
		h.report("%s was refused as %s and ran", text, reply.Fault)
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
	floor := h.floor(arrived, session, database)
	at := h.ranWith(text)[by]
	if len(at) == 0 {
		h.report("%s was answered by %s and didn't run there", text, by)
		return
	}
	if last := at[len(at)-1]; last.Less(floor) {
		h.report("%s on %s ran at %v on %s, the floor is %v", text, database, last, by, floor)
	}
	h.mu.Lock()
	h.served++
	h.mu.Unlock()
}

// replicate copies the leader's log to the replicas that aren't paused.
func (h *history) replicate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	lead := h.servers[h.leader]
	lead.mu.Lock()
	log := lead.log
	lead.mu.Unlock()
	for id, s := range h.servers {
		if id != h.leader && !h.paused[id] {
			s.set(func(s *server) { s.log = log })
		}
	}
}

// commitElsewhere lets another VM's caller commit.
func (h *history) commitElsewhere() {
	h.mu.Lock()
	s := h.servers[h.leader]
	h.mu.Unlock()
	var at core.Position
	s.set(func(s *server) {
		s.log.Offset++
		at = s.log
	})
	h.ack(-1, at)
}

// promote makes another upstream the leader with the log that it has.
func (h *history) promote() {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := []core.UpstreamID{primaryID, nearID, farID}[h.rand.IntN(3)]
	if next == h.leader {
		return
	}
	c := change{term: core.Term(len(h.changes) + 2)}
	h.servers[next].set(func(s *server) {
		c.kept = s.log
		s.leads = true
		s.log.Term = c.term
	})
	h.changes = append(h.changes, c)
	for id, s := range h.servers {
		if id == next {
			continue
		}
		s.set(func(s *server) {
			s.leads = false
			if c.kept.Less(s.log) {
				s.log = c.kept
			}
		})
	}
	for i := range h.commits {
		if c.undoes(h.commits[i].at) {
			h.commits[i].undone = true
		}
	}
	h.leader = next
	// The store's news of it arrive later.
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

// suspend stops the VM for a time, in which others commit and nothing is replicated.
func (h *history) suspend(d time.Duration) {
	const steps = 10
	for range steps {
		h.suspended.Add(int64(d / steps))
		h.commitElsewhere()
	}
}

// fault injects one random fault.
func (h *history) fault() {
	id := []core.UpstreamID{primaryID, nearID, farID}[h.rand.IntN(3)]
	s := h.servers[id]
	d := time.Duration(h.rand.Int64N(int64(longestFault)))
	switch h.rand.IntN(6) {
	case 0:
		h.promote()
	case 1:
		h.suspend(d)
	case 2:
		h.mu.Lock()
		h.paused[id] = true
		h.mu.Unlock()
		time.AfterFunc(d, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.paused[id] = false
		})
	case 3:
		s.set(func(s *server) { s.silent = true })
		time.AfterFunc(d, func() { s.set(func(s *server) { s.silent = false }) })
	case 4:
		s.set(func(s *server) { s.broken = true })
		time.AfterFunc(d/10, func() { s.set(func(s *server) { s.broken = false }) })
	case 5:
		s.set(func(s *server) { s.busy = 5 })
	}
}

// play plays the history of the seed and returns it.
func play(t *testing.T, seed uint64, without missing) *history {
	t.Helper()
	h := &history{rand: rand.New(rand.NewPCG(seed, 0)), leader: primaryID, paused: map[core.UpstreamID]bool{}}
	synctest.Test(t, func(t *testing.T) {
		h.rig = newRig(t)
		switch without {
		case suspensionClock:
			h.proxy.cfg.Now = func() core.Instant { return core.Instant(time.Since(h.start) + time.Hour) }
		case leadershipProof:
			for _, s := range h.servers {
				s.set(func(s *server) { s.unproved = true })
			}
		}
		var wg sync.WaitGroup
		for i, database := range []string{"strict", "bounded", "own", "strict", "bounded", "own"} {
			wg.Go(func() { h.caller(i, database, seed) })
		}
		wg.Go(func() {
			for h.clock() < historyTime {
				time.Sleep(10 * time.Millisecond)
				h.replicate()
				if h.rand.IntN(3) == 0 {
					h.commitElsewhere()
				}
				if h.rand.IntN(30) == 0 {
					h.fault()
				}
			}
		})
		wg.Wait()
		// Faults that are still to end reach into the bubble.
		time.Sleep(longestFault)
	})
	return h
}

// Guards against stale reads, writes that run twice and refusals that aren't true, under random changes of
// the leader, suspensions of the VM, lagging replicas and upstreams that are silent, broken or busy.
func TestRandomHistories(t *testing.T) {
	served := 0
	for seed := range *historySeeds {
		h := play(t, seed, nothing)
		assert.Equal(t, len(h.faults), 0, "seed %d: %s", seed, strings.Join(h.faults, "; "))
		served += h.served
	}
	t.Logf("%d reads were checked", served)
	assert.Assert(t, served > 100*int(*historySeeds))
}

// Shows that the checks of TestRandomHistories notice a missing mechanism.
func TestHistoriesNoticeMissingMechanism(t *testing.T) {
	for _, without := range []missing{suspensionClock, leadershipProof} {
		found := 0
		for seed := uint64(0); found == 0 && seed < *historySeeds; seed++ {
			found = len(play(t, seed, without).faults)
		}
		assert.Assert(t, found > 0, "nothing noticed without mechanism %d", without)
	}
}
