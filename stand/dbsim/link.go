package dbsim

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// link is a connection whose traffic is subject to the network delay and to faults.
type link struct {
	net.Conn
	srv    *Server
	ctx    context.Context
	cancel context.CancelFunc
	class  atomic.Uint32
	// silenced is the class's count of silencings when the link was opened or classified.
	silenced atomic.Uint64
	// mute makes this link silent.
	mute atomic.Bool
}

func (s *Server) newLink(ctx context.Context, c net.Conn, class linkClass) *link {
	l := &link{Conn: c, srv: s}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.classify(class)
	return l
}

// classify tells who is at the other end.
func (l *link) classify(class linkClass) {
	l.class.Store(uint32(class))
	l.silenced.Store(l.srv.faults.silencedCount(class))
}

// admit classifies the link at the end of its start-up, which is held back like later traffic.
func (l *link) admit(class linkClass) error {
	l.classify(class)
	return l.srv.faults.await(l.ctx, class, inward)
}

// silent reports whether the link went silent for good.
func (l *link) silent() bool {
	return l.mute.Load() || l.srv.faults.silencedCount(linkClass(l.class.Load())) != l.silenced.Load()
}

// Read returns what has arrived. Traffic on a silent link is dropped, but the other side's closing
// is noticed, so that the connection doesn't count against the limit for ever.
func (l *link) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if l.silent() {
			if err != nil {
				return 0, err
			}
			continue
		}
		if gateErr := l.srv.faults.await(l.ctx, linkClass(l.class.Load()), inward); gateErr != nil {
			return 0, gateErr
		}
		if l.silent() {
			if err != nil {
				return 0, err
			}
			continue
		}
		if delayErr := l.delay(); delayErr != nil {
			return 0, delayErr
		}
		return n, err
	}
}

// Write sends or, on a silent link, drops the bytes.
func (l *link) Write(p []byte) (int, error) {
	if err := l.srv.faults.await(l.ctx, linkClass(l.class.Load()), outward); err != nil {
		return 0, err
	}
	if l.silent() {
		return len(p), nil
	}
	if err := l.delay(); err != nil {
		return 0, err
	}
	return l.Conn.Write(p)
}

// delay waits for the network delay of one direction. Replication has its own lag instead.
func (l *link) delay() error {
	if l.srv.cfg.Delay == 0 || linkClass(l.class.Load()) == linkUpstream {
		return nil
	}
	return sleep(l.ctx, l.srv.faults.scale(l.srv.cfg.Delay))
}

// Close ends waits on the link, too.
func (l *link) Close() error {
	l.cancel()
	return l.Conn.Close()
}

// closeAfter closes the link when ctx ends.
func (l *link) closeAfter(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = l.Close() })
}

// handshakeTime limits the start-up of a connection.
const handshakeTime = 10 * time.Second
