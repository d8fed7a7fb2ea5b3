package owner

import (
	"context"
	"errors"
	"time"

	"snipewall/core"
	"snipewall/core/pool"
	"snipewall/core/queue"
)

// serve runs a request from outside a transaction. Reads are retried within the budget.
func (o *Owner) serve(ctx context.Context, path Path, req *core.Request, a *answer) (core.Result, error) {
	for {
		res, err := o.attempt(ctx, path, req, a)
		var redirect *core.RedirectError
		if errors.As(err, &redirect) && req.Attempt.IsSent() {
			// A redirect says that nothing ran, but an earlier try was sent.
			return res, req.Attempt.Refuse(core.StateUnavailable, redirect.Error(), 0)
		}
		var lost *lostError
		if !errors.As(err, &lost) {
			return res, err
		}
		if !o.mayRetry(ctx, req, a) {
			return res, req.Attempt.Refuse(core.StateUnavailable, lost.Error(), 0)
		}
		o.metrics.retries.Inc(1)
		a.reset()
	}
}

// attempt runs a request once, or a read twice if its first connection stays silent.
func (o *Owner) attempt(ctx context.Context, path Path, req *core.Request, a *answer) (core.Result, error) {
	if path != PathRead {
		return o.serveOnce(ctx, path, req, a)
	}
	a.hedge = &hedge{owner: o, req: req}
	res, err := o.serveOnce(ctx, path, req, a)
	return a.hedge.settle(a, res, err)
}

// mayRetry reports whether a request whose answer was lost may run again here.
func (o *Owner) mayRetry(ctx context.Context, req *core.Request, a *answer) bool {
	if req.Class != core.ClassRead || a.passed || a.callerErr != nil || ctx.Err() != nil {
		return false
	}
	return o.retries.Withdraw()
}

// lostError says that a request was sent, or may have been, and its answer was lost.
type lostError struct {
	err error
}

func (e *lostError) Error() string { return "connection to the upstream failed: " + e.err.Error() }
func (e *lostError) Unwrap() error { return e.err }

// serveOnce takes a request through all steps of its path.
func (o *Owner) serveOnce(ctx context.Context, path Path, req *core.Request, a *answer) (core.Result, error) {
	t, err := o.check(ctx, path, req)
	if err != nil {
		return core.Result{}, err
	}
	slot, err := o.admit(ctx, path, req)
	if err != nil {
		return core.Result{}, err
	}
	opens := opensTx(req)
	h, err := o.connect(ctx, path, req)
	if err == nil {
		// The upstream may have changed its role while the request waited.
		err = o.recheck(req, t)
	}
	if err != nil {
		if h != nil {
			h.Put()
		}
		slot.Release(false)
		o.endTx(opens)
		return core.Result{}, err
	}
	res, err := o.runOn(ctx, path, req, h, a)
	slot.Release(err == nil)
	if err != nil {
		h.Discard()
		o.endTx(opens)
		return core.Result{}, err
	}
	res.Upstream = o.id
	if res.Status != core.TxIdle && !a.readOnly {
		if !opens {
			o.queue.BeginTx()
		}
		return o.leaveOpen(ctx, req, h, t.primary, res, a)
	}
	if res.Status == core.TxIdle {
		h.Put()
	} else {
		h.Discard()
	}
	o.endTx(opens)
	return o.finish(ctx, path, req, res, a)
}

// opensTx reports whether the request is expected to leave a transaction open.
func opensTx(req *core.Request) bool {
	return req.Class == core.ClassBegin || req.Class == core.ClassBeginRead
}

// endTx stops counting a transaction if one was counted.
func (o *Owner) endTx(counted bool) {
	if counted {
		o.queue.EndTx()
	}
}

// admit waits for a slot.
func (o *Owner) admit(ctx context.Context, path Path, req *core.Request) (*queue.Slot, error) {
	if err := o.step(ctx, path, StepAdmit, req); err != nil {
		return nil, req.Attempt.Refuse(core.StateUnavailable, err.Error(), 0)
	}
	slot, err := o.queue.Acquire(ctx, &queue.Item{
		Kind:     req.Kind,
		Rank:     req.Rank,
		InTx:     req.InTx,
		OpensTx:  opensTx(req) && !req.InTx,
		Deadline: req.Deadline,
	})
	if err == nil {
		o.metrics.queueTime.Record(slot.Waited())
		return slot, nil
	}
	var refusal *queue.Refusal
	if errors.As(err, &refusal) {
		return nil, req.Attempt.Refuse(core.StateOverload, refusal.Reason, refusal.RetryAfter)
	}
	return nil, req.Attempt.Refuse(core.StateOverload, "no slot became free: "+err.Error(), 0)
}

// connect takes a connection from the pool.
func (o *Owner) connect(ctx context.Context, path Path, req *core.Request) (*pool.Handle[core.Conn], error) {
	if err := o.step(ctx, path, StepConnect, req); err != nil {
		return nil, req.Attempt.Refuse(core.StateUnavailable, err.Error(), 0)
	}
	if h, ok := o.pool.TryGet(); ok {
		return h, nil
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.Connect)
	defer cancel()
	h, err := o.pool.Get(ctx)
	if err == nil {
		return h, nil
	}
	if isRefused(err) {
		return nil, req.Attempt.Refuse(core.StateOverload, err.Error(), 0)
	}
	return nil, req.Attempt.Refuse(core.StateUnavailable, "no connection: "+err.Error(), 0)
}

// runOn runs the request on the connection. A transport failure is a *lostError; after any error
// the connection must be discarded.
func (o *Owner) runOn(ctx context.Context, path Path, req *core.Request, h *pool.Handle[core.Conn], a *answer) (core.Result, error) {
	if err := o.step(ctx, path, StepExecute, req); err != nil {
		return core.Result{}, o.lost(ctx, err, a)
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if hedge := a.hedge; hedge != nil {
		timer := time.AfterFunc(o.silentTime(ctx, req), func() { hedge.launch(ctx, a, cancel) })
		defer timer.Stop()
		a.onFirst = func() error {
			timer.Stop()
			return hedge.claim(a)
		}
	}
	_, term, _ := o.cfg.View.Primary()
	res, err := o.runCounted(runCtx, path, req, h, a)
	if err == nil {
		err = o.step(ctx, path, StepReceive, req)
	}
	var duplicate *core.DuplicateError
	switch {
	case err == nil:
		return res, nil
	case errors.As(err, &duplicate):
		return res, o.confirmDuplicate(ctx, term, duplicate)
	}
	return core.Result{}, o.lost(ctx, err, a)
}

// confirmDuplicate makes sure that the earlier run of a request is confirmed, since the caller takes
// the duplicate for an acknowledgment. The upstream had the record in the term.
func (o *Owner) confirmDuplicate(ctx context.Context, term core.Term, duplicate *core.DuplicateError) error {
	index, err := o.cfg.View.ReadIndex(ctx)
	if err != nil {
		return &core.UnknownOutcomeError{Reason: duplicate.Error() + ", but that run is not confirmed: " + err.Error()}
	}
	if index.Term != term {
		return &core.UnknownOutcomeError{Reason: duplicate.Error() + ", but in a term that has ended"}
	}
	return duplicate
}

// runCounted runs the request and accounts for its commit before anybody hears of it.
func (o *Owner) runCounted(ctx context.Context, path Path, req *core.Request, h *pool.Handle[core.Conn], a *answer) (core.Result, error) {
	if path == PathRead {
		return h.Value.Run(ctx, req, a)
	}
	o.sessions.begin()
	res, err := h.Value.Run(ctx, req, a)
	o.sessions.end(req.Session, res.Position)
	return res, err
}

// lost marks a transport failure and tells the monitor, unless the caller's side is the cause.
func (o *Owner) lost(ctx context.Context, err error, a *answer) error {
	if a.callerErr == nil && !errors.Is(ctx.Err(), context.Canceled) {
		o.cfg.View.Suspect(o.id)
	}
	return &lostError{err: err}
}

// finish ends a request that left no transaction open: it redirects a write that reached a replica,
// waits for the confirmation of a commit and passes on the rest of the answer.
func (o *Owner) finish(ctx context.Context, path Path, req *core.Request, res core.Result, a *answer) (core.Result, error) {
	if a.readOnly {
		if !a.retried {
			req.Attempt.ConfirmNotRun()
		}
		o.cfg.View.Suspect(o.id)
		return core.Result{}, o.redirect("the upstream is read-only")
	}
	if err := o.confirm(ctx, path, req, res.Position); err != nil {
		return core.Result{}, err
	}
	if err := o.step(ctx, path, StepRelease, req); err != nil {
		return core.Result{}, &core.UnknownOutcomeError{Reason: err.Error()}
	}
	if err := a.flush(); err != nil {
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, err.Error(), 0)
	}
	return res, nil
}

// confirm waits until a majority of the group holds the commit at p, if the request committed one.
func (o *Owner) confirm(ctx context.Context, path Path, req *core.Request, p core.Position) error {
	if p.IsZero() {
		return nil
	}
	start := time.Now()
	err := o.step(ctx, path, StepConfirm, req)
	if err == nil {
		err = o.cfg.View.Confirm(ctx, p)
	}
	o.metrics.confirmTime.Record(time.Since(start))
	if err != nil {
		return &core.UnknownOutcomeError{Reason: "the commit at " + p.String() + " is not confirmed: " + err.Error()}
	}
	return nil
}
