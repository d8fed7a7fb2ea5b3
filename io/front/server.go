package front

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"snipewall/core"
	"snipewall/core/budget"
)

// Defaults of Config.
const (
	defaultMaxMessage      = 16 << 20
	defaultDeadline        = 30 * time.Second
	defaultStartupTimeout  = 10 * time.Second
	defaultStallTimeout    = 30 * time.Second
	defaultMaxStatements   = 2048
	defaultIdleInTxTimeout = time.Minute
	defaultParkDelay       = 5 * time.Second
	defaultServerVersion   = "16.0 (snipewall)"
)

// Config configures a Server. Listener, Router, Policies and Groups are required. Except where noted,
// the zero value of a limit or a time stands for a default.
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
	// Metrics receives the counters and histograms, whose names are in Pascal case; nil discards them.
	Metrics tally.Scope
	// DefaultKind is the kind of requests for which the caller sets none.
	DefaultKind core.Kind
	// MaxMessage limits one message, and the messages up to a Sync together, in bytes.
	MaxMessage int
	// Memory accounts for messages until they have run; nil means that there is no limit for all callers together.
	Memory *budget.Budget
	// MaxConnections limits the connections of callers; 0 means no limit.
	MaxConnections int
	// MaxStatements limits the named prepared statements of one connection.
	MaxStatements int
	// Deadline limits requests whose kind has no deadline.
	Deadline time.Duration
	// StartupTimeout limits the time from accepting a connection to its start-up message.
	StartupTimeout time.Duration
	// StallTimeout is the time in which the next 16 KiB of a message that has begun must arrive, unless it ends before.
	StallTimeout time.Duration
	// IdleInTxTimeout limits the time that a caller may be idle inside a transaction, which holds an
	// upstream connection.
	IdleInTxTimeout time.Duration
	// ParkDelay is how long a connection is idle before its goroutine is replaced by a new one with a
	// small stack.
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
	if c.Memory == nil {
		c.Memory = budget.New(budget.Config{Limit: math.MaxInt64})
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
	if c.StallTimeout <= 0 {
		c.StallTimeout = defaultStallTimeout
	}
	if c.IdleInTxTimeout <= 0 {
		c.IdleInTxTimeout = defaultIdleInTxTimeout
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
	// ends receives one value for each connection that has ended.
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

// accept sends new connections to accepted until the end of ctx or Drain closes the listener.
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
			if shouldRetryAccept(ctx, err) {
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

// serve runs the start-up phase of a connection and then serves it.
func (s *Server) serve(conn net.Conn) {
	s.metrics.opened.Inc(1)
	ss := newSession(s, conn)
	if !s.register(ss) {
		s.closeSession(ss)
		return
	}
	if !ss.startup() {
		s.closeSession(ss)
		return
	}
	s.resume(ss)
}

// resume serves a connection. When the connection has been idle for ParkDelay, a new goroutine
// continues, since a stack that has grown doesn't shrink back to its initial size.
func (s *Server) resume(ss *session) {
	if ss.loop() {
		go s.resume(ss)
		return
	}
	s.closeSession(ss)
}

// closeSession closes a connection. The session is unregistered last, since Drain returns when no
// session is registered, and all transactions must have ended by then.
func (s *Server) closeSession(ss *session) {
	ss.close()
	s.unregister(ss)
	s.metrics.closed.Inc(1)
	s.ends <- struct{}{}
}

// register adds the session under a new key for CancelRequest. It returns false if the server has
// stopped.
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

// cancel cancels the running request of the session with the key, if the secret is right.
func (s *Server) cancel(key, secret uint32) {
	s.mu.Lock()
	ss := s.sessions[key]
	s.mu.Unlock()
	if ss != nil && ss.secret == secret {
		ss.cancelRunning()
	}
}

// Drain stops the server gracefully: it closes the listener and idle connections, and makes the server
// refuse new requests as not run. Requests and transactions in progress continue. Drain returns when all
// connections have ended, or the error of ctx. Run continues until its own context ends.
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
		ss.closeIfIdle()
	}
	s.mu.Unlock()
	select {
	case <-s.empty:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain: %d connections still open: %w", s.sessionCount(), ctx.Err())
	}
}

func (s *Server) sessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Dump implements core.Dumper.
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
