package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"snipewall/core"
)

const (
	// hedgeDelayShare is the part of the remaining time after which a read without any answer gets a
	// second attempt at the latest.
	hedgeDelayShare = 0.5
	// hedgeDelayFactor is the delay as a multiple of the kind's service time, so that statements that
	// usually take long don't get a second attempt too early.
	hedgeDelayFactor = 4
	// minHedgeDelay is the lower limit of the delay that is computed from the service time.
	minHedgeDelay = 500 * time.Millisecond
)

var (
	errFirstSilent   = errors.New("another attempt answered while the connection was silent")
	errOtherAnswered = errors.New("another attempt answered first")
)

// hedgeDelay returns how long a read waits for the first message before a second attempt starts.
func (o *Owner) hedgeDelay(ctx context.Context, req *core.Request) time.Duration {
	deadline, _ := ctx.Deadline()
	share := time.Duration(hedgeDelayShare * float64(time.Until(deadline)))
	return min(share, max(minHedgeDelay, hedgeDelayFactor*o.queue.Estimate(req.Kind)))
}

// hedge runs a read a second time on another connection while the first attempt has no answer: its
// connection may be dead without an error, or the statement may just be slow. The first attempt
// continues, so that a slow statement keeps its full time. The first answer wins and is forwarded.
type hedge struct {
	owner *Owner
	req   *core.Request

	mu     sync.Mutex
	winner *answer
	// firstDone is set once the first attempt has ended.
	firstDone bool
	// result delivers the second attempt's result; it is nil without a second attempt.
	result chan hedgeResult
	second *answer
	// cancel cancels the second attempt.
	cancel context.CancelFunc
}

type hedgeResult struct {
	res core.Result
	err error
}

// claim selects the attempt whose answer is forwarded. It fails if another one was selected before.
func (h *hedge) claim(a *answer) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner != nil {
		return errOtherAnswered
	}
	h.winner = a
	return nil
}

// launch starts the second attempt if the retry budget allows it. cancelFirst ends the first attempt.
func (h *hedge) launch(ctx context.Context, first *answer, cancelFirst context.CancelCauseFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstDone || h.winner != nil || h.result != nil || !h.owner.retries.Withdraw() {
		return
	}
	h.owner.metrics.retries.Inc(1)
	a := &answer{w: first.w, redirectable: true, max: first.max}
	a.onFirst = func() error {
		if err := h.claim(a); err != nil {
			return err
		}
		cancelFirst(errFirstSilent)
		return nil
	}
	req := *h.req
	req.Attempt = &core.Attempt{}
	ctx, h.cancel = context.WithCancel(ctx)
	result := make(chan hedgeResult, 1)
	h.result, h.second = result, a
	go func() {
		res, err := h.owner.serveOnce(ctx, PathRead, &req, a)
		result <- hedgeResult{res: res, err: err}
	}()
}

// settle returns the result of the attempt that was forwarded, given the result of the first one.
func (h *hedge) settle(first *answer, res core.Result, err error) (core.Result, error) {
	h.mu.Lock()
	h.firstDone = true
	result, firstWon := h.result, h.winner == first
	h.mu.Unlock()
	if result == nil {
		return res, err
	}
	defer h.cancel()
	var lost *lostAnswerError
	if firstWon || !errors.As(err, &lost) {
		h.cancel()
		<-result
		return res, err
	}
	other := <-result
	if h.winner != h.second {
		// The second attempt's error says nothing about the first one, which was sent.
		return res, err
	}
	first.forwarded = first.forwarded || h.second.forwarded
	first.callerErr = errors.Join(first.callerErr, h.second.callerErr)
	return other.res, other.err
}
