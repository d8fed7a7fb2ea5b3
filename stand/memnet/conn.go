package memnet

import (
	"io"
	"net"
	"sync"
	"time"
)

// bufferBytes limits the data in flight in one direction of a connection.
const bufferBytes = 1 << 20

// segmentBytes limits the size of a segment.
const segmentBytes = 64 << 10

// segment is data in flight.
type segment struct {
	data []byte
	// arrivesAt is when the data reaches the receiver.
	arrivesAt time.Time
}

// stream is one direction of a connection. Its writer is the conn of one host, its reader that of the other.
type stream struct {
	n    *Network
	link link
	mu   sync.Mutex
	// changed is closed and replaced when the stream or a deadline changes.
	changed chan struct{}
	queue   []segment
	// buffered is the number of bytes in queue.
	buffered     int
	writerClosed bool
	readerClosed bool
	// silent drops all data, see Network.Silence.
	silent        bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newStream(n *Network, l link) *stream {
	return &stream{n: n, link: l, changed: make(chan struct{})}
}

// update runs f, which may change the stream, and wakes blocked reads and writes.
func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) silence() { s.update(func() { s.silent = true }) }

// read blocks until data has arrived, the stream has ended or the deadline has passed.
func (s *stream) read(p []byte) (int, error) {
	for {
		open, _, linksChanged := s.n.linkState(s.link)
		s.mu.Lock()
		n, wait, err := s.tryRead(p, open)
		changed := s.changed
		s.mu.Unlock()
		if n > 0 || err != nil || len(p) == 0 {
			if n > 0 {
				s.update(func() {})
			}
			return n, err
		}
		waitForChange(wait, changed, linksChanged)
	}
}

// tryRead returns data that has arrived. If there is none, it returns how long to wait, 0 meaning until
// the stream or the links change. The caller holds the mutex.
func (s *stream) tryRead(p []byte, open bool) (n int, wait time.Duration, err error) {
	now := time.Now()
	if s.readerClosed {
		return 0, 0, net.ErrClosed
	}
	if !s.readDeadline.IsZero() {
		if wait = s.readDeadline.Sub(now); wait <= 0 {
			return 0, 0, errTimeout
		}
	}
	if !open || s.silent && !s.writerClosed {
		return 0, wait, nil
	}
	if len(s.queue) == 0 || s.silent {
		if s.writerClosed {
			return 0, 0, io.EOF
		}
		return 0, wait, nil
	}
	head := &s.queue[0]
	if remaining := head.arrivesAt.Sub(now); remaining > 0 {
		if wait == 0 || remaining < wait {
			wait = remaining
		}
		return 0, wait, nil
	}
	n = copy(p, head.data)
	s.buffered -= n
	if head.data = head.data[n:]; len(head.data) == 0 {
		s.queue = s.queue[1:]
	}
	return n, 0, nil
}

// write sends data in segments. It blocks while the buffer is full.
func (s *stream) write(p []byte) (int, error) {
	sent := 0
	for {
		part := p[sent:min(len(p), sent+segmentBytes)]
		if err := s.writeSegment(part); err != nil {
			return sent, err
		}
		if sent += len(part); sent == len(p) {
			return sent, nil
		}
	}
}

func (s *stream) writeSegment(p []byte) error {
	_, delay, _ := s.n.linkState(s.link)
	for {
		s.mu.Lock()
		ok, wait, err := s.tryWrite(p, delay)
		changed := s.changed
		s.mu.Unlock()
		if err != nil {
			return err
		}
		if ok {
			s.update(func() {})
			return nil
		}
		waitForChange(wait, changed, nil)
	}
}

// tryWrite adds a segment if the buffer has space. If not, it returns how long to wait, 0 meaning until the
// stream changes. The caller holds the mutex.
func (s *stream) tryWrite(p []byte, delay time.Duration) (ok bool, wait time.Duration, err error) {
	now := time.Now()
	switch {
	case s.writerClosed:
		return false, 0, net.ErrClosed
	case s.readerClosed:
		return false, 0, io.ErrClosedPipe
	case !s.writeDeadline.IsZero():
		if wait = s.writeDeadline.Sub(now); wait <= 0 {
			return false, 0, errTimeout
		}
	}
	if s.silent {
		return true, 0, nil
	}
	if s.buffered > 0 && s.buffered+len(p) > bufferBytes {
		return false, wait, nil
	}
	s.buffered += len(p)
	s.queue = append(s.queue, segment{data: append([]byte(nil), p...), arrivesAt: now.Add(delay)})
	return true, 0, nil
}

// waitForChange blocks until one of the channels is closed, or at most for wait if that is not 0.
func waitForChange(wait time.Duration, changed, linksChanged <-chan struct{}) {
	var timeout <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-timeout:
	case <-changed:
	case <-linksChanged:
	}
}

// conn implements net.Conn.
type conn struct {
	in, out       *stream
	local, remote net.Addr
}

// newConnPair returns the two ends of a connection from l.from to the address on l.to.
func (n *Network) newConnPair(l link, addr net.Addr) (near, far *conn) {
	forward := newStream(n, l)
	back := newStream(n, link{l.to, l.from})
	near = &conn{in: back, out: forward, local: address(l.from), remote: addr}
	far = &conn{in: forward, out: back, local: addr, remote: address(l.from)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	return near, far
}

// closeBoth closes both ends of a connection whose dial failed.
func (c *conn) closeBoth(far *conn) {
	_ = c.Close()
	_ = far.Close()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn. The other end can still read the data that was written before.
func (c *conn) Close() error {
	c.out.update(func() { c.out.writerClosed = true })
	c.in.update(func() { c.in.readerClosed = true })
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
	c.in.update(func() { c.in.readDeadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.update(func() { c.out.writeDeadline = t })
	return nil
}
