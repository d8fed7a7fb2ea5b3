// Package store is the adapter to the platform over HTTP: its key-value store with leases, and its
// list of VMs. It implements core.Store. Only this package depends on the following assumptions about
// the platform:
//
//   - The HTTP interface has the form of the published Consul key-value and session API.
//   - An entry's version (ModifyIndex) only increases, even if the entry is deleted and created again.
//   - PUT with cas=N writes only if the version is N, or 0 for a new entry, and answers true or false
//     without the new version. The adapter reads the entry afterwards to get the version.
//   - PUT with acquire=SESSION writes only if no other session holds the entry. It can't be combined
//     with cas. Entries with a lease are therefore written only with a lease, and the adapter compares
//     the version before it acquires the entry.
//   - A lease is a session with the behavior "delete": when it ends, its entries are deleted.
//   - A watch is a long poll with index and wait. A missing entry has the index of its deletion.
//   - A read may be stale and return an older version.
//   - If the answer to a write is lost, the write may or may not have taken effect. The adapter never
//     repeats a write; the caller must read the entry.
//   - The list of VMs may lag behind, but is eventually correct.
//
// # Usage
//
//	s, err := store.New(store.Config{Address: "http://127.0.0.1:8500"})
//	if err != nil {
//		return err
//	}
//	entry, err := s.Get(ctx, "snipewall/table")
//
// Each call has a deadline. Errors are core.ErrNotFound, core.ErrVersionConflict,
// core.ErrLeaseLost, or a *CallError of class core.ErrPlatform.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"snipewall/core"
)

// Defaults of Config.
const (
	defaultCallTimeout = 2 * time.Second
	defaultWatchWait   = 30 * time.Second
	dialTimeout        = time.Second
	idleTimeout        = 90 * time.Second
	maxIdleConns       = 4
)

// Limits of answers in bytes.
const (
	// maxAnswerSize limits the size of an answer. It is enough for a value of 1 MiB in base64.
	maxAnswerSize = 2 << 20
	// maxReasonSize limits the part of an error's body that goes into the error text.
	maxReasonSize = 200
)

// indexHeader is the response header with the index from which to watch.
const indexHeader = "X-Consul-Index"

// Config configures a Store.
type Config struct {
	// Address is the platform's base URL, for example http://127.0.0.1:8500.
	Address string
	// CallTimeout limits each call, except that a watch may take WatchWait longer; 0 means 2 s.
	CallTimeout time.Duration
	// WatchWait is how long the platform waits for a change before it answers a watch; 0 means 30 s.
	WatchWait time.Duration
	// Transport is the HTTP transport; nil means a new one for this Store.
	Transport http.RoundTripper
}

// Store is a client of the platform. It is safe for concurrent use.
type Store struct {
	cfg    Config
	base   *url.URL
	client *http.Client

	mu sync.Mutex
	// missingIndexes holds the index of the deletion for each entry that a watch found missing. The next
	// watch then waits for the creation instead of returning the deletion again.
	missingIndexes map[string]core.Version
}

var _ core.Store = (*Store)(nil)

// New checks the configuration and returns a Store. It makes no call to the platform.
func New(cfg Config) (*Store, error) {
	base, err := url.Parse(cfg.Address)
	if err != nil {
		return nil, core.ErrPlatform.New("address %q: %v", cfg.Address, err)
	}
	if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
		return nil, core.ErrPlatform.New("address %q: want http://HOST:PORT", cfg.Address)
	}
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.WatchWait <= 0 {
		cfg.WatchWait = defaultWatchWait
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
		}
	}
	return &Store{
		cfg:            cfg,
		base:           base,
		client:         &http.Client{Transport: cfg.Transport},
		missingIndexes: make(map[string]core.Version),
	}, nil
}

// keyAnswer is an entry in the published JSON form.
type keyAnswer struct {
	Key         string
	Value       []byte
	Session     string
	ModifyIndex uint64
}

// Get implements core.Store.
func (s *Store) Get(ctx context.Context, key string) (core.Entry, error) {
	e, _, err := s.read(ctx, "get", key, nil, s.cfg.CallTimeout)
	return e, err
}

// Watch implements core.Store. After a deletion it returns core.ErrNotFound once; the next Watch
// with after 0 then waits for the creation.
func (s *Store) Watch(ctx context.Context, key string, after core.Version) (core.Entry, error) {
	if after == 0 {
		after = s.missingIndex(key)
	}
	query := url.Values{
		"index": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {s.cfg.WatchWait.String()},
	}
	e, index, err := s.read(ctx, "watch", key, query, s.cfg.WatchWait+s.cfg.CallTimeout)
	if errors.Is(err, core.ErrNotFound) {
		s.setMissingIndex(key, index)
	}
	return e, err
}

// missingIndex returns the index from which to watch an entry that doesn't exist. It is at least 1, since
// a watch with index 0 returns at once.
func (s *Store) missingIndex(key string) core.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.missingIndexes[key], 1)
}

func (s *Store) setMissingIndex(key string, index core.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missingIndexes[key] = max(s.missingIndexes[key], index)
}

func (s *Store) read(ctx context.Context, op, key string, query url.Values, timeout time.Duration) (core.Entry, core.Version, error) {
	c := call{op: op, method: http.MethodGet, path: "/v1/kv/" + key, query: query, timeout: timeout}
	a, err := s.do(ctx, c)
	if err != nil {
		return core.Entry{}, 0, err
	}
	if a.status == http.StatusNotFound {
		return core.Entry{}, a.index, fmt.Errorf("key %s: %w", key, core.ErrNotFound)
	}
	var entries []keyAnswer
	if err := a.decode(c, &entries); err != nil {
		return core.Entry{}, 0, err
	}
	if len(entries) != 1 || entries[0].ModifyIndex == 0 {
		return core.Entry{}, 0, c.fail(a.status, errors.New("answer doesn't hold one entry with a version"))
	}
	e := entries[0]
	return core.Entry{
		Key: key, Value: e.Value, Version: core.Version(e.ModifyIndex), Lease: core.LeaseID(e.Session),
	}, a.index, nil
}

// VMs implements core.Store.
func (s *Store) VMs(ctx context.Context) ([]core.VM, error) {
	c := call{op: "vms", method: http.MethodGet, path: "/v1/vms", timeout: s.cfg.CallTimeout}
	a, err := s.do(ctx, c)
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, c.fail(a.status, errors.New(a.reason()))
	}
	var vms []core.VM
	if err := a.decode(c, &vms); err != nil {
		return nil, err
	}
	return vms, nil
}

// decodeBool decodes the answer to a conditional write.
func decodeBool(c call, a answer) (bool, error) {
	var ok bool
	if a.status != http.StatusOK {
		return false, c.fail(a.status, errors.New(a.reason()))
	}
	if err := json.Unmarshal(a.body, &ok); err != nil {
		return false, c.fail(a.status, err)
	}
	return ok, nil
}
