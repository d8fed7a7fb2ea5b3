package budget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// Guards against small amounts that take the lock or count, and against memory that isn't given back.
func TestHold(t *testing.T) {
	b := New(Config{Limit: 100 << 10})
	a := b.Open(nil)
	assert.Assert(t, a.TryHold(FreeBytes))
	assert.Equal(t, b.Used(), int64(0))
	assert.Assert(t, a.TryHold(100<<10))
	assert.Assert(t, !a.TryHold(100<<10+1))
	assert.Equal(t, b.Used(), int64(100<<10), "a refused account holds what it held")
	assert.Assert(t, a.TryHold(50<<10))
	assert.Equal(t, b.Used(), int64(50<<10))
	a.Close()
	assert.Equal(t, b.Used(), int64(0))
}

// Guards against a refusal although others give memory back in time, against a wait without end, and against one that is
// granted out of order.
func TestHoldWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Config{Limit: 100 << 10, Wait: time.Second})
		first, second, third := b.Open(nil), b.Open(nil), b.Open(nil)
		assert.Assert(t, first.TryHold(90<<10))
		granted := make(chan int, 2)
		go func() {
			assert.Check(t, second.Hold(t.Context(), 80<<10))
			granted <- 2
		}()
		synctest.Wait()
		go func() {
			assert.Check(t, third.Hold(t.Context(), 20<<10))
			granted <- 3
		}()
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, len(granted), 0)
		first.Close()
		synctest.Wait()
		assert.Equal(t, len(granted), 2)
		assert.Equal(t, b.Used(), int64(100<<10))
		began := time.Now()
		assert.Assert(t, !first.Hold(t.Context(), 90<<10))
		assert.Equal(t, time.Since(began), time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Assert(t, !first.Hold(ctx, 90<<10))
		second.Close()
		third.Close()
		assert.Equal(t, b.Used(), int64(0))
		assert.Equal(t, len(b.queue), 0)
	})
}

// Guards against connections that are closed while they run a statement, although they hold less than who asks, or in
// larger numbers than needed.
func TestLargestHolderIsClosed(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	closedNotice := NewNotice(NoticeConfig{Counter: scope.Counter("Closed"), Log: log.NewNopLogger()})
	b := New(Config{Limit: 100 << 10, Closed: closedNotice})
	closed := map[string]bool{}
	open := func(name string, size int64) *Account {
		a := b.Open(func() { closed[name] = true })
		assert.Assert(t, a.TryHold(size))
		return a
	}
	open("running", 50<<10)
	large, small := open("large", 30<<10), open("small", 15<<10)
	asks := b.Open(nil)
	large.Await(func() {
		small.Await(func() {
			assert.Assert(t, !asks.TryHold(30<<10), "nobody waits with more")
			assert.Equal(t, len(closed), 0)
			assert.Assert(t, !asks.TryHold(20<<10), "the memory isn't given back yet")
			assert.Assert(t, !asks.TryHold(20<<10))
			assert.DeepEqual(t, closed, map[string]bool{"large": true})
		})
	})
	large.Close()
	assert.Assert(t, asks.TryHold(20<<10))
	assert.Equal(t, b.leaving, int64(0))
	assert.Equal(t, scope.Snapshot().Counters()["Closed+"].Value(), int64(1))
}

// Guards against log lines in the number of a crowd, and against events that are not counted.
func TestNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		var lines [][]any
		n := NewNotice(NoticeConfig{Msg: "refused", Counter: scope.Counter("N"), Log: log.LoggerFunc(func(keyvals ...any) error {
			lines = append(lines, keyvals)
			return nil
		})})
		for range 1000 {
			n.Note()
		}
		assert.Equal(t, len(lines), 1)
		time.Sleep(noticeInterval)
		n.Note("Bytes", 7)
		assert.Equal(t, len(lines), 2)
		assert.DeepEqual(t, lines[1][2:], []any{"Msg", "refused", "Count", 1000, "Bytes", 7})
		assert.Equal(t, scope.Snapshot().Counters()["N+"].Value(), int64(1001))
		var none *Notice
		none.Note()
	})
}
