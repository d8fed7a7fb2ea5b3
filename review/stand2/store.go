package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the number of items of a page.
const pageItems = 500

// item is an entry of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	LeaseID  uint64 `json:"leaseId,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// platform is the metadata store and the promotion call. It loses nothing and answers at once.
type platform struct {
	r       *run
	address string
	// promote executes a promotion and reports whether the upstream runs.
	promote func(service, id string) bool
	// callTime returns how long the platform takes to execute and answer a promotion call; nil means no time.
	callTime func() time.Duration

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	leases   map[uint64]leaseState
	history  []item
	fences   map[string]uint64
	changed  chan struct{}
}

type leaseState struct {
	ttl   time.Duration
	until time.Time
}

func newPlatform(r *run) *platform {
	p := &platform{
		r: r, revision: 100, items: map[string]item{}, leases: map[uint64]leaseState{}, fences: map[string]uint64{},
		changed: make(chan struct{}), promote: func(string, string) bool { return false },
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /snipewall/kv-key", p.getKey)
	mux.HandleFunc("GET /snipewall/kv-range", p.getRange)
	mux.HandleFunc("GET /snipewall/kv-watch", p.watch)
	mux.HandleFunc("POST /snipewall/kv-txn", p.txn)
	mux.HandleFunc("POST /snipewall/kv-lease", p.grant)
	mux.HandleFunc("POST /snipewall/kv-keep/{id}", p.keep)
	mux.HandleFunc("DELETE /snipewall/kv-lease-end/{id}", p.endLease)
	mux.HandleFunc("POST /promotion", p.promotion)
	ln := r.listen("127.0.0.1:0")
	p.address = ln.Addr().String()
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	go p.expireLeases()
	return p
}

// listen opens a listener, or ends the case.
func (r *run) listen(address string) net.Listener {
	ln, err := net.Listen("tcp", address) //nolint:noctx // the listener lives as long as the process
	if err != nil {
		r.fatalf("%v", err)
	}
	return ln
}

func answer(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

// change applies a change of a key. The caller holds mu.
func (p *platform) change(it item) {
	p.revision++
	it.Revision, it.Created = p.revision, p.revision
	if old, ok := p.items[it.Key]; ok {
		it.Created = old.Created
	}
	if it.Deleted {
		it.Created = 0
		delete(p.items, it.Key)
	} else {
		p.items[it.Key] = it
	}
	p.history = append(p.history, it)
	close(p.changed)
	p.changed = make(chan struct{})
}

// put writes a key as the operator or an upstream does.
func (p *platform) put(key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		p.r.fatalf("%v", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.change(item{Key: key, Value: data})
}

func (p *platform) expireLeases() {
	for {
		time.Sleep(50 * time.Millisecond)
		p.mu.Lock()
		for id, l := range p.leases {
			if time.Now().After(l.until) {
				p.dropLease(id)
			}
		}
		p.mu.Unlock()
	}
}

// dropLease ends a lease and removes its keys. The caller holds mu.
func (p *platform) dropLease(id uint64) {
	delete(p.leases, id)
	for key, it := range p.items {
		if it.LeaseID == id {
			p.change(item{Key: key, Deleted: true})
		}
	}
}

func (p *platform) getKey(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	it, ok := p.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, it)
}

func (p *platform) getRange(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for key := range p.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, key := range keys[:min(pageItems, len(keys))] {
		items = append(items, p.items[key])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(keys) > pageItems, "storeRevision": p.revision})
}

func (p *platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		p.mu.Lock()
		events := []item{}
		for _, it := range p.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		changed, revision := p.changed, p.revision
		p.mu.Unlock()
		if len(events) > 0 || ended {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev []item `json:"expectedRev"`
		Puts        []item `json:"puts"`
		Deletes     []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range in.ExpectedRev {
		if p.items[e.Key].Revision != e.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{p.items[e.Key]}})
			return
		}
	}
	for _, put := range in.Puts {
		if _, ok := p.leases[put.LeaseID]; put.LeaseID != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range in.Puts {
		p.change(item{Key: put.Key, Value: put.Value, LeaseID: put.LeaseID})
	}
	for _, key := range in.Deletes {
		p.change(item{Key: key, Deleted: true})
	}
	answer(w, http.StatusOK, map[string]any{"revision": p.revision})
}

type leaseBody struct {
	LeaseID uint64 `json:"leaseId,omitempty"`
	TTLMs   int64  `json:"ttlMs"`
}

func (p *platform) grant(w http.ResponseWriter, r *http.Request) {
	var in leaseBody
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	p.leases[p.revision] = leaseState{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, leaseBody{p.revision, in.TTLMs})
}

func (p *platform) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	p.leases[id] = l
	answer(w, http.StatusOK, leaseBody{TTLMs: l.ttl.Milliseconds()})
}

func (p *platform) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropLease(id)
	answer(w, http.StatusOK, struct{}{})
}

func (p *platform) promotion(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	p.r.notef("platform: call for the promotion of %s, holder %s, token %d", in.ID, r.Header.Get("Duty-Holder"), token)
	if p.callTime != nil {
		time.Sleep(p.callTime())
		p.r.notef("platform: executes the promotion of %s, token %d", in.ID, token)
	}
	p.mu.Lock()
	refused := token < p.fences[in.Service]
	p.fences[in.Service] = max(p.fences[in.Service], token)
	p.mu.Unlock()
	if refused || !p.promote(in.Service, in.ID) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	answer(w, http.StatusOK, struct{}{})
}
