package table

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
)

// Defaults of CacheConfig.
const (
	defaultWatchersPerDomain = 2
	// roleCheckInterval is how often an entry VM without a watch checks whether it has to start one.
	roleCheckInterval = 500 * time.Millisecond
	// minWatchInterval is the minimum time between two watches that returned no change.
	minWatchInterval = time.Second
	// maxPeerFetches limits the requests to peers after the start. Later, pings report their versions.
	maxPeerFetches = 10
)

// Peers is the part of the membership that a Cache uses.
type Peers interface {
	core.Members
	// FetchTable returns the table with the highest version that a few other entry VMs have, in the form
	// that Adopt reads, or an error if none of them returned a table.
	FetchTable(ctx context.Context) ([]byte, error)
	// AskConfirmation asks the entry VM for the last confirmation of its table, newer than that of this VM, which has the
	// given age. The entry VM waits for a newer one for at most wait. A higher version of the table is adopted.
	AskConfirmation(ctx context.Context, vm core.VM, age, wait time.Duration) (core.Confirmation, error)
	// Announce sends the current version to other entry VMs immediately.
	Announce()
}

// CacheConfig configures a Cache.
type CacheConfig struct {
	Store core.Store
	// Key is the table's key in the store, DefaultKey if empty.
	Key string
	// WatchersPerDomain is the number of entry VMs in each failure domain that hold a watch on the store,
	// 2 if 0. The others learn of changes from pings.
	WatchersPerDomain int
	// Now reads a clock that advances while the VM is suspended; nil stands for core.Now.
	Now func() core.Instant
	// Logger receives changes and failures; nil disables logging.
	Logger log.Logger
}

// Cache holds the current version of the table on this entry VM and keeps it up to date. It implements
// core.Policies and is the core service "table". Lookups are lock-free.
type Cache struct {
	cfg     CacheConfig
	current atomic.Pointer[currentTable]

	// callbackMu serializes callbacks, so that the versions they see never decrease.
	callbackMu sync.Mutex

	mu        sync.Mutex
	peers     Peers
	callbacks []func(core.Version)
	watching  bool
	lastError string
	// isConfirmed is set if the store had no version above the one in force at confirmedAt.
	isConfirmed bool
	confirmedAt core.Instant
	// confirmed is closed at the next confirmation.
	confirmed chan struct{}
}

// currentTable is the table in force. It is immutable.
type currentTable struct {
	record  *record
	encoded []byte
	source  string
	since   time.Time
}

var (
	_ core.Policies = (*Cache)(nil)
	_ core.Service  = (*Cache)(nil)
	_ core.Dumper   = (*Cache)(nil)
)

// NewCache returns a Cache without a table.
func NewCache(cfg CacheConfig) *Cache {
	if cfg.Key == "" {
		cfg.Key = DefaultKey
	}
	if cfg.WatchersPerDomain <= 0 {
		cfg.WatchersPerDomain = defaultWatchersPerDomain
	}
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	c := &Cache{cfg: cfg, confirmed: make(chan struct{})}
	c.current.Store(&currentTable{record: &record{table: newTable(nil)}})
	return c
}

// SetPeers sets the other entry VMs. It must be called before Run. Without peers, the Cache only watches
// the store.
func (c *Cache) SetPeers(p Peers) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = p
}

// OnChange registers a function that is called with the current version after each change. It must
// return quickly and must not call Adopt.
func (c *Cache) OnChange(f func(core.Version)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callbacks = append(c.callbacks, f)
}

// Policy implements core.Policies.
func (c *Cache) Policy(kind core.Kind) (core.KindPolicy, bool) {
	return c.current.Load().record.table.Policy(kind)
}

// Kinds implements core.Policies.
func (c *Cache) Kinds() []core.KindPolicy { return c.current.Load().record.table.Kinds() }

// Version returns the current version, or 0 without a table.
func (c *Cache) Version() core.Version { return c.current.Load().record.Version }

// Checkout returns the current table.
func (c *Cache) Checkout() Checkout {
	r := c.current.Load().record
	return Checkout{Version: r.Version, Edit: r.Edit, Table: r.table}
}

// Encoded returns the current version in the form that Adopt reads, or nil without a table.
func (c *Cache) Encoded() (core.Version, []byte) {
	cur := c.current.Load()
	return cur.record.Version, cur.encoded
}

// Adopt replaces the table if the encoded one has a higher version, and returns the version that is
// current afterwards. It returns an error if the encoded table is invalid.
func (c *Cache) Adopt(encoded []byte, source string) (core.Version, error) {
	r, err := decodeRecord(encoded)
	if err != nil {
		return c.Version(), err
	}
	return c.adopt(r, source)
}

func (c *Cache) adopt(r *record, source string) (core.Version, error) {
	if r.Version <= c.Version() {
		return c.Version(), nil
	}
	bare := r.withoutHistory()
	short, err := bare.encode()
	if err != nil {
		return c.Version(), err
	}
	next := &currentTable{record: bare, encoded: short, source: source, since: time.Now()}
	for {
		cur := c.current.Load()
		if bare.Version <= cur.record.Version {
			return cur.record.Version, nil
		}
		if c.current.CompareAndSwap(cur, next) {
			break
		}
	}
	c.notify(bare, source)
	return c.Version(), nil
}

// notify runs the callbacks and announces a new version to the peers.
func (c *Cache) notify(r *record, source string) {
	level.Info(c.cfg.Logger).Log("Msg", "table in force", "Version", r.Version, "Edit", r.Edit, "Rows", len(r.table.Kinds()), "Source", source)
	c.mu.Lock()
	callbacks, peers := c.callbacks, c.peers
	c.mu.Unlock()
	c.callbackMu.Lock()
	for _, f := range callbacks {
		f(c.Version())
	}
	c.callbackMu.Unlock()
	// A version from a peer spreads with the regular pings; only one from the store is announced at once.
	if peers != nil && source == sourceStore {
		peers.Announce()
	}
}

// Name implements core.Service.
func (c *Cache) Name() string { return "table" }

// cacheDump is the state that the admin port shows.
type cacheDump struct {
	Version  core.Version
	Edit     core.EditID
	Rows     int
	Source   string
	Since    time.Time
	Watching bool
	// ConfirmedMs is how long ago the store confirmed the version; -1 if it never did.
	ConfirmedMs int64
	LastError   string `json:",omitempty"`
}

// Dump implements core.Dumper.
func (c *Cache) Dump() any {
	cur := c.current.Load()
	confirmedMs := int64(-1)
	if age, ok, _ := c.confirmedAge(); ok {
		confirmedMs = age.Milliseconds()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return cacheDump{
		Version: cur.record.Version, Edit: cur.record.Edit, Rows: len(cur.record.table.Kinds()), Source: cur.source,
		Since: cur.since, Watching: c.watching, ConfirmedMs: confirmedMs, LastError: c.lastError,
	}
}
