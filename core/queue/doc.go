// Package queue is the admission queue of one upstream. It decides which request gets one of the
// upstream's slots next, and refuses requests that can't start in time.
//
// A Scheduler is the decision logic: a plain state machine that is told the time with each call, so
// that simulations drive the same code as the proxy. Shares is the scheduler of the proxy; FCFS,
// Strict and Equal are baselines for comparison. Queue makes a scheduler usable by concurrent
// requests.
//
// Shares reads the operators' table at each decision, so that a changed row is in force for the
// requests that already wait. A request of a kind without a row counts as one of its own rank.
//
// # Usage
//
//	q := queue.New(queue.NewShares(queue.Config{Slots: 3, Policies: policies}))
//	go func() { ended <- q.Run(ctx) }()
//
//	slot, err := q.Acquire(ctx, &queue.Item{Kind: "quote", Deadline: deadline})
//	if err != nil {
//		return err // *queue.Refusal or the context's error; nothing has run
//	}
//	defer slot.Release(true)
package queue
