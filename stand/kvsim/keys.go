package kvsim

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// indexHeader is the response header with the index to pass to the next watch.
const indexHeader = "X-Consul-Index"

// stalePollInterval is how often a watch checks for changes that have become visible while FaultStale is
// on.
const stalePollInterval = 20 * time.Millisecond

// entry is one version of a key. An entry that is not present is a tombstone, with the index of the
// deletion in modify.
type entry struct {
	value   []byte
	present bool
	create  uint64
	modify  uint64
	// locks counts how often a session has acquired the key.
	locks uint64
	// session is the id of the session that holds the key, or empty.
	session string
}

// keyResponse is an entry in the JSON format of the Consul API.
type keyResponse struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	Session     string `json:",omitempty"`
	CreateIndex uint64
	ModifyIndex uint64
}

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, wait, err := watchParams(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var e entry
	if after == 0 {
		e, _ = s.visible(key)
	} else {
		s.calls.beginWatch()
		e = s.waitKey(r, key, after, wait)
		s.calls.endWatch()
	}
	if s.faults.isDown() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(indexHeader, strconv.FormatUint(max(e.modify, 1), 10))
	if !e.present {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, []keyResponse{{
		LockIndex: e.locks, Key: key, Value: e.value, Session: e.session,
		CreateIndex: e.create, ModifyIndex: e.modify,
	}})
}

func watchParams(r *http.Request) (after uint64, wait time.Duration, err error) {
	if s := r.URL.Query().Get("index"); s != "" {
		if after, err = strconv.ParseUint(s, 10, 64); err != nil {
			return 0, 0, errors.New("index: want a number")
		}
	}
	wait = defaultWait
	if s := r.URL.Query().Get("wait"); s != "" {
		if wait, err = time.ParseDuration(s); err != nil {
			return 0, 0, errors.New("wait: want a duration")
		}
	}
	return after, min(wait, defaultMaxWait), nil
}

// visible returns the entry that a read returns now, and a channel that is closed at the next change of
// any key.
func (s *Server) visible(key string) (entry, <-chan struct{}) {
	stale := s.faults.staleness()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if stale > 0 {
		return s.keys[key].asOf(time.Now().Add(-stale)), s.changed
	}
	return s.keys[key].last(), s.changed
}

// waitKey blocks until the key's index is above after, the wait time has passed, FaultDown is switched on
// or the client cancels the call.
func (s *Server) waitKey(r *http.Request, key string, after uint64, wait time.Duration) entry {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		e, changed := s.visible(key)
		if e.modify > after {
			return e
		}
		poll, stopPoll := s.pollTimer()
		select {
		case <-changed:
		case <-poll:
		case <-s.faults.downChannel():
			stopPoll()
			return e
		case <-timer.C:
			stopPoll()
			return e
		case <-r.Context().Done():
			stopPoll()
			return e
		}
		stopPoll()
	}
}

// pollTimer returns a timer that wakes a watch for changes that occur without a call: a stale read that
// reaches a newer version, or a session that expires. The function stops the timer.
func (s *Server) pollTimer() (<-chan time.Time, func()) {
	d := time.Duration(0)
	if s.faults.staleness() > 0 {
		d = stalePollInterval
	} else if next, ok := s.nextExpiry(); ok {
		d = max(time.Until(next), time.Millisecond)
	}
	if d == 0 {
		return nil, func() {}
	}
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}

func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	value, err := io.ReadAll(io.LimitReader(r.Body, int64(s.cfg.MaxValue)+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > s.cfg.MaxValue {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	q := r.URL.Query()
	if countTrue(q.Has("cas"), q.Has("acquire"), q.Has("release")) > 1 {
		http.Error(w, "conflicting flags: cas, acquire, release", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	old := s.keys[key].last()
	next := entry{value: value, present: true, session: old.session, locks: old.locks}
	switch {
	case q.Has("cas"):
		expect, err := strconv.ParseUint(q.Get("cas"), 10, 64)
		if err != nil {
			http.Error(w, "cas: want a number", http.StatusBadRequest)
			return
		}
		if !hasIndex(old, expect) {
			writeJSON(w, false)
			return
		}
	case q.Has("acquire"):
		id := q.Get("acquire")
		if s.sessions[id] == nil {
			http.Error(w, "invalid session "+strconv.Quote(id), http.StatusInternalServerError)
			return
		}
		if old.session != "" && old.session != id {
			writeJSON(w, false)
			return
		}
		if old.session == "" {
			next.locks++
		}
		next.session = id
	case q.Has("release"):
		if old.session == "" || old.session != q.Get("release") {
			writeJSON(w, false)
			return
		}
		next.session = ""
	}
	s.put(key, next)
	writeJSON(w, true)
}

// hasIndex reports whether a compare-and-swap that expects the index may replace the entry. Index 0 stands
// for a key that doesn't exist.
func hasIndex(e entry, expect uint64) bool {
	if !e.present {
		return expect == 0
	}
	return e.modify == expect
}

func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	old := s.keys[key].last()
	if cas := r.URL.Query().Get("cas"); cas != "" {
		expect, err := strconv.ParseUint(cas, 10, 64)
		if err != nil || !hasIndex(old, expect) {
			writeJSON(w, false)
			return
		}
	}
	if old.present {
		s.put(key, entry{})
	}
	writeJSON(w, true)
}

// put appends a state of the key with the next index. The caller holds mu.
func (s *Server) put(key string, e entry) {
	s.index++
	e.modify = s.index
	h := s.keys[key]
	if h == nil {
		h = &history[entry]{}
		s.keys[key] = h
	}
	e.create = e.modify
	if old := h.last(); old.present && e.present {
		e.create = old.create
	}
	h.add(time.Now(), e)
	s.notify()
}

func countTrue(flags ...bool) int {
	n := 0
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}
