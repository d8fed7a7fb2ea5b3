// Package logbuf writes log lines without ever blocking who logs.
//
// Lines go through a bounded buffer to one goroutine that writes them in batches. When the writer is
// slower than the log, or more lines come than the rate allows, lines are dropped and their number is
// logged later.
//
// # Usage
//
//	w := logbuf.New(logbuf.Config{Out: os.Stdout})
//	logger := log.NewJSONLogger(w)
//	go func() { ended <- w.Run(ctx) }()
package logbuf

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Defaults of Config.
const (
	defaultInterval = 100 * time.Millisecond
	defaultRate     = 200
	defaultBuffer   = 256 << 10
)

// Config configures a Writer. Zero values stand for the defaults.
type Config struct {
	Out io.Writer
	// Interval is the longest time that a line waits to be written.
	Interval time.Duration
	// Rate is the number of lines a second that are kept.
	Rate int
	// Buffer is the number of bytes that may wait.
	Buffer int
}

// Writer is safe for concurrent use.
type Writer struct {
	cfg Config

	mu      sync.Mutex
	waiting bytes.Buffer
	// second and lines count the lines of the current second.
	second  int64
	lines   int
	dropped int
}

// New returns a writer that keeps lines until Run writes them.
func New(cfg Config) *Writer {
	if cfg.Interval <= 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.Rate <= 0 {
		cfg.Rate = defaultRate
	}
	if cfg.Buffer <= 0 {
		cfg.Buffer = defaultBuffer
	}
	return &Writer{cfg: cfg}
}

// Write keeps the line, or drops it and reports success all the same.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now().Unix(); now != w.second {
		w.second, w.lines = now, 0
	}
	if w.lines >= w.cfg.Rate || w.waiting.Len()+len(line) > w.cfg.Buffer {
		w.dropped++
		return len(line), nil
	}
	w.lines++
	return w.waiting.Write(line)
}

// Run writes the lines until ctx ends, and then what still waits.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.flush()
		case <-ticker.C:
			if err := w.flush(); err != nil {
				return err
			}
		}
	}
}

func (w *Writer) flush() error {
	w.mu.Lock()
	if w.dropped > 0 && w.lines < w.cfg.Rate {
		fmt.Fprintf(&w.waiting, "{\"Msg\":\"log lines dropped\",\"Lines\":%d}\n", w.dropped)
		w.dropped = 0
	}
	lines := bytes.Clone(w.waiting.Bytes())
	w.waiting.Reset()
	w.mu.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := w.cfg.Out.Write(lines)
	return err
}
