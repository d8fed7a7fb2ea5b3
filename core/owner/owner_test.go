package owner

import (
	"context"
	"errors"
	"testing"
	"time"

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

// Guards against a transaction whose statements run on several connections, and against one that
// occupies a slot between its statements.
func TestTransaction(t *testing.T) {
	run(t, nil, func(t *testing.T, f *fixture) {
		res, err := f.Execute(t.Context(), f.request(core.ClassBegin), &caller{})
		assert.NilError(t, err)
		assert.Equal(t, res.Status, core.TxOpen)
		assert.Equal(t, f.State().Queue.Running, 0)
		assert.Equal(t, f.State().Queue.OpenTransactions, 1)
		tx := res.Tx
		write := f.request(core.ClassWrite)
		write.InTx = true
		_, err = tx.Run(t.Context(), write, &caller{})
		assert.NilError(t, err)
		end := f.request(core.ClassEnd)
		end.InTx = true
		res, err = tx.Run(t.Context(), end, &caller{})
		assert.NilError(t, err)
		assert.Assert(t, !res.Position.IsZero())
		assert.NilError(t, tx.Close())
		assert.Equal(t, f.State().Queue.OpenTransactions, 0)
		assert.Equal(t, f.State().Pool.InUse, 0)
		assert.Equal(t, f.up.rollbacks, 0)
	})
}
