package queue

import (
	"context"
	"sync"
	"time"

	"snipewall/core"
)

// sweepInterval is the time between two checks of the waiting items without any other event.
const sweepInterval = 10 * time.Millisecond

// farFuture is later than the deadline of any request.
const farFuture = 1000 * time.Hour

// Queue makes a Scheduler usable by concurrent requests. It is safe for concurrent use.
type Queue struct {
	wake chan struct{}

	mu     sync.Mutex
	sched  Scheduler
	closed bool
}

// New returns a queue with the scheduler, which must not be used by anything else.
func New(s Scheduler) *Queue {
	return &Queue{sched: s, wake: make(chan struct{}, 1)}
}

// Slot is the right to execute one statement. Release ends it.
type Slot struct {
	q    *Queue
	it   *Item
	once sync.Once
}

// Waited returns the time that the request spent in the queue.
func (s *Slot) Waited() time.Duration { return s.it.Waited() }

// Release frees the slot. ran reports whether a statement ran to completion, so that its service time
// counts in the estimate. Later calls have no effect.
func (s *Slot) Release(ran bool) {
	s.once.Do(func() {
		q := s.q
		q.mu.Lock()
		defer q.mu.Unlock()
		now := time.Now()
		q.sched.Done(now, s.it, ran)
		q.dispatch(now)
	})
}

// Acquire waits for a slot. Its errors are *Refusal and the context's error; in both cases nothing has
// run.
func (q *Queue) Acquire(ctx context.Context, it *Item) (*Slot, error) {
	it.ready = make(chan struct{})
	if refusal := q.add(it); refusal != nil {
		return nil, refusal
	}
	select {
	case <-it.ready:
	case <-ctx.Done():
		if q.remove(it) {
			return nil, ctx.Err()
		}
		<-it.ready
	}
	if it.refusal != nil {
		return nil, it.refusal
	}
	s := &Slot{q: q, it: it}
	if err := ctx.Err(); err != nil {
		s.Release(false)
		q.undoOpenTx(it)
		return nil, err
	}
	return s, nil
}

// BeginTx counts a transaction that was opened by an item without OpensTx.
func (q *Queue) BeginTx() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sched.BeginTx()
}

// EndTx stops counting a transaction: one that BeginTx counted, or that of an item with OpensTx that
// got a slot.
func (q *Queue) EndTx() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sched.EndTx()
	q.dispatch(time.Now())
}

// ExpectedWait estimates the wait of an item that would be added now. The item can't be used for anything else.
func (q *Queue) ExpectedWait(it *Item) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sched.ExpectedWait(time.Now(), it)
}

// Estimate returns the expected service time of the kind.
func (q *Queue) Estimate(kind core.Kind) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sched.Estimate(kind)
}

// Dump returns a snapshot for status output.
func (q *Queue) Dump() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sched.Dump()
}

// Run refuses requests that can no longer start in time, and starts those that a rate limit delayed,
// until ctx ends. It then refuses all waiting requests.
func (q *Queue) Run(ctx context.Context) error {
	timer := time.NewTimer(sweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			q.shutDown()
			return nil
		case <-q.wake:
		case <-timer.C:
		}
		if q.sweep() {
			timer.Reset(sweepInterval)
		} else {
			timer.Stop()
		}
	}
}

// add queues the item and starts all items that can start.
func (q *Queue) add(it *Item) *Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return &Refusal{Reason: "the queue has ended"}
	}
	now := time.Now()
	idle := q.sched.Waiting() == 0
	if refusal := q.sched.Add(now, it); refusal != nil {
		return refusal
	}
	q.dispatch(now)
	if idle && q.sched.Waiting() > 0 {
		q.signal()
	}
	return nil
}

func (q *Queue) remove(it *Item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sched.Remove(it)
}

// undoOpenTx stops counting the transaction of an item that was started but not used.
func (q *Queue) undoOpenTx(it *Item) {
	if it.OpensTx {
		q.EndTx()
	}
}

// sweep refuses late items and reports whether others still wait.
func (q *Queue) sweep() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch(time.Now())
	return q.sched.Waiting() > 0
}

func (q *Queue) shutDown() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, it := range q.sched.Expire(time.Now().Add(farFuture)) {
		close(it.ready)
	}
}

// dispatch refuses late items and starts others while slots are free. The caller holds mu.
func (q *Queue) dispatch(now time.Time) {
	for _, it := range q.sched.Expire(now) {
		close(it.ready)
	}
	for {
		it := q.sched.Next(now)
		if it == nil {
			return
		}
		close(it.ready)
	}
}

func (q *Queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
