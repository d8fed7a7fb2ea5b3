package owner

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against an acknowledgment that reaches the caller before a majority holds the commit.
func TestAcknowledgmentIsWithheld(t *testing.T) {
	var confirmed chan struct{}
	run(t, func(_ *Config, f *fixture) {
		confirmed = make(chan struct{})
		f.view.confirm = func(ctx context.Context, _ core.Position) error {
			select {
			case <-confirmed:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}, func(t *testing.T, f *fixture) {
		c := &caller{}
		ended := make(chan error, 1)
		var res core.Result
		go func() {
			var err error
			res, err = f.Execute(t.Context(), f.request(core.ClassWrite), c)
			ended <- err
		}()
		time.Sleep(time.Second)
		assert.Equal(t, len(c.received()), 0)
		// A slot isn't held during the wait, since nothing executes.
		assert.Equal(t, f.State().Queue.Running, 0)
		close(confirmed)
		assert.NilError(t, <-ended)
		assert.DeepEqual(t, c.received(), []string{"ParseComplete", "CommandComplete"})
		assert.Equal(t, res.Position, core.Position{Term: 1, Offset: 1})
	})
}

// Guards against a write on a lost primary that is reported as done or as not run.
func TestUnconfirmedWriteHasUnknownOutcome(t *testing.T) {
	run(t, func(_ *Config, f *fixture) {
		f.view.confirm = func(context.Context, core.Position) error { return errors.New("term 1 was superseded") }
	}, func(t *testing.T, f *fixture) {
		c := &caller{}
		_, err := f.Execute(t.Context(), f.request(core.ClassWrite), c)
		var unknown *core.UnknownOutcomeError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		assert.Equal(t, len(c.received()), 0)
	})
}

// Guards against work for the primary that runs on another upstream.
func TestReplicaRedirectsWrites(t *testing.T) {
	run(t, replica(core.Position{}), func(t *testing.T, f *fixture) {
		for _, class := range []core.Class{core.ClassWrite, core.ClassBegin} {
			_, err := f.Execute(t.Context(), f.request(class), &caller{})
			var redirect *core.RedirectError
			assert.Assert(t, errors.As(err, &redirect), "%v", err)
			assert.Equal(t, redirect.Primary, other)
		}
		assert.Equal(t, f.up.ran, 0)
	})
}

// Guards against a statement that runs on a replica because the monitor's view was late, and whose
// failure reaches the caller although nothing was passed on.
func TestReadOnlyFailureRedirects(t *testing.T) {
	run(t, func(_ *Config, f *fixture) { f.up.readOnly = true }, func(t *testing.T, f *fixture) {
		c := &caller{}
		req := f.request(core.ClassWrite)
		_, err := f.Execute(t.Context(), req, c)
		var redirect *core.RedirectError
		assert.Assert(t, errors.As(err, &redirect), "%v", err)
		assert.Equal(t, redirect.Primary, core.UpstreamID(""))
		assert.Assert(t, !req.Attempt.IsSent())
		assert.Equal(t, len(c.received()), 0)
		assert.Equal(t, f.view.suspects, 1)
	})
}

// Guards against stale reads, and against reads that leave a replica which could serve them.
func TestReplicaReads(t *testing.T) {
	applied := core.Position{Term: 1, Offset: 10}
	tests := []struct {
		name   string
		change func(f *fixture, req *core.Request)
		served bool
	}{
		{"within the accepted age", func(f *fixture, _ *core.Request) { f.view.age = 900 * time.Millisecond }, true},
		{"too old", func(f *fixture, _ *core.Request) { f.view.age = 1100 * time.Millisecond }, false},
		{"unknown age", func(f *fixture, _ *core.Request) { f.view.age = -1 }, false},
		{"position applied", func(_ *fixture, req *core.Request) { req.Position = applied }, true},
		{"position far ahead", func(_ *fixture, req *core.Request) { req.Position = core.Position{Term: 1, Offset: 99} }, false},
		{"position soon applied", func(f *fixture, req *core.Request) {
			req.Rank, req.Position = core.RankLast, core.Position{Term: 1, Offset: 11}
			time.AfterFunc(50*time.Millisecond, func() { f.view.set(func(v *fakeView) { v.status.Applied = req.Position }) })
		}, true},
		{"index applied", func(f *fixture, req *core.Request) { req.NeedIndex, f.view.index = true, applied }, true},
		{"index ahead", func(f *fixture, req *core.Request) {
			req.NeedIndex, f.view.index = true, core.Position{Term: 2, Offset: 5}
		}, false},
		{"current data applied", func(f *fixture, req *core.Request) { req.AcceptedAge, f.view.index = 0, applied }, true},
		{"current data ahead", func(f *fixture, req *core.Request) {
			req.AcceptedAge, f.view.index = 0, core.Position{Term: 1, Offset: 11}
		}, false},
		{"leaving", func(f *fixture, _ *core.Request) { f.leaving.Store(true) }, false},
		{"not a replica any more", func(f *fixture, _ *core.Request) { f.view.status.Role = core.RoleUnknown }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, replica(applied), func(t *testing.T, f *fixture) {
				req := f.request(core.ClassRead)
				req.AcceptedAge = time.Second
				tt.change(f, req)
				_, err := f.Execute(t.Context(), req, &caller{})
				if tt.served {
					assert.NilError(t, err)
					return
				}
				var redirect *core.RedirectError
				assert.Assert(t, errors.As(err, &redirect), "%v", err)
				assert.Equal(t, redirect.Primary, other)
				assert.Equal(t, f.up.ran, 0)
			})
		})
	}
}

// Guards against reads and writes on a primary of an old term.
func TestOldPrimaryServesNothing(t *testing.T) {
	tests := map[string]func(f *fixture, req *core.Request){
		"accepted a later term":    func(f *fixture, _ *core.Request) { f.view.status.Promised = 2 },
		"session saw a later term": func(_ *fixture, req *core.Request) { req.Position = core.Position{Term: 2, Offset: 1} },
		"no majority":              func(f *fixture, _ *core.Request) { f.view.known = false },
	}
	for name, change := range tests {
		for _, class := range []core.Class{core.ClassRead, core.ClassWrite, core.ClassBegin} {
			t.Run(name+"/"+class.String(), func(t *testing.T) {
				run(t, nil, func(t *testing.T, f *fixture) {
					req := f.request(class)
					change(f, req)
					_, err := f.Execute(t.Context(), req, &caller{})
					var redirect *core.RedirectError
					assert.Assert(t, errors.As(err, &redirect), "%v", err)
					assert.Equal(t, f.up.ran, 0)
				})
			})
		}
	}
}

// Guards against a primary whose role changed while the request waited for a slot.
func TestRoleIsCheckedAfterTheQueue(t *testing.T) {
	run(t, func(_ *Config, f *fixture) { f.up.service = 500 * time.Millisecond }, func(t *testing.T, f *fixture) {
		ended := make(chan error, 3)
		for range 3 {
			go func() {
				_, err := f.Execute(t.Context(), f.request(core.ClassWrite), &caller{})
				ended <- err
			}()
			time.Sleep(time.Millisecond)
		}
		f.view.set(func(v *fakeView) { v.primary, v.term = other, 2 })
		redirected := 0
		for range 3 {
			var redirect *core.RedirectError
			if err := <-ended; errors.As(err, &redirect) {
				redirected++
			} else {
				assert.NilError(t, err)
			}
		}
		assert.Equal(t, redirected, 1)
		assert.Equal(t, f.up.ran, 2)
	})
}

// Guards against the answer of a request that timed out reaching the next one.
func TestLateAnswerReachesNobody(t *testing.T) {
	run(t, nil, func(t *testing.T, f *fixture) {
		for i := range 20 {
			// The pool replaces the connections that were closed.
			time.Sleep(100 * time.Millisecond)
			f.up.service = time.Duration(i%2) * 50 * time.Millisecond
			req := f.request(core.ClassRead)
			req.Deadline = time.Now().Add(20 * time.Millisecond)
			c := &caller{}
			_, err := f.Execute(t.Context(), req, c)
			if i%2 == 1 {
				assert.Assert(t, err != nil)
				assert.Equal(t, len(c.rows), 0)
				continue
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, c.rows, []string{fmt.Sprint(req.ID)})
		}
	})
}

// Guards against a read that fails because one connection went silent, and against a write that is
// sent twice.
func TestSilentConnection(t *testing.T) {
	run(t, nil, func(t *testing.T, f *fixture) {
		var silent atomic.Bool
		silent.Store(true)
		f.up.before = func(ctx context.Context, _ *core.Request) error {
			if !silent.CompareAndSwap(true, false) {
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		}
		c := &caller{}
		req := f.request(core.ClassRead)
		_, err := f.Execute(t.Context(), req, c)
		assert.NilError(t, err)
		assert.DeepEqual(t, c.rows, []string{fmt.Sprint(req.ID)})
		silent.Store(true)
		_, err = f.Execute(t.Context(), f.request(core.ClassWrite), &caller{})
		var unknown *core.UnknownOutcomeError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		assert.Equal(t, f.up.ran, 1)
	})
}

// Guards against a slow read that is cut short because its connection might be silent, and against
// two answers to one request.
func TestSlowReadKeepsItsTime(t *testing.T) {
	run(t, nil, func(t *testing.T, f *fixture) {
		for _, slow := range []time.Duration{400 * time.Millisecond, 2500 * time.Millisecond} {
			f.up.before = func(ctx context.Context, _ *core.Request) error { return sleep(ctx, slow) }
			c := &caller{}
			req := f.request(core.ClassRead)
			began := time.Now()
			_, err := f.Execute(t.Context(), req, c)
			assert.NilError(t, err)
			assert.DeepEqual(t, c.rows, []string{fmt.Sprint(req.ID)})
			assert.Equal(t, time.Since(began), slow+f.up.service)
		}
		assert.Equal(t, f.State().Pool.InUse, 0)
	})
}

// Guards against retries that multiply the load on a failing upstream.
func TestRetryBudget(t *testing.T) {
	run(t, nil, func(t *testing.T, f *fixture) {
		sent := 0
		f.up.before = func(context.Context, *core.Request) error { sent++; return errReset }
		const offered = 500
		for range offered {
			_, err := f.Execute(t.Context(), f.request(core.ClassRead), &caller{})
			assert.Assert(t, err != nil)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, sent <= offered*11/10+budgetBurst, "%d sent", sent)
		assert.Assert(t, sent > offered, "%d sent", sent)
	})
}

// Guards against a refused or failed connection that is reported as an unknown outcome.
func TestDialFailuresAreNotRun(t *testing.T) {
	tests := map[string]struct {
		err   error
		state string
	}{
		"at the limit": {&core.RefusedError{Upstream: self, Message: "too many connections"}, core.StateOverload},
		"down":         {errReset, core.StateUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, func(_ *Config, f *fixture) { f.up.dialErr = tt.err }, func(t *testing.T, f *fixture) {
				_, err := f.Execute(t.Context(), f.request(core.ClassWrite), &caller{})
				var notRun *core.NotRunError
				assert.Assert(t, errors.As(err, &notRun), "%v", err)
				assert.Equal(t, notRun.State, tt.state)
				synctest.Wait()
				assert.Equal(t, f.view.suspects > 0, tt.state == core.StateUnavailable)
			})
		})
	}
}

// Guards against a planned stop that interrupts requests or waits for new ones.
func TestDrainUnderLoad(t *testing.T) {
	run(t, nil, func(t *testing.T, f *fixture) {
		res, err := f.Execute(t.Context(), f.request(core.ClassBegin), &caller{})
		assert.NilError(t, err)
		ended := make(chan error, 20)
		for range cap(ended) {
			go func() {
				_, err := f.Execute(t.Context(), f.request(core.ClassWrite), &caller{})
				ended <- err
			}()
		}
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- f.Drain(t.Context()) }()
		for range cap(ended) {
			assert.NilError(t, <-ended)
		}
		_, err = f.Execute(t.Context(), f.request(core.ClassRead), &caller{})
		var notRun *core.NotRunError
		assert.Assert(t, errors.As(err, &notRun), "%v", err)
		time.Sleep(time.Second)
		assert.Equal(t, len(drained), 0)
		end := f.request(core.ClassEnd)
		end.InTx = true
		_, err = res.Tx.Run(t.Context(), end, &caller{})
		assert.NilError(t, err)
		assert.NilError(t, <-drained)
	})
}

// Guards against an answer that is kept in memory without a limit.
func TestWithheldAnswerIsBounded(t *testing.T) {
	a := &answer{w: &caller{}, withhold: true, max: 1000}
	assert.NilError(t, a.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}))
	var err error
	for range 100 {
		err = errors.Join(err, a.Send(&pgproto3.DataRow{Values: [][]byte{make([]byte, 100)}}))
	}
	assert.ErrorIs(t, err, errWithheld)
}

// Guards against new work on a leaving upstream, and against a gap in the service before failover
// has replaced a leaving primary.
func TestLeavingPrimary(t *testing.T) {
	run(t, nil, func(t *testing.T, f *fixture) {
		f.leaving.Store(true)
		_, err := f.Execute(t.Context(), f.request(core.ClassWrite), &caller{})
		assert.NilError(t, err)
		time.Sleep(defaultLeaveGrace)
		_, err = f.Execute(t.Context(), f.request(core.ClassWrite), &caller{})
		var redirect *core.RedirectError
		assert.Assert(t, errors.As(err, &redirect), "%v", err)
		f.leaving.Store(false)
		_, err = f.Execute(t.Context(), f.request(core.ClassWrite), &caller{})
		assert.NilError(t, err)
	})
}
