//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvItem is an entry of the store in its JSON form. Value is base64 on the wire.
type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	LeaseID  int64  `json:"leaseId,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type kvLease struct {
	ttl  time.Duration
	ends time.Time
}

// kvStore is a stand-in for the platform's metadata store.
type kvStore struct {
	mu      sync.Mutex
	rev     int64
	nextID  int64
	items   map[string]kvItem
	history []kvItem
	leases  map[int64]*kvLease
	changed chan struct{}
}

func newStore() *kvStore {
	s := &kvStore{rev: 100, nextID: 1, items: map[string]kvItem{}, leases: map[int64]*kvLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *kvStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys. The caller holds mu.
func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.LeaseID == id {
			s.rev++
			s.remove(key)
		}
	}
}

// remove deletes a key at the current revision. The caller holds mu.
func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.record(kvItem{Key: key, Revision: s.rev, Deleted: true})
}

// put writes a key at the current revision. The caller holds mu.
func (s *kvStore) put(key string, value []byte, lease int64) {
	it := kvItem{Key: key, Value: value, Revision: s.rev, Created: s.rev, LeaseID: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
}

func (s *kvStore) record(it kvItem) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key on behalf of the operator or a backend.
func (s *kvStore) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, data, 0)
}

// Delete deletes a key on behalf of the operator or a backend.
func (s *kvStore) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/snipewall/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{"storeRevision": rev})
			return
		}
		reply(w, 200, struct {
			kvItem
			StoreRevision int64 `json:"storeRevision"`
		}{it, rev})
	case r.URL.Path == "/snipewall/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/snipewall/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/snipewall/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/snipewall/kv-lease":
		var in struct {
			TTLMs int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		ttl := time.Duration(in.TTLMs) * time.Millisecond
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id] = &kvLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"leaseId": id, "ttlMs": in.TTLMs})
	case strings.HasPrefix(r.URL.Path, "/snipewall/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/snipewall/kv-keep/"), 10, 64)
		s.mu.Lock()
		l, ok := s.leases[id]
		if ok {
			l.ends = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			reply(w, 404, nil)
			return
		}
		reply(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/snipewall/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, "/snipewall/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		if ok {
			s.endLease(id)
		}
		s.mu.Unlock()
		if !ok {
			reply(w, 404, nil)
			return
		}
		reply(w, 200, nil)
	default:
		reply(w, 404, nil)
	}
}

const pageSize = 500

func (s *kvStore) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	hasMore := len(keys) > pageSize
	keys = keys[:min(len(keys), pageSize)]
	items := make([]kvItem, 0, len(keys))
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	rev := s.rev
	s.mu.Unlock()
	reply(w, 200, map[string]any{"items": items, "hasMore": hasMore, "storeRevision": rev})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []kvItem{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, 200, map[string]any{"events": events, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRev"`
		Puts []struct {
			Key     string `json:"key"`
			Value   []byte `json:"value"`
			LeaseID int64  `json:"leaseId"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.ExpectedRev {
		if s.items[e.Key].Revision != e.Revision {
			var now []kvItem
			for _, e := range in.ExpectedRev {
				if it, ok := s.items[e.Key]; ok {
					now = append(now, it)
				}
			}
			reply(w, 412, map[string]any{"items": now})
			return
		}
	}
	for _, p := range in.Puts {
		if p.LeaseID != 0 && s.leases[p.LeaseID] == nil {
			reply(w, 404, nil)
			return
		}
	}
	s.rev++
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.LeaseID)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	reply(w, 200, map[string]any{"revision": s.rev})
}
