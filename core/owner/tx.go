package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/pool"
)

// tx is an open transaction. It holds an upstream connection until it ends; closing the connection
// rolls the transaction back.
type tx struct {
	o *Owner
	// primary is set if the transaction was opened because the upstream is the primary.
	primary bool

	mu sync.Mutex
	h  *pool.Handle[core.Conn]
	// cancel cancels the statement in progress; nil without one.
	cancel context.CancelFunc
	// closed is set by Close, ended once the connection was returned or closed.
	closed, ended bool
	lastUsed      time.Time
}

var errTxEnded = errors.New("the transaction has ended and was rolled back")

// keepOpen forwards the answer of a request that left a transaction open, and moves the connection to
// the transaction.
func (o *Owner) keepOpen(ctx context.Context, req *core.Request, h *pool.Handle[core.Conn], primary bool, res core.Result, a *answer) (core.Result, error) {
	t := &tx{o: o, primary: primary, h: h, lastUsed: time.Now()}
	o.metrics.transactions.Inc(1)
	o.mu.Lock()
	o.open[t] = struct{}{}
	o.mu.Unlock()
	err := o.confirm(ctx, PathTx, req, res.Position)
	if err == nil {
		err = a.flush()
	}
	if err == nil {
		res.Tx = t
		return res, nil
	}
	t.end(false)
	var unknown *core.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return core.Result{}, err
	}
	return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, err.Error(), 0)
}

// Run runs a statement of the transaction; see core.Tx.
func (t *tx) Run(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	o := t.o
	ctx, cancel := o.withDeadline(ctx, req)
	defer cancel()
	h := t.beginStatement(cancel)
	if h == nil {
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, errTxEnded.Error(), 0)
	}
	o.metrics.requests.Inc(1)
	a := &answer{w: w, withhold: req.Class != core.ClassRead, max: o.cfg.MaxWithheldBytes}
	res, err := t.run(ctx, req, h, a)
	if err != nil {
		t.end(false)
		o.countFailure(err)
		return core.Result{}, err
	}
	res.Upstream = o.id
	if res.Status == core.TxIdle {
		t.end(true)
		res, err = o.finish(ctx, PathTx, req, res, a)
		o.countFailure(err)
		return res, err
	}
	if err := t.endStatement(a); err != nil {
		t.end(false)
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, err.Error(), 0)
	}
	res.Tx = t
	return res, nil
}

// beginStatement marks a statement as in progress. It returns nil if the transaction has ended or
// another statement is in progress.
func (t *tx) beginStatement(cancel context.CancelFunc) *pool.Handle[core.Conn] {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || t.closed || t.cancel != nil {
		return nil
	}
	t.cancel = cancel
	return t.h
}

// run waits for a slot and runs one statement.
func (t *tx) run(ctx context.Context, req *core.Request, h *pool.Handle[core.Conn], a *answer) (core.Result, error) {
	slot, err := t.o.admit(ctx, PathTx, req)
	if err != nil {
		return core.Result{}, err
	}
	if err := t.checkTerm(req); err != nil {
		slot.Release(false)
		return core.Result{}, err
	}
	res, err := t.o.runOn(ctx, PathTx, req, h, a)
	slot.Release(err == nil)
	var lost *lostAnswerError
	if errors.As(err, &lost) {
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, lost.Error(), 0)
	}
	return res, err
}

// checkTerm refuses statements once the upstream is no longer known to be the primary, since their
// answers could be stale. COMMIT and ROLLBACK are allowed: a commit is either confirmed or reported as
// having an unknown outcome.
func (t *tx) checkTerm(req *core.Request) error {
	if !t.primary || req.Class == core.ClassEnd {
		return nil
	}
	if err := t.o.checkTerm(core.Position{}); err != nil {
		return req.Attempt.Refuse(core.StateUnavailable, "the transaction was rolled back: "+err.Error(), 0)
	}
	return nil
}

// endStatement forwards the answer of a statement that left the transaction open.
func (t *tx) endStatement(a *answer) error {
	if err := a.flush(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return errTxEnded
	}
	t.cancel = nil
	t.lastUsed = time.Now()
	return nil
}

// Close rolls the transaction back if it is still open. A statement in progress is canceled, and its
// connection is closed when it returns.
func (t *tx) Close() error {
	t.mu.Lock()
	t.closed = true
	cancel := t.cancel
	t.mu.Unlock()
	if cancel != nil {
		cancel()
		return nil
	}
	t.end(false)
	return nil
}

// end returns the connection to the pool if it is clean, that is, no transaction is open on it. Otherwise
// it closes the connection.
func (t *tx) end(clean bool) {
	t.mu.Lock()
	if t.ended {
		t.mu.Unlock()
		return
	}
	t.ended = true
	h := t.h
	t.mu.Unlock()
	if !clean {
		_ = t.o.runHook(context.Background(), PathTx, StepRollback, nil)
		h.Discard()
	} else {
		h.Put()
	}
	o := t.o
	o.queue.EndTx()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, t)
	o.notifyDrain()
}

func (o *Owner) openTxs() []*tx {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*tx, 0, len(o.open))
	for t := range o.open {
		out = append(out, t)
	}
	return out
}

// closeIdleTxs rolls back transactions that had no statement for TxIdleTimeout.
func (o *Owner) closeIdleTxs(now time.Time) {
	for _, t := range o.openTxs() {
		t.mu.Lock()
		idle := t.cancel == nil && now.Sub(t.lastUsed) >= o.cfg.TxIdleTimeout
		t.mu.Unlock()
		if idle {
			level.Info(o.cfg.Log).Log("Msg", "idle transaction rolled back", "Upstream", o.id)
			_ = t.Close()
		}
	}
}
