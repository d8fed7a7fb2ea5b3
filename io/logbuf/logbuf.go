// Package logbuf writes log lines without blocking the goroutines that log.
//
// Lines go through a bounded buffer to one goroutine that writes them in batches. If the buffer is full
// because the output is slow, or if the rate limit is exceeded, lines are dropped and their number is
// logged later. Lines about single requests may use only a part of the rate, so that they leave room for those that
// explain them, such as changes of the configuration.
//
// # Usage
//
//	w := logbuf.New(logbuf.Config{Out: os.Stdout})
//	logger := log.NewJSONLogger(w)
//	requestLogger := log.NewJSONLogger(w.Requests())
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

// Defaults of Config: the rate is in lines per second, the buffer's size in bytes.
const (
	defaultInterval = 100 * time.Millisecond
	defaultRate     = 200
	defaultBuffer   = 256 << 10
)

// requestShare is the part of the rate that lines about single requests may use.
const requestShare = 0.75

// Config configures a Writer.
type Config struct {
	Out io.Writer
	// Interval is how often buffered lines are written; 0 means 100 ms.
	Interval time.Duration
	// Rate limits the lines per second; 0 means 200.
	Rate int
	// Buffer limits the size of the buffered lines in bytes; 0 means 256 KiB.
	Buffer int
}

// Writer is an io.Writer that buffers log lines. It is safe for concurrent use.
type Writer struct {
	cfg Config

	mu      sync.Mutex
	pending bytes.Buffer
	// second is the Unix time of the latest Write, and lines the number of lines buffered in that second.
	second int64
	lines  int
	// dropped is the number of dropped lines that flush has yet to report.
	dropped int
}

// New returns a writer that buffers lines until Run writes them.
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

// Write buffers the line, or drops it. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) { return w.write(line, w.cfg.Rate) }

// Requests returns the writer for lines about single requests.
func (w *Writer) Requests() io.Writer { return requestWriter{w} }

type requestWriter struct{ w *Writer }

func (r requestWriter) Write(line []byte) (int, error) {
	return r.w.write(line, int(requestShare*float64(r.w.cfg.Rate)))
}

// write buffers the line unless the second has that many lines already.
func (w *Writer) write(line []byte, rate int) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now().Unix(); now != w.second {
		w.second, w.lines = now, 0
	}
	if w.lines >= rate || w.pending.Len()+len(line) > w.cfg.Buffer {
		w.dropped++
		return len(line), nil
	}
	w.lines++
	return w.pending.Write(line)
}

// Run writes buffered lines until ctx ends, and then writes the rest. It returns the first error of
// Config.Out.
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
		fmt.Fprintf(&w.pending, "{\"Msg\":\"log lines dropped\",\"Lines\":%d}\n", w.dropped)
		w.dropped = 0
	}
	lines := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	w.mu.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := w.cfg.Out.Write(lines)
	return err
}
