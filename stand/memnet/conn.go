package memnet

import (
	"io"
	"net"
	"sync"
	"time"
)

// bufferSize limits the data on the way in one direction of a connection.
const bufferSize = 1 << 20

// segmentSize limits the data that is put on the way at once.
const segmentSize = 64 << 10

// chunk is data on the way.
type chunk struct {
	data []byte
	// due is when the data has crossed the link.
	due time.Time
}

// stream is one direction of a connection.
type stream struct {
	n    *Network
	link link
	mu   sync.Mutex
	// changed is closed and replaced when the stream or a deadline changes.
	changed chan struct{}
	chunks  []chunk
	size    int
	// ended tells that the sending side closed; broken that the receiving side did.
	ended  bool
	broken bool
	silent bool
	// readBy and writeBy are the deadlines of the two sides.
	readBy  time.Time
	writeBy time.Time
}

func newStream(n *Network, l link) *stream {
	return &stream{n: n, link: l, changed: make(chan struct{})}
}

// change runs f and wakes those who wait.
func (s *stream) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) silence() { s.change(func() { s.silent = true }) }

// read waits for data.
func (s *stream) read(p []byte) (int, error) {
	for {
		open, _, cutChanged := s.n.state(s.link)
		s.mu.Lock()
		n, wait, err := s.take(p, open)
		changed := s.changed
		s.mu.Unlock()
		if n > 0 || err != nil || len(p) == 0 {
			if n > 0 {
				s.change(func() {})
			}
			return n, err
		}
		await(wait, changed, cutChanged)
	}
}

// take returns data that has arrived, or how long to wait, 0 meaning until something changes. The
// caller holds the mutex.
func (s *stream) take(p []byte, open bool) (n int, wait time.Duration, err error) {
	now := time.Now()
	if s.broken {
		return 0, 0, net.ErrClosed
	}
	if !s.readBy.IsZero() {
		if wait = s.readBy.Sub(now); wait <= 0 {
			return 0, 0, errTimeout
		}
	}
	if !open || s.silent && !s.ended {
		return 0, wait, nil
	}
	if len(s.chunks) == 0 || s.silent {
		if s.ended {
			return 0, 0, io.EOF
		}
		return 0, wait, nil
	}
	c := &s.chunks[0]
	if due := c.due.Sub(now); due > 0 {
		if wait == 0 || due < wait {
			wait = due
		}
		return 0, wait, nil
	}
	n = copy(p, c.data)
	s.size -= n
	if c.data = c.data[n:]; len(c.data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n, 0, nil
}

// write puts data on the way in segments, waiting for space.
func (s *stream) write(p []byte) (int, error) {
	sent := 0
	for {
		segment := p[sent:min(len(p), sent+segmentSize)]
		if err := s.writeSegment(segment); err != nil {
			return sent, err
		}
		if sent += len(segment); sent == len(p) {
			return sent, nil
		}
	}
}

func (s *stream) writeSegment(p []byte) error {
	_, delay, _ := s.n.state(s.link)
	for {
		s.mu.Lock()
		ok, wait, err := s.put(p, delay)
		changed := s.changed
		s.mu.Unlock()
		if err != nil {
			return err
		}
		if ok {
			s.change(func() {})
			return nil
		}
		await(wait, changed, nil)
	}
}

// put adds a chunk if there is space. The caller holds the mutex.
func (s *stream) put(p []byte, delay time.Duration) (ok bool, wait time.Duration, err error) {
	now := time.Now()
	switch {
	case s.ended:
		return false, 0, net.ErrClosed
	case s.broken:
		return false, 0, io.ErrClosedPipe
	case !s.writeBy.IsZero():
		if wait = s.writeBy.Sub(now); wait <= 0 {
			return false, 0, errTimeout
		}
	}
	if s.silent {
		return true, 0, nil
	}
	if s.size > 0 && s.size+len(p) > bufferSize {
		return false, wait, nil
	}
	s.size += len(p)
	s.chunks = append(s.chunks, chunk{data: append([]byte(nil), p...), due: now.Add(delay)})
	return true, 0, nil
}

// await waits for a change, or for d if it is not 0.
func await(d time.Duration, changed, cutChanged <-chan struct{}) {
	var due <-chan time.Time
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
	case <-changed:
	case <-cutChanged:
	}
}

// conn implements net.Conn.
type conn struct {
	in, out       *stream
	local, remote net.Addr
}

// pair returns the two ends of a connection.
func (n *Network) pair(l link, addr net.Addr) (near, far *conn) {
	forth := newStream(n, l)
	back := newStream(n, link{l.to, l.from})
	near = &conn{in: back, out: forth, local: address(l.from), remote: addr}
	far = &conn{in: forth, out: back, local: addr, remote: address(l.from)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	return near, far
}

// abandon closes both ends of a connection that was never used.
func (c *conn) abandon(far *conn) {
	_ = c.Close()
	_ = far.Close()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn. Data that was written before still arrives.
func (c *conn) Close() error {
	c.out.change(func() { c.out.ended = true })
	c.in.change(func() { c.in.broken = true })
	n := c.out.n
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.change(func() { c.in.readBy = t })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.change(func() { c.out.writeBy = t })
	return nil
}
