// Package queue is the admission queue of one upstream. It decides which request gets the next of the
// upstream's slots, and refuses requests that can't start in time.
//
// A Scheduler is the decision logic. It is a plain state machine that gets the time with each call,
// so that simulations run the same code as the proxy. Shares is the scheduler of the proxy; FCFS,
// StrictPriority and EqualShares are baselines for comparison. Queue makes a scheduler usable by
// concurrent requests.
//
// Shares reads the operators' table at each decision, so that a changed row also applies to waiting
// requests. A request of a kind without a row counts towards the rank that it names.
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
