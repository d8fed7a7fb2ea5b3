package stmt

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// A write that is classified as a read would be answered without confirmation, or run on a replica.
func TestClass(t *testing.T) {
	for class, texts := range map[core.Class][]string{
		core.ClassRead: {
			"select 1", "SELECT * FROM t WHERE a = 'insert'", "values (1), (2)", "table t",
			"(select 1) union (select 2)", "with a as (select 1) select * from a",
			"with recursive a(n) as materialized (select 1) select count(*) from a",
			"select count(*) filter (where x in (1, 2)) over (partition by b) from t",
			"select pg_catalog.lower(x), cast(y as numeric(10,2)) from t",
			"select 'it''s update', $$ delete $$, $q$ insert $q$, E'\\'update', $1 from t",
			"select \"update\" from t -- for update", "select /* insert /* nested */ update */ 1",
			"select t.update from t", "explain (analyze) select 1", "explain select 1",
			"explain analyze verbose with a as (select 1) select 2", "explain (costs off) (select 1)",
			"select sum(a) filter (where b) over (order by c) from t group by cube (a), grouping sets (a)",
			"with a as not materialized (select 1) select * from a", "show server_version",
			"select * from a join lateral (select 1) b on (true)", "savepoint a", "release a",
			"rollback to savepoint a", "rollback work to a", "fetch 10 from c", "close c",
			"declare c cursor for select * from t", "set local work_mem = '1MB'",
			"set transaction read only", "set local role x", "select set_config('a', 'b', true)",
			"select a::varchar(10) from t", "select U&'\\0441', b'1', x'f', n'x'", "", ";",
			"select 1; select 2;", "select a from t tablesample system (10)",
			"select count /* a */ (*) from t", "select random (), clock_timestamp()",
		},
		core.ClassWrite: {
			"insert into t values (1)", "update t set a = 1", "delete from t", "merge into t using s",
			"select * from t for update", "select * from t for no key update", "select * from t FOR SHARE",
			"select * from t for key share", "select a into b from t",
			"with x as (insert into t values (1) returning *) select * from x",
			"with x as (delete from t) select 1", "select nextval('s')", "select setval('s', 1)",
			"select charge(4)", "select public.lower(x)", "select \"lower\"(x)", "select setseed (1)", "select pg_sleep(1)",
			"select count/* a */(*), charge -- b\n (4)", "select pg_advisory_xact_lock(1)",
			"create table t (a int)", "drop table t", "truncate t", "alter table t add b int", "call p()",
			"close (; insert into t values (1)", "do $$ begin commit; end $$", "vacuum t", "lock table t", "grant select on t to x",
			"explain analyze insert into t values (1)", "explain insert into t values (1)",
			"select 1; insert into t values (1)", "insert into t values (1); commit",
			"select 'unterminated", "select /* unterminated", "select $$ unterminated",
			"create function f() returns int begin atomic select 1; commit; end",
			"create rule r as on insert to t do also (update t set a = 1; delete from s)",
			"select distinct on (a) nextval('s')", "values (nextval('s'))", "refresh materialized view v",
			"explain analyze create table x as select 1", "explain (analyze, verbose) refresh materialized view v",
			"select next('s')", "select first(x), last(x)", "select system(1)",
			"select filter(x)", "select over (1)", "select distinct on (a) next('s')",
			"show transaction_read_only", "select pg_is_in_recovery()",
			"select E'a'\n'\\'' , nextval('s') , 'x'", "declare c cursor for select * from t for update",
			"select pg_catalog . nextval('s')", "select pg_catalog.charge(1)", "select currval('s')",
		},
		core.ClassBegin: {
			"begin", "BEGIN WORK", "start transaction", "begin isolation level serializable",
			"begin transaction read write", "begin read only, read write",
			"begin; insert into t values (1)", "begin; insert into t values (1); commit",
			"begin read only; insert into t values (1)", "insert into t values (1); begin read only",
		},
		core.ClassBeginRead: {
			"begin read only", "start transaction isolation level repeatable read, read only",
			"begin read only; select 1", "begin transaction read only; select 1; commit",
		},
		core.ClassEnd: {
			"commit", "end", "rollback", "abort", "commit work", "rollback and no chain", "select 1; commit",
		},
	} {
		for _, text := range texts {
			info := Classify(text)
			assert.Check(t, info.Unsupported == nil, "%s: %v", text, info.Unsupported)
			assert.Check(t, info.Class == class, "%s: got %s, want %s", text, info.Class, class)
		}
	}
}

// A statement whose effect stays in its database session would reach other callers.
func TestUnsupported(t *testing.T) {
	for statement, texts := range map[string][]string{
		"LISTEN":                {"listen a", "unlisten *", "select 1; listen a", "/* x */ LISTEN a", "-- x\nlisten a"},
		"NOTIFY":                {"notify a"},
		"PREPARE":               {"prepare a as select 1", "execute a", "deallocate all"},
		"PREPARE TRANSACTION":   {"prepare transaction 'a'", "commit prepared 'a'", "rollback prepared 'a'"},
		"COPY":                  {"copy t from stdin", "copy (select 1) to stdout"},
		"LOAD":                  {"load 'x'"},
		"DECLARE ... WITH HOLD": {"declare c scroll cursor with hold for select 1"},
		"a session-level advisory lock": {"select pg_advisory_lock(1)", "select pg_try_advisory_lock (1)",
			"select pg_catalog.pg_advisory_unlock_all()", "insert into t select pg_advisory_lock(1)"},
		"set_config for the session": {"select set_config('a', 'b', false)", "select set_config('a', 'true', $1)",
			"select set_config('a', f(1, true), false)"},
		"a temporary table, view or sequence": {"create temp table t (a int)", "create or replace temp view v as select 1",
			"create local temporary table t (a int)", "select 1 into temp t", "select a into temporary table t from s"},
		"SET ROLE or SET SESSION AUTHORIZATION": {"set role x", "set session role x", "set session authorization x", "reset role",
			"reset session authorization"},
		"SET SESSION CHARACTERISTICS": {"set session characteristics as transaction read only"},
		"AND CHAIN":                   {"commit and chain", "rollback work and chain"},
		"BEGIN after COMMIT or ROLLBACK in one query string": {"begin; commit; begin", "commit; begin"},
		"SET LOCAL of a snipewall parameter":                 {"set local snipewall.kind = 'a'"},
		"SET, SHOW, RESET or DISCARD together with other statements in one query string": {
			"set snipewall.kind = 'a'; select 1", "select 1; reset all"},
	} {
		for _, text := range texts {
			info := Classify(text)
			if info.Unsupported == nil {
				t.Errorf("%s: not refused", text)
				continue
			}
			assert.Check(t, info.Unsupported.Statement == statement, "%s: %s", text, info.Unsupported.Statement)
			assert.Check(t, info.Unsupported.Hint != "", text)
		}
	}
}

func TestLocals(t *testing.T) {
	for text, want := range map[string][]Local{
		"set snipewall.kind = 'quote'":         {{Action: ActionSet, Name: "snipewall.kind", Value: "quote"}},
		"SET SESSION Snipewall.Kind TO quote;": {{Action: ActionSet, Name: "snipewall.kind", Value: "quote"}},
		`set "snipewall"."kind" to 'it''s'`:    {{Action: ActionSet, Name: "snipewall.kind", Value: "it's"}},
		"set snipewall.kind = default":         {{Action: ActionSet, Name: "snipewall.kind", Value: "default", Default: true}},
		"set datestyle = iso, mdy":             {{Action: ActionSet, Name: "datestyle", Value: "iso, mdy"}},
		"set time zone 'UTC'":                  {{Action: ActionSet, Name: "timezone", Value: "UTC"}},
		"set timezone = 'UTC'":                 {{Action: ActionSet, Name: "timezone", Value: "UTC"}},
		"set names 'utf8'":                     {{Action: ActionSet, Name: "client_encoding", Value: "utf8"}},
		"set x = -1":                           {{Action: ActionSet, Name: "x", Value: "-1"}},
		"show snipewall.position":              {{Action: ActionShow, Name: "snipewall.position"}},
		"reset all":                            {{Action: ActionReset, Name: "all"}},
		"discard all":                          {{Action: ActionDiscard, Name: "all"}},
		"set a = 1; set b = 2": {{Action: ActionSet, Name: "a", Value: "1"},
			{Action: ActionSet, Name: "b", Value: "2"}},
	} {
		info := Classify(text)
		assert.Check(t, info.Unsupported == nil, "%s: %v", text, info.Unsupported)
		assert.DeepEqual(t, info.Locals, want)
	}
}

func TestTransactionFlags(t *testing.T) {
	for text, want := range map[string]Info{
		"begin":                         {Class: core.ClassBegin, Statements: 1, Begins: true},
		"commit":                        {Class: core.ClassEnd, Statements: 1, Ends: true, Commits: true},
		"rollback":                      {Class: core.ClassEnd, Statements: 1, Ends: true},
		"insert into t values (1); end": {Class: core.ClassWrite, Statements: 2, Ends: true, Commits: true, Writes: true},
		"begin; rollback":               {Class: core.ClassBegin, Statements: 2, Begins: true, Ends: true},
	} {
		assert.DeepEqual(t, Classify(text), want)
	}
}

// Then must find the same as classifying the statements in one text.
func TestThen(t *testing.T) {
	texts := []string{"select 1", "insert into t values (1)", "begin", "begin read only", "commit", "rollback"}
	for _, a := range texts {
		for _, b := range texts {
			for _, c := range texts {
				joined := Info{}.Append(Classify(a)).Append(Classify(b)).Append(Classify(c))
				assert.DeepEqual(t, joined, Classify(a+";"+b+";"+c))
			}
		}
	}
}

func FuzzClassify(f *testing.F) {
	for _, seed := range []string{"select 1", "insert into t values ('a')", "begin read only; commit", "set a.b = 'c'",
		"select $a$ x $a$, E'\\'', U&\"x\" /* /* */ */ -- x", "create function f() begin atomic select 1; end",
		"select set_config('a', 'b', true)", "declare c cursor with hold for select 1", "set a = $$", "'"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		info := Classify(text)
		// What follows a statement must never make it weaker.
		if worse := Classify(text + "\n;insert into t values (1)"); worse.Unsupported == nil &&
			worse.Class == core.ClassRead {
			t.Fatalf("%q hides an insert: %+v", text, worse)
		}
		if info.Unsupported != nil && Classify(text+";select 1").Unsupported == nil {
			t.Fatalf("%q is unsupported only without a following statement", text)
		}
	})
}

func BenchmarkClassify(b *testing.B) {
	for name, text := range map[string]string{
		"Short":  "select balance from berths where id = $1",
		"Insert": "insert into sessions (berth, start) values ($1, now())",
		"Begin":  "begin",
		"Join": "select b.id, count(*) from berths b join sessions s on s.berth = b.id " +
			"where s.start > now() - interval '1 day' and b.dock in ($1, $2) group by b.id order by 2 desc limit 10",
		"Long": "select " + strings.Repeat("coalesce(a, 'x'), ", 50) + "1 from t",
	} {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				Classify(text)
			}
		})
	}
}
