package route

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// script is an executor that answers each request with the next step.
type script struct {
	steps []func(req *core.Request, w core.ResponseWriter) (core.Result, error)
	calls int
}

func (s *script) Execute(_ context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	step := s.steps[min(s.calls, len(s.steps)-1)]
	s.calls++
	return step(req, w)
}

type step = func(req *core.Request, w core.ResponseWriter) (core.Result, error)

func succeed(id core.UpstreamID) step {
	return func(req *core.Request, _ core.ResponseWriter) (core.Result, error) {
		req.Attempt.MarkSent()
		return core.Result{Status: core.TxIdle, Upstream: id}, nil
	}
}

func redirect(to core.UpstreamID) step {
	return func(req *core.Request, _ core.ResponseWriter) (core.Result, error) {
		return core.Result{}, &core.RedirectError{Group: req.Group, Primary: to, Better: to, Reason: "not the primary"}
	}
}

func refuse(state string) step {
	return func(req *core.Request, _ core.ResponseWriter) (core.Result, error) {
		return core.Result{}, req.Attempt.Refuse(state, "refused by script", 0)
	}
}

func lose(req *core.Request, _ core.ResponseWriter) (core.Result, error) {
	req.Attempt.MarkSent()
	return core.Result{}, errors.New("connection reset")
}

func loseHalfway(req *core.Request, w core.ResponseWriter) (core.Result, error) {
	req.Attempt.MarkSent()
	if err := w.Send(&pgproto3.DataRow{}); err != nil {
		return core.Result{}, err
	}
	return core.Result{}, errors.New("connection reset")
}

type discard struct{}

func (discard) Send(pgproto3.BackendMessage) error { return nil }

type members struct{ alive []core.VM }

func (m *members) Self() core.VM                     { return m.alive[0] }
func (m *members) Alive() []core.VM                  { return m.alive }
func (m *members) Generation() uint64                { return 1 }
func (m *members) IsLeaving(core.UpstreamID) bool    { return false }
func (m *members) MarkLeaving(core.UpstreamID, bool) {}
func ownersNone(core.UpstreamInfo) []core.VM         { return nil }

// newRouter returns a router in domain a whose upstreams a, b, c all run in this process.
func newRouter(scripts map[core.UpstreamID]*script) *Router {
	var infos []core.UpstreamInfo
	for _, id := range []core.UpstreamID{"a", "b", "c"} {
		infos = append(infos, core.UpstreamInfo{ID: id, Group: "g", FailureDomain: core.FailureDomain(id), Region: "r"})
	}
	return New(Config{
		Upstreams: infos,
		Members:   &members{alive: []core.VM{{ID: "vm", FailureDomain: "a", Region: "r"}}},
		Owners:    ownersNone,
		Local:     func(id core.UpstreamID) (core.Executor, bool) { return scripts[id], true },
	})
}

func newScripts(a, b, c []step) map[core.UpstreamID]*script {
	return map[core.UpstreamID]*script{"a": {steps: a}, "b": {steps: b}, "c": {steps: c}}
}

func TestExecute(t *testing.T) {
	ok := func(id core.UpstreamID) []step { return []step{succeed(id)} }
	var notRun *core.NotRunError
	var unknown *core.UnknownOutcomeError
	tests := []struct {
		name       string
		class      core.Class
		idempotent bool
		a, b, c    []step
		upstream   core.UpstreamID
		wantErr    any
		calls      int
	}{
		{name: "read goes to the own failure domain", class: core.ClassRead, a: ok("a"), b: ok("b"), c: ok("c"), upstream: "a", calls: 1},
		{name: "write follows the redirect", class: core.ClassWrite, a: []step{redirect("c")}, b: ok("b"), c: ok("c"), upstream: "c", calls: 2},
		{name: "write waits for a new primary", class: core.ClassWrite, a: []step{refuse(core.StateUnavailable), succeed("a")}, b: []step{redirect("")}, c: []step{redirect("")}, upstream: "a", calls: 4},
		{name: "write without a primary ends as not run", class: core.ClassWrite, a: []step{redirect("")}, b: []step{redirect("")}, c: []step{redirect("")}, wantErr: &notRun, calls: -1},
		{name: "lost write is unknown and not repeated", class: core.ClassWrite, a: []step{lose}, b: ok("b"), c: ok("c"), wantErr: &unknown, calls: 1},
		{name: "lost idempotent write is repeated", class: core.ClassWrite, idempotent: true, a: []step{lose}, b: ok("b"), c: ok("c"), upstream: "b", calls: 2},
		{name: "lost read is repeated elsewhere", class: core.ClassRead, a: []step{lose}, b: ok("b"), c: ok("c"), upstream: "b", calls: 2},
		{name: "half an answer isn't repeated", class: core.ClassRead, a: []step{loseHalfway}, b: ok("b"), c: ok("c"), wantErr: &unknown, calls: 1},
		{name: "overloaded write is refused at once", class: core.ClassWrite, a: []step{refuse(core.StateOverload)}, b: ok("b"), c: ok("c"), wantErr: &notRun, calls: 1},
		{name: "overloaded read asks one more replica", class: core.ClassRead, a: []step{refuse(core.StateOverload)}, b: []step{refuse(core.StateOverload)}, c: ok("c"), wantErr: &notRun, calls: 2},
		{name: "commit is never repeated", class: core.ClassEnd, idempotent: true, a: []step{lose}, b: ok("b"), c: ok("c"), wantErr: &unknown, calls: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scripts := newScripts(tt.a, tt.b, tt.c)
				req := &core.Request{
					Group: "g", Class: tt.class, Idempotent: tt.idempotent,
					Attempt: &core.Attempt{}, Deadline: time.Now().Add(2 * time.Second),
				}
				ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
				defer cancel()
				res, err := newRouter(scripts).Execute(ctx, req, discard{})
				if tt.wantErr != nil {
					assert.Assert(t, errors.As(err, tt.wantErr), "got %v", err)
				} else {
					assert.NilError(t, err)
				}
				assert.Equal(t, res.Upstream, tt.upstream)
				calls := scripts["a"].calls + scripts["b"].calls + scripts["c"].calls
				assert.Assert(t, tt.calls < 0 || calls == tt.calls, "got %d calls", calls)
			})
		})
	}
}

// Guards against repetitions that multiply a surge: they stay within a share of the requests.
func TestBudgetBoundsRepetitions(t *testing.T) {
	scripts := newScripts([]step{lose}, []step{lose}, []step{lose})
	r := newRouter(scripts)
	const requests = 1000
	synctest.Test(t, func(t *testing.T) {
		for range requests {
			req := &core.Request{Group: "g", Class: core.ClassRead, Attempt: &core.Attempt{}, Deadline: time.Now().Add(time.Second)}
			_, err := r.Execute(context.Background(), req, discard{})
			assert.Assert(t, err != nil)
		}
	})
	calls := scripts["a"].calls + scripts["b"].calls + scripts["c"].calls
	assert.Assert(t, calls <= requests*(100+10)/100+defaultRetryBurst, "got %d calls for %d requests", calls, requests)
}
