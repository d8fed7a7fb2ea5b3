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

// headerTimeout limits the time to read the header of a request.
const headerTimeout = 5 * time.Second

// Config configures a Server.
type Config struct {
	Listener net.Listener
	Registry *core.Registry
	// Metrics serves the metrics in the text format of the scraper.
	Metrics http.Handler
	// Status builds the value shown at /status.
	Status func() any
}

// Server is the service "admin".
type Server struct {
	cfg   Config
	ready atomic.Bool
}

// New returns a server that isn't ready yet.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Name implements core.Service.
func (s *Server) Name() string { return "admin" }

// SetReady sets what /readyz answers to the balancer.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	srv := &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout}
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
