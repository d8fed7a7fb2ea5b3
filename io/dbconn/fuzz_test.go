package dbconn

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against answers that make the adapter panic, hang or forward a ReadyForQuery.
func FuzzAnswer(f *testing.F) {
	var seed []byte
	for _, msg := range []pgproto3.BackendMessage{
		&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.CommandComplete{CommandTag: []byte("BEGIN")},
		&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")},
		&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.DataRow{Values: [][]byte{{'x'}, nil}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'T'},
		&pgproto3.ParameterStatus{Name: commitParameter, Value: "1/2"}, &pgproto3.ErrorResponse{Code: "23505"},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	} {
		seed, _ = msg.Encode(seed)
	}
	f.Add(seed, true)
	f.Add(seed, false)
	f.Fuzz(func(t *testing.T, src []byte, recorded bool) {
		c := &Conn{cfg: &Config{MaxPrepared: 1}, prepared: make(map[string]struct{}), frontend: pgproto3.NewFrontend(bytes.NewReader(src), nil)}
		c.frontend.SetMaxBodyLen(1 << 16)
		c.answer.c = c
		req := extended(core.ClassWrite, "get", "SELECT 1")
		plan := c.plan.request
		if recorded {
			plan = c.plan.requestWithRecord
		}
		assert.NilError(t, plan(c, req))
		var rec recorder
		c.answer.start(req, &rec, &c.plan)
		if c.read() == nil {
			assert.Assert(t, c.answer.done())
		}
		assert.Assert(t, !strings.Contains(rec.String(), "ReadyForQuery"))
	})
}

// Guards against accepting a status row with missing or malformed columns.
func FuzzStatusRow(f *testing.F) {
	f.Add("primary", "1", "2", "-1", "t", uint8(8))
	f.Add("replica", "x", "2", "7", "f", uint8(3))
	f.Fuzz(func(t *testing.T, role, term, offset, heard, leaving string, columns uint8) {
		r := statusRow{
			rows:   1,
			names:  []string{"role", "promised_term", "log_term", "log_offset", "applied_term", "applied_offset", "heard_ms", "leaving"},
			values: []string{role, term, term, offset, term, offset, heard, leaving},
		}
		n := min(int(columns), len(r.names))
		r.names, r.values = r.names[:n], r.values[:n]
		s, err := r.status()
		if err != nil {
			return
		}
		assert.Assert(t, s.Role != core.RoleUnknown)
		assert.Equal(t, n, statusColumns)
		assert.Equal(t, fmt.Sprint(uint64(s.Promised)), strings.TrimLeft(term, "0")+strings.Repeat("0", b2i(s.Promised == 0)))
	})
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
