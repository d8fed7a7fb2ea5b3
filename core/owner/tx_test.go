package owner

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

// Guards against a transaction whose statements run on several connections, and against one that holds
// a slot between its statements.
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

// Guards against a transaction that stays open, holds its connection or commits after its end.
func TestTransactionRollsBack(t *testing.T) {
	statement := func(f *fixture) *core.Request {
		req := f.request(core.ClassWrite)
		req.InTx = true
		return req
	}
	tests := map[string]func(t *testing.T, f *fixture, tx core.Tx){
		"closed by the caller": func(t *testing.T, _ *fixture, tx core.Tx) { assert.NilError(t, tx.Close()) },
		"idle for too long":    func(_ *testing.T, _ *fixture, _ core.Tx) { time.Sleep(defaultTxIdleTimeout + time.Second) },
		"connection lost": func(t *testing.T, f *fixture, tx core.Tx) {
			f.up.before = func(context.Context, *core.Request) error { return errReset }
			_, err := tx.Run(t.Context(), statement(f), &caller{})
			var unknown *core.UnknownOutcomeError
			assert.Assert(t, errors.As(err, &unknown), "%v", err)
			f.up.before = nil
		},
		"statement canceled": func(t *testing.T, f *fixture, tx core.Tx) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			_, err := tx.Run(ctx, statement(f), &caller{})
			assert.Assert(t, err != nil)
		},
		"closed during a statement": func(t *testing.T, f *fixture, tx core.Tx) {
			time.AfterFunc(time.Millisecond, func() { _ = tx.Close() })
			_, err := tx.Run(t.Context(), statement(f), &caller{})
			assert.Assert(t, err != nil)
		},
		"caller gone": func(t *testing.T, f *fixture, tx core.Tx) {
			_, err := tx.Run(t.Context(), statement(f), &caller{fail: errReset})
			assert.Assert(t, err != nil)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, nil, func(t *testing.T, f *fixture) {
				res, err := f.Execute(t.Context(), f.request(core.ClassBegin), &caller{})
				assert.NilError(t, err)
				end(t, f, res.Tx)
				synctest.Wait()
				assert.Equal(t, f.up.rollbacks, 1)
				assert.Equal(t, f.State().Open, 0)
				assert.Equal(t, f.up.offset, core.Offset(0))
				_, err = res.Tx.Run(t.Context(), statement(f), &caller{})
				var notRun *core.NotRunError
				assert.Assert(t, errors.As(err, &notRun), "%v", err)
			})
		})
	}
}

// Guards against acknowledging a COMMIT that no majority has.
func TestUnconfirmedCommitHasUnknownOutcome(t *testing.T) {
	run(t, nil, func(t *testing.T, f *fixture) {
		res, err := f.Execute(t.Context(), f.request(core.ClassBegin), &caller{})
		assert.NilError(t, err)
		f.view.confirm = func(ctx context.Context, _ core.Position) error { <-ctx.Done(); return ctx.Err() }
		end := f.request(core.ClassEnd)
		end.InTx = true
		c := &caller{}
		_, err = res.Tx.Run(t.Context(), end, c)
		var unknown *core.UnknownOutcomeError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		assert.Equal(t, len(c.received()), 0)
	})
}

// Guards against a simple query that opens a transaction and then writes on a replica: the caller
// would get neither the failure nor a redirect, and the transaction would stay open.
func TestReadOnlyFailureInNewTransactionRedirects(t *testing.T) {
	run(t, nil, func(t *testing.T, f *fixture) {
		f.up.script = func(w core.ResponseWriter) (core.Result, error) {
			failure := &pgproto3.ErrorResponse{Severity: "ERROR", Code: core.StateReadOnly, Message: "read-only"}
			err := errors.Join(w.Send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}), w.Send(failure))
			return core.Result{Status: core.TxFailed, Err: &core.SQLError{State: core.StateReadOnly}}, err
		}
		c := &caller{}
		res, err := f.Execute(t.Context(), f.request(core.ClassBegin), c)
		var redirect *core.RedirectError
		assert.Assert(t, errors.As(err, &redirect), "%v", err)
		assert.Assert(t, res.Tx == nil)
		assert.Equal(t, len(c.received()), 0)
		assert.Equal(t, f.State().Open, 0)
	})
}

// Guards against stale reads inside a transaction on a superseded primary, and against a COMMIT there
// that is reported as anything but an unknown outcome.
func TestTransactionOnOldPrimary(t *testing.T) {
	tests := map[core.Class]any{
		core.ClassRead: new(*core.NotRunError),
		core.ClassEnd:  new(*core.UnknownOutcomeError),
	}
	for class, want := range tests {
		t.Run(class.String(), func(t *testing.T) {
			run(t, nil, func(t *testing.T, f *fixture) {
				res, err := f.Execute(t.Context(), f.request(core.ClassBegin), &caller{})
				assert.NilError(t, err)
				f.view.set(func(v *fakeView) {
					v.known = false
					v.confirm = func(context.Context, core.Position) error { return errReset }
				})
				req := f.request(class)
				req.InTx = true
				c := &caller{}
				_, err = res.Tx.Run(t.Context(), req, c)
				assert.Assert(t, errors.As(err, want), "%v", err)
				assert.Equal(t, len(c.received()), 0)
				assert.Equal(t, f.State().Open, 0)
			})
		})
	}
}

// Guards against a deadlock between requests that hold slots and wait for connections, and transactions
// that hold the connections and wait for slots.
func TestNoDeadlockWhenTransactionsHoldConnections(t *testing.T) {
	run(t, nil, func(t *testing.T, f *fixture) {
		var txs []core.Tx
		for range 3 {
			res, err := f.Execute(t.Context(), f.request(core.ClassBegin), &caller{})
			assert.NilError(t, err)
			txs = append(txs, res.Tx)
			// Another owner uses the rest of the upstream's connections.
			f.up.mu.Lock()
			f.up.dialErr = &core.RefusedError{Upstream: self, Message: "too many connections"}
			f.up.mu.Unlock()
		}
		ended := make(chan error, 4)
		for range cap(ended) {
			go func() {
				_, err := f.Execute(t.Context(), f.request(core.ClassRead), &caller{})
				ended <- err
			}()
		}
		time.Sleep(time.Millisecond)
		for _, tx := range txs {
			end := f.request(core.ClassEnd)
			end.InTx = true
			_, err := tx.Run(t.Context(), end, &caller{})
			assert.NilError(t, err)
		}
		for range cap(ended) {
			var notRun *core.NotRunError
			if err := <-ended; err != nil {
				assert.Assert(t, errors.As(err, &notRun), "%v", err)
			}
		}
	})
}
