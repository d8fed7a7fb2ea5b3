package e2e

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a transaction that outlives its entry VM, or whose locks do.
func TestEntryVMDiesInTransaction(t *testing.T) {
	for _, tt := range []struct {
		name string
		// vm is the caller's entry VM. The first failure domain's own the primary.
		vm   int
		kill []string
	}{
		{"the caller's", 1, []string{"vm-2"}},
		{"the caller's, which may own the primary", 0, []string{"vm-1"}},
		{"the owners of the primary", 1, []string{"vm-1", "vm-4"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4)
			ctx := context.Background()
			mustExec(t, c.connect(c.vms[2]), "create table berths (id int8, amount int8)")
			mustExec(t, c.connect(c.vms[2]), "insert into berths (id, amount) values (1, 0)")
			conn := c.connect(c.vms[tt.vm])
			mustExec(t, conn, "begin")
			mustExec(t, conn, "update berths set amount = 100 where id = 1")
			mustExec(t, conn, "insert into berths (id, amount) values (2, 100)")
			for _, id := range tt.kill {
				c.procs[id].kill()
			}
			start := time.Now()
			c.eventually(8*time.Second, func() error {
				ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
				defer cancel()
				_, err := c.connect(c.vms[2]).Exec(ctx, "update berths set amount = 1 where id = 1")
				return err
			})
			t.Logf("the lock was free after %v", time.Since(start).Round(10*time.Millisecond))
			_, err := conn.Exec(ctx, "commit")
			assert.Assert(t, err != nil, "the lost transaction was committed")
			var rows, amount int
			checker := c.connect(c.vms[2], "session", "checker")
			assert.NilError(t, checker.QueryRow(ctx, "select count(*) from berths").Scan(&rows))
			assert.NilError(t, checker.QueryRow(ctx, "select amount from berths where id = 1").Scan(&amount))
			assert.Equal(t, rows, 1)
			assert.Equal(t, amount, 1)
		})
	}
}
