package kvsim

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Names of the faults, as SetFault and PUT /v1/fault/NAME take them.
const (
	// FaultDown closes every connection without a response while it is on. Value: true.
	FaultDown = "down"
	// FaultSlow delays every call. Value: a duration.
	FaultSlow = "slow"
	// FaultLostAnswer drops the responses to the next writes after they took effect. Value: the number of
	// responses to drop.
	FaultLostAnswer = "lost"
	// FaultStale makes reads return old data, as from a lagging server. Value: the age of the data, a
	// duration up to 2 minutes.
	FaultStale = "stale"
	// FaultListLag makes reads of the VM list return an old list. Value: the age of the list, a duration
	// up to 2 minutes.
	FaultListLag = "listlag"
)

// faults holds the faults that are on. It is safe for concurrent use.
type faults struct {
	mu sync.Mutex
	// downCh is closed while FaultDown is on.
	downCh     chan struct{}
	downActive bool
	slow       time.Duration
	// lostAnswers is the number of responses to writes still to be dropped.
	lostAnswers int
	stale       time.Duration
	vmListLag   time.Duration
	// active holds the values of the faults that are on, by name.
	active map[string]string
}

func newFaults() *faults {
	return &faults{downCh: make(chan struct{}), active: make(map[string]string)}
}

// SetFault switches a fault on. The constants Fault... describe the values. The value 0 switches any of
// them off. It returns an error if the name or the value is invalid.
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
		f.slow, err = parseFaultDuration(value, off)
	case FaultLostAnswer:
		f.lostAnswers, err = strconv.Atoi(value)
	case FaultStale:
		f.stale, err = parseFaultDuration(value, off)
	case FaultListLag:
		f.vmListLag, err = parseFaultDuration(value, off)
	default:
		return fmt.Errorf("unknown fault %q: want down, slow, lost, stale or listlag", name)
	}
	if err != nil {
		return fmt.Errorf("fault %s: value %q: %w", name, value, err)
	}
	delete(f.active, name)
	if !off {
		f.active[name] = value
	}
	return nil
}

func (f *faults) setDown(value string) error {
	down, err := strconv.ParseBool(value)
	if err != nil {
		return err
	}
	if down && !f.downActive {
		close(f.downCh)
	}
	if !down && f.downActive {
		f.downCh = make(chan struct{})
	}
	f.downActive = down
	return nil
}

func parseFaultDuration(value string, off bool) (time.Duration, error) {
	if off {
		return 0, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		return 0, err
	}
	if d < 0 || d > maxLag {
		return 0, fmt.Errorf("want 0s to %s", maxLag)
	}
	return d, nil
}

func (f *faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.downActive
}

// downChannel returns a channel that is closed while FaultDown is on, so that the fault also ends
// blocked watches.
func (f *faults) downChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.downCh
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
	return f.vmListLag
}

// takeLostAnswer reports whether the response to this write must be dropped, and counts it.
func (f *faults) takeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAnswers <= 0 {
		return false
	}
	f.lostAnswers--
	return true
}

func (s *Server) listFaults(w http.ResponseWriter, _ *http.Request) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	writeJSON(w, s.faults.active)
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
