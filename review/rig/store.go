package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store as it is sent. Value is base64 on the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	LeaseID  uint64 `json:"leaseId,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store and its promotion call.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	leases   map[uint64]time.Time
	ttls     map[uint64]time.Duration

	fences map[string]uint64
	// promote executes a promotion and reports whether the upstream runs.
	promote func(service, id string) bool
	// promotionDown makes the promotion call answer 503.
	promotionDown bool
	rec           *record
}

func newStore(rec *record) *store {
	return &store{
		revision: 1, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]time.Time{},
		ttls: map[uint64]time.Duration{}, fences: map[string]uint64{}, rec: rec,
	}
}

// serve serves the store's and the promotion's calls until ctx ends.
func (s *store) serve(ctx context.Context, ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /snipewall/kv-key", s.getKey)
	mux.HandleFunc("GET /snipewall/kv-range", s.getRange)
	mux.HandleFunc("GET /snipewall/kv-watch", s.watch)
	mux.HandleFunc("POST /snipewall/kv-txn", s.txn)
	mux.HandleFunc("POST /snipewall/kv-lease", s.grant)
	mux.HandleFunc("POST /snipewall/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /snipewall/kv-lease-end/{id}", s.endLease)
	mux.HandleFunc("POST /promotion", s.promotion)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	go s.expire(ctx)
	_ = srv.Serve(ln)
}

// expire removes the keys of leases that have ended.
func (s *store) expire(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		for id, until := range s.leases {
			if time.Now().After(until) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// dropLease ends a lease. The caller holds mu.
func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	delete(s.ttls, id)
	for key, it := range s.items {
		if it.LeaseID == id {
			s.change(item{Key: key, Deleted: true})
		}
	}
}

// change applies a change. The caller holds mu.
func (s *store) change(it item) {
	s.revision++
	it.Revision = s.revision
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		it.Created = s.revision
		if old, ok := s.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator and the upstreams do.
func (s *store) put(key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: data})
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.change(item{Key: key, Deleted: true})
	}
}

func answer(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{it, s.revision})
}

// pageItems is the largest number of items in a page.
const pageItems = 500

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := []item{}
	for _, key := range keys[:min(pageItems, len(keys))] {
		page = append(page, s.items[key])
	}
	answer(w, http.StatusOK, map[string]any{"items": page, "hasMore": len(keys) > pageItems, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev []item   `json:"expectedRev"`
		Puts        []item   `json:"puts"`
		Deletes     []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, failed := []item{}, false
	for _, e := range in.ExpectedRev {
		it := s.items[e.Key]
		it.Key = e.Key
		current = append(current, it)
		failed = failed || it.Revision != e.Revision
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		if _, ok := s.leases[p.LeaseID]; p.LeaseID != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range in.Puts {
		s.change(item{Key: p.Key, Value: p.Value, LeaseID: p.LeaseID})
	}
	for _, key := range in.Deletes {
		if _, ok := s.items[key]; ok {
			s.change(item{Key: key, Deleted: true})
		}
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

type leaseBody struct {
	LeaseID uint64 `json:"leaseId,omitempty"`
	TTLMs   int64  `json:"ttlMs"`
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in leaseBody
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.leases[s.revision], s.ttls[s.revision] = time.Now().Add(ttl), ttl
	answer(w, http.StatusOK, leaseBody{s.revision, in.TTLMs})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	answer(w, http.StatusOK, leaseBody{TTLMs: s.ttls[id].Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.dropLease(id)
	answer(w, http.StatusOK, struct{}{})
}

// setPromotionDown makes the promotion call unavailable, or available again.
func (s *store) setPromotionDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promotionDown = down
}

func (s *store) promotion(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	s.mu.Lock()
	down, fenced := s.promotionDown, token < s.fences[in.Service]
	if !down {
		s.fences[in.Service] = max(s.fences[in.Service], token)
	}
	s.mu.Unlock()
	code := http.StatusOK
	switch {
	case down:
		code = http.StatusServiceUnavailable
	case fenced, !s.promote(in.Service, in.ID):
		code = http.StatusConflict
	}
	s.rec.note("POST /promotion service=%s id=%s holder=%s token=%d: %d", in.Service, in.ID, r.Header.Get("Duty-Holder"), token, code)
	w.WriteHeader(code)
}
