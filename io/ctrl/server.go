package ctrl

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"snipewall/core"
	"snipewall/core/budget"
	"snipewall/core/peers"
)

// Defaults of ServerConfig.
const (
	defaultMaxConns          = 1024
	defaultServerIdleTimeout = 2 * time.Minute
	defaultMaxRequestBytes   = 1 << 20
	defaultHandlerTimeout    = 5 * time.Second
	// acceptRetryDelay prevents a busy loop while Accept fails, for example for lack of descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Peers handles the calls of the membership protocol; nil means that they are not served.
	Peers peers.Handler
	// MaxConns limits the connections; 0 means 1024. Connections above the limit are closed at once.
	MaxConns int
	// IdleTimeout is how long a connection without a request is kept; 0 means 2 min.
	IdleTimeout time.Duration
	// MaxRequestBytes limits the size of a request; 0 means 1 MiB.
	MaxRequestBytes int64
	// HandlerTimeout limits the time to handle a request; 0 means 5 s.
	HandlerTimeout time.Duration
	// Memory accounts for requests that are being received; nil means that there is no limit for all together.
	Memory *budget.Budget
}

// Server serves control calls.
type Server struct {
	cfg ServerConfig
	rpc *rpc.Server
	// baseCtx is the parent of all requests' contexts.
	baseCtx context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a Server that serves the calls of cfg.Peers.
func NewServer(cfg ServerConfig) *Server {
	if cfg.MaxConns <= 0 {
		cfg.MaxConns = defaultMaxConns
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = defaultServerIdleTimeout
	}
	if cfg.MaxRequestBytes <= 0 {
		cfg.MaxRequestBytes = defaultMaxRequestBytes
	}
	if cfg.HandlerTimeout <= 0 {
		cfg.HandlerTimeout = defaultHandlerTimeout
	}
	s := &Server{cfg: cfg, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	s.baseCtx, s.cancel = context.WithCancel(context.Background())
	if cfg.Peers != nil {
		// Registration fails only for a type without methods that net/rpc can call.
		_ = s.Register("Peers", &peersService{server: s, handler: cfg.Peers})
	}
	return s
}

// Register adds a service whose methods net/rpc can call. It must be called before Serve.
func (s *Server) Register(name string, service any) error {
	if err := s.rpc.RegisterName(name, service); err != nil {
		return core.ErrPeer.Wrap(err)
	}
	return nil
}

// Serve accepts connections until ctx ends. It closes the listener and all connections, and returns
// when their goroutines have ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var conns sync.WaitGroup
	defer conns.Wait()
	defer s.closeAll()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return core.ErrPeer.Wrap(err)
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		conns.Go(func() { s.ServeConn(conn) })
	}
}

// ServeConn serves one connection until it is closed.
func (s *Server) ServeConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !s.add(conn) {
		return
	}
	defer s.remove(conn)
	c := newCodec(conn, s.cfg.IdleTimeout, s.cfg.HandlerTimeout, s.cfg.MaxRequestBytes)
	if s.cfg.Memory != nil {
		c.limit.Account = s.cfg.Memory.Open(func() { _ = conn.Close() })
		defer c.limit.Account.Close()
	}
	s.rpc.ServeCodec(c)
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.baseCtx.Err() != nil || len(s.conns) >= s.cfg.MaxConns {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) closeAll() {
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// peersService adapts a peers.Handler to the method signatures of net/rpc.
type peersService struct {
	server  *Server
	handler peers.Handler
}

// serve runs one handler within the server's HandlerTimeout.
func serve[Q, A any](s *Server, handle func(context.Context, *Q) (*A, error), req *Q, answer *A) error {
	ctx, cancel := context.WithTimeout(s.baseCtx, s.cfg.HandlerTimeout)
	defer cancel()
	a, err := handle(ctx, req)
	if err != nil {
		return err
	}
	*answer = *a
	return nil
}

// Ping serves Peers.Ping.
func (p *peersService) Ping(req *peers.PingRequest, answer *peers.PingAnswer) error {
	return serve(p.server, p.handler.Ping, req, answer)
}

// Probe serves Peers.Probe.
func (p *peersService) Probe(req *peers.ProbeRequest, answer *peers.ProbeAnswer) error {
	return serve(p.server, p.handler.Probe, req, answer)
}

// Sync serves Peers.Sync.
func (p *peersService) Sync(req *peers.SyncRequest, answer *peers.SyncAnswer) error {
	return serve(p.server, p.handler.Sync, req, answer)
}

// Table serves Peers.Table.
func (p *peersService) Table(req *peers.TableRequest, answer *peers.TableAnswer) error {
	return serve(p.server, p.handler.Table, req, answer)
}
