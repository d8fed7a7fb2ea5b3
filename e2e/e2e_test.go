package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
)

// failoverLimit is the specified time limit of a failover.
const failoverLimit = 16 * time.Second

// sqlState returns the SQLSTATE of an error, or "".
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

func mustExec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_, err := conn.Exec(ctx, sql, args...)
	assert.NilError(t, err, sql)
}

// writer inserts rows one after the other and records the outcome reported for each.
type writer struct {
	c                             *cluster
	vm                            int
	session                       string
	first                         int
	acknowledged, unknown, notRun []int
	lastAck                       time.Time
	// longestGap is the longest time between two acknowledgments.
	longestGap time.Duration
}

// run writes until ctx ends. When its connection is lost, it reconnects, if necessary to another entry VM.
func (w *writer) run(ctx context.Context) error {
	var conn *pgx.Conn
	w.lastAck = time.Now()
	for id := w.first; ctx.Err() == nil; id++ {
		if conn == nil || conn.IsClosed() {
			cfg, err := pgx.ParseConfig("postgres://test@" + w.c.vms[w.vm].callers + "/berth?sslmode=disable&connect_timeout=2")
			if err != nil {
				return err
			}
			cfg.RuntimeParams["snipewall.session"] = w.session
			if conn, err = pgx.ConnectConfig(ctx, cfg); err != nil {
				w.vm = (w.vm + 1) % len(w.c.vms)
				conn = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		writeCtx, cancel := context.WithTimeout(ctx, 6*time.Second)
		_, err := conn.Exec(writeCtx, "insert into sessions (id, berth) values ($1, 1)", id)
		cancel()
		switch state := sqlState(err); {
		case err == nil:
			w.acknowledged = append(w.acknowledged, id)
			w.longestGap = max(w.longestGap, time.Since(w.lastAck))
			w.lastAck = time.Now()
		case state == "SW001" || state == "SW002":
			w.notRun = append(w.notRun, id)
		default:
			w.unknown = append(w.unknown, id)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// check compares the rows in the database with the reported outcomes.
func (w *writer) check(t *testing.T, conn *pgx.Conn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	rows, err := conn.Query(ctx, "select id from sessions")
	assert.NilError(t, err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[int64])
	assert.NilError(t, err)
	found := make(map[int]int)
	for _, id := range ids {
		found[int(id)]++
	}
	for _, id := range w.acknowledged {
		assert.Equal(t, found[id], 1, "acknowledged write %d", id)
	}
	for _, id := range w.notRun {
		assert.Equal(t, found[id], 0, "write %d was refused as not run", id)
	}
	for id, n := range found {
		assert.Assert(t, n == 1, "write %d ran %d times", id, n)
	}
	t.Logf("%s: %d acknowledged, %d not run, %d unknown, longest gap %v", w.session, len(w.acknowledged), len(w.notRun), len(w.unknown), w.longestGap)
}

// runWriters runs a writer at each entry VM until fault returns.
func runWriters(t *testing.T, c *cluster, fault func()) []*writer {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan error, len(c.vms))
	var writers []*writer
	for i := range c.vms {
		w := &writer{c: c, vm: i, session: fmt.Sprintf("writer-%d", i), first: 1_000_000 * (i + 1)}
		writers = append(writers, w)
		go func() { ends <- w.run(ctx) }()
	}
	fault()
	cancel()
	for range writers {
		assert.NilError(t, <-ends)
	}
	return writers
}

// Guards against lost acknowledged writes, and against writes that are executed although they were
// reported as not run, when primaries or entry VMs are killed, or suspended and resumed.
func TestWritesSurviveFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		fault func(t *testing.T, c *cluster)
	}{
		{"primary killed", func(t *testing.T, c *cluster) {
			c.procs[upstreamID(mustPrimary(t, c))].kill()
		}},
		{"primary killed while the platform is down", func(t *testing.T, c *cluster) {
			c.procs["platform"].kill()
			c.procs[upstreamID(mustPrimary(t, c))].kill()
		}},
		{"primary frozen, resumed after the failover", func(t *testing.T, c *cluster) {
			old := c.procs[upstreamID(mustPrimary(t, c))]
			old.signal(t, syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			old.signal(t, syscall.SIGCONT)
		}},
		{"entry VM killed", func(_ *testing.T, c *cluster) { c.procs["vm-2"].kill() }},
		{"entry VM frozen for a while", func(t *testing.T, c *cluster) {
			c.procs["vm-2"].signal(t, syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			c.procs["vm-2"].signal(t, syscall.SIGCONT)
		}},
		{"primary and an entry VM killed", func(t *testing.T, c *cluster) {
			c.procs["vm-1"].kill()
			c.procs[upstreamID(mustPrimary(t, c))].kill()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 4)
			mustExec(t, c.connect(c.vms[0]), "create table sessions (id int8 primary key, berth int8)")
			writers := runWriters(t, c, func() {
				time.Sleep(time.Second)
				tt.fault(t, c)
				time.Sleep(5 * time.Second)
			})
			conn := c.connect(c.vms[3], "session", "checker")
			for _, w := range writers {
				w.check(t, conn)
				assert.Assert(t, time.Since(w.lastAck) < failoverLimit && w.longestGap < failoverLimit)
				assert.Assert(t, len(w.acknowledged) > 100, "writes did not go on: %d", len(w.acknowledged))
			}
		})
	}
}

func mustPrimary(t *testing.T, c *cluster) int {
	t.Helper()
	var primary int
	c.eventually(startTimeout, func() (err error) {
		primary, err = c.primary()
		return err
	})
	return primary
}

// Guards against a session that doesn't see its own write at another entry VM while replicas lag.
func TestReadYourWritesWhileRoaming(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, "--ship-lag", "20ms", "--apply-lag", "80ms")
	mustExec(t, c.connect(c.vms[0]), "create table sessions (id int8 primary key, berth int8)")
	for _, carries := range []bool{false, true} {
		for round := range 20 {
			session := fmt.Sprintf("tablet-%v-%d", carries, round)
			id := 1000*round + 1
			if carries {
				id++
			}
			from := c.connect(c.vms[round%3], "session", session, "kind", "relaxed")
			mustExec(t, from, "insert into sessions (id, berth) values ($1, 7)", id)
			params := []string{"session", session, "kind", "relaxed"}
			if carries {
				params = append(params, "position", from.PgConn().ParameterStatus("snipewall.position"))
			}
			to := c.connect(c.vms[(round+1)%3], params...)
			var berth int
			assert.NilError(t, to.QueryRow(context.Background(), "select berth from sessions where id = $1", id).Scan(&berth), "round %d", round)
			assert.Equal(t, berth, 7)
		}
	}
}

// Guards against executing a request twice when its caller repeats it with the same request id at another
// entry VM, also after a failover.
func TestRequestIDRunsOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4)
	mustExec(t, c.connect(c.vms[0]), "create table invoices (id int8 primary key, amount int8)")
	mustExec(t, c.connect(c.vms[0]), "insert into invoices (id, amount) values (1, 0)")
	const sql = "/* request_id='invoice-1' */ update invoices set amount = amount + 5 where id = 1"
	mustExec(t, c.connect(c.vms[0]), sql)
	_, err := c.connect(c.vms[1]).Exec(context.Background(), sql)
	assert.Equal(t, sqlState(err), "SW003", "%v", err)
	c.procs[upstreamID(mustPrimary(t, c))].kill()
	c.eventually(failoverLimit, func() error {
		_, err := c.connect(c.vms[2]).Exec(context.Background(), sql)
		if sqlState(err) != "SW003" {
			return fmt.Errorf("got %w", err)
		}
		return nil
	})
	for i, want := range []string{"", "SW003"} {
		conn := c.connect(c.vms[1+i])
		mustExec(t, conn, "begin")
		_, err := conn.Exec(context.Background(), "/* request_id='invoice-2' */ update invoices set amount = amount + 7 where id = 1")
		assert.Equal(t, sqlState(err), want, "%v", err)
		mustExec(t, conn, "commit")
	}
	var amount int
	assert.NilError(t, c.connect(c.vms[2], "session", "checker").QueryRow(context.Background(), "select amount from invoices where id = 1").Scan(&amount))
	assert.Equal(t, amount, 12)
}

// Guards against a graceful stop that interrupts a request or an open transaction.
func TestGracefulStopFinishesRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	mustExec(t, c.connect(c.vms[1]), "create table sessions (id int8 primary key, berth int8)")
	ctx := context.Background()
	conn := c.connect(c.vms[0])
	tx, err := conn.Begin(ctx)
	assert.NilError(t, err)
	_, err = tx.Exec(ctx, "insert into sessions (id, berth) values (1, 1)")
	assert.NilError(t, err)
	slow := c.connect(c.vms[0])
	slowEnd := make(chan error, 1)
	go func() {
		_, err := slow.Exec(ctx, "select pg_sleep(2)")
		slowEnd <- err
	}()
	time.Sleep(100 * time.Millisecond)
	c.procs["vm-1"].signal(t, syscall.SIGTERM)
	time.Sleep(time.Second)
	_, err = tx.Exec(ctx, "insert into sessions (id, berth) values (2, 1)")
	assert.NilError(t, err)
	assert.NilError(t, tx.Commit(ctx))
	assert.NilError(t, <-slowEnd)
	select {
	case err := <-c.procs["vm-1"].end:
		c.procs["vm-1"].end <- err
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the entry VM did not stop")
	}
	var n int
	assert.NilError(t, c.connect(c.vms[1], "session", "checker").QueryRow(ctx, "select count(*) from sessions").Scan(&n))
	assert.Equal(t, n, 2)
}

// Guards against edits that are not in force on every entry VM within 7 s, that overwrite a concurrent
// edit, or that are reverted by applying an outdated file.
func TestTableEdits(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4)
	settings := c.vms[0].settings
	checkout, code := c.run("", "table", "show", "--settings", settings)
	assert.Equal(t, code, 0, checkout)
	first := strings.Replace(checkout, "current,middle", "current,urgent", 1)
	second := strings.Replace(checkout, "current,middle", "current,last", 1)
	var wg sync.WaitGroup
	outs, codes := make([]string, 2), make([]int, 2)
	for i, csv := range []string{first, second} {
		wg.Go(func() { outs[i], codes[i] = c.run(csv, "table", "apply", "--settings", settings, "-") })
	}
	wg.Wait()
	assert.Assert(t, (codes[0] == 0) != (codes[1] == 0), "%v %v", codes, outs)
	winner := 0
	if codes[1] == 0 {
		winner = 1
	}
	assert.Assert(t, strings.Contains(outs[winner], "in force on all 4 entry VMs"), outs[winner])
	assert.Assert(t, codes[1-winner] == 3 && strings.Contains(outs[1-winner], "current"), outs[1-winner])
	out, code := c.run(checkout, "table", "apply", "--settings", settings, "-")
	assert.Equal(t, code, 3, "old checkout: %s", out)
}

// Guards against an entry VM that can't start during an outage of the platform.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.procs["vm-3"].kill()
	c.procs["platform"].kill()
	c.startVM(c.vms[2])
	c.waitHTTP("http://" + c.vms[2].admin + "/readyz")
	var status struct{ TableVersion int }
	assert.NilError(t, c.get("http://"+c.vms[2].admin+"/status", &status))
	assert.Equal(t, status.TableVersion, 1)
	mustExec(t, c.connect(c.vms[2]), "create table sessions (id int8 primary key)")
}

// Guards against errors whose code or text doesn't tell what is wrong with the input, and against a listener
// that fails after invalid input.
func TestBadInput(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	dial := func(params string) error {
		conn, err := pgx.Connect(context.Background(), "postgres://test@"+c.vms[0].callers+"/"+params)
		if err == nil {
			_ = conn.Close(context.Background())
		}
		return err
	}
	assert.Equal(t, sqlState(dial("no-such-group?sslmode=disable")), "3D000")
	assert.Equal(t, sqlState(dial("berth?sslmode=disable&snipewall.kind=no-such-kind")), "22023")
	conn := c.connect(c.vms[0])
	for _, sql := range []string{"listen news", "set search_path = x", "create temp table t (id int8)", "select pg_advisory_lock(1)"} {
		_, err := conn.Exec(context.Background(), sql)
		assert.Equal(t, sqlState(err), "0A000", sql)
	}
	mustExec(t, conn, "select 1")
	out, code := c.run("Kind,Rank,Weight\na,urgent,-1\na,soon,1\n", "table", "check", "-")
	assert.Equal(t, code, 2, out)
	for _, want := range []string{"-1", "soon", "Weight", "Rank"} {
		assert.Assert(t, strings.Contains(out, want), out)
	}
	dump, code := c.run("", "dump", "--settings", c.vms[0].settings)
	assert.Equal(t, code, 0)
	assert.Assert(t, json.Valid([]byte(dump)), dump)
}
