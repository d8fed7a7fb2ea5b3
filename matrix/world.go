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

// busyTime is how long clients work at their full rate after a fault begins or ends.
const busyTime = 4 * time.Second

// Broken switches off one mechanism each, so that tests can show that the checkers notice.
type Broken struct {
	// AckAtCommit acknowledges a write at the primary's commit, without Confirm.
	AckAtCommit bool
	// StaleIndex reads at the position of the last status instead of a read index.
	StaleIndex bool
	// AnyPrimary takes the first upstream that calls itself primary, without a majority.
	AnyPrimary bool
	// NoDriver runs no failover driver.
	NoDriver bool
	// AnyTerm lets upstreams accept lower terms.
	AnyTerm bool
}

// WorldConfig constructs a World.
type WorldConfig struct {
	Seed uint64
	// Size is the number of upstreams, 3 if 0.
	Size int
	// Delay is the one-way delay, Lag the time of replication beyond it.
	Delay, Lag time.Duration
	// Processing is the time that an upstream takes for one call, 1 ms if 0.
	Processing time.Duration
	// Clients is the number of writers and of readers per entry VM.
	Clients int
	// Every is the mean time between a client's operations. Far from any fault it is 5 times as long.
	Every time.Duration
	// WriteDeadline is the clients' deadline for a write, 1 s if 0.
	WriteDeadline time.Duration
	Broken        Broken
	// Hook is called when a driver enters a step and returns how long to pause it.
	Hook func(w *World, site string, step elect.Step) time.Duration
}

// World is a group with two entry VMs and their clients. It lives in a synctest bubble.
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
	// halt ends the clients after their current operations.
	halt    chan struct{}
	clients sync.WaitGroup
	// quietAt is when all faults have ended, busyUntil when the clients may slow down.
	quietAt, busyUntil time.Time
}

// vm is one entry VM.
type vm struct {
	site   string
	view   *quorum.Monitor
	driver *elect.Driver
}

// NewWorld starts the group, the monitors, the drivers and the clients. Close ends them.
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
			Heartbeat: 50 * time.Millisecond, Processing: cfg.Processing, AnyTerm: cfg.Broken.AnyTerm,
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

// places returns the names of all upstreams and entry VMs.
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

// run starts a goroutine that reports its end to Close.
func (w *World) run(ctx context.Context, f func(ctx context.Context) error) {
	w.pending.Add(1)
	go func() {
		defer w.pending.Done()
		w.ends <- f(ctx)
	}()
}

// later runs the function after a time, unless the world is closed first.
func (w *World) later(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		f()
		w.noteConnected()
		w.busy()
	})
}

// extend makes Quiet wait for a fault that lasts d from now.
func (w *World) extend(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if end := time.Now().Add(d); end.After(w.quietAt) {
		w.quietAt = end
	}
}

// busy makes the clients work at their full rate for a while.
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

// Close stops everything and returns the history. The clients end first: a write that is under way
// when the history is taken may have been read already.
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

// Primary returns the reigning primary as the group itself knows it, or empty.
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

// noteConnected records whether a majority of the upstreams, connected with each other and with an
// entry VM, works.
func (w *World) noteConnected() {
	c := Connection{At: time.Now(), Majority: w.Group.Connected(w.Sites())}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connected = append(w.connected, c)
}
