package queue

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// rows is a policy table that a test can change.
type rows map[core.Kind]core.KindPolicy

func (r rows) Policy(kind core.Kind) (core.KindPolicy, bool) {
	row, ok := r[kind]
	return row, ok
}

func (r rows) Kinds() []core.KindPolicy { return nil }

func testRows() rows {
	return rows{
		"book":   {Kind: "book", Rank: core.RankUrgent, Weight: 1, QueueTime: time.Second},
		"quote":  {Kind: "quote", Rank: core.RankMiddle, Weight: 2, QueueTime: time.Second},
		"reseal": {Kind: "reseal", Rank: core.RankMiddle, Weight: 1, QueueTime: time.Second},
		"report": {Kind: "report", Rank: core.RankLast, Weight: 1, QueueTime: time.Second},
	}
}

// runScenario runs the scenario on the fake clock with a Shares scheduler.
func runScenario(t *testing.T, cfg Config, scenario func(t *testing.T, q *Queue)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		q := New(NewShares(cfg))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- q.Run(ctx) }()
		scenario(t, q)
		cancel()
		assert.NilError(t, <-ended)
	})
}

// Guards against a request that waits longer than its queue time.
func TestQueueTimeIsBounded(t *testing.T) {
	runScenario(t, Config{Slots: 1, Policies: testRows()}, func(t *testing.T, q *Queue) {
		slot, err := q.Acquire(t.Context(), &Item{Kind: "report"})
		assert.NilError(t, err)
		start := time.Now()
		_, err = q.Acquire(t.Context(), &Item{Kind: "book"})
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Assert(t, time.Since(start) <= time.Second+2*sweepInterval)
		slot.Release(true)
		assert.Equal(t, q.Dump().Running, 0)
	})
}

// serve waits for a slot and occupies it for d.
func serve(q *Queue, it *Item, d time.Duration) error {
	slot, err := q.Acquire(context.Background(), it)
	if err != nil {
		return err
	}
	time.Sleep(d)
	slot.Release(true)
	return nil
}

// Guards against requests that wait for their whole queue time although they can't start, and against
// refusing a kind forever because its estimate is too high.
func TestRequestsThatCannotStartAreRefusedImmediately(t *testing.T) {
	runScenario(t, Config{Slots: 1, Policies: testRows()}, func(t *testing.T, q *Queue) {
		assert.NilError(t, serve(q, &Item{Kind: "book"}, 100*time.Millisecond))
		const offered = 30
		ended := make(chan time.Duration, offered)
		for range offered {
			go func() {
				start := time.Now()
				if serve(q, &Item{Kind: "book"}, 100*time.Millisecond) != nil {
					ended <- time.Since(start)
					return
				}
				ended <- -1
			}()
			synctest.Wait()
		}
		atOnce, late := 0, 0
		for range offered {
			switch wait := <-ended; {
			case wait == 0:
				atOnce++
			case wait > 0:
				late++
			}
		}
		// One runs, ten can be served within the second that they may wait, and the last of them is
		// borderline.
		assert.Equal(t, atOnce, offered-12)
		assert.Assert(t, late <= 1, "%d refused late", late)
		// A statement that took much longer than the queue time doesn't keep others out.
		assert.NilError(t, serve(q, &Item{Kind: "quote"}, time.Minute))
		assert.NilError(t, serve(q, &Item{Kind: "quote"}, time.Millisecond))
	})
}

// Guards against long statements that occupy all slots while the urgent rank needs one, and against a
// slot that stays unused while the urgent rank is inactive.
func TestLongStatementsLeaveOneSlot(t *testing.T) {
	runScenario(t, Config{Slots: 2, Policies: testRows()}, func(t *testing.T, q *Queue) {
		assert.NilError(t, serve(q, &Item{Kind: "report"}, time.Minute))
		assert.NilError(t, serve(q, &Item{Kind: "book"}, time.Millisecond))
		ended := make(chan error, 2)
		for range 2 {
			go func() { ended <- serve(q, &Item{Kind: "report"}, 500*time.Millisecond) }()
			synctest.Wait()
		}
		assert.Equal(t, q.Dump().Running, 1)
		start := time.Now()
		assert.NilError(t, serve(q, &Item{Kind: "book"}, time.Millisecond))
		assert.Equal(t, time.Since(start), time.Millisecond)
		for range 2 {
			assert.NilError(t, <-ended)
		}
		time.Sleep(2 * urgentActiveTime)
		for range 2 {
			go func() { ended <- serve(q, &Item{Kind: "report"}, 500*time.Millisecond) }()
			synctest.Wait()
		}
		assert.Equal(t, q.Dump().Running, 2)
		for range 2 {
			assert.NilError(t, <-ended)
		}
	})
}

// Guards against a standing queue: in an overload, each served request would have waited for nearly its
// whole queue time.
func TestOverloadKeepsTheQueueShort(t *testing.T) {
	runScenario(t, Config{Slots: 1, Policies: testRows()}, func(t *testing.T, q *Queue) {
		const service = 10 * time.Millisecond
		ended := make(chan struct{})
		const offered = 2000
		var served, waited time.Duration
		for range offered {
			go func() {
				defer func() { ended <- struct{}{} }()
				slot, err := q.Acquire(t.Context(), &Item{Kind: "report"})
				var refusal *Refusal
				if errors.As(err, &refusal) {
					assert.Check(t, refusal.RetryAfter > 0, "hint %v", refusal.RetryAfter)
					return
				}
				time.Sleep(service)
				served++
				waited += slot.Waited()
				slot.Release(true)
			}()
			time.Sleep(service / 4)
		}
		for range offered {
			<-ended
		}
		assert.Assert(t, waited/served < 400*time.Millisecond, "mean wait %v", waited/served)
		assert.Assert(t, served*service > offered*service/4*95/100, "%d served", served)
	})
}

// Guards against requests that wait for the rest of their queue time although a stalled upstream can no
// longer serve them.
func TestWaitingRequestsAreRefusedEarly(t *testing.T) {
	runScenario(t, Config{Slots: 1, Policies: testRows()}, func(t *testing.T, q *Queue) {
		assert.NilError(t, serve(q, &Item{Kind: "report"}, 100*time.Millisecond))
		slot, err := q.Acquire(t.Context(), &Item{Kind: "report"})
		assert.NilError(t, err)
		const waiting = 8
		refused := make(chan time.Duration, waiting)
		start := time.Now()
		for range waiting {
			go func() {
				assert.Check(t, serve(q, &Item{Kind: "report"}, 0) != nil)
				refused <- time.Since(start)
			}()
			synctest.Wait()
		}
		assert.Assert(t, <-refused < 750*time.Millisecond)
		for range waiting - 1 {
			assert.Assert(t, <-refused <= time.Second+sweepInterval)
		}
		slot.Release(false)
	})
}

// Guards against requests that wait for their whole queue time although the limits of their row keep
// them from starting in time.
func TestExpectedWaitIncludesRowLimits(t *testing.T) {
	limits := map[string]core.KindPolicy{
		"rate":        {Rate: 10},
		"concurrency": {Concurrency: 1},
	}
	for name, row := range limits {
		t.Run(name, func(t *testing.T) {
			table := testRows()
			row.Kind, row.Rank, row.QueueTime = "quote", core.RankMiddle, time.Second
			table["quote"] = row
			runScenario(t, Config{Slots: 8, Policies: table}, func(t *testing.T, q *Queue) {
				assert.NilError(t, serve(q, &Item{Kind: "quote"}, 100*time.Millisecond))
				const offered = 40
				ended := make(chan bool, offered)
				for range offered {
					go func() {
						start := time.Now()
						err := serve(q, &Item{Kind: "quote"}, 100*time.Millisecond)
						ended <- err != nil && time.Since(start) == 0
					}()
					synctest.Wait()
				}
				atOnce := 0
				for range offered {
					if <-ended {
						atOnce++
					}
				}
				assert.Assert(t, atOnce >= offered-13, "%d refused at once", atOnce)
			})
		})
	}
}

// Guards against a request that queues although another upstream serves it sooner, and against a kind that counts as
// overloaded because of such requests. The baseline is the same request without patience, which waits.
func TestPatience(t *testing.T) {
	runScenario(t, Config{Slots: 1, Policies: testRows()}, func(t *testing.T, q *Queue) {
		slot, err := q.Acquire(t.Context(), &Item{Kind: "report"})
		assert.NilError(t, err)
		time.Sleep(100 * time.Millisecond)
		slot.Release(true)
		slot, err = q.Acquire(t.Context(), &Item{Kind: "report"})
		assert.NilError(t, err)
		waited := make(chan error, 3)
		for range 3 {
			go func() {
				s, err := q.Acquire(t.Context(), &Item{Kind: "report"})
				if err == nil {
					time.Sleep(100 * time.Millisecond)
					s.Release(true)
				}
				waited <- err
			}()
		}
		synctest.Wait()
		began := time.Now()
		_, err = q.Acquire(t.Context(), &Item{Kind: "report", Patience: 50 * time.Millisecond})
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal) && refusal.IsDeclined && refusal.RetryAfter > 0, "%v", err)
		assert.Equal(t, time.Since(began), time.Duration(0))
		slot.Release(true)
		for range 3 {
			assert.NilError(t, <-waited)
		}
	})
}
