package dbsim

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against statements that are parsed wrongly, and against results and errors that differ from
// PostgreSQL's.
func TestStatements(t *testing.T) {
	db := NewPrimary(1)
	tests := []struct{ sql, want string }{
		{"CREATE TABLE t (id int8 PRIMARY KEY, name varchar(20) NOT NULL, done bool DEFAULT false, n integer)", "CREATE TABLE"},
		{"CREATE TABLE t (id int)", "42P07"},
		{"CREATE TABLE IF NOT EXISTS t (id int)", "CREATE TABLE"},
		{"INSERT INTO t VALUES (1, 'a', true, 5), (2, 'it''s', false, NULL)", "INSERT 0 2"},
		{"INSERT INTO t (id, name) VALUES (3, 'c') RETURNING id, done", "INSERT 0 1: 3,f"},
		{"INSERT INTO t (id, name) VALUES (4, 'd'), (1, 'x')", "23505"},
		{"INSERT INTO t (id, name) VALUES (5, 'd'), (5, 'x')", "23505"},
		{"INSERT INTO t (id, name) VALUES (1, 'x'), (4, 'd') ON CONFLICT (id) DO NOTHING", "INSERT 0 1"},
		{"INSERT INTO t (id) VALUES (9)", "23502"},
		{"INSERT INTO t (id, nope) VALUES (9, 1)", "42703"},
		{"INSERT INTO t (id, name) VALUES ('x', 'y')", "22P02"},
		{"SELECT id FROM t WHERE n IS NULL AND id <> 4 ORDER BY id DESC", "SELECT 2: 3 2"},
		{"SELECT name, n + 2 AS more FROM t WHERE id = 1 AND done = true", "SELECT 1: a,7"},
		{"SELECT count(*), sum(n), min(name), max(id) FROM t", "SELECT 1: 4,5,a,4"},
		{"SELECT id FROM t ORDER BY name LIMIT 1", "SELECT 1: 1"},
		{"SELECT id FROM t WHERE n = NULL", "SELECT 0"},
		{"UPDATE t SET n = n + 1, done = true WHERE id >= 2 AND id < 4", "UPDATE 2"},
		{"UPDATE t SET id = id + 10 WHERE id = 2 RETURNING *", "UPDATE 1: 12,it's,t,"},
		{"UPDATE t SET id = 1 WHERE id = 3", "23505"},
		{"DELETE FROM t WHERE id > 3 RETURNING id", "DELETE 2: 4 12"},
		{"SELECT * FROM t -- comment\n /* and /* nested */ one */ ORDER BY id", "SELECT 2: 1,a,t,5 3,c,t,"},
		{"SELECT 1, 'x'::text, 2 + 3, true, -4", "SELECT 1: 1,x,5,t,-4"},
		{"SELECT * FROM nope", "42P01"},
		{"SELECT nope FROM t", "42703"},
		{"SELECT", "42601"},
		{"UPDATE t SET", "42601"},
		{"CREATE TABLE u (id int DEFAULT 'x')", "22P02"},
		{"DROP TABLE t", "DROP TABLE"},
		{"DROP TABLE t", "42P01"},
		{"DROP TABLE IF EXISTS t", "DROP TABLE"},
		{"CREATE TABLE s (id bigserial PRIMARY KEY, v text)", "CREATE TABLE"},
		{"INSERT INTO s (v) VALUES ('a'), ('b') RETURNING id", "INSERT 0 2: 1 2"},
	}
	for _, tt := range tests {
		assert.Equal(t, outcome(db, tt.sql), tt.want, tt.sql)
	}
}

// outcome runs a statement in a transaction and returns its tag and rows, or its SQLSTATE.
func outcome(db *Database, sql string) string {
	tx := db.Begin(false)
	defer tx.Rollback()
	stmts, err := Parse(sql)
	var res *Rows
	if err == nil {
		res, err = tx.Exec(context.Background(), stmts[0], nil, nil)
	}
	if err == nil {
		_, err = tx.Commit()
	}
	var sqlErr *SQLError
	if errors.As(err, &sqlErr) {
		return sqlErr.State
	}
	if err != nil {
		return err.Error()
	}
	out := res.Tag
	for i, r := range res.Rows {
		words := make([]string, len(r))
		for j, v := range r {
			words[j] = v.String()
		}
		if i == 0 {
			out += ":"
		}
		out += " " + strings.Join(words, ",")
	}
	return out
}

// Guards against SQL text that makes the parser panic or loop forever, and against parsed statements that
// make the engine panic.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"SELECT * FROM t WHERE a = $1 AND b IS NOT NULL ORDER BY c DESC LIMIT 3 FOR UPDATE",
		"INSERT INTO t (a, b) VALUES ($1, 'x''y'), (-2, 1.5::float8) ON CONFLICT DO NOTHING RETURNING *",
		"CREATE TABLE t (a bigserial, b text NOT NULL DEFAULT 'x', PRIMARY KEY (a)); DROP TABLE t",
		"BEGIN READ ONLY; SET a TO 'b', c; SHOW a; COMMIT", "SELECT snipewall.follow(1, 'a:1')",
		"/* /* */ */ UPDATE t SET a = a + (1 - b) WHERE c >= 4 -- x", `SELECT "A""b" FROM public."t"`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		stmts, err := Parse(sql)
		if err != nil {
			var sqlErr *SQLError
			assert.Assert(t, errors.As(err, &sqlErr), "%v", err)
			return
		}
		db := NewPrimary(1)
		tx := db.Begin(false)
		for _, s := range stmts {
			_, _, _ = tx.describe(s, nil)
			_, _ = tx.Exec(context.Background(), s, []Value{Int(1)}, nil)
		}
		_, _ = tx.Commit()
	})
}

// Guards against parameters of a wrong size or format that cause a panic, and against values that change
// when they are encoded and decoded again.
func FuzzDecodeValue(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1}, uint8(TypeInt), true)
	f.Add([]byte("t"), uint8(TypeBool), false)
	f.Add([]byte("1.5"), uint8(TypeFloat), false)
	f.Fuzz(func(t *testing.T, src []byte, typ uint8, binaryFormat bool) {
		v, err := decodeValue(src, Type(typ%6), binaryFormat)
		if err != nil || v.IsNull() {
			return
		}
		_, enc := v.encode(nil, binaryFormat)
		again, err := decodeValue(enc, v.Type, binaryFormat)
		assert.NilError(t, err)
		assert.Equal(t, again, v, fmt.Sprintf("%q", src))
	})
}
