package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against stale reads of sessions that write at one entry VM and read at another while replicas lag
// by 2 s, and against sending reads that accept stale data to the primary.
func TestLaggingReplicas(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, "--apply-lag", "2s")
	ctx := context.Background()
	mustExec(t, c.connect(c.vms[0]), "create table sessions (id int8, berth int8)")
	time.Sleep(2500 * time.Millisecond)
	for round := range 30 {
		session, kind := fmt.Sprintf("tablet-%d", round), []string{"relaxed", "current"}[round%2]
		mustExec(t, c.connect(c.vms[round%3], "session", session, "kind", kind), "insert into sessions (id, berth) values ($1, 7)", round)
		var n int
		to := c.connect(c.vms[(round+1)%3], "session", session, "kind", kind)
		assert.NilError(t, to.QueryRow(ctx, "select count(*) from sessions where id = $1", round).Scan(&n))
		assert.Equal(t, n, 1, "%s read a state before its own write", session)
	}
	before := c.stats(0).Executed
	const reads = 300
	for i := range 3 {
		conn := c.connect(c.vms[i], "kind", "relaxed")
		for range reads / 3 {
			mustExec(t, conn, "select count(*) from sessions")
		}
	}
	onPrimary := c.stats(0).Executed - before
	t.Logf("%d of %d reads that accept stale data ran on the primary", onPrimary, reads)
	assert.Assert(t, onPrimary < reads/20)
}
