package dbsim

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
)

// state returns the SQLSTATE of an error, or its text.
func state(err error) string {
	var pgErr *pgconn.PgError
	if asError(err, &pgErr) {
		return pgErr.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

func mustExec(ctx context.Context, t *testing.T, c *pgx.Conn, list ...string) {
	t.Helper()
	for _, sql := range list {
		_, err := c.Exec(ctx, sql)
		assert.NilError(t, err, sql)
	}
}

func count(ctx context.Context, t *testing.T, c *pgx.Conn, sql string) (n int) {
	t.Helper()
	assert.NilError(t, c.QueryRow(ctx, sql).Scan(&n))
	return n
}

// Guards against reads of uncommitted data, and against changes that survive a rollback.
func TestIsolation(t *testing.T) {
	ctx := testContext(t)
	_, address := start(t, Config{Slots: 1}, NewPrimary(1))
	w, r := connect(ctx, t, address), connect(ctx, t, address)
	mustExec(ctx, t, w, "CREATE TABLE t (id int8 PRIMARY KEY, n int8)", "INSERT INTO t VALUES (1, 1)", "BEGIN", "UPDATE t SET n = n + 1 WHERE id = 1", "INSERT INTO t VALUES (2, 5)")
	assert.Equal(t, count(ctx, t, w, "SELECT sum(n) FROM t"), 7)
	assert.Equal(t, count(ctx, t, r, "SELECT sum(n) FROM t"), 1)
	mustExec(ctx, t, w, "ROLLBACK")
	assert.Equal(t, count(ctx, t, w, "SELECT sum(n) FROM t"), 1)
	_, err := w.Exec(ctx, "INSERT INTO t VALUES (3, 3); INSERT INTO t VALUES (1, 1)")
	assert.Equal(t, state(err), "23505")
	assert.Equal(t, count(ctx, t, r, "SELECT count(*) FROM t"), 1, "a multi-statement query is one transaction")
	mustExec(ctx, t, w, "BEGIN READ ONLY")
	_, err = w.Exec(ctx, "DELETE FROM t")
	assert.Equal(t, state(err), "25006")
	_, err = w.Exec(ctx, "SELECT 1")
	assert.Equal(t, state(err), "25P02")
	tag, err := w.Exec(ctx, "COMMIT")
	assert.NilError(t, err)
	assert.Equal(t, tag.String(), "ROLLBACK")
}

// Guards against lost updates, and against a statement that occupies the only slot while it waits for a
// lock, so that the transaction that holds the lock can't proceed.
func TestRowLocks(t *testing.T) {
	ctx := testContext(t)
	_, address := start(t, Config{Slots: 1}, NewPrimary(1))
	a, b := connect(ctx, t, address), connect(ctx, t, address)
	mustExec(ctx, t, a, "CREATE TABLE t (id int8 PRIMARY KEY, n int8)", "INSERT INTO t VALUES (1, 0)", "BEGIN", "UPDATE t SET n = n + 1 WHERE id = 1")
	var wg sync.WaitGroup
	wg.Go(func() { mustExec(ctx, t, b, "UPDATE t SET n = n + 1 WHERE id = 1") })
	time.Sleep(20 * time.Millisecond)
	mustExec(ctx, t, a, "UPDATE t SET n = n + 1 WHERE id = 1", "COMMIT")
	wg.Wait()
	assert.Equal(t, count(ctx, t, a, "SELECT n FROM t"), 3)
	mustExec(ctx, t, a, "BEGIN", "UPDATE t SET n = 0 WHERE id = 1")
	assert.NilError(t, a.Close(ctx))
	mustExec(ctx, t, b, "UPDATE t SET n = n + 1 WHERE id = 1")
	assert.Equal(t, count(ctx, t, b, "SELECT n FROM t"), 4, "dropping a connection rolls back")
}

// Guards against more statements at once than there are slots.
func TestSlots(t *testing.T) {
	ctx := testContext(t)
	srv, address := start(t, Config{Slots: 2, ServiceTime: 20 * time.Millisecond}, NewPrimary(1))
	var wg sync.WaitGroup
	begin := time.Now()
	for range 6 {
		c := connect(ctx, t, address)
		wg.Go(func() { mustExec(ctx, t, c, "SELECT 1") })
	}
	wg.Wait()
	assert.Assert(t, time.Since(begin) >= 60*time.Millisecond)
	assert.Equal(t, srv.Stats().Executed, uint64(6))
	assert.Assert(t, srv.Stats().Busy >= 120*time.Millisecond)
	c := connect(ctx, t, address)
	begin = time.Now()
	mustExec(ctx, t, c, "SELECT pg_sleep(0.05)")
	assert.Assert(t, time.Since(begin) >= 70*time.Millisecond)
}

// Guards against faults that don't affect the connections of callers, or that can't be switched off.
func TestCallerFaults(t *testing.T) {
	const pause = 150 * time.Millisecond
	tests := []struct {
		fault, value string
		// blocked is whether the open connection doesn't respond for the duration of the fault.
		blocked bool
		// recovers is whether the open connection responds again after the fault.
		recovers bool
	}{
		{FaultCut, "callers@150ms", true, true},
		{FaultCut, "callers:in@150ms", true, true},
		{FaultCut, "both:out@150ms", true, true},
		{FaultCut, "upstreams@150ms", false, true},
		{FaultFreeze, "on@150ms", true, true},
		{FaultLateAnswer, "150ms", true, true},
		{FaultSlow, "15@1s", true, true},
		{FaultSilent, "callers", true, false},
	}
	for _, tt := range tests {
		t.Run(tt.fault+" "+tt.value, func(t *testing.T) {
			withGroup(t, Config{ServiceTime: 10 * time.Millisecond}, []string{"a"}, func(g *group) {
				srv := g.servers["a"]
				c := g.connect("a")
				_, err := c.Exec(g.ctx, "SELECT snipewall.fault($1, $2)", tt.fault, tt.value)
				assert.NilError(t, err)
				begin := time.Now()
				short, cancel := context.WithTimeout(g.ctx, 2*time.Second)
				defer cancel()
				_, err = c.Exec(short, "SELECT 1")
				assert.Equal(t, err == nil, tt.recovers, "%v", err)
				assert.Equal(t, time.Since(begin) >= pause, tt.blocked)
				assert.NilError(t, srv.Fault(tt.fault, "off"))
				fresh := g.connect("a")
				mustExec(g.ctx, t, fresh, "SELECT 1")
				assert.NilError(t, fresh.Close(g.ctx))
				_ = c.Close(g.ctx)
			})
		})
	}
}

// Guards against unknown fault names and invalid values that are ignored without an error.
func TestFaultValues(t *testing.T) {
	srv := Config{}.New(NewPrimary(1))
	for _, f := range [][2]string{
		{"nope", "on"}, {FaultCut, "nobody"}, {FaultCut, "callers:up"}, {FaultLateAnswer, "soon"}, {FaultSlow, "0"},
		{FaultLoseAnswer, "select"}, {FaultFreeze, "on@never"}, {FaultSilent, "x"},
	} {
		assert.Assert(t, srv.Fault(f[0], f[1]) != nil, "%v", f)
	}
	assert.NilError(t, srv.Fault(FaultLeaving, "on"))
	assert.Assert(t, srv.Database().Status().Leaving)
}
