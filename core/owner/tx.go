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

// tx is an open transaction. It owns an upstream connection until it ends; dropping the connection
// rolls the transaction back.
type tx struct {
	o *Owner
	// primary tells that the transaction was opened because the upstream is the primary.
	primary bool

	mu sync.Mutex
	h  *pool.Handle[core.Conn]
	// cancel stops the statement in progress, if there is one.
	cancel context.CancelFunc
	// closed is set by Close, ended once the connection was given up.
	closed, ended bool
	used          time.Time
}

var errTxEnded = errors.New("the transaction has ended and was rolled back")

// leaveOpen passes on the answer of a request that left a transaction open and hands over the
// connection.
func (o *Owner) leaveOpen(ctx context.Context, req *core.Request, h *pool.Handle[core.Conn], primary bool, res core.Result, a *answer) (core.Result, error) {
	t := &tx{o: o, primary: primary, h: h, used: time.Now()}
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
	ctx, cancel := o.limit(ctx, req)
	defer cancel()
	h := t.begin(cancel)
	if h == nil {
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, errTxEnded.Error(), 0)
	}
	o.metrics.requests.Inc(1)
	a := &answer{w: w, withhold: req.Class != core.ClassRead, max: o.cfg.MaxWithheld}
	res, err := t.run(ctx, req, h, a)
	if err != nil {
		t.end(false)
		o.count(err)
		return core.Result{}, err
	}
	res.Upstream = o.id
	if res.Status == core.TxIdle {
		t.end(true)
		res, err = o.finish(ctx, PathTx, req, res, a)
		o.count(err)
		return res, err
	}
	if err := t.pause(a); err != nil {
		t.end(false)
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, err.Error(), 0)
	}
	res.Tx = t
	return res, nil
}

// begin marks that a statement is in progress. It returns nil if the transaction has ended or a
// statement is in progress already.
func (t *tx) begin(cancel context.CancelFunc) *pool.Handle[core.Conn] {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || t.closed || t.cancel != nil {
		return nil
	}
	t.cancel = cancel
	return t.h
}

// run takes a slot and runs one statement.
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
	var lost *lostError
	if errors.As(err, &lost) {
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, lost.Error(), 0)
	}
	return res, err
}

// checkTerm refuses statements once the upstream is no longer known to be the primary, since their
// answers could be stale. COMMIT and ROLLBACK may go on: a commit is confirmed or its outcome is
// unknown.
func (t *tx) checkTerm(req *core.Request) error {
	if !t.primary || req.Class == core.ClassEnd {
		return nil
	}
	if err := t.o.checkTerm(core.Position{}); err != nil {
		return req.Attempt.Refuse(core.StateUnavailable, "the transaction was rolled back: "+err.Error(), 0)
	}
	return nil
}

// pause passes on the answer of a statement that left the transaction open.
func (t *tx) pause(a *answer) error {
	if err := a.flush(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return errTxEnded
	}
	t.cancel = nil
	t.used = time.Now()
	return nil
}

// Close rolls the transaction back if it is still open. A statement in progress is canceled and
// closes the connection when it returns.
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

// end gives the connection up. clean tells that no transaction is open on it any more.
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
		_ = t.o.step(context.Background(), PathTx, StepRollback, nil)
		h.Discard()
	} else {
		h.Put()
	}
	o := t.o
	o.queue.EndTx()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, t)
	o.notify()
}

// openTxs returns the open transactions.
func (o *Owner) openTxs() []*tx {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*tx, 0, len(o.open))
	for t := range o.open {
		out = append(out, t)
	}
	return out
}

// closeIdle rolls back the transactions that had no statement for too long.
func (o *Owner) closeIdle(now time.Time) {
	for _, t := range o.openTxs() {
		t.mu.Lock()
		idle := t.cancel == nil && now.Sub(t.used) >= o.cfg.TxIdle
		t.mu.Unlock()
		if idle {
			level.Info(o.cfg.Log).Log("Msg", "idle transaction rolled back", "Upstream", o.id)
			_ = t.Close()
		}
	}
}
