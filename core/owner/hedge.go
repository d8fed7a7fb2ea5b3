package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"snipewall/core"
)

const (
	// silentShare is the part of the remaining time after which a read without any answer gets a
	// second attempt at the latest.
	silentShare = 0.5
	// silentFactor keeps statements that usually take long from being attempted twice too early, as a
	// multiple of the kind's service time.
	silentFactor = 4
	// silentMin is the shortest silence that counts.
	silentMin = 500 * time.Millisecond
)

var (
	errSilent = errors.New("another attempt answered while the connection was silent")
	errBeaten = errors.New("another attempt answered first")
)

// silentTime returns how long a read waits for the first message before a second attempt starts.
func (o *Owner) silentTime(ctx context.Context, req *core.Request) time.Duration {
	deadline, _ := ctx.Deadline()
	share := time.Duration(silentShare * float64(time.Until(deadline)))
	return min(share, max(silentMin, silentFactor*o.queue.Estimate(req.Kind)))
}

// hedge runs a read a second time, on another connection, while the first attempt is silent: its
// connection may be lost without a sign, or the statement may just be slow. The first attempt goes
// on, so that a slow statement keeps its whole time. Whichever answers first is passed on.
type hedge struct {
	owner *Owner
	req   *core.Request

	mu     sync.Mutex
	winner *answer
	// settled tells that the first attempt has ended.
	settled bool
	// end delivers the second attempt's result; it is nil if there is none.
	end    chan hedgeEnd
	second *answer
	// cancel ends the second attempt.
	cancel context.CancelFunc
}

type hedgeEnd struct {
	res core.Result
	err error
}

// claim makes the attempt the one that is passed on.
func (h *hedge) claim(a *answer) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.winner != nil {
		return errBeaten
	}
	h.winner = a
	return nil
}

// launch starts the second attempt, if the budget allows one. cancelFirst ends the first attempt.
func (h *hedge) launch(ctx context.Context, first *answer, cancelFirst context.CancelCauseFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.settled || h.winner != nil || h.end != nil || !h.owner.retries.Withdraw() {
		return
	}
	h.owner.metrics.retries.Inc(1)
	a := &answer{w: first.w, movable: true, max: first.max}
	a.onFirst = func() error {
		if err := h.claim(a); err != nil {
			return err
		}
		cancelFirst(errSilent)
		return nil
	}
	req := *h.req
	req.Attempt = &core.Attempt{}
	ctx, h.cancel = context.WithCancel(ctx)
	end := make(chan hedgeEnd, 1)
	h.end, h.second = end, a
	go func() {
		res, err := h.owner.serveOnce(ctx, PathRead, &req, a)
		end <- hedgeEnd{res: res, err: err}
	}()
}

// settle returns the result of the attempt that was passed on, given that of the first one.
func (h *hedge) settle(first *answer, res core.Result, err error) (core.Result, error) {
	h.mu.Lock()
	h.settled = true
	end, won := h.end, h.winner == first
	h.mu.Unlock()
	if end == nil {
		return res, err
	}
	defer h.cancel()
	var lost *lostError
	if won || !errors.As(err, &lost) {
		h.cancel()
		<-end
		return res, err
	}
	other := <-end
	if h.winner != h.second {
		// The second attempt's refusal says nothing about the first one, which was sent.
		return res, err
	}
	first.passed = first.passed || h.second.passed
	first.callerErr = errors.Join(first.callerErr, h.second.callerErr)
	return other.res, other.err
}
