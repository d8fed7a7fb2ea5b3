package dbsim

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
)

// testTimeout limits the duration of each test.
const testTimeout = 20 * time.Second

// start serves a database on a loopback address until the test ends.
func start(t *testing.T, cfg Config, db *Database) (srv *Server, address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv = cfg.New(db)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, lis) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return srv, lis.Addr().String()
}

func connect(ctx context.Context, t *testing.T, address string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(ctx, "postgres://app@"+address+"/berth-ledger?sslmode=disable")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a simulator that a PostgreSQL client library can't use with prepared statements.
func TestClientSession(t *testing.T) {
	ctx := testContext(t)
	_, address := start(t, Config{Slots: 2}, NewPrimary(1))
	c := connect(ctx, t, address)
	_, err := c.Exec(ctx, "CREATE TABLE berths (id bigint PRIMARY KEY, name text NOT NULL, open bool, kwh int DEFAULT 0)")
	assert.NilError(t, err)
	for i, name := range []string{"quay", "pier", "slip"} {
		tag, err := c.Exec(ctx, "INSERT INTO berths (id, name, open) VALUES ($1, $2, $3)", i+1, name, i != 1)
		assert.NilError(t, err)
		assert.Equal(t, tag.String(), "INSERT 0 1")
	}
	var name string
	var open bool
	var kwh int64
	assert.NilError(t, c.QueryRow(ctx, "UPDATE berths SET kwh = kwh + $2 WHERE id = $1 RETURNING name, open, kwh", 2, 40).Scan(&name, &open, &kwh))
	assert.Equal(t, name, "pier")
	assert.Equal(t, open, false)
	assert.Equal(t, kwh, int64(40))
	rows, err := c.Query(ctx, "SELECT * FROM berths WHERE open = $1 ORDER BY name DESC LIMIT 5", true)
	assert.NilError(t, err)
	list, err := pgx.CollectRows(rows, pgx.RowToMap)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0]["name"], "slip")
	_, err = c.Exec(ctx, "INSERT INTO berths (id, name) VALUES (1, 'again')")
	var pgErr *pgconn.PgError
	assert.Assert(t, asError(err, &pgErr))
	assert.Equal(t, pgErr.Code, "23505")
}

// Guards against query modes of a client library that the simulator doesn't support.
func TestClientModes(t *testing.T) {
	ctx := testContext(t)
	_, address := start(t, Config{}, NewPrimary(1))
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	mustExec(ctx, t, connect(ctx, t, address), "CREATE TABLE t (mode int8, name text, n int8, done bool)")
	for _, mode := range modes {
		t.Run(mode.String(), func(t *testing.T) {
			cfg, err := pgx.ParseConfig("postgres://app@" + address + "/berth-ledger?sslmode=disable")
			assert.NilError(t, err)
			cfg.DefaultQueryExecMode = mode
			c, err := pgx.ConnectConfig(ctx, cfg)
			assert.NilError(t, err)
			defer func() { _ = c.Close(ctx) }()
			assert.NilError(t, c.Ping(ctx))
			assert.NilError(t, pgx.BeginTxFunc(ctx, c, pgx.TxOptions{}, func(tx pgx.Tx) error {
				_, err := tx.Exec(ctx, "INSERT INTO t VALUES ($1, $2, $3, $4)", int64(mode), "it's", -4, true)
				return err
			}))
			batch := &pgx.Batch{}
			batch.Queue("UPDATE t SET n = n + $1 WHERE mode = $2", 9, int64(mode))
			batch.Queue("UPDATE t SET name = $1, done = NULL WHERE mode = $2 AND name = $3", "x", int64(mode), "it's")
			assert.NilError(t, c.SendBatch(ctx, batch).Close())
			var name string
			var n int64
			var done *bool
			assert.NilError(t, c.QueryRow(ctx, "SELECT name, n, done FROM t WHERE mode = $1", int64(mode)).Scan(&name, &n, &done))
			assert.Equal(t, name, "x")
			assert.Equal(t, n, int64(5))
			assert.Assert(t, done == nil)
			assert.NilError(t, c.QueryRow(ctx, "SELECT pg_sleep($1), 7", 0.001).Scan(nil, &n))
			assert.Equal(t, n, int64(7))
		})
	}
}
