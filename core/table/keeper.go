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

// Defaults of KeeperConfig.
const (
	defaultWatchers = 2
	// defaultPollBase and defaultPollStep give the time between slow polls of an entry VM without a
	// watch. It grows with the fleet, so that all of them together make a constant number of calls.
	defaultPollBase = time.Minute
	defaultPollStep = 2 * time.Second
	// roleCheckTime is how often an entry VM without a watch looks whether it has to take one over.
	roleCheckTime = 500 * time.Millisecond
	// watchSpacing is the least time between two watches that brought nothing new.
	watchSpacing = time.Second
	// emptyPollTime is the time between polls as long as there is no table.
	emptyPollTime = 5 * time.Second
	// maxAsks limits how often peers are asked at the start. Afterwards pings tell their versions.
	maxAsks = 10
)

// Peers is what a Keeper needs of the membership.
type Peers interface {
	core.Members
	// AskTable returns the highest version that a few other entry VMs have, as Encoded returns it, or
	// an error if none answered with a table.
	AskTable(ctx context.Context) ([]byte, error)
	// Announce spreads the version in force at once.
	Announce()
}

// CacheConfig sets up a Keeper.
type CacheConfig struct {
	Store core.Store
	// Key is the table's key in the store, DefaultKey if empty.
	Key string
	// Watchers is how many entry VMs of each failure domain hold a watch on the store, 2 if 0. The
	// others learn of changes from pings.
	Watchers int
	// PollBase and PollStep set the time between polls of the other entry VMs: PollBase, but at least
	// PollStep for each member of the fleet. 1 min and 2 s if 0.
	PollBase time.Duration
	PollStep time.Duration
	// Logger is for changes and failures; nil means none.
	Logger log.Logger
}

// Cache holds the version in force on this entry VM. It implements core.Policies and is the core
// service "table". Lookups take no lock.
type Cache struct {
	cfg     CacheConfig
	current atomic.Pointer[inForce]

	// reporting serializes callbacks, so that they see versions that only grow.
	reporting sync.Mutex

	mu        sync.Mutex
	peers     Peers
	callbacks []func(core.Version)
	watching  bool
	lastError string
}

// inForce is a version in force. It doesn't change.
type inForce struct {
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

// NewCache returns a Keeper without a table.
func NewCache(cfg CacheConfig) *Cache {
	if cfg.Key == "" {
		cfg.Key = DefaultKey
	}
	if cfg.Watchers <= 0 {
		cfg.Watchers = defaultWatchers
	}
	if cfg.PollBase <= 0 {
		cfg.PollBase = defaultPollBase
	}
	if cfg.PollStep <= 0 {
		cfg.PollStep = defaultPollStep
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	k := &Cache{cfg: cfg}
	k.current.Store(&inForce{record: &record{table: newTable(nil)}})
	return k
}

// SetPeers gives the Keeper the other entry VMs. It must be called before Run. Without it, the Keeper
// watches the store and asks nobody.
func (k *Cache) SetPeers(p Peers) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.peers = p
}

// OnChange registers a function that is called after each adoption with the version in force. It
// must return quickly and must not call Adopt.
func (k *Cache) OnChange(f func(core.Version)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.callbacks = append(k.callbacks, f)
}

// Policy implements core.Policies.
func (k *Cache) Policy(kind core.Kind) (core.KindPolicy, bool) {
	return k.current.Load().record.table.Policy(kind)
}

// Kinds implements core.Policies.
func (k *Cache) Kinds() []core.KindPolicy { return k.current.Load().record.table.Kinds() }

// Version returns the version in force, or 0 without a table.
func (k *Cache) Version() core.Version { return k.current.Load().record.Version }

// Checkout returns the table in force.
func (k *Cache) Checkout() Checkout {
	r := k.current.Load().record
	return Checkout{Version: r.Version, Edit: r.Edit, Table: r.table}
}

// Encoded returns the version in force as Adopt reads it, or nil without a table.
func (k *Cache) Encoded() (core.Version, []byte) {
	cur := k.current.Load()
	return cur.record.Version, cur.encoded
}

// Adopt puts the table into force if its version is higher than the one in force, and returns the
// version that is in force then. A table that isn't valid is an error.
func (k *Cache) Adopt(encoded []byte, source string) (core.Version, error) {
	r, err := decodeRecord(encoded)
	if err != nil {
		return k.Version(), err
	}
	if r.Version <= k.Version() {
		return k.Version(), nil
	}
	bare := r.withoutHistory()
	short, err := bare.encode()
	if err != nil {
		return k.Version(), err
	}
	next := &inForce{record: bare, encoded: short, source: source, since: time.Now()}
	for {
		cur := k.current.Load()
		if bare.Version <= cur.record.Version {
			return cur.record.Version, nil
		}
		if k.current.CompareAndSwap(cur, next) {
			break
		}
	}
	k.report(bare, source)
	return k.Version(), nil
}

// report tells everybody about a version that was just put into force.
func (k *Cache) report(r *record, source string) {
	level.Info(k.cfg.Logger).Log("Msg", "table in force", "Version", r.Version, "Edit", r.Edit, "Rows", len(r.table.Kinds()), "Source", source)
	k.mu.Lock()
	callbacks, peers := k.callbacks, k.peers
	k.mu.Unlock()
	k.reporting.Lock()
	for _, f := range callbacks {
		f(k.Version())
	}
	k.reporting.Unlock()
	// What came from a peer spreads with the ordinary pings; only news from the store is hurried.
	if peers != nil && source == sourceStore {
		peers.Announce()
	}
}

// Name implements core.Service.
func (k *Cache) Name() string { return "table" }

// keeperDump is the state that the admin port shows.
type keeperDump struct {
	Version   core.Version
	Edit      core.EditID
	Rows      int
	Source    string
	Since     time.Time
	Watching  bool
	LastError string `json:",omitempty"`
}

// Dump implements core.Dumper.
func (k *Cache) Dump() any {
	cur := k.current.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	return keeperDump{
		Version: cur.record.Version, Edit: cur.record.Edit, Rows: len(cur.record.table.Kinds()),
		Source: cur.source, Since: cur.since, Watching: k.watching, LastError: k.lastError,
	}
}
