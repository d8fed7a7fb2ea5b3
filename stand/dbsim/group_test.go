package dbsim

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"snipewall/core"
	"snipewall/stand/memnet"
)

// group is a group of upstreams on an in-memory network.
type group struct {
	t       *testing.T
	ctx     context.Context
	net     *memnet.Network
	servers map[string]*Server
	cfg     Config
	// stops holds a function per host that stops its server and waits until it has ended.
	stops map[string]func()
}

// withGroup runs a scenario on the fake clock, with the first host as the primary of term 1 and the others
// as its replicas.
func withGroup(t *testing.T, cfg Config, hosts []string, scenario func(g *group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g := &group{t: t, ctx: ctx, net: memnet.New(), cfg: cfg, servers: make(map[string]*Server), stops: make(map[string]func())}
		for i, host := range hosts {
			db := NewPrimary(1)
			if i > 0 {
				db = NewReplica(1, hosts[0]+":1")
			}
			g.start(host, db)
		}
		// Deferred, so that the servers also stop after a failed assertion. Otherwise synctest would report a
		// deadlock instead of the assertion.
		defer func() {
			for _, stop := range g.stops {
				stop()
			}
		}()
		time.Sleep(time.Second)
		scenario(g)
	})
}

func (g *group) start(host string, db *Database) {
	lis, err := g.net.Listen(host + ":1")
	assert.NilError(g.t, err)
	cfg := g.cfg
	cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return g.net.Dial(ctx, host, addr) }
	srv := cfg.New(db)
	g.servers[host] = srv
	ctx, cancel := context.WithCancel(g.ctx)
	end := make(chan error, 1)
	g.stops[host] = func() {
		cancel()
		assert.Check(g.t, <-end)
	}
	go func() { end <- srv.Serve(ctx, lis) }()
}

// restart simulates a crash of the host and starts a server with the same database.
func (g *group) restart(host string) {
	g.stops[host]()
	g.net.Crash(host)
	g.start(host, g.db(host))
}

// connect opens a client's connection to the host.
func (g *group) connect(host string) *pgx.Conn {
	cfg, err := pgx.ParseConfig("postgres://app@" + host + ":1/berth-ledger?sslmode=disable")
	assert.NilError(g.t, err)
	cfg.DialFunc = g.net.Dialer("client")
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	c, err := pgx.ConnectConfig(g.ctx, cfg)
	assert.NilError(g.t, err)
	return c
}

func (g *group) db(host string) *Database { return g.servers[host].db }

// exec runs statements on the host, each in a transaction of its own.
func (g *group) exec(host string, list ...string) error {
	for _, sql := range list {
		stmts, err := Parse(sql)
		assert.NilError(g.t, err)
		tx := g.db(host).Begin(false)
		for _, s := range stmts {
			if _, err := tx.Exec(g.ctx, s, nil, nil); err != nil {
				tx.Rollback()
				return err
			}
		}
		if _, err := tx.Commit(); err != nil {
			return err
		}
	}
	return nil
}

// ids returns the ids of the rows that reads on the host see.
func (g *group) ids(host string) []int64 {
	stmts, err := Parse("SELECT id FROM t ORDER BY id")
	assert.NilError(g.t, err)
	res, err := g.db(host).Begin(true).Exec(g.ctx, stmts[0], nil, nil)
	assert.NilError(g.t, err)
	var ids []int64
	for _, r := range res.Rows {
		ids = append(ids, r[0].Int)
	}
	return ids
}

// Guards against an isolated old primary that keeps log entries which no replica had received, or that
// accepts writes after it has been told to follow the new primary.
func TestIsolatedPrimaryDropsTail(t *testing.T) {
	withGroup(t, Config{}, []string{"a", "b", "c"}, func(g *group) {
		assert.NilError(t, g.exec("a", "CREATE TABLE t (id int8 PRIMARY KEY, n int8)", "INSERT INTO t VALUES (1, 0)"))
		time.Sleep(time.Second)
		assert.DeepEqual(t, g.ids("c"), []int64{1})
		g.net.CutBoth("a", "b")
		g.net.CutBoth("a", "c")
		assert.NilError(t, g.exec("a", "INSERT INTO t VALUES (2, 0)", "UPDATE t SET n = 7 WHERE id = 1", "DELETE FROM t WHERE id = 1", "DROP TABLE t"))
		for _, host := range []string{"b", "c"} {
			_, err := g.db(host).Prepare(2)
			assert.NilError(t, err)
		}
		_, err := g.db("b").Promote(2)
		assert.NilError(t, err)
		_, err = g.db("c").Follow(2, "b:1")
		assert.NilError(t, err)
		assert.NilError(t, g.exec("b", "INSERT INTO t VALUES (3, 0)"))
		g.net.HealBoth("a", "b")
		g.net.HealBoth("a", "c")
		time.Sleep(time.Second)
		_, err = g.db("a").Follow(2, "b:1")
		assert.NilError(t, err)
		assert.ErrorContains(t, g.exec("a", "INSERT INTO t VALUES (4, 0)"), "25006")
		time.Sleep(time.Second)
		for _, host := range []string{"a", "b", "c"} {
			assert.DeepEqual(t, g.ids(host), []int64{1, 3})
			s := g.db(host).Status()
			assert.Equal(t, s.Log, core.Position{Term: 2, Offset: 5}, host)
			assert.Equal(t, s.Applied, s.Log)
		}
	})
}

// Guards against two failover drivers that both prepare a majority in the same term, and against
// promote and follow calls of superseded terms.
func TestTerms(t *testing.T) {
	type call func(db *Database) (core.UpstreamStatus, error)
	prepare := func(term core.Term) call {
		return func(db *Database) (core.UpstreamStatus, error) { return db.Prepare(term) }
	}
	promote := func(term core.Term) call {
		return func(db *Database) (core.UpstreamStatus, error) { return db.Promote(term) }
	}
	follow := func(term core.Term, primary string) call {
		return func(db *Database) (core.UpstreamStatus, error) { return db.Follow(term, primary) }
	}
	tests := []struct {
		name  string
		calls []call
		last  string
	}{
		{"prepare twice", []call{prepare(2), prepare(2)}, "not above"},
		{"prepare below", []call{prepare(3), prepare(2)}, "not above"},
		{"promote unprepared", []call{promote(2)}, "not the promised term"},
		{"promote superseded", []call{prepare(2), prepare(3), promote(2)}, "not the promised term"},
		{"promote twice", []call{prepare(2), promote(2), promote(2)}, ""},
		{"promote a follower", []call{prepare(2), follow(2, "x:1"), promote(2)}, "follows x:1"},
		{"follow below", []call{prepare(3), follow(2, "x:1")}, "below"},
		{"follow twice", []call{follow(2, "x:1"), follow(2, "x:1")}, ""},
		{"follow another primary of the term", []call{prepare(2), promote(2), follow(2, "x:1")}, "is primary"},
		{"follow after promotion", []call{prepare(2), promote(2), follow(3, "x:1")}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			db := NewReplica(1, "")
			before := db.Status()
			for i, c := range tt.calls {
				s, err := c(db)
				if i < len(tt.calls)-1 || tt.last == "" {
					assert.NilError(t, err)
				} else {
					assert.ErrorContains(t, err, tt.last)
					assert.DeepEqual(t, s, before)
				}
				before = s
			}
		})
	}
}

// Guards against a primary that commits a transaction after it has prepared a higher term, if the
// transaction was open before.
func TestPreparedPrimaryRefusesCommit(t *testing.T) {
	db := NewPrimary(1)
	tx := db.Begin(false)
	stmts, err := Parse("CREATE TABLE t (id int8)")
	assert.NilError(t, err)
	_, err = tx.Exec(context.Background(), stmts[0], nil, nil)
	assert.NilError(t, err)
	_, err = db.Prepare(2)
	assert.NilError(t, err)
	_, err = tx.Commit()
	assert.ErrorContains(t, err, "25006")
	assert.Equal(t, db.Status().Log, core.Position{Term: 1, Offset: 1})
}

// Guards against replication lags that delay nothing, or that stop replication.
func TestReplicationLag(t *testing.T) {
	tests := []struct {
		name         string
		cfg          Config
		log, applied core.Offset
	}{
		{"none", Config{}, 2, 2},
		{"apply", Config{ApplyLag: 500 * time.Millisecond}, 2, 1},
		{"ship", Config{ShipLag: 500 * time.Millisecond}, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withGroup(t, tt.cfg, []string{"a", "b"}, func(g *group) {
				time.Sleep(time.Second)
				assert.NilError(t, g.exec("a", "CREATE TABLE t (id int8)"))
				time.Sleep(100 * time.Millisecond)
				s := g.db("b").Status()
				assert.Equal(t, s.Log.Offset, tt.log)
				assert.Equal(t, s.Applied.Offset, tt.applied)
				time.Sleep(time.Second)
				assert.Equal(t, g.db("b").Status().Applied.Offset, core.Offset(2))
			})
		})
	}
}

// Guards against a replica that reports recent contact with a primary that is frozen, cut off or crashed,
// which would prevent a failover.
func TestPrimaryLastHeard(t *testing.T) {
	tests := []struct {
		name  string
		fault func(g *group) error
	}{
		{"frozen primary", func(g *group) error { return g.servers["a"].Fault(FaultFreeze, "on") }},
		{"cut primary", func(g *group) error { return g.servers["a"].Fault(FaultCut, "upstreams") }},
		{"primary that can't send", func(g *group) error { return g.servers["a"].Fault(FaultCut, "both:out") }},
		{"cut replica", func(g *group) error { return g.servers["b"].Fault(FaultCut, "upstreams:in") }},
		{"crashed primary", func(g *group) error { g.net.Crash("a"); return nil }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withGroup(t, Config{}, []string{"a", "b"}, func(g *group) {
				assert.Assert(t, g.db("b").Status().Heard < 100*time.Millisecond)
				assert.NilError(t, tt.fault(g))
				time.Sleep(3 * time.Second)
				assert.Assert(t, g.db("b").Status().Heard > 2*time.Second)
				if tt.name == "crashed primary" {
					return
				}
				assert.NilError(t, g.servers["a"].Fault(FaultFreeze, "off"))
				assert.NilError(t, g.servers["a"].Fault(FaultCut, "off"))
				assert.NilError(t, g.servers["b"].Fault(FaultCut, "off"))
				time.Sleep(time.Second)
				assert.Assert(t, g.db("b").Status().Heard < 100*time.Millisecond)
			})
		})
	}
}

// Guards against a replica that never reconnects after its replication connection has gone silent.
func TestSilentReplication(t *testing.T) {
	withGroup(t, Config{}, []string{"a", "b"}, func(g *group) {
		assert.NilError(t, g.servers["a"].Fault(FaultSilent, "upstreams"))
		assert.NilError(t, g.exec("a", "CREATE TABLE t (id int8)"))
		time.Sleep(3 * time.Second)
		assert.Equal(t, g.db("b").Status().Log.Offset, core.Offset(2))
	})
}
