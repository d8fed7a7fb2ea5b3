package dbsim

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// link is a connection whose traffic is subject to the simulated network delay and to faults.
type link struct {
	net.Conn
	srv    *Server
	ctx    context.Context
	cancel context.CancelFunc
	class  atomic.Uint32
	// silencedAtStart is the silencedCount of the class when the link was opened or classified.
	silencedAtStart atomic.Uint64
	// muted makes this link alone silent, for FaultLoseAnswer.
	muted atomic.Bool
}

func (s *Server) newLink(ctx context.Context, c net.Conn, class linkClass) *link {
	l := &link{Conn: c, srv: s}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.classify(class)
	return l
}

// classify sets the class. FaultSilent affects the link only if it is set for that class afterwards.
func (l *link) classify(class linkClass) {
	l.class.Store(uint32(class))
	l.silencedAtStart.Store(l.srv.faults.silencedCount(class))
}

// admit classifies the link by its StartupMessage or CancelRequest, and then blocks while incoming traffic of
// the class is held back.
func (l *link) admit(class linkClass) error {
	l.classify(class)
	return l.srv.faults.await(l.ctx, class, inward)
}

// isSilent reports whether the link drops all traffic. That is permanent.
func (l *link) isSilent() bool {
	return l.muted.Load() || l.srv.faults.silencedCount(linkClass(l.class.Load())) != l.silencedAtStart.Load()
}

// Read implements net.Conn. On a silent link it drops all data, but still returns an error when the peer
// closes the connection, so that the connection doesn't count against the limit forever.
func (l *link) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if l.isSilent() {
			if err != nil {
				return 0, err
			}
			continue
		}
		if awaitErr := l.srv.faults.await(l.ctx, linkClass(l.class.Load()), inward); awaitErr != nil {
			return 0, awaitErr
		}
		if l.isSilent() {
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

// Write implements net.Conn. On a silent link it drops the data and reports success.
func (l *link) Write(p []byte) (int, error) {
	if err := l.srv.faults.await(l.ctx, linkClass(l.class.Load()), outward); err != nil {
		return 0, err
	}
	if l.isSilent() {
		return len(p), nil
	}
	if err := l.delay(); err != nil {
		return 0, err
	}
	return l.Conn.Write(p)
}

// delay sleeps for the network delay of one direction. Replication connections have the replication lags
// instead.
func (l *link) delay() error {
	if l.srv.cfg.Delay == 0 || linkClass(l.class.Load()) == linkUpstream {
		return nil
	}
	return sleep(l.ctx, l.srv.faults.scale(l.srv.cfg.Delay))
}

// Close implements net.Conn. It also unblocks reads and writes that are held back or delayed.
func (l *link) Close() error {
	l.cancel()
	return l.Conn.Close()
}

// closeAfter closes the link when ctx ends. The function it returns cancels that.
func (l *link) closeAfter(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, func() { _ = l.Close() })
}

// startupTimeout limits the start-up of a connection.
const startupTimeout = 10 * time.Second
