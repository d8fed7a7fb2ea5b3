package ctrl

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"snipewall/core"
	"snipewall/core/peers"
)

// Defaults of ServerConfig.
const (
	defaultMaxConns       = 1024
	defaultServerIdle     = 2 * time.Minute
	defaultMaxRequest     = 1 << 20
	defaultHandlerTimeout = 5 * time.Second
	// acceptPause keeps a listener that fails, for example without free descriptors, from a busy loop.
	acceptPause = 50 * time.Millisecond
)

// ServerConfig sets up a Server.
type ServerConfig struct {
	// Peers serves the calls of the membership; nil means that they are not served.
	Peers peers.Handler
	// MaxConns limits the connections, 1024 if 0. More are closed at once.
	MaxConns int
	// IdleTime closes connections without a request, 2 min if 0.
	IdleTime time.Duration
	// MaxRequest limits a request in bytes, 1 MiB if 0.
	MaxRequest int64
	// HandlerTimeout limits the work on a request, 5 s if 0.
	HandlerTimeout time.Duration
}

// Server serves control calls.
type Server struct {
	cfg ServerConfig
	rpc *rpc.Server
	// life is the parent of the contexts of requests.
	life context.Context
	end  context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a Server that serves the membership's calls.
func NewServer(cfg ServerConfig) *Server {
	if cfg.MaxConns <= 0 {
		cfg.MaxConns = defaultMaxConns
	}
	if cfg.IdleTime <= 0 {
		cfg.IdleTime = defaultServerIdle
	}
	if cfg.MaxRequest <= 0 {
		cfg.MaxRequest = defaultMaxRequest
	}
	if cfg.HandlerTimeout <= 0 {
		cfg.HandlerTimeout = defaultHandlerTimeout
	}
	s := &Server{cfg: cfg, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	s.life, s.end = context.WithCancel(context.Background())
	if cfg.Peers != nil {
		// Registration fails only for a type without methods of net/rpc's form.
		_ = s.Register("Peers", &peersService{server: s, handler: cfg.Peers})
	}
	return s
}

// Register adds a service of net/rpc's form. It must be called before Serve.
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
			time.Sleep(acceptPause)
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
	s.rpc.ServeCodec(newCodec(conn, s.cfg.IdleTime, s.cfg.HandlerTimeout, s.cfg.MaxRequest))
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.Err() != nil || len(s.conns) >= s.cfg.MaxConns {
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
	s.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// peersService has net/rpc's form of the membership's calls.
type peersService struct {
	server  *Server
	handler peers.Handler
}

// serve runs one handler with the server's time limit.
func serve[Q, A any](s *Server, handle func(context.Context, *Q) (*A, error), req *Q, answer *A) error {
	ctx, cancel := context.WithTimeout(s.life, s.cfg.HandlerTimeout)
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
