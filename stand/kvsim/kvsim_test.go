package kvsim

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// do makes a call and returns the status and the body, or 0 and the error text if there is no response.
func do(t *testing.T, s *Server, method, path, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://platform"+path, strings.NewReader(body))
	assert.NilError(t, err)
	// curl -d sends this header. The server must not parse the body as a form because of it.
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := s.Client().Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// Guards against a simulator that is more lenient or stricter than the published Consul API.
func TestKeys(t *testing.T) {
	s := New(Config{MaxValue: 10})
	steps := []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"GET", "/v1/kv/a/b", "", 404, ""},
		{"PUT", "/v1/kv/a/b?cas=0", "one", 200, "true"},
		{"PUT", "/v1/kv/a/b?cas=0", "two", 200, "false"},
		{"PUT", "/v1/kv/a/b?cas=2", "two", 200, "true"},
		{"GET", "/v1/kv/a/b", "", 200, `[{"LockIndex":0,"Key":"a/b","Flags":0,"Value":"dHdv","CreateIndex":2,"ModifyIndex":3}]`},
		{"PUT", "/v1/kv/a/b?cas=3&acquire=x", "two", 400, "conflicting flags"},
		{"PUT", "/v1/kv/a/b?acquire=x", "two", 500, "invalid session"},
		{"PUT", "/v1/kv/a/b?cas=x", "two", 400, "cas"},
		{"GET", "/v1/kv/a/b?index=x", "", 400, "index"},
		{"PUT", "/v1/kv/a/b", "12345678901", 413, "too large"},
		{"DELETE", "/v1/kv/a/b?cas=2", "", 200, "false"},
		{"DELETE", "/v1/kv/a/b", "", 200, "true"},
		{"GET", "/v1/kv/a/b", "", 404, ""},
		{"PUT", "/v1/session/renew/x", "", 404, "not found"},
		{"PUT", "/v1/session/create", `{"TTL":"-1s"}`, 400, "TTL"},
		{"PUT", "/v1/fault/unknown?value=1", "", 400, "unknown fault"},
		{"PUT", "/v1/fault/slow?value=fast", "", 400, "fault slow"},
	}
	for _, step := range steps {
		status, body := do(t, s, step.method, step.path, step.body)
		assert.Equal(t, status, step.status, "%s %s: %s", step.method, step.path, body)
		assert.Assert(t, strings.Contains(body, step.want), "%s %s: %s", step.method, step.path, body)
	}
}

// Guards against an expired session without the behavior "delete" that deletes its keys or still holds
// them.
func TestSessionReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		_, created := do(t, s, "PUT", "/v1/session/create", `{"TTL":"10s"}`)
		id := strings.Split(created, `"`)[3]
		_, ok := do(t, s, "PUT", "/v1/kv/lead?acquire="+id, "vm-1")
		assert.Equal(t, ok, "true")
		time.Sleep(10 * time.Second)
		_, entry := do(t, s, "GET", "/v1/kv/lead", "")
		assert.Assert(t, strings.Contains(entry, `"Value":"dm0tMQ=="`) && !strings.Contains(entry, "Session"), entry)
	})
}

// Guards against a VM list that ignores its lag, and against VMs that can't be changed while the platform
// is down.
func TestListLagsAndFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{ListLag: 5 * time.Second, VMs: []core.VM{{ID: "vm-1"}}})
		assert.NilError(t, s.SetFault(FaultDown, "true"))
		status, _ := do(t, s, "PUT", "/v1/vms/vm-1?leaving=true", "")
		assert.Equal(t, status, 200)
		status, _ = do(t, s, "PUT", "/v1/vms/vm-2", `{"Upstream":"ledger-1"}`)
		assert.Equal(t, status, 200)
		status, _ = do(t, s, "GET", "/v1/vms", "")
		assert.Equal(t, status, 0)
		_, list := do(t, s, "GET", "/v1/fault", "")
		assert.Equal(t, list, `{"down":"true"}`)
		do(t, s, "DELETE", "/v1/fault/down", "")
		_, list = do(t, s, "GET", "/v1/vms", "")
		assert.Assert(t, !strings.Contains(list, "Leaving") && !strings.Contains(list, "vm-2"), list)
		time.Sleep(5 * time.Second)
		_, list = do(t, s, "GET", "/v1/vms", "")
		assert.Assert(t, strings.Contains(list, `"Leaving":true`) && strings.Contains(list, "ledger-1"), list)
	})
}

// Guards against rate limits that aren't enforced, counted or reset, which would hide a client that makes
// too many calls.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{ReadRate: 2})
		for _, want := range []int{404, 404, 429} {
			status, _ := do(t, s, "GET", "/v1/kv/a", "")
			assert.Equal(t, status, want)
		}
		time.Sleep(time.Second)
		do(t, s, "GET", "/v1/kv/a", "")
		assert.DeepEqual(t, s.Calls(), Calls{Reads: 3, MaxReads: 2, Refused: 1})
		_, calls := do(t, s, "GET", "/v1/calls", "")
		assert.Assert(t, strings.Contains(calls, `"Refused":1`), calls)
		do(t, s, "DELETE", "/v1/calls", "")
		assert.DeepEqual(t, s.Calls(), Calls{})
	})
}
