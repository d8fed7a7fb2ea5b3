// Package kvsim simulates the platform that snipewall runs on: a key-value store with
// compare-and-swap, long-poll watches and leases, and the list of VMs. Its HTTP interface follows the
// published Consul key-value and session API. Faults are switched on and off over HTTP while it runs,
// and calls are counted, so that tests can check how many calls a client makes.
//
// The simulator serves:
//
//	GET    /v1/kv/KEY[?index=N&wait=30s]     read, or long poll until the index is above N
//	PUT    /v1/kv/KEY?cas=N                  write if the ModifyIndex is N, 0 for a new key
//	PUT    /v1/kv/KEY?acquire=SESSION        write if no other session holds the key
//	PUT    /v1/kv/KEY?release=SESSION        release the key
//	DELETE /v1/kv/KEY[?cas=N]                delete the key
//	PUT    /v1/session/create                body {"TTL": "10s", "Behavior": "delete"}
//	PUT    /v1/session/renew/ID, /v1/session/destroy/ID
//	GET    /v1/vms                           list of VMs, which lags behind its changes
//	PUT    /v1/vms/ID, DELETE /v1/vms/ID     change the list (body: core.VM as JSON)
//	PUT    /v1/fault/NAME?value=V            switch a fault on, GET /v1/fault lists them
//	DELETE /v1/fault/NAME                    switch a fault off
//	GET    /v1/calls, DELETE /v1/calls       read or reset the call counts
//
// # Usage
//
// As a library, with the real clock or the fake clock of testing/synctest:
//
//	sim := kvsim.New(kvsim.Config{})
//	client := sim.Client()
//
// As a process: standin platform --listen 127.0.0.1:8500.
package kvsim

import (
	"net/http"
	"sync"
	"time"

	"snipewall/core"
)

// Defaults and limits.
const (
	defaultMaxValueBytes = 1 << 20
	defaultMaxWait       = 10 * time.Minute
	defaultWait          = 5 * time.Minute
	// maxLag limits how old the results of stale reads and the list of VMs can be.
	maxLag = 2 * time.Minute
)

// Config configures a Server. The zero value works.
type Config struct {
	// MaxValue is the limit of a value in bytes, 1 MiB if 0.
	MaxValue int
	// ListLag is how far the list of VMs lags behind its changes.
	ListLag time.Duration
	// ReadRate and WriteRate are the limits of calls per second, above which the server answers 429;
	// 0 means no limit.
	ReadRate  int
	WriteRate int
	// VMs is the list of VMs at the start.
	VMs []core.VM
}

// Server is the simulated platform. It is an http.Handler.
type Server struct {
	cfg    Config
	mux    *http.ServeMux
	faults *faults
	calls  *callCounter

	mu       sync.Mutex
	index    uint64
	keys     map[string]*history[entry]
	sessions map[string]*session
	vms      *history[[]core.VM]
	// changed is closed and replaced at each change of a key, a session or a fault.
	changed chan struct{}
}

// New returns a running simulator without any keys.
func New(cfg Config) *Server {
	if cfg.MaxValue == 0 {
		cfg.MaxValue = defaultMaxValueBytes
	}
	s := &Server{
		cfg:      cfg,
		mux:      http.NewServeMux(),
		faults:   newFaults(),
		calls:    &callCounter{},
		index:    1,
		keys:     make(map[string]*history[entry]),
		sessions: make(map[string]*session),
		vms:      &history[[]core.VM]{},
		changed:  make(chan struct{}),
	}
	s.vms.add(time.Time{}, sortedVMs(cfg.VMs))
	s.routes()
	return s
}

func (s *Server) routes() {
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.platform(s.getKey))
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.platform(s.putKey))
	s.mux.HandleFunc("DELETE /v1/kv/{key...}", s.platform(s.deleteKey))
	s.mux.HandleFunc("PUT /v1/session/create", s.platform(s.createSession))
	s.mux.HandleFunc("PUT /v1/session/renew/{id}", s.platform(s.renewSession))
	s.mux.HandleFunc("PUT /v1/session/destroy/{id}", s.platform(s.destroySession))
	s.mux.HandleFunc("GET /v1/vms", s.platform(s.listVMs))
	s.mux.HandleFunc("PUT /v1/vms/{id}", s.putVM)
	s.mux.HandleFunc("DELETE /v1/vms/{id}", s.deleteVM)
	s.mux.HandleFunc("GET /v1/fault", s.listFaults)
	s.mux.HandleFunc("PUT /v1/fault/{name}", s.putFault)
	s.mux.HandleFunc("DELETE /v1/fault/{name}", s.deleteFault)
	s.mux.HandleFunc("GET /v1/calls", s.getCalls)
	s.mux.HandleFunc("DELETE /v1/calls", s.resetCalls)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// platform wraps a handler of the platform's API with faults, call counts and rate limits. The handlers
// that control the simulator aren't wrapped, so that faults don't block them.
func (s *Server) platform(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.faults.isDown() {
			panic(http.ErrAbortHandler)
		}
		write := r.Method != http.MethodGet
		if !s.calls.admit(write, s.limit(write)) {
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		if d := s.faults.delay(); d > 0 && !sleep(r, d) {
			return
		}
		if s.faults.isDown() {
			panic(http.ErrAbortHandler)
		}
		if write && s.faults.takeLostAnswer() {
			next(discardWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

func (s *Server) limit(write bool) int {
	if write {
		return s.cfg.WriteRate
	}
	return s.cfg.ReadRate
}

// sleep waits for d. It returns false if the client canceled the call before.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// notify wakes the blocked watches. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// discardWriter is an http.ResponseWriter for FaultLostAnswer. It discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
