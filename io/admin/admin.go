package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"snipewall/core"
)

// Limits of requests. A profile takes half a minute by default.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 10 * time.Second
	writeTimeout   = 2 * time.Minute
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Config configures a Server.
type Config struct {
	Listener net.Listener
	// Registry provides the state of the services for /dump.
	Registry *core.Registry
	// Metrics serves /metrics; nil means that the path doesn't exist.
	Metrics http.Handler
	// Status returns the value that /status shows as JSON; nil means that the path doesn't exist.
	Status func() any
}

// Server serves the operators' HTTP interface. It is a core.Service with the name "admin".
type Server struct {
	cfg   Config
	ready atomic.Bool
}

// New returns a server that answers "not ready" until SetReady is called.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Name implements core.Service.
func (s *Server) Name() string { return "admin" }

// SetReady sets whether /readyz reports to the load balancer that the process is ready.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Run serves requests until ctx ends, and then returns nil.
func (s *Server) Run(ctx context.Context) error {
	srv := &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(s.cfg.Listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "alive") })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.cfg.Registry.Dump()) })
	if s.cfg.Status != nil {
		mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.cfg.Status()) })
	}
	if s.cfg.Metrics != nil {
		mux.Handle("GET /metrics", s.cfg.Metrics)
	}
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		writeText(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(text + "\n"))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
