package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"snipewall/core"
)

// checkOutcome requires that an answer is only acknowledged after its confirmation, and that a request
// reported as "not run" has not run.
func checkOutcome(t *testing.T, f *fixture, req *core.Request, res core.Result, err error) {
	t.Helper()
	f.up.mu.Lock()
	effects := f.up.effects[req.ID]
	f.up.mu.Unlock()
	var notRun *core.NotRunError
	var redirect *core.RedirectError
	var unknown *core.UnknownOutcomeError
	switch {
	case err == nil:
		if !res.Position.IsZero() {
			f.view.mu.Lock()
			defer f.view.mu.Unlock()
			assert.Check(t, f.view.confirmed[res.Position], "%v acknowledged without confirmation", res.Position)
		}
	case errors.As(err, &notRun), errors.As(err, &redirect):
		assert.Check(t, effects == 0, "request %d (%v) ran and was answered: %v", req.ID, req.Class, err)
	case errors.As(err, &unknown):
	default:
		t.Errorf("untyped error: %v", err)
	}
	if req.Class == core.ClassWrite {
		assert.Check(t, effects <= 1, "write %d took effect %d times", req.ID, effects)
	}
}

// Guards against a failure at any step that leaks a slot or a connection, acknowledges an unconfirmed
// commit, or reports a request that ran as not run.
func TestFailureAtEachStep(t *testing.T) {
	classes := map[Path][]core.Class{
		PathRead:  {core.ClassRead},
		PathWrite: {core.ClassWrite},
		PathTx:    {core.ClassBegin, core.ClassWrite, core.ClassEnd},
	}
	for _, path := range Paths() {
		for _, step := range Steps(path) {
			t.Run(fmt.Sprintf("%s/%s", path, step), func(t *testing.T) {
				hit := 0
				run(t, func(cfg *Config, f *fixture) {
					cfg.Hook = func(_ context.Context, p Path, s Step, _ *core.Request) error {
						if p != path || s != step {
							return nil
						}
						hit++
						return errReset
					}
					if step == StepCatchUp || step == StepIndex {
						replica(core.Position{Term: 1, Offset: 1})(cfg, f)
					}
				}, func(t *testing.T, f *fixture) {
					runClasses(t, f, path, classes[path], step)
				})
				assert.Assert(t, hit > 0, "the step was not reached")
			})
		}
	}
}

// runClasses runs one request of each class, in a transaction if one is open.
func runClasses(t *testing.T, f *fixture, path Path, classes []core.Class, step Step) {
	var tx core.Tx
	if step == StepRollback {
		classes = []core.Class{core.ClassBegin, core.ClassWrite}
	}
	for _, class := range classes {
		if class == core.ClassBegin && (step == StepCatchUp || step == StepIndex) {
			class = core.ClassBeginRead
		}
		req := f.request(class)
		if path != PathWrite && step == StepCatchUp {
			req.Position = core.Position{Term: 1, Offset: 2}
			req.AcceptedAge = time.Second
		}
		req.InTx = tx != nil
		execute := f.Execute
		if tx != nil {
			execute = tx.Run
		}
		res, err := execute(t.Context(), req, &caller{})
		checkOutcome(t, f, req, res, err)
		if tx = res.Tx; tx == nil {
			break
		}
	}
	if tx == nil {
		return
	}
	assert.NilError(t, tx.Close())
}

// Guards against exceeded limits of slots, connections and transactions, leaks, mixed-up answers and
// false "not run" errors, under any mix of requests, failures and changes of the primary.
func TestLimitsHoldUnderFailures(t *testing.T) {
	type plan struct {
		class               core.Class
		pause, service      int
		deadline, statement int
		lost                bool
	}
	rapid.Check(t, func(rt *rapid.T) {
		plans := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) plan {
			return plan{
				class:     rapid.SampledFrom([]core.Class{core.ClassRead, core.ClassWrite, core.ClassBegin}).Draw(rt, "class"),
				pause:     rapid.IntRange(0, 10).Draw(rt, "pause"),
				service:   rapid.IntRange(0, 50).Draw(rt, "service"),
				deadline:  rapid.IntRange(1, 400).Draw(rt, "deadline"),
				statement: rapid.IntRange(0, 3).Draw(rt, "statements"),
				lost:      rapid.IntRange(0, 9).Draw(rt, "lost") == 0,
			}
		}), 1, 40).Draw(rt, "plans")
		changeAt := rapid.IntRange(0, 300).Draw(rt, "changeAt")
		run(t, func(_ *Config, f *fixture) {
			f.up.info.Connections = 5
			f.up.after = func(_ context.Context, req *core.Request) error {
				if int(req.ID) <= len(plans) && plans[req.ID-1].lost {
					return errReset
				}
				return nil
			}
		}, func(t *testing.T, f *fixture) {
			time.AfterFunc(time.Duration(changeAt)*time.Millisecond, func() {
				f.view.set(func(v *fakeView) { v.primary = other })
			})
			var wg sync.WaitGroup
			for _, p := range plans {
				time.Sleep(time.Duration(p.pause) * time.Millisecond)
				wg.Go(func() { runPlan(t, f, p.class, p.deadline, p.statement) })
			}
			wg.Wait()
			f.up.mu.Lock()
			defer f.up.mu.Unlock()
			assert.Check(t, f.up.maxRunning <= 2, "%d running", f.up.maxRunning)
			assert.Check(t, f.up.maxConns <= 3, "%d connections", f.up.maxConns)
		})
	})
}

// runPlan runs one request and, if it opens a transaction, its statements and COMMIT.
func runPlan(t *testing.T, f *fixture, class core.Class, deadlineMs, statements int) {
	req := f.request(class)
	req.Deadline = time.Now().Add(time.Duration(deadlineMs) * time.Millisecond)
	c := &caller{}
	res, err := f.Execute(t.Context(), req, c)
	checkOutcome(t, f, req, res, err)
	for _, row := range c.rows {
		assert.Check(t, row == fmt.Sprint(req.ID), "request %d got row %s", req.ID, row)
	}
	for i := 0; res.Tx != nil && i <= statements; i++ {
		req := f.request(core.ClassWrite)
		if i == statements {
			req = f.request(core.ClassEnd)
		}
		req.InTx = true
		res, err = res.Tx.Run(t.Context(), req, &caller{})
		checkOutcome(t, f, req, res, err)
	}
}
