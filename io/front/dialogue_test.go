package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"snipewall/core"
)

// dialogue is a caller that sends and receives single messages of the protocol. It records the
// dialogue: F for the caller's messages, B for the answers, U for the requests that reach the router.
type dialogue struct {
	t    *testing.T
	srv  *testServer
	conn net.Conn
	fe   *pgproto3.Frontend
	out  strings.Builder
	seen int
}

func newDialogue(t *testing.T, srv *testServer, params map[string]string) *dialogue {
	t.Helper()
	conn, err := net.Dial("tcp", srv.addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	d := &dialogue{t: t, srv: srv, conn: conn, fe: pgproto3.NewFrontend(conn, conn)}
	d.fe.Trace(&d.out, pgproto3.TracerOptions{SuppressTimestamps: true, RegressMode: true})
	start := map[string]string{"user": "desk", "database": "berth-ledger"}
	for k, v := range params {
		start[k] = v
	}
	d.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: start})
	return d
}

// send writes the messages in a single write.
func (d *dialogue) send(msgs ...pgproto3.FrontendMessage) {
	d.t.Helper()
	for _, m := range msgs {
		d.fe.Send(m)
	}
	assert.NilError(d.t, d.fe.Flush())
}

// until reads up to the nth message of the type, or the end of the connection.
func (d *dialogue) until(n int, last pgproto3.BackendMessage) {
	d.t.Helper()
	for n > 0 {
		msg, err := d.fe.Receive()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			d.out.WriteString("B\t(end of the connection)\n")
			break
		}
		assert.NilError(d.t, err)
		switch m := msg.(type) {
		case *pgproto3.ErrorResponse:
			fmt.Fprintf(&d.out, "\t%s %s %s\n", m.Severity, m.Code, m.Message)
			if m.Hint != "" {
				fmt.Fprintf(&d.out, "\t%s\n", m.Hint)
			}
		case *pgproto3.NoticeResponse:
			fmt.Fprintf(&d.out, "\t%s %s %s\n", m.Severity, m.Code, m.Message)
		}
		if fmt.Sprintf("%T", msg) == fmt.Sprintf("%T", last) {
			n--
		}
	}
	all := d.srv.router.seen()
	for _, req := range all[d.seen:] {
		fmt.Fprintf(&d.out, "U\t%s", req.Class)
		if req.InTx {
			d.out.WriteString(" in transaction")
		}
		for _, m := range req.Messages {
			fmt.Fprintf(&d.out, " %s", messageText(m))
		}
		d.out.WriteString("\n")
	}
	d.seen = len(all)
}

func messageText(msg pgproto3.FrontendMessage) string {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return fmt.Sprintf("Query(%q)", m.String)
	case *pgproto3.Parse:
		return fmt.Sprintf("Parse(%q %q)", m.Name, m.Query)
	case *pgproto3.Bind:
		return fmt.Sprintf("Bind(%q %q)", m.DestinationPortal, m.PreparedStatement)
	case *pgproto3.Describe:
		return fmt.Sprintf("Describe(%c %q)", m.ObjectType, m.Name)
	case *pgproto3.Execute:
		return fmt.Sprintf("Execute(%q)", m.Portal)
	case *pgproto3.Close:
		return fmt.Sprintf("Close(%c %q)", m.ObjectType, m.Name)
	default:
		return strings.TrimPrefix(fmt.Sprintf("%T", msg), "*pgproto3.")
	}
}

func (d *dialogue) ready(n int) {
	d.t.Helper()
	d.until(n, &pgproto3.ReadyForQuery{})
}

// exchange sends the messages and reads one answer.
func (d *dialogue) exchange(title string, msgs ...pgproto3.FrontendMessage) {
	d.t.Helper()
	fmt.Fprintf(&d.out, "# %s\n", title)
	d.send(msgs...)
	d.ready(1)
}

func query(sql string) *pgproto3.Query { return &pgproto3.Query{String: sql} }

func parse(name, sql string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: sql} }

func bind(portal, name string, params ...string) *pgproto3.Bind {
	b := &pgproto3.Bind{DestinationPortal: portal, PreparedStatement: name}
	for _, p := range params {
		b.Parameters = append(b.Parameters, []byte(p))
	}
	return b
}

func describe(typ byte, name string) *pgproto3.Describe {
	return &pgproto3.Describe{ObjectType: typ, Name: name}
}

func execute(portal string) *pgproto3.Execute { return &pgproto3.Execute{Portal: portal} }

func closeMessage(typ byte, name string) *pgproto3.Close {
	return &pgproto3.Close{ObjectType: typ, Name: name}
}

// run returns the messages that parse, bind and execute a statement.
func run(sql string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{parse("", sql), bind("", ""), execute("")}
}

func join(parts ...any) []pgproto3.FrontendMessage {
	var msgs []pgproto3.FrontendMessage
	for _, p := range parts {
		switch p := p.(type) {
		case []pgproto3.FrontendMessage:
			msgs = append(msgs, p...)
		case pgproto3.FrontendMessage:
			msgs = append(msgs, p)
		}
	}
	return msgs
}

var (
	syncMsg  = &pgproto3.Sync{}
	flushMsg = &pgproto3.Flush{}
)

// Guards against unintended changes of the protocol that callers can see. The golden files contain the
// messages of whole sessions.
func TestDialogues(t *testing.T) {
	for name, script := range map[string]func(d *dialogue){
		"simple":       simpleDialogue,
		"extended":     extendedDialogue,
		"flush":        flushDialogue,
		"pipeline":     pipelineDialogue,
		"transactions": transactionDialogue,
		"local":        localDialogue,
		"refusals":     refusalDialogue,
	} {
		t.Run(name, func(t *testing.T) {
			d := newDialogue(t, startServer(t), map[string]string{"snipewall.session": "desk-4"})
			d.ready(1)
			script(d)
			golden.Assert(t, d.out.String(), name+".golden")
		})
	}
}

func simpleDialogue(d *dialogue) {
	d.exchange("a read", query("select 1"))
	d.exchange("a write reports its position", query("/* kind='quote', request_id='r-81' */ insert into t values (1)"))
	d.exchange("several statements", query("select 1; insert into t values (1); select 1"))
	d.exchange("an error of the upstream ends the string", query("select 1; select missing; select 1"))
	d.exchange("nothing", query(" -- ping"))
	d.send(&pgproto3.Terminate{})
	d.ready(1)
}

func extendedDialogue(d *dialogue) {
	d.exchange("an unnamed statement in one batch", join(run("select v from t"), syncMsg)...)
	d.exchange("an unnamed statement over two batches: prepare",
		parse("", "select v from s where a = $1"), describe('S', ""), syncMsg)
	d.exchange("an unnamed statement over two batches: execute",
		bind("", "", "x"), describe('P', ""), execute(""), syncMsg)
	d.exchange("a write is only prepared", parse("ins", "insert into t values ($1)"), describe('S', "ins"), syncMsg)
	d.exchange("a named statement, twice in one batch", bind("p1", "ins", "x"), execute("p1"), closeMessage('P', "p1"),
		bind("p1", "ins", "y"), execute("p1"), syncMsg)
	d.exchange("a duplicate name", parse("ins", "select 1"), syncMsg)
	d.exchange("close needs no upstream", closeMessage('S', "ins"), syncMsg)
	d.exchange("a closed name is unknown", bind("", "ins"), execute(""), syncMsg)
	d.exchange("a statement that fails to parse isn't kept", parse("bad", "select syntax error"),
		closeMessage('S', "bad"), syncMsg)
	d.exchange("and its name is free", parse("bad", "select 2"), syncMsg)
	d.exchange("close and parse of one name in one batch", closeMessage('S', "bad"), parse("bad", "select 3"),
		bind("", "bad"), execute(""), syncMsg)
	d.exchange("an unknown portal", execute("nowhere"), syncMsg)
	d.exchange("only Sync", syncMsg)
}

func flushDialogue(d *dialogue) {
	d.out.WriteString("# prepare, Flush, execute\n")
	d.send(parse("", "select v from t where a = $1"), describe('S', ""), flushMsg)
	d.until(1, &pgproto3.RowDescription{})
	d.send(bind("", "", "x"), execute(""), syncMsg)
	d.ready(1)
	d.out.WriteString("# writes before and after Flush take effect together\n")
	d.send(join(run("insert into t values (1)"), flushMsg)...)
	d.until(1, &pgproto3.CommandComplete{})
	d.send(join(run("insert into t values (2)"), syncMsg)...)
	d.ready(1)
	d.out.WriteString("# an error before Flush skips up to Sync and rolls back\n")
	d.send(join(run("insert into t values (1)"), run("insert into missing values (1)"), flushMsg)...)
	d.until(1, &pgproto3.ErrorResponse{})
	d.send(join(run("insert into t values (2)"), flushMsg, syncMsg)...)
	d.ready(1)
	d.out.WriteString("# a refusal before Flush\n")
	d.send(parse("", "listen a"), flushMsg)
	d.until(1, &pgproto3.ErrorResponse{})
	d.send(join(run("insert into t values (2)"), syncMsg)...)
	d.ready(1)
}

func pipelineDialogue(d *dialogue) {
	d.out.WriteString("# batches in one piece are answered in order, an error ends its own batch only\n")
	d.send(join(run("select v from t"), syncMsg, run("insert into missing values (1)"), run("select 2"), syncMsg,
		query("insert into t values (1)"), run("select 3"), syncMsg)...)
	d.ready(4)
	d.out.WriteString("# a transaction in one piece\n")
	d.send(query("begin"), query("insert into t values (1)"), query("commit"))
	d.ready(3)
	d.out.WriteString("# a transaction in one batch\n")
	d.send(join(run("begin"), run("insert into t values (1)"), run("commit"), syncMsg)...)
	d.ready(1)
}

func transactionDialogue(d *dialogue) {
	d.exchange("begin", query("begin"))
	d.exchange("a portal lives to the end of the transaction", parse("", "select v from t"), bind("c", ""), syncMsg)
	d.exchange("and is executed in another batch", execute("c"), syncMsg)
	d.exchange("an error of the upstream", query("select missing"))
	d.exchange("the upstream refuses more", query("select 1"))
	d.exchange("commit rolls back", query("commit"))
	d.exchange("commit without a transaction", query("commit"))
	d.exchange("the same in the extended protocol", join(run("rollback"), syncMsg)...)
	d.exchange("read only", query("begin read only"))
	d.exchange("a refused statement fails the transaction", query("listen a"))
	d.exchange("which the extended protocol sees too", join(run("select 1"), syncMsg)...)
	d.exchange("until its end", join(run("rollback"), syncMsg)...)
	d.exchange("and goes on", query("select 1"))
}

func localDialogue(d *dialogue) {
	d.exchange("set and show", query("set snipewall.kind = 'quote'; show snipewall.kind; show snipewall.session"))
	d.exchange("show in the extended protocol", parse("s", "show snipewall.position"), describe('S', "s"),
		bind("", "s"), describe('P', ""), execute(""), syncMsg)
	d.exchange("local and other statements in one batch", join(run("set snipewall.position = '3/5'"),
		run("select v from t"), run("show snipewall.position"), parse("x", "insert into t values (1)"),
		closeMessage('S', "x"), syncMsg)...)
	d.exchange("an error keeps what follows from having an effect", join(run("set snipewall.kind = 'nothing'"),
		run("insert into t values (1)"), syncMsg)...)
	d.exchange("parameters of the upstreams", query("set datestyle = iso; set extra_float_digits = 3"))
	d.exchange("an empty statement", join(run(""), syncMsg)...)
	d.exchange("reset and discard", query("reset all; discard all"))
}

func refusalDialogue(d *dialogue) {
	for _, sql := range []string{"listen a", "set search_path = a", "prepare a as select 1", "create temp table t (a int)",
		"select pg_advisory_lock(1)", "declare c cursor with hold for select 1", "copy t from stdin",
		"begin; commit; begin", "/* request_id='r-1' */ begin; insert into t values (1); commit"} {
		d.exchange("a statement that a pool can't serve", query(sql))
	}
	d.exchange("nothing of a batch runs if a part is refused",
		join(run("insert into t values (1)"), run("listen a"), syncMsg)...)
	d.exchange("function call", &pgproto3.FunctionCall{})
	d.exchange("Query inside a batch", parse("", "select 1"), query("select 1"))
	d.srv.router.setHook(failWith(&core.NotRunError{State: core.StateOverload, Reason: "queue full",
		RetryAfter: 40 * time.Millisecond}))
	d.exchange("overload", query("select 1"))
	d.out.WriteString("# a BEGIN that fails with more behind it\n")
	d.send(query("begin"), query("insert into t values (1)"), query("commit"))
	d.ready(3)
	d.exchange("a BEGIN that fails alone", query("begin"))
	d.srv.router.setHook(nil)
	d.exchange("start-up twice", &pgproto3.PasswordMessage{Password: "x"})
}
