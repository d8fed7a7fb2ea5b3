package matrix

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"snipewall/core"
	"snipewall/core/elect"
	"snipewall/core/fakes"
	"snipewall/core/quorum"
)

// busyTime is how long clients run at their full rate after a fault begins or ends.
const busyTime = 4 * time.Second

// Broken selects defects, so that tests can show that the checkers detect them.
type Broken struct {
	// AckAtCommit acknowledges a write after the primary's commit, without Confirm.
	AckAtCommit bool
	// StaleIndex uses the position of the primary's last status as read index.
	StaleIndex bool
	// AnyPrimary uses the first upstream that reports to be the primary, without a majority.
	AnyPrimary bool
	// NoDriver runs no failover drivers.
	NoDriver bool
	// AnyTerm makes upstreams accept terms that they must refuse.
	AnyTerm bool
}

// WorldConfig configures a World.
type WorldConfig struct {
	Seed uint64
	// Size is the number of upstreams. The default is 3.
	Size int
	// Delay is the one-way delay, Lag the replication lag in addition to it.
	Delay, Lag time.Duration
	// Processing is the time that an upstream takes for one call. The default is 1 ms.
	Processing time.Duration
	// Clients is the number of writers and of readers per entry VM.
	Clients int
	// Every is the mean time between a client's operations. More than busyTime after the last fault it is
	// 5 times as long.
	Every time.Duration
	// WriteDeadline is the clients' timeout of a write. The default is 1 s.
	WriteDeadline time.Duration
	Broken        Broken
	// Hook, if set, is called when a driver begins a step. It returns how long the driver must pause.
	Hook func(w *World, site string, step elect.Step) time.Duration
}

// World simulates a group with two entry VMs and their clients. It must be used in a synctest bubble.
type World struct {
	Group *fakes.Group
	Store *fakes.Store
	cfg   WorldConfig
	vms   []*vm
	ends  chan error
	ctx   context.Context
	stop  context.CancelFunc

	mu        sync.Mutex
	random    *rand.Rand
	history   []Op
	sightings []Sighting
	connected []Connection
	changes   []elect.Change
	next      int
	pending   sync.WaitGroup
	// halt is closed to stop the clients after their current operations.
	halt    chan struct{}
	clients sync.WaitGroup
	// quietAt is when the last fault ends, busyUntil when the clients slow down.
	quietAt, busyUntil time.Time
}

// vm is one entry VM.
type vm struct {
	site   string
	view   *quorum.Monitor
	driver *elect.Driver
}

// NewWorld starts the group, the monitors, the drivers and the clients. Close stops them.
func NewWorld(cfg WorldConfig) *World {
	if cfg.Size == 0 {
		cfg.Size = 3
	}
	if cfg.Processing == 0 {
		cfg.Processing = time.Millisecond
	}
	if cfg.WriteDeadline == 0 {
		cfg.WriteDeadline = time.Second
	}
	w := &World{
		cfg:    cfg,
		Store:  fakes.NewStore(),
		random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		ends:   make(chan error, 256),
		halt:   make(chan struct{}),
		Group: fakes.NewGroup(fakes.GroupConfig{
			Group: "g", Size: cfg.Size, Delay: cfg.Delay, Lag: cfg.Lag,
			Heartbeat: 50 * time.Millisecond, Processing: cfg.Processing, AcceptAnyTerm: cfg.Broken.AnyTerm,
		}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.ctx = ctx
	w.stop = cancel
	for i, site := range w.Sites() {
		v := w.newVM(i, site)
		w.vms = append(w.vms, v)
		w.run(ctx, v.view.Run)
		if !cfg.Broken.NoDriver {
			w.run(ctx, v.driver.Run)
		}
	}
	w.noteConnected()
	w.startClients(ctx)
	return w
}

// Sites returns the names of the entry VMs.
func (w *World) Sites() []string { return []string{"vm-a", "vm-b"} }

// places returns the names of all endpoints: the entry VMs and the upstreams.
func (w *World) places() []string {
	places := w.Sites()
	for _, id := range w.Group.IDs() {
		places = append(places, string(id))
	}
	return places
}

func (w *World) newVM(i int, site string) *vm {
	upstreams := w.Group.View(site)
	v := &vm{site: site, view: quorum.New(quorum.Config{Group: "g", Upstreams: upstreams})}
	v.driver = elect.New(elect.Config{
		Group: "g", Self: core.VMID(site), Upstreams: upstreams, View: v.view, Store: w.Store,
		Rand:     rand.New(rand.NewPCG(w.cfg.Seed, uint64(i)+10)),
		Hook:     func(ctx context.Context, step elect.Step, _ core.Term) { w.hook(ctx, site, step) },
		OnChange: w.noteChange,
	})
	return v
}

func (w *World) hook(ctx context.Context, site string, step elect.Step) {
	if w.cfg.Hook == nil {
		return
	}
	pause := w.cfg.Hook(w, site, step)
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// run runs f in a goroutine that Close waits for.
func (w *World) run(ctx context.Context, f func(ctx context.Context) error) {
	w.pending.Add(1)
	go func() {
		defer w.pending.Done()
		w.ends <- f(ctx)
	}()
}

// later calls f after d. f begins or ends a fault.
func (w *World) later(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		f()
		w.noteConnected()
		w.busy()
	})
}

// extend makes Quiet wait until d from now, when a fault ends.
func (w *World) extend(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if end := time.Now().Add(d); end.After(w.quietAt) {
		w.quietAt = end
	}
}

// busy makes the clients run at their full rate for busyTime.
func (w *World) busy() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busyUntil = time.Now().Add(busyTime)
}

// Quiet waits until all faults have ended.
func (w *World) Quiet() {
	for {
		w.mu.Lock()
		wait := time.Until(w.quietAt)
		w.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// Close stops everything and returns the history. It stops the clients before it takes the history,
// since a read may already have returned the value of a write that is still in progress.
func (w *World) Close() History {
	close(w.halt)
	w.clients.Wait()
	h := w.record()
	w.stop()
	w.pending.Wait()
	w.Group.Close()
	w.Store.Close()
	return h
}

// Primary returns the primary of the highest term according to the upstreams themselves, or empty.
func (w *World) Primary() core.UpstreamID {
	var primary core.UpstreamID
	var term core.Term
	for _, id := range w.Group.IDs() {
		s := w.Group.State(id)
		if s.Role == core.RolePrimary && s.Log.Term == s.Promised && s.Promised > term {
			primary, term = id, s.Promised
		}
	}
	return primary
}

func (w *World) noteChange(c elect.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes = append(w.changes, c)
}

// noteConnected records whether a majority of the upstreams is running and connected with each other and
// with an entry VM.
func (w *World) noteConnected() {
	c := Connection{At: time.Now(), Majority: w.Group.HasConnectedMajority(w.Sites())}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connected = append(w.connected, c)
}
