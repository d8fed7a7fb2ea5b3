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

// rows is a table that a test can change.
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

// run runs the scenario on the fake clock with a queue of the proxy's scheduler.
func run(t *testing.T, cfg Config, scenario func(t *testing.T, q *Queue)) {
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

// Guards against a request that waits beyond its time in the queue.
func TestQueueTimeIsBounded(t *testing.T) {
	run(t, Config{Slots: 1, Policies: testRows()}, func(t *testing.T, q *Queue) {
		slot, err := q.Acquire(t.Context(), &Item{Kind: "report"})
		assert.NilError(t, err)
		start := time.Now()
		_, err = q.Acquire(t.Context(), &Item{Kind: "book"})
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Assert(t, time.Since(start) <= time.Second+2*sweepTime)
		slot.Release(true)
		assert.Equal(t, q.Dump().Running, 0)
	})
}
