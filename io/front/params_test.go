package front

import (
	"crypto/rand"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

func pos(term core.Term, offset core.Offset) core.Position {
	return core.Position{Term: term, Offset: offset}
}

// Guards against stale reads: a named session needs a read index until its caller gives a position, and
// a read must see the connection's own writes.
func TestReadYourWrites(t *testing.T) {
	srv := startServer(t)
	conn := srv.connect(t, "&snipewall.session=desk-4")
	read := func(position core.Position, needIndex bool) {
		t.Helper()
		_, err := conn.Exec(t.Context(), "select 1")
		assert.NilError(t, err)
		assert.Equal(t, srv.router.last().Position, position)
		assert.Equal(t, srv.router.last().NeedIndex, needIndex)
	}
	exec := func(sql string) {
		t.Helper()
		_, err := conn.Exec(t.Context(), sql)
		assert.NilError(t, err)
	}
	read(core.Position{}, true)
	exec("insert into t values (1)")
	assert.Equal(t, conn.PgConn().ParameterStatus("snipewall.position"), "1/1")
	read(pos(1, 1), true)
	exec("set snipewall.position = '1/7'")
	read(pos(1, 7), false)
	exec("set snipewall.position = '1/3'")
	read(pos(1, 7), false)
	exec("set snipewall.session = 'desk-5'")
	read(pos(1, 7), true)
	exec("/* position='2/9' */ select 1")
	assert.Equal(t, srv.router.last().Position, pos(2, 9))
	assert.Assert(t, !srv.router.last().NeedIndex)
	exec("set snipewall.session = ''")
	read(pos(1, 7), false)
	exec("reset snipewall.session")
	read(pos(1, 7), true)
	assert.Equal(t, srv.router.last().Session, core.SessionID("desk-4"))
	exec("/* session='desk-6' */ select 1")
	assert.Equal(t, srv.router.last().Session, core.SessionID("desk-6"))
	assert.Assert(t, srv.router.last().NeedIndex)
	var shown string
	assert.NilError(t, conn.QueryRow(t.Context(), "show snipewall.position").Scan(&shown))
	assert.Equal(t, shown, "1/7")
}

// Guards against requests with the policy of another kind, and against a request id that applies to
// more than one write.
func TestKindAndRequestID(t *testing.T) {
	srv := startServer(t)
	conn := srv.connect(t, "&options=-c%20snipewall.kind%3Dquote")
	exec := func(sql string) *core.Request {
		t.Helper()
		_, err := conn.Exec(t.Context(), sql)
		assert.NilError(t, err)
		return srv.router.last()
	}
	req := exec("select 1")
	assert.Equal(t, req.Kind, core.Kind("quote"))
	assert.Equal(t, req.Rank, core.RankMiddle)
	assert.Equal(t, req.AcceptedAge, time.Second)
	assert.Assert(t, req.Idempotent)
	assert.Assert(t, time.Until(req.Deadline) < 5*time.Second)
	assert.Equal(t, exec("/* kind='booking' */ select 1").Kind, core.Kind("booking"))
	exec("set snipewall.request_id to 'r-81'")
	assert.Equal(t, exec("select 1").RequestID, core.RequestID(""))
	assert.Equal(t, exec("insert into t values (1)").RequestID, core.RequestID("r-81"))
	assert.Equal(t, exec("insert into t values (1)").RequestID, core.RequestID(""))
	assert.Equal(t, exec("/* request_id='r%2D82' */ insert into t values (1)").RequestID, core.RequestID("r-82"))
	for sql, state := range map[string]string{
		"set snipewall.kind = 'nothing'":       "22023",
		"/* kind='nothing' */ select 1":        "22023",
		"/* kind='%zz' */ select 1":            "22023",
		"set snipewall.position = 'x'":         "22023",
		"set snipewall.colour = 'x'":           "42704",
		"set search_path = other":              "0A000",
		"set client_encoding = 'LATIN1'":       "0A000",
		"listen updates":                       "0A000",
		"select currval('s')":                  "0A000",
		"set snipewall.kind = quote; select 1": "0A000",
	} {
		_, err := conn.Exec(t.Context(), sql)
		var pgErr *pgconn.PgError
		assert.Assert(t, errors.As(err, &pgErr), "%s: %v", sql, err)
		assert.Equal(t, pgErr.Code, state, "%s", sql)
	}
	for _, sql := range []string{"set client_encoding = 'UTF8'", "set names utf8", "set time zone 'UTC'",
		"set extra_float_digits = 3", "set application_name = 'x'", "set datestyle to iso, mdy", "discard all"} {
		exec(sql)
	}
}

// Guards against RESET and DISCARD ALL that lose the values of the start-up message, which PostgreSQL
// restores. Drivers send DISCARD ALL whenever they return a connection to their pool.
func TestResetToStartup(t *testing.T) {
	srv := startServer(t)
	conn := srv.connect(t, "&snipewall.kind=quote&snipewall.session=desk-4&snipewall.position=1/7")
	for _, reset := range []string{"discard all", "reset all", "reset snipewall.kind; reset snipewall.session",
		"set snipewall.kind = default; set snipewall.session to default"} {
		for _, sql := range []string{"set snipewall.kind = 'booking'", "set snipewall.session = 'desk-5'", reset, "select 1"} {
			_, err := conn.Exec(t.Context(), sql)
			assert.NilError(t, err)
		}
		req := srv.router.last()
		assert.Equal(t, req.Kind, core.Kind("quote"), reset)
		assert.Equal(t, req.Session, core.SessionID("desk-4"), reset)
		assert.Assert(t, req.NeedIndex, "the position belonged to the time before %s", reset)
	}
}

// Guards against accepting more connections than the memory of the process allows, which would end
// all of them.
func TestConnectionLimit(t *testing.T) {
	srv := startServer(t, func(c *Config) { c.MaxConnections = 1 })
	conn := srv.connect(t, "")
	_, err := pgx.Connect(t.Context(), srv.url(""))
	assert.Equal(t, stateOf(err), "53300")
	_, err = conn.Exec(t.Context(), "select 1")
	assert.NilError(t, err)
}

// Guards against refusing callers that ask for a later minor version or for options of the protocol,
// instead of telling them what is supported.
func TestNegotiateVersion(t *testing.T) {
	packet := startupPacket("_pq_.b", "1", "_pq_.a", "1")[4:]
	copy(packet, []byte{0, 3, 0, 9})
	params, negotiate, err := parseStartup(packet)
	assert.NilError(t, err)
	assert.DeepEqual(t, params, map[string]string{"user": "desk", "database": "berth-ledger"})
	assert.DeepEqual(t, negotiate.UnrecognizedOptions, []string{"_pq_.a", "_pq_.b"})
	copy(packet, []byte{0, 2, 0, 0})
	_, _, err = parseStartup(packet)
	assert.ErrorContains(t, err, "unsupported protocol version 2.0")
}

// Guards against accepting invalid parameters at start-up, and against closing the connection after a
// message that is too large.
func TestStartupRefusals(t *testing.T) {
	srv := startServer(t, func(c *Config) { c.MaxMessage = 1000 })
	for params, state := range map[string]string{
		"&snipewall.kind=nothing":                        "22023",
		"&snipewall.position=1":                          "22023",
		"&database=other":                                "3D000",
		"&search_path=other":                             "0A000",
		"&replication=database":                          "0A000",
		"&options=-c%20broken":                           "22023",
		"&snipewall.session=" + strings.Repeat("x", 300): "22023",
	} {
		_, err := pgx.Connect(t.Context(), srv.url(params))
		var pgErr *pgconn.PgError
		assert.Assert(t, errors.As(err, &pgErr), "%s: %v", params, err)
		assert.Equal(t, pgErr.Code, state, "%s", params)
	}
	conn := srv.connect(t, "")
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
		_, err := conn.Exec(t.Context(), "select $1", mode, rand.Text()+strings.Repeat("x", 2000))
		assert.ErrorContains(t, err, "54000")
		_, err = conn.Exec(t.Context(), "select 1")
		assert.NilError(t, err, "the connection must stay usable after a message that is too large")
	}
}
