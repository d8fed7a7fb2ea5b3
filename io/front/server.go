package front

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"snipewall/core"
)

// Defaults of Config.
const (
	defaultMaxMessage     = 16 << 20
	defaultDeadline       = 30 * time.Second
	defaultStartupTimeout = 10 * time.Second
	defaultMaxStatements  = 2048
	defaultIdleInTx       = time.Minute
	defaultParkDelay      = 5 * time.Second
	defaultServerVersion  = "16.0 (snipewall)"
)

// Config holds what a Server needs. Listener, Router, Policies and Groups are required.
type Config struct {
	Listener net.Listener
	Router   core.Executor
	Policies core.Policies
	Groups   core.Groups
	// TLS, if set, is offered to callers that ask for it.
	TLS *tls.Config
	// TLSRequired refuses callers that don't ask for TLS.
	TLSRequired bool
	Log         log.Logger
	// Metrics receives counters in Pascal case.
	Metrics tally.Scope
	// DefaultKind is the kind of callers that name none.
	DefaultKind core.Kind
	// MaxMessage limits one message, and the messages up to a Sync together, in bytes.
	MaxMessage int
	// MaxConnections limits the connections of callers; 0 means no limit.
	MaxConnections int
	// MaxStatements limits the named prepared statements of one connection.
	MaxStatements int
	// Deadline limits requests whose kind has no deadline.
	Deadline time.Duration
	// StartupTimeout limits the time from accepting a connection to its start-up message.
	StartupTimeout time.Duration
	// IdleInTx limits the time that a caller may stay silent inside a transaction, which holds an
	// upstream connection.
	IdleInTx time.Duration
	// ParkDelay is how long a connection is idle before its memory is reduced further.
	ParkDelay time.Duration
	// ServerVersion is reported to callers.
	ServerVersion string
}

func (c *Config) setDefaults() {
	if c.Log == nil {
		c.Log = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	if c.MaxMessage <= 0 {
		c.MaxMessage = defaultMaxMessage
	}
	if c.MaxStatements <= 0 {
		c.MaxStatements = defaultMaxStatements
	}
	if c.Deadline <= 0 {
		c.Deadline = defaultDeadline
	}
	if c.StartupTimeout <= 0 {
		c.StartupTimeout = defaultStartupTimeout
	}
	if c.IdleInTx <= 0 {
		c.IdleInTx = defaultIdleInTx
	}
	if c.ParkDelay <= 0 {
		c.ParkDelay = defaultParkDelay
	}
	if c.ServerVersion == "" {
		c.ServerVersion = defaultServerVersion
	}
}

// Server is the core.Service "front".
type Server struct {
	cfg      Config
	metrics  *metrics
	stmts    *interner
	requests atomic.Uint64
	draining atomic.Bool

	// ctx is the parent of all requests. Run sets it before it accepts.
	ctx context.Context

	mu       sync.Mutex
	sessions map[uint32]*session
	nextKey  uint32
	// ends receives the end of each connection.
	ends chan struct{}
	// empty is closed when the last session ends while draining.
	empty chan struct{}
}

// New returns a server that isn't running yet.
func New(cfg Config) *Server {
	cfg.setDefaults()
	return &Server{
		cfg:      cfg,
		metrics:  newMetrics(cfg.Metrics),
		stmts:    newInterner(),
		sessions: make(map[uint32]*session),
		ends:     make(chan struct{}, 64),
		empty:    make(chan struct{}),
	}
}

// Name returns "front".
func (s *Server) Name() string { return "front" }

// Run accepts callers until ctx ends. It then closes all connections, waits for their goroutines
// and returns nil.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.ctx = ctx
	accepted := make(chan net.Conn)
	acceptEnd := make(chan error, 1)
	go func() { acceptEnd <- s.accept(ctx, accepted) }()
	running := 0
	var failure error
	accepting, done := true, ctx.Done()
	for running > 0 || accepting || done != nil {
		select {
		case conn := <-accepted:
			running++
			go s.serve(conn)
		case <-s.ends:
			running--
		case failure = <-acceptEnd:
			accepting = false
			if failure != nil {
				cancel()
			}
		case <-done:
			done = nil
			s.closeAll()
		}
	}
	return failure
}

// accept passes connections on until the listener is closed by the end of ctx or by Drain.
func (s *Server) accept(ctx context.Context, accepted chan<- net.Conn) error {
	stop := context.AfterFunc(ctx, func() { _ = s.cfg.Listener.Close() })
	defer stop()
	for {
		conn, err := s.cfg.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil || s.draining.Load() {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			if retryAccept(ctx, err) {
				level.Warn(s.cfg.Log).Log("Msg", "accept failed, retrying", "Err", err)
				continue
			}
			return core.ErrCaller.Wrap(fmt.Errorf("accept: %w", err))
		}
		select {
		case accepted <- conn:
		case <-ctx.Done():
			_ = conn.Close()
			return nil
		}
	}
}

// serve starts a connection.
func (s *Server) serve(conn net.Conn) {
	s.metrics.opened.Inc(1)
	ss := newSession(s, conn)
	if !s.register(ss) {
		s.end(ss)
		return
	}
	if !ss.startup() {
		s.end(ss)
		return
	}
	s.resume(ss)
}

// resume serves a connection. If it is idle for long, a fresh goroutine with a small stack goes on,
// since a stack that has grown doesn't shrink to the initial size.
func (s *Server) resume(ss *session) {
	if ss.loop() {
		go s.resume(ss)
		return
	}
	s.end(ss)
}

// end closes a connection. Drain returns after the last unregister, when transactions must have
// ended.
func (s *Server) end(ss *session) {
	ss.close()
	s.unregister(ss)
	s.metrics.closed.Inc(1)
	s.ends <- struct{}{}
}

// register gives the session a key for CancelRequest. It returns false if the server has stopped.
func (s *Server) register(ss *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	for {
		s.nextKey++
		if _, taken := s.sessions[s.nextKey]; !taken && s.nextKey != 0 {
			break
		}
	}
	ss.key = s.nextKey
	s.sessions[ss.key] = ss
	return true
}

func (s *Server) unregister(ss *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[ss.key] == ss {
		delete(s.sessions, ss.key)
	}
	if s.draining.Load() && len(s.sessions) == 0 {
		s.signalEmpty()
	}
}

func (s *Server) signalEmpty() {
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// closeAll closes all connections, which ends their goroutines.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ss := range s.sessions {
		_ = ss.raw.Close()
	}
}

// cancel cancels the running request of the session with the key.
func (s *Server) cancel(key, secret uint32) {
	s.mu.Lock()
	ss := s.sessions[key]
	s.mu.Unlock()
	if ss != nil && ss.secret == secret {
		ss.cancelRunning()
	}
}

// Drain stops the server gracefully. It stops accepting, closes idle connections, and refuses new
// work as not run. Requests and transactions in flight go on. It returns when all connections have
// ended, or with the error of ctx. Run continues until its own context ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	if err := s.cfg.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return core.ErrCaller.Wrap(err)
	}
	s.mu.Lock()
	if len(s.sessions) == 0 {
		s.signalEmpty()
	}
	for _, ss := range s.sessions {
		ss.wakeIfIdle()
	}
	s.mu.Unlock()
	select {
	case <-s.empty:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain: %d connections still open: %w", s.open(), ctx.Err())
	}
}

func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Dump returns the state of the server.
func (s *Server) Dump() any {
	d := struct {
		Connections, Busy, Idle  int
		Statements               int
		Requests                 uint64
		Draining                 bool
		DefaultKind              core.Kind
		MaxMessage, MaxStatement int
	}{
		Statements: s.stmts.len(), Requests: s.requests.Load(), Draining: s.draining.Load(),
		DefaultKind: s.cfg.DefaultKind, MaxMessage: s.cfg.MaxMessage, MaxStatement: s.cfg.MaxStatements,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d.Connections = len(s.sessions)
	for _, ss := range s.sessions {
		if ss.state.Load() == stateIdle {
			d.Idle++
		} else {
			d.Busy++
		}
	}
	return d
}
