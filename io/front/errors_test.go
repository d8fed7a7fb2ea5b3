package front

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against errors that tell the caller "not run" although the request may have run.
func TestErrorMapping(t *testing.T) {
	sent := func(err error) func(*core.Request) error {
		return func(req *core.Request) error { req.Attempt.MarkSent(); return err }
	}
	plain := func(err error) func(*core.Request) error { return func(*core.Request) error { return err } }
	for name, tc := range map[string]struct {
		sql   string
		err   func(*core.Request) error
		state string
		hint  string
	}{
		"overload": {"select 1", plain(&core.NotRunError{State: core.StateOverload, Reason: "queue full",
			RetryAfter: 1500 * time.Microsecond}), "SW001", "It is safe to repeat the request after 2 ms."},
		"unavailable": {"insert into t values (1)", plain(&core.NotRunError{State: core.StateUnavailable,
			Reason: "no primary"}), "SW002", "It is safe to repeat the request."},
		"unknown write": {"insert into t values (1)", plain(&core.UnknownOutcomeError{Reason: "lost"}), "08007",
			"The request may have taken effect. To repeat it safely, send it with snipewall.request_id, and send the same id again."},
		"unknown read": {"select 1", plain(&core.UnknownOutcomeError{Reason: "lost"}), "08007",
			"The request changes nothing; it is safe to repeat."},
		"duplicate": {"insert into t values (1)", plain(&core.DuplicateError{ID: "r-81"}), "SW003",
			"The write has taken effect once. Read its result, or use a new request id."},
		"redirect": {"insert into t values (1)", sent(&core.RedirectError{Group: "berth-ledger"}), "SW002",
			"It is safe to repeat the request."},
		"deadline, not sent": {"insert into t values (1)", plain(context.DeadlineExceeded), "SW001",
			"It is safe to repeat the request."},
		"deadline, write sent": {"insert into t values (1)", sent(context.DeadlineExceeded), "08007",
			"The request may have taken effect. To repeat it safely, send it with snipewall.request_id, and send the same id again."},
		"deadline, read sent": {"select 1", sent(context.DeadlineExceeded), "57014",
			"The request changes nothing; it is safe to repeat."},
		"transport, not sent": {"insert into t values (1)", plain(errors.New("connection refused")), "SW002",
			"It is safe to repeat the request."},
		"transport, sent": {"insert into t values (1)", sent(errors.New("reset")), "08007",
			"The request may have taken effect. To repeat it safely, send it with snipewall.request_id, and send the same id again."},
		"begin, sent": {"begin", sent(errors.New("reset")), "40003",
			"It is safe to repeat the transaction from BEGIN."},
	} {
		t.Run(name, func(t *testing.T) {
			srv := startServer(t)
			conn := srv.connect(t, "")
			srv.router.setHook(func(_ context.Context, req *core.Request, _ core.ResponseWriter) (core.Result, bool, error) {
				return core.Result{}, true, tc.err(req)
			})
			_, err := conn.Exec(t.Context(), tc.sql)
			var pgErr *pgconn.PgError
			assert.Assert(t, errors.As(err, &pgErr), "%v", err)
			assert.Equal(t, pgErr.Code, tc.state)
			assert.Equal(t, pgErr.Hint, tc.hint)
			srv.router.setHook(nil)
			_, err = conn.Exec(t.Context(), "insert into t values (1)")
			assert.NilError(t, err, "the connection must stay usable")
		})
	}
}

// Guards against wrong errors when the upstream is lost inside a transaction: everything is rolled back,
// unless COMMIT was in progress, whose outcome is unknown.
func TestLostTransaction(t *testing.T) {
	for name, tc := range map[string]struct {
		sql, state string
		status     byte
	}{
		"statement": {"insert into t values (1)", "40003", 'E'},
		"read":      {"select 1", "40003", 'E'},
		"rollback":  {"rollback", "40003", 'I'},
		"commit":    {"commit", "08007", 'I'},
	} {
		t.Run(name, func(t *testing.T) {
			srv := startServer(t)
			conn := srv.connect(t, "")
			_, err := conn.Exec(t.Context(), "begin")
			assert.NilError(t, err)
			srv.router.setHook(func(_ context.Context, req *core.Request, _ core.ResponseWriter) (core.Result, bool, error) {
				req.Attempt.MarkSent()
				return core.Result{}, true, errors.New("reset")
			})
			_, err = conn.Exec(t.Context(), tc.sql)
			srv.router.setHook(nil)
			var pgErr *pgconn.PgError
			assert.Assert(t, errors.As(err, &pgErr), "%v", err)
			assert.Equal(t, pgErr.Code, tc.state)
			assert.Equal(t, conn.PgConn().TxStatus(), tc.status)
			if tc.status == 'E' {
				// The caller may have sent this statement before it saw the error. It must not run outside
				// of the transaction.
				_, err = conn.Exec(t.Context(), "insert into t values (2)")
				assert.ErrorContains(t, err, "25P02")
				_, err = conn.Exec(t.Context(), "rollback")
				assert.NilError(t, err)
			}
			assert.Equal(t, conn.PgConn().TxStatus(), byte('I'))
			_, err = conn.Exec(t.Context(), "insert into t values (3)")
			assert.NilError(t, err)
		})
	}
}

// Guards against a lost COMMIT that is reported as rolled back because it was bound in an earlier batch.
func TestLostPortal(t *testing.T) {
	d := newDialogue(t, startServer(t), nil)
	d.ready(1)
	d.exchange("begin", query("begin"))
	d.exchange("bind", parse("", "commit"), bind("c", ""), syncMsg)
	d.srv.router.setHook(func(_ context.Context, req *core.Request, _ core.ResponseWriter) (core.Result, bool, error) {
		req.Attempt.MarkSent()
		return core.Result{}, true, errors.New("reset")
	})
	d.exchange("execute", execute("c"), syncMsg)
	assert.Assert(t, strings.Contains(d.out.String(), "ERROR 08007"), d.out.String())
}

// Guards against reporting that a write may have taken effect when only its preparation was lost, which
// goes to the primary like a write.
func TestLostPrepare(t *testing.T) {
	srv := startServer(t)
	conn := srv.connect(t, "")
	srv.router.setHook(failClass(core.ClassWrite))
	_, err := conn.Prepare(t.Context(), "a", "insert into t values ($1)")
	var pgErr *pgconn.PgError
	assert.Assert(t, errors.As(err, &pgErr), "%v", err)
	assert.Equal(t, pgErr.Hint, "The request changes nothing; it is safe to repeat.")
}
