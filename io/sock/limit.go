package sock

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// LimitConfig configures a listener with a limit. Closed may be nil.
type LimitConfig struct {
	Listener net.Listener
	// Max is the number of connections that may be open at the same time.
	Max int
	// Closed is called after a connection was closed because of the limit.
	Closed func()
}

// Limit returns a listener that closes an older connection to accept one above the limit: the first that sent nothing,
// otherwise the one that has sent nothing for the longest time. A crowd that opens connections and leaves them can't keep
// others from connecting. When the process has no descriptor left, a connection is closed too. Connections that are marked
// as busy stay: if all are, the new one is closed, which has no work in progress.
func Limit(cfg LimitConfig) net.Listener {
	return &limitListener{Listener: cfg.Listener, cfg: cfg, conns: make(map[*limitConn]struct{})}
}

type limitListener struct {
	net.Listener
	cfg LimitConfig

	mu    sync.Mutex
	conns map[*limitConn]struct{}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				l.closeOne()
			}
			return nil, err
		}
		c := &limitConn{Conn: nc, l: l, openedAt: time.Now()}
		l.mu.Lock()
		full := len(l.conns) >= l.cfg.Max
		l.mu.Unlock()
		if full && !l.closeOne() {
			l.closeConn(c)
			continue
		}
		l.mu.Lock()
		l.conns[c] = struct{}{}
		l.mu.Unlock()
		return c, nil
	}
}

// closeOne closes the connection that has been silent for the longest time and isn't busy. It returns false if there is none.
func (l *limitListener) closeOne() bool {
	l.mu.Lock()
	var oldest *limitConn
	for c := range l.conns {
		if !c.busy.Load() && (oldest == nil || c.isBefore(oldest)) {
			oldest = c
		}
	}
	l.mu.Unlock()
	if oldest == nil {
		return false
	}
	l.closeConn(oldest)
	return true
}

func (l *limitListener) closeConn(c *limitConn) {
	_ = c.Close()
	if l.cfg.Closed != nil {
		l.cfg.Closed()
	}
}

// SetBusy marks a connection of a listener with a limit as one whose peer waits for work in progress, or as one that may be closed
// again. It does nothing to other connections.
func SetBusy(c net.Conn, busy bool) {
	if lc, ok := c.(*limitConn); ok {
		lc.busy.Store(busy)
	}
}

// limitConn is a connection that counts toward the limit of its listener.
type limitConn struct {
	net.Conn
	l        *limitListener
	openedAt time.Time
	// readAfter is the time from the opening of the connection to the last read that returned bytes, in nanoseconds, or 0.
	readAfter atomic.Int64
	busy      atomic.Bool
}

// isBefore reports whether the connection is closed before the other one.
func (c *limitConn) isBefore(other *limitConn) bool {
	a, b := c.readAfter.Load(), other.readAfter.Load()
	if (a == 0) != (b == 0) {
		return a == 0
	}
	return c.openedAt.Add(time.Duration(a)).Before(other.openedAt.Add(time.Duration(b)))
}

// Read implements net.Conn.
func (c *limitConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.readAfter.Store(int64(time.Since(c.openedAt)) + 1)
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *limitConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the stream to the peer, so that it reads the end after all that was written.
func (c *limitConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
