package kvsim

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"time"
)

// deleteBehavior is the Behavior of a session whose keys are deleted, rather than released, at its end.
const deleteBehavior = "delete"

type session struct {
	ttl time.Duration
	// deletes is whether the session's keys are deleted at its end.
	deletes  bool
	deadline time.Time
}

// sessionRequest is the body of PUT /v1/session/create, as in the Consul API.
type sessionRequest struct {
	Name     string
	TTL      string
	Behavior string
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var req sessionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(req.TTL)
	if err != nil || ttl <= 0 {
		http.Error(w, "TTL: want a positive duration", http.StatusBadRequest)
		return
	}
	id := rand.Text()
	s.mu.Lock()
	s.sessions[id] = &session{ttl: ttl, deletes: req.Behavior == deleteBehavior, deadline: time.Now().Add(ttl)}
	// Wakes the watches, so that their timers take the expiry of this session into account.
	s.notify()
	s.mu.Unlock()
	writeJSON(w, map[string]string{"ID": id})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	ses := s.sessions[id]
	if ses == nil {
		http.Error(w, "session not found", http.StatusNotFound)
		return
	}
	ses.deadline = time.Now().Add(ses.ttl)
	writeJSON(w, []map[string]string{{"ID": id, "TTL": ses.ttl.String()}})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endSession(r.PathValue("id"))
	writeJSON(w, true)
}

// ExpireSession ends the session as if its TTL had expired.
func (s *Server) ExpireSession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endSession(id)
}

// expire ends the sessions whose TTL has expired. The caller holds mu.
func (s *Server) expire(now time.Time) {
	for id, ses := range s.sessions {
		if !now.Before(ses.deadline) {
			s.endSession(id)
		}
	}
}

// nextExpiry returns the earliest deadline of a session, or false if there are no sessions.
func (s *Server) nextExpiry() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next time.Time
	for _, ses := range s.sessions {
		if next.IsZero() || ses.deadline.Before(next) {
			next = ses.deadline
		}
	}
	return next, !next.IsZero()
}

// endSession deletes or releases the keys of the session. The caller holds mu.
func (s *Server) endSession(id string) {
	ses := s.sessions[id]
	if ses == nil {
		return
	}
	delete(s.sessions, id)
	for key, h := range s.keys {
		e := h.last()
		if !e.present || e.session != id {
			continue
		}
		if ses.deletes {
			s.put(key, entry{})
			continue
		}
		e.session = ""
		s.put(key, e)
	}
}
