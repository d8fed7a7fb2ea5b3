package front

import (
	"testing"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against named prepared statements that stop working, which drivers cache by default, because
// a request runs on another upstream connection.
func TestPgxModes(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement,
		pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec,
		pgx.QueryExecModeSimpleProtocol} {
		t.Run(mode.String(), func(t *testing.T) {
			srv := startServer(t)
			conn := srv.connect(t, "")
			for range 3 {
				var v string
				err := conn.QueryRow(t.Context(), "select v from t where id = $1", mode, "a").Scan(&v)
				assert.NilError(t, err)
				assert.Equal(t, v, "1")
				assert.Equal(t, srv.router.last().Class, core.ClassRead)
				_, err = conn.Exec(t.Context(), "insert into t values ($1)", mode, "b")
				assert.NilError(t, err)
				assert.Equal(t, srv.router.last().Class, core.ClassWrite)
			}
		})
	}
}

// Guards against a driver's transaction that commits without reporting its position, or that still accepts
// statements after one has failed.
func TestPgxTransaction(t *testing.T) {
	srv := startServer(t)
	conn := srv.connect(t, "")
	tx, err := conn.Begin(t.Context())
	assert.NilError(t, err)
	_, err = tx.Exec(t.Context(), "insert into t values ($1)", "b")
	assert.NilError(t, err)
	assert.Assert(t, srv.router.last().InTx)
	assert.NilError(t, tx.Commit(t.Context()))
	assert.Equal(t, conn.PgConn().ParameterStatus("snipewall.position"), "1/1")
	assert.Equal(t, conn.PgConn().TxStatus(), byte('I'))

	tx, err = conn.Begin(t.Context())
	assert.NilError(t, err)
	_, err = tx.Exec(t.Context(), "insert into missing values (1)")
	assert.ErrorContains(t, err, "42P01")
	_, err = tx.Exec(t.Context(), "insert into t values (1)")
	assert.ErrorContains(t, err, "25P02")
	assert.NilError(t, tx.Rollback(t.Context()))
	assert.Equal(t, conn.PgConn().TxStatus(), byte('I'))
}

// Guards against a valid write that fails because it was prepared on a replica that has not yet applied
// the creation of its table, and against preparing it in the queue of another kind.
func TestWriteIsPreparedOnPrimary(t *testing.T) {
	srv := startServer(t)
	conn := srv.connect(t, "")
	_, err := conn.Prepare(t.Context(), "w", "/* kind='booking' */ insert into t values ($1)")
	assert.NilError(t, err)
	req := srv.router.last()
	assert.Equal(t, req.Class, core.ClassWrite)
	assert.Equal(t, req.Kind, core.Kind("booking"))
	assert.Assert(t, req.Idempotent, "preparing changes nothing")
	_, err = conn.Prepare(t.Context(), "r", "select v from t")
	assert.NilError(t, err)
	assert.Equal(t, srv.router.last().Class, core.ClassRead)
}
