package kvsim

import (
	"net/http"
	"sync"
	"time"
)

// Calls holds the numbers of API calls that clients made. Its JSON form is the response of GET /v1/calls.
type Calls struct {
	// Reads and Writes count the accepted calls since the start or the last reset. A watch counts as
	// one read.
	Reads  int
	Writes int
	// Watches is the number of reads that were watches.
	Watches int
	// Waiting is the number of watches that are blocked now, MaxWaiting its maximum.
	Waiting    int
	MaxWaiting int
	// MaxReads and MaxWrites are the highest numbers of calls within one second.
	MaxReads  int
	MaxWrites int
	// Refused is the number of calls rejected by a rate limit.
	Refused int
}

// callCounter counts calls in total and within the current second.
type callCounter struct {
	mu     sync.Mutex
	calls  Calls
	second int64
	reads  int
	writes int
}

// admit counts a call. It returns false if the call exceeds the limit of calls per second; 0 means no
// limit.
func (c *callCounter) admit(write bool, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now().Unix(); now != c.second {
		c.second, c.reads, c.writes = now, 0, 0
	}
	total, inSecond, peak := &c.calls.Reads, &c.reads, &c.calls.MaxReads
	if write {
		total, inSecond, peak = &c.calls.Writes, &c.writes, &c.calls.MaxWrites
	}
	if limit > 0 && *inSecond >= limit {
		c.calls.Refused++
		return false
	}
	*total++
	*inSecond++
	*peak = max(*peak, *inSecond)
	return true
}

func (c *callCounter) beginWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls.Watches++
	c.calls.Waiting++
	c.calls.MaxWaiting = max(c.calls.MaxWaiting, c.calls.Waiting)
}

func (c *callCounter) endWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls.Waiting--
}

// Calls returns the counts since the start or the last reset.
func (s *Server) Calls() Calls {
	s.calls.mu.Lock()
	defer s.calls.mu.Unlock()
	return s.calls.calls
}

// ResetCalls sets all counts to 0, except those of the blocked watches.
func (s *Server) ResetCalls() {
	s.calls.mu.Lock()
	defer s.calls.mu.Unlock()
	waiting := s.calls.calls.Waiting
	s.calls.calls = Calls{Waiting: waiting, MaxWaiting: waiting}
	s.calls.reads, s.calls.writes = 0, 0
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) }

func (s *Server) resetCalls(http.ResponseWriter, *http.Request) { s.ResetCalls() }
