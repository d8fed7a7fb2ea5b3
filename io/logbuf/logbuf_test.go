package logbuf

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.out.Write(p)
}

// Guards against a slow output that blocks the goroutines that log, and against dropping lines without
// logging their number.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		w := New(Config{Out: out, Rate: 10})
		ctx, cancel := context.WithCancel(t.Context())
		end := make(chan error, 1)
		go func() { end <- w.Run(ctx) }()
		for i := range 1000 {
			_, err := fmt.Fprintf(w, "{\"Line\":%d}\n", i)
			assert.NilError(t, err)
		}
		close(out.release)
		time.Sleep(1500 * time.Millisecond)
		_, err := fmt.Fprintln(w, `{"Line":"last"}`)
		assert.NilError(t, err)
		cancel()
		assert.NilError(t, <-end)
		assert.Assert(t, strings.Contains(out.out.String(), `"Lines":990`), out.out.String())
		assert.Assert(t, strings.Contains(out.out.String(), `"last"`))
	})
}

// Guards against lines about failed requests that displace those that explain them.
func TestRequestLinesLeaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := New(Config{Out: &out, Rate: 100})
		requests := w.Requests()
		for range 1000 {
			_, err := fmt.Fprintln(requests, `{"Msg":"statement failed"}`)
			assert.NilError(t, err)
		}
		for i := range 25 {
			_, err := fmt.Fprintf(w, "{\"Line\":%d}\n", i)
			assert.NilError(t, err)
		}
		assert.NilError(t, w.flush())
		assert.Equal(t, strings.Count(out.String(), "statement failed"), 75)
		assert.Equal(t, strings.Count(out.String(), "Line\""), 25)
	})
}
