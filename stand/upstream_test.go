package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// startUpstream runs the subcommand upstream in this process until the test ends, and returns the
// addresses that it prints.
func startUpstream(t *testing.T, args ...string) (sql, admin string) {
	t.Helper()
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	stdout := os.Stdout
	os.Stdout = w
	defer func() { os.Stdout = stdout }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	args = append([]string{"upstream", "--admin", "127.0.0.1:0"}, args...)
	go func() { done <- upstreamCommand().Run(ctx, args) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	lines := bufio.NewScanner(r)
	for sql == "" && lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "admin port on "); ok {
			admin = rest
		}
		sql, _ = strings.CutPrefix(lines.Text(), "listening on ")
		if sql == lines.Text() {
			sql = ""
		}
	}
	return sql, admin
}

func getStatus(t *testing.T, admin string) string {
	t.Helper()
	resp, err := http.Get("http://" + admin + "/status")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(body)
}

// Guards against flags that have no effect on the simulator, and against faults that block the admin port.
func TestUpstreamCommand(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	primary, admin := startUpstream(t, "--term", "3", "--connections", "1")
	_, replica := startUpstream(t, "--follow", primary, "--term", "3")
	c, err := pgx.Connect(ctx, "postgres://app@"+primary+"/db?sslmode=disable")
	assert.NilError(t, err)
	defer func() { _ = c.Close(ctx) }()
	_, err = pgx.Connect(ctx, "postgres://app@"+primary+"/db?sslmode=disable")
	assert.ErrorContains(t, err, "53300")
	_, err = c.Exec(ctx, "CREATE TABLE t (id int8)")
	assert.NilError(t, err)
	for !strings.Contains(getStatus(t, replica), `"Applied":{"Term":3,"Offset":2}`) {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
	for value, want := range map[string]int{"never": http.StatusBadRequest, "both@1s": http.StatusOK} {
		resp, err := http.PostForm("http://"+admin+"/fault", url.Values{"name": {"cut"}, "value": {value}})
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, want)
	}
	begin := time.Now()
	_, err = c.Exec(ctx, "SELECT 1")
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begin) > time.Second/2)
}
