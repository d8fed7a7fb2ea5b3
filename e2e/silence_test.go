package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against stalled reads, and against writes that run twice, when open connections to upstreams stop
// delivering data while new ones work.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4)
	mustExec(t, c.connect(c.vms[0]), "create table sessions (id int8, berth int8)")
	mustExec(t, c.connect(c.vms[0]), "create table counters (id int8, n int8)")
	mustExec(t, c.connect(c.vms[0]), "insert into counters (id, n) values (1, 0)")
	var readers []*reader
	added := 0
	writers := runWriters(t, c, func() {
		readers = runReaders(c, "relaxed", func() {
			for round := range 4 {
				time.Sleep(time.Second)
				for i := range c.upstreams {
					if round%2 == 0 || i == 0 {
						c.fault(i, "silent", "callers")
					}
				}
				c.addOnce(fmt.Sprintf("add-%d", round))
				added++
			}
			time.Sleep(time.Second)
		})
	})
	conn := c.connect(c.vms[3], "session", "checker")
	for _, w := range writers {
		w.check(t, conn)
		assert.Assert(t, time.Since(w.lastAck) < failoverLimit && w.longestGap < 6*time.Second, "writes stopped for %v", w.longestGap)
	}
	for _, r := range readers {
		assert.NilError(t, r.err)
		t.Logf("%d reads, longest gap %v", r.reads, r.longestGap)
		assert.Assert(t, r.longestGap < 4500*time.Millisecond, "reads stopped for %v", r.longestGap)
	}
	var n int
	assert.NilError(t, conn.QueryRow(context.Background(), "select n from counters where id = 1").Scan(&n))
	assert.Equal(t, n, added, "requests with an id did not run exactly once each")
}

// addOnce repeats an update with the same request id at alternating entry VMs until it is known to have
// run.
func (c *cluster) addOnce(id string) {
	c.t.Helper()
	vm := 0
	c.eventually(failoverLimit, func() error {
		conn := c.connect(c.vms[vm%len(c.vms)])
		vm++
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		_, err := conn.Exec(ctx, "/* request_id='"+id+"' */ update counters set n = n + 1 where id = 1")
		if sqlState(err) == "SW003" {
			return nil
		}
		return err
	})
}

// Guards against callers that get each other's answers when answers are late and requests are canceled.
func TestLateAnswersAndCancels(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	for i := range c.upstreams {
		c.fault(i, "late", "60ms")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	answers := make([]int, 12)
	canceled := make([]int, len(answers))
	for n := range answers {
		conn := c.connect(c.vms[n%3], "kind", "relaxed")
		wg.Go(func() {
			for i := int64(0); ctx.Err() == nil; i++ {
				want := int64(n)*1_000_000 + i
				cancelDone := make(chan struct{})
				if rand.IntN(3) == 0 {
					// The cancel request may arrive before, during or after the answer.
					go func() {
						defer close(cancelDone)
						time.Sleep(rand.N(150 * time.Millisecond))
						_ = conn.PgConn().CancelRequest(ctx)
					}()
				} else {
					close(cancelDone)
				}
				var got int64
				err := conn.QueryRow(ctx, "select $1::int8", want).Scan(&got)
				<-cancelDone
				switch {
				case ctx.Err() != nil:
				case err == nil && got != want:
					t.Errorf("caller %d asked for %d and got %d", n, want, got)
				case err == nil:
					answers[n]++
				case sqlState(err) == "57014":
					canceled[n]++
				default:
					t.Errorf("caller %d: %v", n, err)
				}
			}
		})
	}
	wg.Wait()
	answerCount, cancelCount := 0, 0
	for n := range answers {
		assert.Assert(t, answers[n] > 0, "caller %d got no answer", n)
		answerCount += answers[n]
		cancelCount += canceled[n]
	}
	t.Logf("%d answers, %d canceled", answerCount, cancelCount)
	assert.Assert(t, cancelCount > 0, "no request was canceled")
}
