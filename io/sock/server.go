package sock

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// acceptRetryDelay is the pause after a failure of Accept that may be temporary, such as a lack of file
// descriptors. In this time, some sessions usually end under load and free descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// ServerConfig configures a Server. All fields are required.
type ServerConfig[T comparable] struct {
	Listener net.Listener
	// Open returns the state of a new connection, which must differ from that of all others.
	Open func(c net.Conn) T
	// Serve serves the connection with the state. The server closes the connection when Serve returns.
	Serve func(ctx context.Context, state T)
	Log   log.Logger
}

// Server accepts connections and serves each with its own state of type T. It is safe for concurrent
// use.
type Server[T comparable] struct {
	cfg ServerConfig[T]
	// ends receives one value for each connection that has ended.
	ends chan struct{}

	mu    sync.Mutex
	conns map[T]net.Conn
}

// NewServer returns a server that accepts connections once Run is called.
func NewServer[T comparable](cfg ServerConfig[T]) *Server[T] {
	return &Server[T]{cfg: cfg, ends: make(chan struct{}, 64), conns: make(map[T]net.Conn)}
}

// Run accepts connections until ctx ends or the listener is closed. It then closes all connections and
// returns when they are no longer served. The error is that of the listener, or nil if ctx has ended.
func (s *Server[T]) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.cfg.Listener.Close() })
	defer stop()
	accepted := make(chan error, 1)
	go func() { accepted <- s.accept(ctx) }()
	running := true
	var failure error
	for running || s.Count() > 0 {
		select {
		case err := <-accepted:
			running = false
			if ctx.Err() == nil {
				failure = err
			}
			s.closeAll()
		case <-s.ends:
		}
	}
	return failure
}

// Count returns the number of open connections.
func (s *Server[T]) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Each calls fn with the state of each open connection. Connections can't be added or removed meanwhile,
// so fn must not block for long.
func (s *Server[T]) Each(fn func(state T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for state := range s.conns {
		fn(state)
	}
}

func (s *Server[T]) accept(ctx context.Context) error {
	for {
		c, err := s.cfg.Listener.Accept()
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				level.Warn(s.cfg.Log).Log("Msg", "connection not accepted", "Err", err)
				time.Sleep(acceptRetryDelay)
				continue
			}
			return err
		}
		state := s.cfg.Open(c)
		s.mu.Lock()
		s.conns[state] = c
		s.mu.Unlock()
		go func() {
			s.serve(ctx, state)
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, state)
			s.mu.Unlock()
			s.ends <- struct{}{}
		}()
	}
}

// serve serves one connection. A panic ends this connection only: a message that the code isn't prepared for must not
// end the connections of all other callers.
func (s *Server[T]) serve(ctx context.Context, state T) {
	defer func() {
		if v := recover(); v != nil {
			level.Error(s.cfg.Log).Log("Msg", "connection ended by a panic", "Panic", fmt.Sprint(v), "Stack", string(debug.Stack()))
		}
	}()
	s.cfg.Serve(ctx, state)
}

func (s *Server[T]) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}
