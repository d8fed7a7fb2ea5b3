package queue

import (
	"context"
	"sync"
	"time"

	"snipewall/core"
)

// sweepTime is the time between two looks at the waiting items without any other event.
const sweepTime = 10 * time.Millisecond

// farFuture is beyond the deadline of any request.
const farFuture = 1000 * time.Hour

// Queue is a scheduler for concurrent requests. It is safe for concurrent use.
type Queue struct {
	wake chan struct{}

	mu    sync.Mutex
	sched Scheduler
	ended bool
}

// New returns a queue on the scheduler, which must not be used otherwise from then on.
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

// Release frees the slot. ran tells whether a statement ran to its end, so that the service time is
// valid for estimates. Later calls have no effect.
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

// Acquire waits for a slot. Its errors are *Refusal and the context's error; in both cases nothing
// has run.
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
		q.undoOpen(it)
		return nil, err
	}
	return s, nil
}

// BeginTx counts a transaction that was opened by a request that didn't announce it.
func (q *Queue) BeginTx() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sched.BeginTx()
}

// EndTx stops counting a transaction: one that BeginTx counted, or that of an item with Opens that
// got a slot.
func (q *Queue) EndTx() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sched.EndTx()
	q.dispatch(time.Now())
}

// Estimate returns the expected service time of the kind.
func (q *Queue) Estimate(kind core.Kind) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sched.Estimate(kind)
}

// Dump returns the state.
func (q *Queue) Dump() State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sched.Dump()
}

// Run refuses requests that can't start in time, and starts those that a rate held back, until ctx
// ends. It then refuses everything that waits.
func (q *Queue) Run(ctx context.Context) error {
	timer := time.NewTimer(sweepTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			q.shut()
			return nil
		case <-q.wake:
		case <-timer.C:
		}
		if q.sweep() {
			timer.Reset(sweepTime)
		} else {
			timer.Stop()
		}
	}
}

// add lets the item wait and starts what may start.
func (q *Queue) add(it *Item) *Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended {
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

// undoOpen stops counting the transaction that an item was to open.
func (q *Queue) undoOpen(it *Item) {
	if it.OpensTx {
		q.EndTx()
	}
}

// sweep refuses late items and reports whether any others wait.
func (q *Queue) sweep() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch(time.Now())
	return q.sched.Waiting() > 0
}

// shut refuses all waiting items.
func (q *Queue) shut() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = true
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
