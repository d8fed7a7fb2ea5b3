package e2e

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a transaction, or its locks, that survives the failure of its entry VM.
func TestEntryVMKilledInTransaction(t *testing.T) {
	for _, tt := range []struct {
		name string
		// vm is the index of the caller's entry VM. The entry VMs of the first failure domain, vm-1 and
		// vm-4, own the primary.
		vm   int
		kill []string
	}{
		{"caller's entry VM", 1, []string{"vm-2"}},
		{"caller's entry VM, which may own the primary", 0, []string{"vm-1"}},
		{"owners of the primary", 1, []string{"vm-1", "vm-4"}},
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
			assert.Assert(t, err != nil, "the aborted transaction was committed")
			var rows, amount int
			checker := c.connect(c.vms[2], "session", "checker")
			assert.NilError(t, checker.QueryRow(ctx, "select count(*) from berths").Scan(&rows))
			assert.NilError(t, checker.QueryRow(ctx, "select amount from berths where id = 1").Scan(&amount))
			assert.Equal(t, rows, 1)
			assert.Equal(t, amount, 1)
		})
	}
}
