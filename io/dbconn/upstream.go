package dbconn

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

// Upstream implements core.Upstream. It keeps one connection for control functions open.
type Upstream struct {
	cfg           Config
	dataConfig    *pgconn.Config
	controlConfig *pgconn.Config
	// controlConn holds the control connection while no call uses it, or nil if there is none.
	controlConn chan *Conn
	// cancels holds a token for each cancel request in progress.
	cancels chan struct{}
	// hasRecordTable is set once the table of request ids is known to exist.
	hasRecordTable atomic.Bool
}

var _ core.Upstream = (*Upstream)(nil)

// Info returns the description of the upstream from the configuration.
func (u *Upstream) Info() core.UpstreamInfo { return u.cfg.Info }

// Dial opens a connection for requests. It returns *core.RefusedError if the upstream is at its
// connection limit.
func (u *Upstream) Dial(ctx context.Context) (core.Conn, error) {
	c, err := u.dial(ctx, u.dataConfig)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (u *Upstream) dial(ctx context.Context, cc *pgconn.Config) (*Conn, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, u.cfg.RequestTimeout)
		defer cancel()
	}
	pc, err := pgconn.ConnectConfig(ctx, cc)
	if err != nil {
		return nil, u.dialError(err)
	}
	// A slow write of the start-up makes pgconn read in the background, and that read may still go on.
	if err := pc.SyncConn(ctx); err != nil {
		_ = pc.Close(ctx)
		return nil, u.dialError(err)
	}
	hc, err := pc.Hijack()
	if err != nil {
		return nil, core.ErrUpstream.Wrap(err)
	}
	return newConn(u, pc, hc), nil
}

func (u *Upstream) dialError(err error) error {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Code == core.StateTooManyConnections {
		return &core.RefusedError{Upstream: u.cfg.Info.ID, Message: pgErr.Message}
	}
	return core.ErrUpstream.New("upstream %s: %w", u.cfg.Info.ID, err)
}

// Close closes the control connection and waits for the cancel requests in progress, at most 1 s. The
// upstream can still be used afterwards.
func (u *Upstream) Close() error {
	u.awaitCancels()
	c := <-u.controlConn
	u.controlConn <- nil
	if c == nil {
		return nil
	}
	return c.Close()
}

// statusFunction is the call of the control function that returns the status.
const statusFunction = "status()"

// Status returns the upstream's role, terms and log positions.
func (u *Upstream) Status(ctx context.Context) (core.UpstreamStatus, error) {
	return u.call(ctx, statusFunction, true)
}

// Prepare makes the upstream promise the term, after which it accepts no log entries and commits of
// lower terms. A refusal is a *core.SQLError. After any other error the upstream may have promised it.
func (u *Upstream) Prepare(ctx context.Context, term core.Term) (core.UpstreamStatus, error) {
	return u.call(ctx, "prepare("+formatTerm(term)+")", false)
}

// Promote makes the upstream the primary of the term. A refusal is a *core.SQLError. After any other
// error the call may have taken effect; it is safe to repeat.
func (u *Upstream) Promote(ctx context.Context, term core.Term) (core.UpstreamStatus, error) {
	return u.call(ctx, "promote("+formatTerm(term)+")", false)
}

// Follow makes the upstream a replica of the primary of the term. A refusal is a *core.SQLError. After
// any other error the call may have taken effect; it is safe to repeat.
func (u *Upstream) Follow(ctx context.Context, term core.Term, primary core.UpstreamInfo) (core.UpstreamStatus, error) {
	return u.call(ctx, "follow("+formatTerm(term)+", "+quote(primary.Address)+")", false)
}

func formatTerm(t core.Term) string { return strconv.FormatUint(uint64(t), 10) }

// quote returns a SQL literal.
func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// call runs a control function on the control connection, which it replaces if it is broken. If the call
// fails on the connection of an earlier call and repeat allows it to run twice, it is retried on a new
// one.
func (u *Upstream) call(ctx context.Context, function string, repeat bool) (core.UpstreamStatus, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, u.cfg.ControlTimeout)
		defer cancel()
	}
	var c *Conn
	select {
	case c = <-u.controlConn:
	case <-ctx.Done():
		return core.UpstreamStatus{}, core.ErrUpstream.New("upstream %s: control connection is busy: %w", u.cfg.Info.ID, ctx.Err())
	}
	defer func() { u.controlConn <- c }()
	reused := c != nil && c.isUsable()
	if !reused {
		var err error
		if c, err = u.replace(ctx, c); err != nil {
			return core.UpstreamStatus{}, err
		}
	}
	s, err := c.control(ctx, function)
	if err == nil || isRefusal(err) {
		return s, err
	}
	if !reused || !repeat || ctx.Err() != nil {
		return s, err
	}
	if c, err = u.replace(ctx, c); err != nil {
		return core.UpstreamStatus{}, err
	}
	return c.control(ctx, function)
}

// replace closes the old control connection, if any, and opens a new one.
func (u *Upstream) replace(ctx context.Context, old *Conn) (*Conn, error) {
	if old != nil {
		_ = old.Close()
	}
	return u.dial(ctx, u.controlConfig)
}

// isRefusal reports whether the upstream answered the call with an error.
func isRefusal(err error) bool {
	var sqlErr *core.SQLError
	return errors.As(err, &sqlErr)
}

// control runs one control function and reads its row.
func (c *Conn) control(ctx context.Context, function string) (core.UpstreamStatus, error) {
	row := statusRow{names: c.statusNames}
	res, err := c.Run(ctx, controlRequest(function, c.statusNames == nil), &row)
	if err != nil {
		return core.UpstreamStatus{}, err
	}
	if res.Err != nil {
		return core.UpstreamStatus{}, res.Err
	}
	s, err := row.status()
	if err != nil {
		// The columns may have changed.
		c.statusNames = nil
		return s, core.ErrUpstream.New("upstream %s: %s: %w", c.id, function, err)
	}
	c.statusNames = row.names
	return s, nil
}

// statusParse prepares the status query, which is by far the most frequent control call. Without the
// text of the query and the description of its columns, a call takes about a third of the bytes.
var statusParse = &pgproto3.Parse{Name: "snipewall_status", Query: "SELECT * FROM snipewall.status()"}

// controlRequest builds the request that calls a control function. describe asks for the columns of a
// status; the other functions always return theirs.
func controlRequest(function string, describe bool) *core.Request {
	if function != statusFunction {
		return &core.Request{Messages: []pgproto3.FrontendMessage{
			&pgproto3.Query{String: "SELECT * FROM snipewall." + function},
		}}
	}
	req := &core.Request{
		Messages: []pgproto3.FrontendMessage{&pgproto3.Bind{PreparedStatement: statusParse.Name}},
		Prepared: map[string]*pgproto3.Parse{statusParse.Name: statusParse},
	}
	if describe {
		req.Messages = append(req.Messages, &pgproto3.Describe{ObjectType: 'P'})
	}
	req.Messages = append(req.Messages, &pgproto3.Execute{}, &pgproto3.Sync{})
	return req
}

// statusRow collects the row that a control function returns.
type statusRow struct {
	names  []string
	values []string
	rows   int
}

// Send implements core.ResponseWriter.
func (r *statusRow) Send(msg pgproto3.BackendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.RowDescription:
		r.names = nil
		for _, f := range msg.Fields {
			r.names = append(r.names, string(f.Name))
		}
	case *pgproto3.DataRow:
		r.rows++
		r.values = r.values[:0]
		for _, v := range msg.Values {
			r.values = append(r.values, string(v))
		}
	}
	return nil
}

func (r *statusRow) status() (core.UpstreamStatus, error) {
	var s core.UpstreamStatus
	if r.rows != 1 || len(r.values) != len(r.names) {
		return s, errors.New("want one row, got " + strconv.Itoa(r.rows))
	}
	seen := 0
	for i, name := range r.names {
		known, err := setStatusField(&s, name, r.values[i])
		if err != nil {
			return s, err
		}
		if known {
			seen++
		}
	}
	if seen != statusColumns {
		return s, errors.New("the row lacks columns")
	}
	return s, nil
}

// statusColumns is the number of columns that setStatusField knows.
const statusColumns = 8

// setStatusField sets the field for a column. It ignores unknown columns, so that a later version of the
// upstream can add some.
func setStatusField(s *core.UpstreamStatus, name, value string) (known bool, err error) {
	switch name {
	case "role":
		switch value {
		case "primary":
			s.Role = core.RolePrimary
		case "replica":
			s.Role = core.RoleReplica
		default:
			return false, errors.New("unknown role " + strconv.Quote(value))
		}
		return true, nil
	case "leaving":
		s.Leaving = value == "t"
		return true, nil
	case "heard_ms":
		ms, err := strconv.ParseInt(value, 10, 64)
		s.Heard = time.Duration(ms) * time.Millisecond
		if ms < 0 {
			s.Heard = -1
		}
		return true, err
	}
	target := uintField(s, name)
	if target == nil {
		return false, nil
	}
	*target, err = strconv.ParseUint(value, 10, 64)
	return true, err
}

// uintField returns the field for a column with an unsigned integer, or nil if the name is unknown.
func uintField(s *core.UpstreamStatus, name string) *uint64 {
	switch name {
	case "promised_term":
		return (*uint64)(&s.Promised)
	case "log_term":
		return (*uint64)(&s.Log.Term)
	case "log_offset":
		return (*uint64)(&s.Log.Offset)
	case "applied_term":
		return (*uint64)(&s.Applied.Term)
	case "applied_offset":
		return (*uint64)(&s.Applied.Offset)
	}
	return nil
}
