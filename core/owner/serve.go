package owner

import (
	"context"
	"errors"
	"time"

	"snipewall/core"
	"snipewall/core/pool"
	"snipewall/core/queue"
)

// serve runs a request from outside a transaction. Reads are retried within the retry budget.
func (o *Owner) serve(ctx context.Context, path Path, req *core.Request, a *answer) (core.Result, error) {
	for {
		res, err := o.attempt(ctx, path, req, a)
		var redirect *core.RedirectError
		if errors.As(err, &redirect) && req.Attempt.IsSent() {
			// The redirect means that this attempt ran nothing, but an earlier one was sent.
			return res, req.Attempt.Refuse(core.StateUnavailable, redirect.Error(), 0)
		}
		var lost *lostAnswerError
		if !errors.As(err, &lost) {
			return res, err
		}
		if !o.canRetry(ctx, req, a) {
			return res, req.Attempt.Refuse(core.StateUnavailable, lost.Error(), 0)
		}
		o.metrics.retries.Inc(1)
		a.reset()
	}
}

// attempt runs a request once, or a read twice if its first connection doesn't answer.
func (o *Owner) attempt(ctx context.Context, path Path, req *core.Request, a *answer) (core.Result, error) {
	if path != PathRead {
		return o.serveOnce(ctx, path, req, a)
	}
	a.hedge = &hedge{owner: o, req: req}
	res, err := o.serveOnce(ctx, path, req, a)
	return a.hedge.settle(a, res, err)
}

// canRetry reports whether a request whose answer was lost may run again on this upstream.
func (o *Owner) canRetry(ctx context.Context, req *core.Request, a *answer) bool {
	if req.Class != core.ClassRead || a.forwarded || a.callerErr != nil || ctx.Err() != nil {
		return false
	}
	return o.retries.Withdraw()
}

// lostAnswerError reports that a request was sent, or may have been, and its answer was lost.
type lostAnswerError struct {
	err error
}

func (e *lostAnswerError) Error() string {
	return "connection to the upstream failed: " + e.err.Error()
}
func (e *lostAnswerError) Unwrap() error { return e.err }

// serveOnce runs a request through all steps of its path.
func (o *Owner) serveOnce(ctx context.Context, path Path, req *core.Request, a *answer) (core.Result, error) {
	need, err := o.check(ctx, path, req)
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
		// The upstream's role may have changed while the request waited.
		err = o.recheck(req, need)
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
		return o.keepOpen(ctx, req, h, need.primary, res, a)
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

// endTx reports the end of a transaction to the queue, if the queue counted one as open.
func (o *Owner) endTx(counted bool) {
	if counted {
		o.queue.EndTx()
	}
}

func (o *Owner) admit(ctx context.Context, path Path, req *core.Request) (*queue.Slot, error) {
	if err := o.runHook(ctx, path, StepAdmit, req); err != nil {
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

func (o *Owner) connect(ctx context.Context, path Path, req *core.Request) (*pool.Handle[core.Conn], error) {
	if err := o.runHook(ctx, path, StepConnect, req); err != nil {
		return nil, req.Attempt.Refuse(core.StateUnavailable, err.Error(), 0)
	}
	if h, ok := o.pool.TryGet(); ok {
		return h, nil
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.ConnectTimeout)
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

// runOn runs the request on the connection. A transport failure is a *lostAnswerError. After any error
// the connection must be discarded.
func (o *Owner) runOn(ctx context.Context, path Path, req *core.Request, h *pool.Handle[core.Conn], a *answer) (core.Result, error) {
	if err := o.runHook(ctx, path, StepExecute, req); err != nil {
		return core.Result{}, o.asLostAnswer(ctx, err, a)
	}
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if hedge := a.hedge; hedge != nil {
		timer := time.AfterFunc(o.hedgeDelay(ctx, req), func() { hedge.launch(ctx, a, cancel) })
		defer timer.Stop()
		a.onFirst = func() error {
			timer.Stop()
			return hedge.claim(a)
		}
	}
	_, term, _ := o.cfg.View.Primary()
	res, err := o.runTracked(runCtx, path, req, h, a)
	if err == nil {
		err = o.runHook(ctx, path, StepReceive, req)
	}
	var duplicate *core.DuplicateError
	switch {
	case err == nil:
		return res, nil
	case errors.As(err, &duplicate):
		return res, o.confirmDuplicate(ctx, term, duplicate)
	}
	return core.Result{}, o.asLostAnswer(ctx, err, a)
}

// confirmDuplicate ensures that the earlier run of the request is confirmed, since the caller takes the
// duplicate error for an acknowledgment. The upstream found the duplicate in the given term.
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

// runTracked runs the request and records its commit in the session log before it is acknowledged.
func (o *Owner) runTracked(ctx context.Context, path Path, req *core.Request, h *pool.Handle[core.Conn], a *answer) (core.Result, error) {
	if path == PathRead {
		return h.Value.Run(ctx, req, a)
	}
	o.sessions.begin()
	res, err := h.Value.Run(ctx, req, a)
	o.sessions.end(req.Session, res.Position)
	return res, err
}

// asLostAnswer wraps a transport failure and reports it to the monitor, unless the caller caused it.
func (o *Owner) asLostAnswer(ctx context.Context, err error, a *answer) error {
	if a.callerErr == nil && !errors.Is(ctx.Err(), context.Canceled) {
		o.cfg.View.Suspect(o.id)
	}
	return &lostAnswerError{err: err}
}

// finish completes a request that left no transaction open: it redirects a write that reached a
// replica, waits until a commit is confirmed and forwards the rest of the answer.
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
	if err := o.runHook(ctx, path, StepRelease, req); err != nil {
		return core.Result{}, &core.UnknownOutcomeError{Reason: err.Error()}
	}
	if err := a.flush(); err != nil {
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, err.Error(), 0)
	}
	return res, nil
}

// confirm waits until a majority of the group has the commit at p. It does nothing for a zero p.
func (o *Owner) confirm(ctx context.Context, path Path, req *core.Request, p core.Position) error {
	if p.IsZero() {
		return nil
	}
	start := time.Now()
	err := o.runHook(ctx, path, StepConfirm, req)
	if err == nil {
		err = o.cfg.View.Confirm(ctx, p)
	}
	o.metrics.confirmTime.Record(time.Since(start))
	if err != nil {
		return &core.UnknownOutcomeError{Reason: "the commit at " + p.String() + " is not confirmed: " + err.Error()}
	}
	return nil
}
