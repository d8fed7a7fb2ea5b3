package proxy

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/topo"
)

// server is a fake upstream. It records what runs on it.
type server struct {
	id core.UpstreamID

	mu    sync.Mutex
	leads bool
	// unproved makes the upstream open plain transactions even if it doesn't lead.
	unproved bool
	log      core.Position
	// service is how long a statement takes.
	service time.Duration
	// silent statements get no answer; broken ones break the connection after they ran.
	silent, broken bool
	// busy is the number of statements that are refused as busy.
	busy  int
	conns int
	// lagged is the number of statements that awaited a position which the log lacks.
	lagged int
	ran    []run
}

// run is one statement of a caller that ran.
type run struct {
	Conn   int
	Text   string
	Values string
	InTx   bool
	// Log is the end of the upstream's log when the statement ran.
	Log core.Position
}

func (s *server) runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.ran...)
}

func (s *server) set(change func(s *server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// link is a connection to a server.
type link struct {
	s        *server
	n        int
	status   core.TxStatus
	values   map[string]string
	prepared map[string]string
	answers  []core.Answer
	closed   bool
	guards   bool
}

func (l *link) Hello() core.Position {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	return l.s.log
}

func (l *link) Idle() bool   { return !l.closed && len(l.answers) == 0 }
func (l *link) Guards() bool { return l.guards }
func (l *link) Close() error { l.closed = true; return nil }

func (l *link) Send(cmds []core.Command) error {
	for _, c := range cmds {
		l.answers = append(l.answers, l.run(c))
	}
	return nil
}

func (l *link) Receive(deadline time.Time) (core.Answer, error) {
	l.s.mu.Lock()
	silent, broken, service := l.s.silent, l.s.broken, l.s.service
	l.s.mu.Unlock()
	if silent {
		time.Sleep(time.Until(deadline))
		return core.Answer{}, os.ErrDeadlineExceeded
	}
	if broken {
		return core.Answer{}, errors.New("connection reset")
	}
	ans := l.answers[0]
	if ans.Signed {
		if left := time.Until(deadline); left < service {
			time.Sleep(left)
			return core.Answer{}, os.ErrDeadlineExceeded
		}
		time.Sleep(service)
	}
	l.answers = l.answers[1:]
	return ans, nil
}

func (l *link) run(c core.Command) core.Answer {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	fault := l.decide(c)
	if fault != core.FaultNone && c.Op != core.OpRollback && l.status == core.TxOpen && fault != core.FaultBusy {
		l.status = core.TxFailed
	}
	ans := core.Answer{Fault: fault, Status: l.status, Position: l.s.log}
	if fault == core.FaultNone && (c.Op == core.OpForward || c.Op == core.OpExecute) {
		ans.Signed = true
		ans.Body = []byte("COMPLETE " + string(l.s.id) + "\r\n")
	}
	return ans
}

func (l *link) decide(c core.Command) core.Fault {
	switch c.Op {
	case core.OpBegin, core.OpBeginRead:
		if c.Op == core.OpBegin && !l.s.leads && !l.s.unproved {
			return core.FaultReadOnly
		}
		if l.s.log.Less(c.Await) {
			return core.FaultLagging
		}
		l.status = core.TxOpen
	case core.OpRollback:
		l.status = core.TxIdle
	case core.OpReset:
		l.values, l.prepared = map[string]string{}, map[string]string{}
	case core.OpSet:
		l.values[c.Name] = c.Text
	case core.OpPrepare:
		l.prepared[c.Name] = c.Text
	default:
		return l.statement(c)
	}
	return core.FaultNone
}

func (l *link) statement(c core.Command) core.Fault {
	if l.s.busy > 0 {
		l.s.busy--
		return core.FaultBusy
	}
	if l.s.log.Less(c.Await) {
		l.s.lagged++
		return core.FaultLagging
	}
	text := c.Text
	write := len(text) > 5 && text[:5] == "WRITE"
	if c.Op == core.OpExecute {
		shape, ok := l.prepared[c.Name]
		if !ok {
			return core.FaultUnprepared
		}
		text = shape + " " + c.Text
		write = c.Name[0] == 'w'
	}
	if write && !l.s.leads {
		return core.FaultReadOnly
	}
	l.s.ran = append(l.s.ran, run{Conn: l.n, Text: text, Values: fmt.Sprint(l.values), InTx: l.status == core.TxOpen, Log: l.s.log})
	if write && l.status == core.TxIdle || text == "COMMIT" {
		l.s.log.Offset++
	}
	if text == "COMMIT" {
		l.status = core.TxIdle
	}
	return core.FaultNone
}

// rig is a proxy in front of one group with a primary in its own failure domain and replicas in its
// own and in another region.
type rig struct {
	t       *testing.T
	servers map[core.UpstreamID]*server
	dir     *topo.Directory
	proxy   *Proxy
	// now is the clock that counts suspension.
	suspended atomic.Int64
	start     time.Time
	alive     []core.VM
	guards    bool
	dials     atomic.Int32
	// full makes the upstreams refuse new connections; those that are cut don't answer this VM.
	full atomic.Bool
	cut  map[core.UpstreamID]bool
	// owner answers for an upstream's owner; nil means that none answers.
	owner func(id core.UpstreamID) (core.LineConn, error)
}

const (
	primaryID core.UpstreamID = "a-primary"
	nearID    core.UpstreamID = "b-near"
	farID     core.UpstreamID = "c-far"
)

// route returns the route of a kind.
func testRoute(database string, reads topo.Consistency, maxAge time.Duration) topo.Route {
	return topo.Route{Database: database, Group: "g", Reads: reads, MaxAge: maxAge, StatementTimeout: 800 * time.Millisecond}
}

func newRig(t *testing.T, others ...core.VM) *rig {
	t.Helper()
	r := &rig{t: t, servers: map[core.UpstreamID]*server{}, dir: topo.NewDirectory(), start: time.Now()}
	r.dir.Apply(topo.Config{
		Version: 1, TxIdle: time.Second,
		Routes: map[string]topo.Route{
			"strict":  testRoute("strict", topo.Strict, 0),
			"bounded": testRoute("bounded", topo.Bounded, 1500*time.Millisecond),
			"own":     testRoute("own", topo.ReadYourWrites, 2500*time.Millisecond),
		},
		Groups: map[core.GroupID]topo.Group{"g": {ID: "g", Connections: 20}},
	})
	for _, id := range []core.UpstreamID{primaryID, nearID, farID} {
		s := &server{id: id, log: core.Position{Term: 1, Offset: 10}, service: 5 * time.Millisecond, leads: id == primaryID}
		r.servers[id] = s
		u := topo.Upstream{Role: core.RoleReplica, Born: 1}
		u.ID, u.Group, u.Address, u.Slots = id, "g", string(id), 3
		u.FailureDomain, u.Region = "here", "home"
		if id == farID {
			u.FailureDomain, u.Region = "there", "away"
		}
		if s.leads {
			u.Role = core.RolePrimary
		}
		r.dir.Put(u)
	}
	self := core.VM{ID: "vm-1", FailureDomain: "here", Region: "home"}
	r.alive = append([]core.VM{self}, others...)
	r.proxy = New(Config{
		Directory: r.dir, Dialer: r, Self: self, Members: r, DialOwner: r.dialOwner,
		Regions: map[core.FailureDomain]core.Region{"here": "home", "there": "away"},
		Log:     log.NewNopLogger(),
		Now: func() core.Instant {
			return core.Instant(time.Since(r.start) + time.Duration(r.suspended.Load()) + time.Hour)
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error, 1)
	go func() { end <- r.proxy.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-end)
	})
	time.Sleep(10 * time.Millisecond)
	return r
}

func (r *rig) Alive() []core.VM         { return r.alive }
func (r *rig) Changed() <-chan struct{} { return nil }

// dialOwner reaches an upstream's owner. One that doesn't answer takes all of the dial's time.
func (r *rig) dialOwner(ctx context.Context, _ core.VM, id core.UpstreamID) (core.LineConn, error) {
	if r.owner == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return r.owner(id)
}

// relayLink connects to the upstream as its owner would.
func (r *rig) relayLink(id core.UpstreamID) (core.LineConn, error) {
	return &link{s: r.servers[id], status: core.TxIdle, values: map[string]string{}, prepared: map[string]string{}, guards: true}, nil
}

// Dial implements core.LineDialer.
func (r *rig) Dial(ctx context.Context, u core.UpstreamInfo) (core.LineConn, error) {
	if r.cut[u.ID] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s := r.servers[u.ID]
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.full.Load() {
		return nil, &core.RefusedError{Upstream: u.ID, Message: "OVERLOAD"}
	}
	s.conns++
	r.dials.Add(1)
	return &link{s: s, n: s.conns, status: core.TxIdle, values: map[string]string{}, prepared: map[string]string{}, guards: r.guards}, nil
}

// do runs a statement given as the caller wrote it.
func (r *rig) do(s *Session, verb Verb, text string) Reply {
	r.t.Helper()
	return s.Execute(r.t.Context(), &Statement{ID: "q", Verb: verb, Text: text})
}

func (r *rig) must(s *Session, verb Verb, text string) Reply {
	r.t.Helper()
	reply := r.do(s, verb, text)
	assert.Equal(r.t, reply.Fault, core.FaultNone, reply.Text)
	return reply
}

// texts returns the texts that ran on the server.
func (r *rig) texts(id core.UpstreamID) []string {
	var out []string
	for _, x := range r.servers[id].runs() {
		out = append(out, x.Text)
	}
	return out
}
