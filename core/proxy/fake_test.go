package proxy

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/core/place"
	"snipewall/core/topo"
)

// server is a fake upstream that records the statements it ran.
type server struct {
	id core.UpstreamID

	mu    sync.Mutex
	leads bool
	// skipLeaderCheck makes the upstream accept a plain BEGIN although it doesn't lead.
	skipLeaderCheck bool
	log             core.Position
	// received is what a replica has received, if it is more than its log. noSlot makes it refuse to tell.
	received core.Position
	noSlot   bool
	// serviceTime is the run time of a statement.
	serviceTime time.Duration
	// A silent server doesn't answer; a broken one closes the connection after it ran the statement.
	silent, broken bool
	// busy is the number of statements still to refuse as busy.
	busy  int
	conns int
	// lagged is the number of statements that awaited a position beyond the end of the log.
	lagged int
	ran    []run
	// hidesBeginPosition makes the answer to BEGIN tell no position.
	hidesBeginPosition bool
	// body is the body of all answers, unless it is nil.
	body []byte
	// refuse returns the fault with which the upstream fails a command without running it; nil means that it fails none.
	refuse func(c core.Command) core.Fault
	// refusedStatus is the transaction status after a command that refuse fails; 0 means that of a plain error.
	refusedStatus core.TxStatus
	// echoes makes the body of an answer repeat the statement.
	echoes bool
	// loses reports whether the answer to a command is lost after it has run; nil means that none is.
	loses func(c core.Command) bool
	// open holds the connections that weren't closed.
	open []*fakeConn
}

// noKey is the key of a caller where callers need none.
var noKey topo.KeyDigest

// run is one caller statement that ran.
type run struct {
	Conn int
	// Organisation is the one that the connection belongs to.
	Organisation core.OrganisationID
	Text         string
	Values       string
	InTx         bool
	// Log is the end of the server's log when the statement ran.
	Log core.Position
}

func (s *server) runs() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.ran...)
}

func (s *server) update(change func(s *server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

type fakeConn struct {
	s            *server
	organisation core.OrganisationID
	n            int
	status       core.TxStatus
	values       map[string]string
	prepared     map[string]string
	answers      []core.Answer
	// answerAt is when the oldest answer arrives; zero until it is waited for.
	answerAt         time.Time
	closed           bool
	canPipelineBegin bool
}

func (fc *fakeConn) InitialPosition() core.Position {
	fc.s.mu.Lock()
	defer fc.s.mu.Unlock()
	return fc.s.log
}

func (fc *fakeConn) IsIdle() bool      { return !fc.closed && len(fc.answers) == 0 }
func (fc *fakeConn) CanPipeline() bool { return fc.canPipelineBegin }

func (fc *fakeConn) Close() error {
	fc.s.mu.Lock()
	defer fc.s.mu.Unlock()
	fc.closed = true
	fc.s.open = slices.DeleteFunc(fc.s.open, func(other *fakeConn) bool { return other == fc })
	return nil
}

func (fc *fakeConn) Send(cmds []core.Command) error {
	for _, c := range cmds {
		ans := fc.run(c)
		if fc.s.loses == nil || !fc.s.loses(c) {
			fc.answers = append(fc.answers, ans)
		}
	}
	return nil
}

func (fc *fakeConn) Receive(deadline time.Time) (core.Answer, error) {
	fc.s.mu.Lock()
	silent, broken, service := fc.s.silent, fc.s.broken, fc.s.serviceTime
	fc.s.mu.Unlock()
	if silent {
		time.Sleep(time.Until(deadline))
		return core.Answer{}, os.ErrDeadlineExceeded
	}
	if broken {
		return core.Answer{}, errors.New("connection reset")
	}
	if len(fc.answers) == 0 {
		time.Sleep(time.Until(deadline))
		return core.Answer{}, os.ErrDeadlineExceeded
	}
	ans := fc.answers[0]
	if ans.Signed {
		if fc.answerAt.IsZero() {
			fc.answerAt = time.Now().Add(service)
		}
		if deadline.Before(fc.answerAt) {
			time.Sleep(time.Until(deadline))
			return core.Answer{}, os.ErrDeadlineExceeded
		}
		time.Sleep(time.Until(fc.answerAt))
	}
	fc.answers, fc.answerAt = fc.answers[1:], time.Time{}
	return ans, nil
}

func (fc *fakeConn) run(c core.Command) core.Answer {
	fc.s.mu.Lock()
	defer fc.s.mu.Unlock()
	fault := core.FaultNone
	if fc.s.refuse != nil {
		fault = fc.s.refuse(c)
	}
	isRefused := fault != core.FaultNone
	if !isRefused {
		fault = fc.execute(c)
	}
	switch {
	case isRefused && fc.s.refusedStatus != 0:
		fc.status = fc.s.refusedStatus
	case fault != core.FaultNone && c.Op != core.OpRollback && fc.status == core.TxOpen && fault != core.FaultBusy:
		fc.status = core.TxFailed
	}
	ans := core.Answer{Fault: fault, Status: fc.status, Position: fc.s.log}
	if c.Op == core.OpBegin && fc.s.hidesBeginPosition {
		ans.Position = core.Position{}
	}
	if c.Op == core.OpStatus && fault == core.FaultNone {
		ans.Received = fc.s.log
		if fc.s.log.Less(fc.s.received) {
			ans.Received = fc.s.received
		}
	}
	if fault == core.FaultNone && (c.Op == core.OpForward || c.Op == core.OpExecute) {
		ans.Signed = true
		ans.Body = []byte("COMPLETE " + string(fc.s.id) + "\r\n")
		if fc.s.echoes {
			ans.Body = []byte("COMPLETE " + fc.text(c) + "\r\n")
		}
		if fc.s.body != nil {
			ans.Body = fc.s.body
		}
	}
	return ans
}

// execute applies the command and returns its fault.
func (fc *fakeConn) execute(c core.Command) core.Fault {
	if fc.status == core.TxFailed && c.Op != core.OpRollback && c.Text != "COMMIT" {
		return core.FaultMalformed
	}
	switch c.Op {
	case core.OpBegin, core.OpBeginRead:
		if fc.status != core.TxIdle {
			return core.FaultMalformed
		}
		if c.Op == core.OpBegin && !fc.s.leads && !fc.s.skipLeaderCheck {
			return core.FaultReadOnly
		}
		if fc.s.log.Less(c.Await) {
			return core.FaultLagging
		}
		fc.status = core.TxOpen
	case core.OpRollback:
		fc.status = core.TxIdle
	case core.OpStatus:
		if fc.s.noSlot {
			return core.FaultBusy
		}
	case core.OpReset:
		fc.values, fc.prepared = map[string]string{}, map[string]string{}
	case core.OpSet:
		fc.values[c.Name] = c.Text
	case core.OpPrepare:
		fc.prepared[c.Name] = c.Text
	default:
		return fc.executeStatement(c)
	}
	return core.FaultNone
}

// text returns the text of a caller's statement. That of a prepared one has its arguments behind it.
func (fc *fakeConn) text(c core.Command) string {
	if c.Op == core.OpExecute {
		return fc.prepared[c.Name] + " " + c.Text
	}
	return c.Text
}

func (fc *fakeConn) executeStatement(c core.Command) core.Fault {
	if fc.s.busy > 0 {
		fc.s.busy--
		return core.FaultBusy
	}
	if fc.s.log.Less(c.Await) {
		fc.s.lagged++
		return core.FaultLagging
	}
	if _, ok := fc.prepared[c.Name]; c.Op == core.OpExecute && !ok {
		return core.FaultUnprepared
	}
	text := fc.text(c)
	write := strings.HasPrefix(text, "WRITE")
	if write && !fc.s.leads {
		return core.FaultReadOnly
	}
	fc.s.ran = append(fc.s.ran, run{Conn: fc.n, Organisation: fc.organisation, Text: text, Values: fmt.Sprint(fc.values), InTx: fc.status == core.TxOpen, Log: fc.s.log})
	if write && fc.status == core.TxIdle || text == "COMMIT" {
		fc.s.log.Offset++
	}
	if text == "COMMIT" {
		fc.status = core.TxIdle
	}
	return core.FaultNone
}

// harness runs a proxy in front of one group, with a primary in its own failure domain and replicas in
// its own and in another region.
type harness struct {
	t       *testing.T
	servers map[core.UpstreamID]*server
	dir     *topo.Directory
	proxy   *Proxy
	// suspended is how far the proxy's clock is ahead because of suspension.
	suspended        atomic.Int64
	start            time.Time
	alive            []core.VM
	canPipelineBegin bool
	dials            atomic.Int32
	// full makes the upstreams refuse new connections. Dials of the unreachable ones don't answer.
	full        atomic.Bool
	unreachable map[core.UpstreamID]bool
	// wrap replaces new connections to upstreams if it isn't nil.
	wrap func(core.LineConn) core.LineConn
	// owner connects to an upstream's owner; nil means that no owner answers.
	owner func(id core.UpstreamID) (core.LineConn, error)
	// ownerOf replaces owner if it isn't nil, and depends on the VM.
	ownerOf func(vm core.VM, id core.UpstreamID) (core.LineConn, error)
}

// probeContext returns a context for one probe.
func probeContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	t.Cleanup(cancel)
	return ctx
}

// relayOrder returns the other VMs in the order in which this one asks them to relay.
func (p *Proxy) relayOrder(id core.UpstreamID) []core.VM {
	n, _ := p.lookup(id)
	vms := place.Owners(n.info.Load().UpstreamInfo, p.cfg.Members.Alive(), len(p.cfg.Members.Alive()))
	return slices.DeleteFunc(vms, func(vm core.VM) bool { return vm.ID == p.cfg.Self.ID })
}

const (
	primaryID core.UpstreamID = "a-primary"
	nearID    core.UpstreamID = "b-near"
	farID     core.UpstreamID = "c-far"
)

func testRoute(database string, reads topo.Consistency, maxAge time.Duration) topo.Route {
	return topo.Route{Database: database, Group: "g", Reads: reads, MaxAge: maxAge, StatementTimeout: 800 * time.Millisecond}
}

func newHarness(t *testing.T, others ...core.VM) *harness {
	t.Helper()
	return newHarnessWithPermits(t, nil, others...)
}

// newHarnessIn returns a harness whose VM is in the failure domain.
func newHarnessIn(t *testing.T, domain core.FailureDomain, others ...core.VM) *harness {
	t.Helper()
	return newHarnessAs(t, core.VM{ID: "vm-1", FailureDomain: domain, Region: testRegions[domain]}, nil, others...)
}

var testRegions = map[core.FailureDomain]core.Region{"here": "home", "there": "away"}

// newHarnessWithPermits returns a harness whose proxy needs permits.
func newHarnessWithPermits(t *testing.T, permits core.Permits, others ...core.VM) *harness {
	t.Helper()
	return newHarnessAs(t, core.VM{ID: "vm-1", FailureDomain: "here", Region: "home"}, permits, others...)
}

func newHarnessAs(t *testing.T, self core.VM, permits core.Permits, others ...core.VM) *harness {
	t.Helper()
	r := &harness{t: t, servers: map[core.UpstreamID]*server{}, dir: topo.NewDirectory(), start: time.Now()}
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
		s := &server{id: id, log: core.Position{Term: 1, Offset: 10}, serviceTime: 5 * time.Millisecond, leads: id == primaryID}
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
	r.alive = append([]core.VM{self}, others...)
	r.proxy = New(Config{
		Directory: r.dir, Dialer: r, Self: self, Members: r, DialOwner: r.dialOwner, Permits: permits,
		Regions: testRegions,
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

func (r *harness) Alive() []core.VM         { return r.alive }
func (r *harness) Changed() <-chan struct{} { return nil }

// dialOwner connects to an upstream's owner. Without an owner it blocks until the dial times out.
func (r *harness) dialOwner(ctx context.Context, vm core.VM, id core.UpstreamID) (core.LineConn, error) {
	if r.ownerOf != nil {
		return r.ownerOf(vm, id)
	}
	if r.owner == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return r.owner(id)
}

// relayConn connects to the upstream as its owner would.
func (r *harness) relayConn(id core.UpstreamID) (core.LineConn, error) {
	return &fakeConn{s: r.servers[id], status: core.TxIdle, values: map[string]string{}, prepared: map[string]string{}, canPipelineBegin: true}, nil
}

// Dial implements core.LineDialer.
func (r *harness) Dial(ctx context.Context, u core.UpstreamInfo, organisation core.OrganisationID) (core.LineConn, error) {
	if r.unreachable[u.ID] {
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
	fc := &fakeConn{s: s, n: s.conns, organisation: organisation, status: core.TxIdle, values: map[string]string{}, prepared: map[string]string{}, canPipelineBegin: r.canPipelineBegin}
	s.open = append(s.open, fc)
	if r.wrap != nil {
		return r.wrap(fc), nil
	}
	return fc, nil
}

// do executes a statement, given as the caller sent it.
func (r *harness) do(s *Session, verb Verb, text string) Reply {
	r.t.Helper()
	return s.Execute(r.t.Context(), &Statement{ID: "q", Verb: verb, Text: text})
}

func (r *harness) must(s *Session, verb Verb, text string) Reply {
	r.t.Helper()
	reply := r.do(s, verb, text)
	assert.Equal(r.t, reply.Fault, core.FaultNone, reply.Text)
	return reply
}

// texts returns the statements that ran on the server.
func (r *harness) texts(id core.UpstreamID) []string {
	var out []string
	for _, x := range r.servers[id].runs() {
		out = append(out, x.Text)
	}
	return out
}
