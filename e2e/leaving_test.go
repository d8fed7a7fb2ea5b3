package e2e

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// leaveLimit is the time after which an upstream that is leaving gets no new work.
const leaveLimit = 5 * time.Second

// reader reads repeatedly until ctx ends and records the longest time between two answers.
type reader struct {
	c          *cluster
	vm         int
	kind       string
	reads      int
	longestGap time.Duration
	// err is set if a read returned the value of another one.
	err error
}

func (r *reader) run(ctx context.Context) {
	var conn *pgx.Conn
	last := time.Now()
	for ctx.Err() == nil {
		if conn == nil || conn.IsClosed() {
			conn = r.dial(ctx)
			continue
		}
		// The value is unique to this request, so that an answer to another request is detected.
		want, got := rand.Int64(), int64(0)
		readCtx, cancel := context.WithTimeout(ctx, 6*time.Second)
		err := conn.QueryRow(readCtx, "select $1::int8", want).Scan(&got)
		cancel()
		if err == nil && got != want {
			r.err = fmt.Errorf("read %d, got %d", want, got)
			return
		}
		if err == nil {
			r.reads++
			r.longestGap = max(r.longestGap, time.Since(last))
			last = time.Now()
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (r *reader) dial(ctx context.Context) *pgx.Conn {
	conn, err := pgx.Connect(ctx, "postgres://test@"+r.c.vms[r.vm].callers+"/berth?sslmode=disable&connect_timeout=2&snipewall.kind="+r.kind)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return nil
	}
	return conn
}

// runReaders runs a reader at each entry VM until fault returns.
func runReaders(c *cluster, kind string, fault func()) []*reader {
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan bool, len(c.vms))
	var readers []*reader
	for i := range c.vms {
		r := &reader{c: c, vm: i, kind: kind}
		readers = append(readers, r)
		go func() {
			r.run(ctx)
			ends <- true
		}()
	}
	fault()
	cancel()
	for range readers {
		<-ends
	}
	return readers
}

// Guards against new work on an upstream that is leaving, and against lost or repeated writes in the
// planned failover when the leaving upstream is the primary.
func TestLeavingUpstream(t *testing.T) {
	tests := []struct {
		name     string
		upstream int
		leave    func(c *cluster, i int)
	}{
		{"replica by its status", 1, func(c *cluster, i int) { c.fault(i, "leaving", "on") }},
		{"replica by the list", 1, (*cluster).listLeaving},
		{"primary by its status, platform down", 0, func(c *cluster, i int) {
			c.platformFault("down", "true")
			c.fault(i, "leaving", "on")
		}},
		{"primary by the list", 0, (*cluster).listLeaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4)
			mustExec(t, c.connect(c.vms[0]), "create table sessions (id int8, berth int8)")
			for i := range c.upstreams {
				vm := core.VM{FailureDomain: core.FailureDomain(fmt.Sprintf("domain-%d", i+1)), Region: "here", Upstream: core.UpstreamID(upstreamID(i))}
				c.put("/v1/vms/"+upstreamID(i)+"-vm", vm)
			}
			var readers []*reader
			writers := runWriters(t, c, func() {
				readers = runReaders(c, "relaxed", func() {
					time.Sleep(time.Second)
					assert.Assert(t, c.stats(tt.upstream).Executed > 0)
					tt.leave(c, tt.upstream)
					c.mustBecomeIdle(tt.upstream)
				})
			})
			assert.Assert(t, (mustPrimaryByStatus(t, c) != tt.upstream))
			for _, w := range writers {
				w.check(t, c.connect(c.vms[3], "session", "checker"))
				assert.Assert(t, w.longestGap < 2*time.Second, "writes stopped for %v", w.longestGap)
			}
			for _, r := range readers {
				assert.NilError(t, r.err)
				assert.Assert(t, r.longestGap < 2*time.Second, "reads stopped for %v", r.longestGap)
			}
		})
	}
}

// listLeaving marks the upstream as leaving in the platform's list of VMs.
func (c *cluster) listLeaving(i int) {
	c.put("/v1/vms/"+upstreamID(i)+"-vm?leaving=true", nil)
}

// mustBecomeIdle fails the test if the upstream executes anything later than leaveLimit from now.
func (c *cluster) mustBecomeIdle(i int) {
	c.t.Helper()
	start, executed, changed := time.Now(), uint64(0), time.Now()
	for time.Since(start) < leaveLimit+2*time.Second {
		if n := c.stats(i).Executed; n != executed {
			executed, changed = n, time.Now()
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Logf("the last statement was executed %v after the upstream was marked as leaving", changed.Sub(start).Round(10*time.Millisecond))
	if took := changed.Sub(start); took > leaveLimit {
		assert.NilError(c.t, errors.New("work on a leaving upstream after "+took.String()))
	}
}
