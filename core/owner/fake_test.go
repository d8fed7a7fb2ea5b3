package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

const (
	self  core.UpstreamID = "seal-ledger-1"
	other core.UpstreamID = "seal-ledger-2"
)

var errReset = errors.New("connection reset")

// fakeUpstream is an upstream with a fixed service time, whose commit positions count up.
type fakeUpstream struct {
	mu       sync.Mutex
	info     core.UpstreamInfo
	term     core.Term
	offset   core.Offset
	readOnly bool
	dialErr  error
	service  time.Duration
	// before is called in a connection's Run before the statement takes effect, after once it has.
	before, after func(ctx context.Context, req *core.Request) error
	// script, if set, replaces the behavior of a connection's Run.
	script func(w core.ResponseWriter) (core.Result, error)

	conns, maxConns, running, maxRunning, ran, rollbacks int
	// effects counts, by request, how often a statement took effect.
	effects map[uint64]int
}

func (u *fakeUpstream) Info() core.UpstreamInfo { return u.info }

func (u *fakeUpstream) Dial(ctx context.Context) (core.Conn, error) {
	if err := sleep(ctx, u.info.ConnectTime); err != nil {
		return nil, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dialErr != nil {
		return nil, u.dialErr
	}
	u.conns++
	u.maxConns = max(u.maxConns, u.conns)
	return &fakeConn{u: u, status: core.TxIdle}, nil
}

func (u *fakeUpstream) Status(context.Context) (core.UpstreamStatus, error) {
	return core.UpstreamStatus{}, nil
}

func (u *fakeUpstream) Prepare(context.Context, core.Term) (core.UpstreamStatus, error) {
	return core.UpstreamStatus{}, nil
}

func (u *fakeUpstream) Promote(context.Context, core.Term) (core.UpstreamStatus, error) {
	return core.UpstreamStatus{}, nil
}

func (u *fakeUpstream) Follow(context.Context, core.Term, core.UpstreamInfo) (core.UpstreamStatus, error) {
	return core.UpstreamStatus{}, nil
}

func (u *fakeUpstream) count(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running += n
	u.maxRunning = max(u.maxRunning, u.running)
}

type fakeConn struct {
	u      *fakeUpstream
	status core.TxStatus
	failed bool
	closed bool
}

func (c *fakeConn) Ping(context.Context) error { return nil }

func (c *fakeConn) Close() error {
	c.u.mu.Lock()
	defer c.u.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	c.u.conns--
	if c.status != core.TxIdle {
		c.u.rollbacks++
	}
	return nil
}

// Run executes a statement. It panics if a connection is used after a failure, since that could mix up
// the answers of two requests.
func (c *fakeConn) Run(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if c.failed || c.closed {
		panic("a connection was used after its failure")
	}
	c.u.count(1)
	defer c.u.count(-1)
	req.Attempt.MarkSent()
	res, err := c.serve(ctx, req, w)
	c.failed = err != nil
	return res, err
}

func (c *fakeConn) serve(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	u := c.u
	if u.script != nil {
		return u.script(w)
	}
	if u.before != nil {
		if err := u.before(ctx, req); err != nil {
			return core.Result{}, err
		}
	}
	if err := sleep(ctx, u.service); err != nil {
		return core.Result{}, err
	}
	u.mu.Lock()
	u.ran++
	u.effects[req.ID]++
	readOnly := u.readOnly
	u.mu.Unlock()
	if err := w.Send(&pgproto3.ParseComplete{}); err != nil {
		return core.Result{}, err
	}
	if readOnly && req.Class == core.ClassWrite {
		failure := &pgproto3.ErrorResponse{Severity: "ERROR", Code: core.StateReadOnly, Message: "read-only"}
		res := core.Result{Status: c.status, Err: &core.SQLError{State: failure.Code, Message: failure.Message}}
		return res, w.Send(failure)
	}
	res := core.Result{Status: c.effect(req), Position: core.Position{}}
	if res.Status == core.TxIdle && req.Class != core.ClassRead {
		u.mu.Lock()
		u.offset++
		res.Position = core.Position{Term: u.term, Offset: u.offset}
		u.mu.Unlock()
	}
	if u.after != nil {
		if err := u.after(ctx, req); err != nil {
			return core.Result{}, err
		}
	}
	if req.Class == core.ClassRead {
		row := &pgproto3.DataRow{Values: [][]byte{fmt.Append(nil, req.ID)}}
		if err := w.Send(row); err != nil {
			return core.Result{}, err
		}
	}
	return res, w.Send(&pgproto3.CommandComplete{CommandTag: []byte(req.Class.String())})
}

// effect returns the transaction status after the statement.
func (c *fakeConn) effect(req *core.Request) core.TxStatus {
	switch req.Class {
	case core.ClassBegin, core.ClassBeginRead:
		c.status = core.TxOpen
	case core.ClassEnd:
		c.status = core.TxIdle
	}
	return c.status
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fakeView is a monitor whose state is set by the test.
type fakeView struct {
	mu       sync.Mutex
	primary  core.UpstreamID
	term     core.Term
	known    bool
	status   core.UpstreamStatus
	age      time.Duration
	index    core.Position
	confirm  func(ctx context.Context, p core.Position) error
	suspects int
	// confirmed holds the positions for which Confirm returned without an error.
	confirmed map[core.Position]bool
}

func (v *fakeView) set(change func(v *fakeView)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v)
}

func (v *fakeView) Primary() (core.UpstreamID, core.Term, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.primary, v.term, v.known
}

func (v *fakeView) Status(core.UpstreamID) (core.UpstreamStatus, time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.status, 0, true
}

func (v *fakeView) Confirm(ctx context.Context, p core.Position) error {
	v.mu.Lock()
	confirm := v.confirm
	v.mu.Unlock()
	if confirm != nil {
		if err := confirm(ctx, p); err != nil {
			return err
		}
	}
	v.set(func(v *fakeView) { v.confirmed[p] = true })
	return nil
}

func (v *fakeView) ReadIndex(context.Context) (core.Position, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.known {
		return core.Position{}, errors.New("no majority")
	}
	return v.index, nil
}

func (v *fakeView) Age(core.UpstreamID) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.age, v.age >= 0
}

func (v *fakeView) WaitApplied(ctx context.Context, _ core.UpstreamID, p core.Position) error {
	for {
		v.mu.Lock()
		covered := v.status.Applied.Covers(p)
		v.mu.Unlock()
		if covered {
			return nil
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
}

func (v *fakeView) Suspect(core.UpstreamID) { v.set(func(v *fakeView) { v.suspects++ }) }

// fakePolicies is a table that a test can change.
type fakePolicies struct {
	mu   sync.Mutex
	rows map[core.Kind]core.KindPolicy
}

func (p *fakePolicies) Policy(kind core.Kind) (core.KindPolicy, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[kind]
	return row, ok
}

func (p *fakePolicies) Kinds() []core.KindPolicy { return nil }

// caller records the answer that it receives.
type caller struct {
	mu   sync.Mutex
	got  []string
	rows []string
	fail error
}

func (c *caller) Send(msg pgproto3.BackendMessage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fail != nil {
		return c.fail
	}
	if row, ok := msg.(*pgproto3.DataRow); ok {
		c.rows = append(c.rows, string(row.Values[0]))
	}
	c.got = append(c.got, fmt.Sprintf("%T", msg)[len("*pgproto3."):])
	return nil
}

func (c *caller) received() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.got...)
}

// fixture is the owner of a primary, connected to fakes.
type fixture struct {
	*Owner
	up       *fakeUpstream
	view     *fakeView
	policies *fakePolicies
	leaving  atomic.Bool
	nextID   atomic.Uint64
}

// run runs the scenario with the fake clock, on an owner that the change function may adapt.
func run(t *testing.T, change func(cfg *Config, f *fixture), scenario func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(change)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		scenario(t, f)
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run: %v", err)
		}
		if st := f.State(); st.Queue.Running != 0 || st.Queue.OpenTransactions != 0 || st.InFlight != 0 {
			t.Errorf("left behind: %+v", st)
		}
		if f.up.conns != 0 {
			t.Errorf("%d connections left open", f.up.conns)
		}
	})
}

func newFixture(change func(cfg *Config, f *fixture)) *fixture {
	f := &fixture{
		up: &fakeUpstream{
			info: core.UpstreamInfo{
				ID: self, Group: "seal-ledger", Slots: 2, Connections: 10, ConnectTime: 30 * time.Millisecond,
			},
			effects: make(map[uint64]int),
			term:    1,
			service: 5 * time.Millisecond,
		},
		view: &fakeView{
			primary: self, term: 1, known: true, confirmed: make(map[core.Position]bool),
			status: core.UpstreamStatus{Role: core.RolePrimary, Promised: 1},
		},
		policies: &fakePolicies{rows: map[core.Kind]core.KindPolicy{
			"book": {Kind: "book", Rank: core.RankUrgent, Weight: 1, QueueTime: time.Second},
		}},
	}
	cfg := Config{Upstream: f.up, View: f.view, Policies: f.policies, Leaving: f.leaving.Load}
	if change != nil {
		change(&cfg, f)
	}
	f.Owner = New(cfg)
	return f
}

// request returns a request with a deadline of 3 s.
func (f *fixture) request(class core.Class) *core.Request {
	return &core.Request{
		ID: f.nextID.Add(1), Group: "seal-ledger", Kind: "book", Class: class,
		Deadline: time.Now().Add(3 * time.Second), Attempt: &core.Attempt{},
	}
}

// replica makes the upstream a replica that has applied the position.
func replica(applied core.Position) func(cfg *Config, f *fixture) {
	return func(_ *Config, f *fixture) {
		f.view.primary = other
		f.view.status = core.UpstreamStatus{Role: core.RoleReplica, Promised: 1, Applied: applied}
		f.up.readOnly = true
	}
}
