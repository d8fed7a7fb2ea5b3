package kvsim

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Names of the faults.
const (
	// FaultDown closes every connection without an answer while it is on. Value: true.
	FaultDown = "down"
	// FaultSlow delays every call. Value: a duration.
	FaultSlow = "slow"
	// FaultLostAnswer loses the answers of writes after they took effect. Value: how many.
	FaultLostAnswer = "lost"
	// FaultStale answers reads from a place that lags. Value: a duration up to 2 minutes.
	FaultStale = "stale"
	// FaultListLag makes the list of VMs lag. Value: a duration up to 2 minutes.
	FaultListLag = "listlag"
)

// faults holds the faults that are on.
type faults struct {
	mu      sync.Mutex
	down    chan struct{}
	isOff   bool
	slow    time.Duration
	lost    int
	stale   time.Duration
	list    time.Duration
	current map[string]string
}

func newFaults() *faults {
	return &faults{down: make(chan struct{}), current: make(map[string]string)}
}

// SetFault switches a fault on. The value depends on the fault's name.
func (s *Server) SetFault(name, value string) error {
	if err := s.faults.set(name, value); err != nil {
		return err
	}
	s.mu.Lock()
	s.notify()
	s.mu.Unlock()
	return nil
}

// ClearFault switches a fault off.
func (s *Server) ClearFault(name string) error {
	zero := "0"
	if name == FaultDown {
		zero = "false"
	}
	return s.SetFault(name, zero)
}

func (f *faults) set(name, value string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	off := value == "0" || value == "false" || value == "0s"
	var err error
	switch name {
	case FaultDown:
		err = f.setDown(value)
	case FaultSlow:
		f.slow, err = parseLag(value, off)
	case FaultLostAnswer:
		f.lost, err = strconv.Atoi(value)
	case FaultStale:
		f.stale, err = parseLag(value, off)
	case FaultListLag:
		f.list, err = parseLag(value, off)
	default:
		return fmt.Errorf("unknown fault %q: want down, slow, lost, stale or listlag", name)
	}
	if err != nil {
		return fmt.Errorf("fault %s: value %q: %w", name, value, err)
	}
	delete(f.current, name)
	if !off {
		f.current[name] = value
	}
	return nil
}

func (f *faults) setDown(value string) error {
	down, err := strconv.ParseBool(value)
	if err != nil {
		return err
	}
	if down && !f.isOff {
		close(f.down)
	}
	if !down && f.isOff {
		f.down = make(chan struct{})
	}
	f.isOff = down
	return nil
}

func parseLag(value string, off bool) (time.Duration, error) {
	if off {
		return 0, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		return 0, err
	}
	if d < 0 || d > historyTime {
		return 0, fmt.Errorf("want 0s to %s", historyTime)
	}
	return d, nil
}

func (f *faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isOff
}

// downChannel is closed while the fault "down" is on, so that it also ends waiting watches.
func (f *faults) downChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *faults) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slow
}

func (f *faults) staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stale
}

func (f *faults) listLag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list
}

// takeLost reports whether the answer to this write is to be lost.
func (f *faults) takeLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost <= 0 {
		return false
	}
	f.lost--
	return true
}

func (s *Server) listFaults(w http.ResponseWriter, _ *http.Request) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	writeJSON(w, s.faults.current)
}

func (s *Server) putFault(w http.ResponseWriter, r *http.Request) {
	if err := s.SetFault(r.PathValue("name"), r.URL.Query().Get("value")); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (s *Server) deleteFault(w http.ResponseWriter, r *http.Request) {
	if err := s.ClearFault(r.PathValue("name")); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
