package queue

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"snipewall/core"
)

// load is a number of workers that send requests of a kind without a pause.
type load struct {
	kind    core.Kind
	workers int
	service time.Duration
	inTx    bool
}

// saturate runs the loads for d and returns each kind's share of the used slot time.
func saturate(q *Queue, d time.Duration, loads []load) map[core.Kind]float64 {
	var mu sync.Mutex
	got := make(map[core.Kind]time.Duration)
	var sum time.Duration
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for _, l := range loads {
		for range l.workers {
			wg.Go(func() {
				for time.Now().Before(end) {
					if serve(q, &Item{Kind: l.kind, InTx: l.inTx}, l.service) != nil {
						time.Sleep(l.service)
						continue
					}
					mu.Lock()
					got[l.kind] += l.service
					sum += l.service
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	shares := make(map[core.Kind]float64)
	for kind, t := range got {
		shares[kind] = float64(t) / float64(sum)
	}
	return shares
}

// Guards against a surge of one kind, in transactions or not, that takes the guaranteed share of a rank
// or of another kind of its rank.
func TestGuaranteedShares(t *testing.T) {
	want := map[core.Kind]float64{"book": 0.6, "quote": 0.2, "reseal": 0.1, "report": 0.1}
	for surging := range want {
		for _, inTx := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%v", surging, inTx), func(t *testing.T) {
				runScenario(t, Config{Slots: 2, Policies: testRows()}, func(t *testing.T, q *Queue) {
					loads := []load{
						{kind: "book", workers: 5, service: 8 * time.Millisecond},
						{kind: "quote", workers: 5, service: 12 * time.Millisecond},
						{kind: "reseal", workers: 5, service: 15 * time.Millisecond},
						{kind: "report", workers: 5, service: 30 * time.Millisecond},
					}
					for i := range loads {
						if loads[i].kind == surging {
							loads[i].workers, loads[i].inTx = 50, inTx
						}
					}
					got := saturate(q, 30*time.Second, loads)
					for kind, share := range want {
						assert.Assert(t, got[kind] > 0.9*share, "%s got %.3f, want %.3f", kind, got[kind], share)
					}
				})
			})
		}
	}
}

// Guards against a transaction that holds its connection while it waits behind other work.
func TestTransactionsGoFirst(t *testing.T) {
	runScenario(t, Config{Slots: 1, Policies: testRows()}, func(t *testing.T, q *Queue) {
		slot, err := q.Acquire(t.Context(), &Item{Kind: "book"})
		assert.NilError(t, err)
		ended := make(chan string, 4)
		for _, it := range []*Item{{Kind: "book"}, {Kind: "book"}, {Kind: "quote"}, {Kind: "quote", InTx: true}} {
			go func() {
				assert.Check(t, serve(q, it, 10*time.Millisecond))
				ended <- fmt.Sprint(it.Kind, it.InTx)
			}()
			synctest.Wait()
		}
		slot.Release(true)
		assert.Equal(t, <-ended, "quotetrue")
		for range 3 {
			<-ended
		}
	})
}

// Guards against applying a changed row to new requests only.
func TestRowsChangeWhileRequestsWait(t *testing.T) {
	table := testRows()
	runScenario(t, Config{Slots: 1, Policies: table}, func(t *testing.T, q *Queue) {
		slot, err := q.Acquire(t.Context(), &Item{Kind: "book"})
		assert.NilError(t, err)
		ended := make(chan core.Kind, 2)
		for _, kind := range []core.Kind{"quote", "report"} {
			go func() {
				assert.Check(t, serve(q, &Item{Kind: kind}, 10*time.Millisecond))
				ended <- kind
			}()
			synctest.Wait()
		}
		row := table["report"]
		row.Rank = core.RankUrgent
		table["report"] = row
		slot.Release(true)
		assert.Equal(t, <-ended, core.Kind("report"))
		assert.Equal(t, <-ended, core.Kind("quote"))
	})
}

// Guards against exceeding the Concurrency or Rate of a kind.
func TestRowLimits(t *testing.T) {
	table := testRows()
	table["quote"] = core.KindPolicy{Kind: "quote", Rank: core.RankMiddle, Concurrency: 1, QueueTime: time.Second}
	table["reseal"] = core.KindPolicy{Kind: "reseal", Rank: core.RankMiddle, Rate: 10, QueueTime: time.Second}
	runScenario(t, Config{Slots: 2, Policies: table}, func(t *testing.T, q *Queue) {
		got := saturate(q, 10*time.Second, []load{{kind: "quote", workers: 5, service: 10 * time.Millisecond}})
		assert.Equal(t, got["quote"], 1.0)
		assert.Equal(t, q.Dump().Running, 0)
		start := time.Now()
		served := 0
		for time.Since(start) < 10*time.Second {
			if serve(q, &Item{Kind: "reseal"}, time.Millisecond) == nil {
				served++
			}
		}
		assert.Assert(t, served >= 95 && served <= 102, "%d served", served)
	})
}

// Guards against more running requests than slots, against lost slots, and against a request that is
// both refused and started, under any mix of requests and timeouts.
func TestSlotLimits(t *testing.T) {
	kinds := []core.Kind{"book", "quote", "reseal", "report", "unknown"}
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		maxOpen := rapid.IntRange(1, 3).Draw(rt, "maxOpen")
		type request struct {
			it                   Item
			pause, hold, timeout int
		}
		requests := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) request {
			return request{
				it: Item{
					Kind:    rapid.SampledFrom(kinds).Draw(rt, "kind"),
					InTx:    rapid.Bool().Draw(rt, "inTx"),
					OpensTx: rapid.Bool().Draw(rt, "opensTx"),
				},
				pause:   rapid.IntRange(0, 20).Draw(rt, "pause"),
				hold:    rapid.IntRange(0, 300).Draw(rt, "hold"),
				timeout: rapid.IntRange(1, 1500).Draw(rt, "timeout"),
			}
		}), 1, 40).Draw(rt, "requests")
		runScenario(t, Config{Slots: slots, MaxOpen: maxOpen, Policies: testRows()}, func(t *testing.T, q *Queue) {
			checkSlots(t, q, slots, maxOpen, len(requests), func(i int) (*Item, [3]time.Duration) {
				a := requests[i]
				it := a.it
				it.OpensTx = it.OpensTx && !it.InTx
				return &it, [3]time.Duration{
					time.Duration(a.pause) * time.Millisecond,
					time.Duration(a.hold) * time.Millisecond,
					time.Duration(a.timeout) * time.Millisecond,
				}
			})
		})
	})
}

// checkSlots runs n requests and checks the limits at each start. The durations of a request are the
// pause before it, its service time and the caller's timeout.
func checkSlots(t *testing.T, q *Queue, slots, maxOpen, n int, request func(i int) (*Item, [3]time.Duration)) {
	var mu sync.Mutex
	running, open := 0, 0
	var wg sync.WaitGroup
	for i := range n {
		it, d := request(i)
		time.Sleep(d[0])
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), d[2])
			defer cancel()
			slot, err := q.Acquire(ctx, it)
			if err != nil {
				return
			}
			mu.Lock()
			running++
			if it.OpensTx {
				open++
			}
			assert.Check(t, running <= slots && open <= maxOpen, "%d running, %d open", running, open)
			mu.Unlock()
			time.Sleep(d[1])
			mu.Lock()
			running--
			if it.OpensTx {
				open--
			}
			mu.Unlock()
			slot.Release(true)
			if it.OpensTx {
				q.EndTx()
			}
		})
	}
	wg.Wait()
	st := q.Dump()
	assert.Equal(t, st.Running, 0)
	assert.Equal(t, st.Waiting, 0)
	assert.Equal(t, st.OpenTransactions, 0)
}

// Guards against starving a rank because it used idle slots before work of other ranks arrived.
func TestIdleSlotUseIsNotCharged(t *testing.T) {
	runScenario(t, Config{Slots: 2, Policies: testRows()}, func(t *testing.T, q *Queue) {
		saturate(q, 20*time.Second, []load{{kind: "report", workers: 5, service: 20 * time.Millisecond}})
		got := saturate(q, 5*time.Second, []load{
			{kind: "book", workers: 20, service: 8 * time.Millisecond},
			{kind: "report", workers: 5, service: 20 * time.Millisecond},
		})
		assert.Assert(t, got["report"] > 0.09, "got %.3f", got["report"])
	})
}

// offerMixedLoad sends single statements and transactions of four statements of one kind at fixed
// rates, with the limit as their deadline, and returns how many of each were served.
func offerMixedLoad(q *Queue, d, limit time.Duration, singles, transactions int) (served, servedTx int) {
	const service, pause, length = 9 * time.Millisecond, 10 * time.Millisecond, 4
	var mu sync.Mutex
	var wg sync.WaitGroup
	offer := func(rate int, request func() bool, count *int) {
		wg.Go(func() {
			for range int(d.Seconds() * float64(rate)) {
				wg.Go(func() {
					if request() {
						mu.Lock()
						defer mu.Unlock()
						*count++
					}
				})
				time.Sleep(time.Second / time.Duration(rate))
			}
		})
	}
	item := func(it Item) *Item {
		it.Kind, it.Deadline = "report", time.Now().Add(limit)
		return &it
	}
	offer(singles, func() bool { return serve(q, item(Item{}), service) == nil }, &served)
	offer(transactions, func() bool {
		if serve(q, item(Item{OpensTx: true}), service) != nil {
			return false
		}
		defer q.EndTx()
		for range length - 1 {
			time.Sleep(pause)
			if serve(q, item(Item{InTx: true}), service) != nil {
				return false
			}
		}
		return true
	}, &servedTx)
	wg.Wait()
	return served, servedTx
}

// Guards against transactions that take the slots of several times as many single statements when not
// all can be served. The load is that of a primary with two slots which got 260 single statements and
// 35 transactions a second.
func TestSingleStatementsGoFirstInSurge(t *testing.T) {
	const length, limit = 10 * time.Second, 360 * time.Millisecond
	count := func(s Scheduler) (served, servedTx int) {
		synctest.Test(t, func(t *testing.T) {
			q := New(s)
			ctx, cancel := context.WithCancel(t.Context())
			end := make(chan error, 1)
			go func() { end <- q.Run(ctx) }()
			served, servedTx = offerMixedLoad(q, length, limit, 260, 35)
			cancel()
			assert.NilError(t, <-end)
		})
		return served, servedTx
	}
	cfg := Config{Slots: 2, Policies: testRows()}
	before, beforeTx := count(NewFCFS(cfg))
	served, servedTx := count(NewShares(cfg))
	t.Logf("first come first served: %d and %d transactions; shares: %d and %d", before, beforeTx, served, servedTx)
	assert.Assert(t, served+servedTx >= before+beforeTx, "guaranteed shares must not serve fewer requests")
	// Transactions keep their share of the slot time of 2 slots over 10 s, at 36 ms each.
	assert.Assert(t, float64(servedTx) > 0.9*txShare*2*10/0.036)
}
