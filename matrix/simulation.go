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

// fullRateTime is how long clients run at their full rate after a fault begins or ends.
const fullRateTime = 4 * time.Second

// Defects selects the defects of a simulation, so that tests can show that the checkers detect them. Each
// defect disables one mechanism.
type Defects struct {
	// AckAtCommit acknowledges a write after the primary's commit, without Confirm.
	AckAtCommit bool
	// StaleIndex uses the position of the primary's last status as read index.
	StaleIndex bool
	// AnyPrimary uses the first upstream that reports to be the primary, without a majority.
	AnyPrimary bool
	// NoDriver runs no failover drivers.
	NoDriver bool
	// AcceptAnyTerm makes upstreams accept terms that they must refuse.
	AcceptAnyTerm bool
}

// SimulationConfig configures a Simulation.
type SimulationConfig struct {
	Seed uint64
	// Size is the number of upstreams. The default is 3.
	Size int
	// Delay is the one-way delay, Lag the replication lag in addition to it.
	Delay, Lag time.Duration
	// Processing is the time that an upstream takes for one call. The default is 1 ms.
	Processing time.Duration
	// Clients is the number of writers and of readers per entry VM.
	Clients int
	// Every is the mean time between a client's operations. It is 5 times as long when no fault began or
	// ended in the last fullRateTime.
	Every time.Duration
	// WriteTimeout is the clients' timeout for a write. The default is 1 s.
	WriteTimeout time.Duration
	Defects      Defects
	// Hook, if set, is called when a driver begins a step. It returns how long the driver must pause.
	Hook func(sim *Simulation, site string, step elect.Step) time.Duration
}

// Simulation simulates a group with two entry VMs and their clients. It must be used in a synctest bubble.
type Simulation struct {
	Group     *fakes.Group
	Store     *fakes.Store
	cfg       SimulationConfig
	vms       []*vm
	runErrors chan error
	ctx       context.Context
	stop      context.CancelFunc

	mu           sync.Mutex
	random       *rand.Rand
	ops          []Op
	observations []Observation
	connected    []Connectivity
	changes      []elect.Change
	lastValue    int
	pending      sync.WaitGroup
	// stopClients is closed to stop the clients after their current operations.
	stopClients chan struct{}
	clients     sync.WaitGroup
	// faultsEndAt is when the last fault ends, fullRateUntil when the clients slow down.
	faultsEndAt, fullRateUntil time.Time
}

// vm is one entry VM.
type vm struct {
	site   string
	view   *quorum.Monitor
	driver *elect.Driver
}

// NewSimulation starts the group, the monitors, the drivers and the clients. Close stops them.
func NewSimulation(cfg SimulationConfig) *Simulation {
	if cfg.Size == 0 {
		cfg.Size = 3
	}
	if cfg.Processing == 0 {
		cfg.Processing = time.Millisecond
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = time.Second
	}
	sim := &Simulation{
		cfg:         cfg,
		Store:       fakes.NewStore(),
		random:      rand.New(rand.NewPCG(cfg.Seed, 1)),
		runErrors:   make(chan error, 256),
		stopClients: make(chan struct{}),
		Group: fakes.NewGroup(fakes.GroupConfig{
			Group: "g", Size: cfg.Size, Delay: cfg.Delay, Lag: cfg.Lag,
			Heartbeat: 50 * time.Millisecond, Processing: cfg.Processing, AcceptAnyTerm: cfg.Defects.AcceptAnyTerm,
		}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	sim.ctx = ctx
	sim.stop = cancel
	for i, site := range sim.Sites() {
		v := sim.newVM(i, site)
		sim.vms = append(sim.vms, v)
		sim.run(ctx, v.view.Run)
		if !cfg.Defects.NoDriver {
			sim.run(ctx, v.driver.Run)
		}
	}
	sim.recordConnected()
	sim.startClients(ctx)
	return sim
}

// Sites returns the names of the entry VMs.
func (sim *Simulation) Sites() []string { return []string{"vm-a", "vm-b"} }

// endpoints returns the names of all endpoints: the entry VMs and the upstreams.
func (sim *Simulation) endpoints() []string {
	names := sim.Sites()
	for _, id := range sim.Group.IDs() {
		names = append(names, string(id))
	}
	return names
}

func (sim *Simulation) newVM(i int, site string) *vm {
	upstreams := sim.Group.View(site)
	v := &vm{site: site, view: quorum.New(quorum.Config{Group: "g", Upstreams: upstreams})}
	v.driver = elect.New(elect.Config{
		Group: "g", Self: core.VMID(site), Upstreams: upstreams, View: v.view, Store: sim.Store,
		Rand:     rand.New(rand.NewPCG(sim.cfg.Seed, uint64(i)+10)),
		Hook:     func(ctx context.Context, step elect.Step, _ core.Term) { sim.hook(ctx, site, step) },
		OnChange: sim.recordChange,
	})
	return v
}

func (sim *Simulation) hook(ctx context.Context, site string, step elect.Step) {
	if sim.cfg.Hook == nil {
		return
	}
	pause := sim.cfg.Hook(sim, site, step)
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// run runs f in a goroutine that Close waits for.
func (sim *Simulation) run(ctx context.Context, f func(ctx context.Context) error) {
	sim.pending.Add(1)
	go func() {
		defer sim.pending.Done()
		sim.runErrors <- f(ctx)
	}()
}

// scheduleFaultEnd calls f, which ends a fault, after d, unless the synctest bubble ends first.
func (sim *Simulation) scheduleFaultEnd(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		f()
		sim.recordConnected()
		sim.extendFullRate()
	})
}

// updateFaultsEnd makes WaitForFaults wait for a fault that ends d from now.
func (sim *Simulation) updateFaultsEnd(d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if end := time.Now().Add(d); end.After(sim.faultsEndAt) {
		sim.faultsEndAt = end
	}
}

// extendFullRate makes the clients run at their full rate until fullRateTime from now.
func (sim *Simulation) extendFullRate() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.fullRateUntil = time.Now().Add(fullRateTime)
}

// WaitForFaults waits until all faults have ended.
func (sim *Simulation) WaitForFaults() {
	for {
		sim.mu.Lock()
		wait := time.Until(sim.faultsEndAt)
		sim.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// Close stops everything and returns the history. It stops the clients before it takes the history,
// since a read may already have returned the value of a write that is still in progress.
func (sim *Simulation) Close() History {
	close(sim.stopClients)
	sim.clients.Wait()
	h := sim.takeHistory()
	sim.stop()
	sim.pending.Wait()
	sim.Group.Close()
	sim.Store.Close()
	return h
}

// Primary returns the primary of the highest term according to the upstreams' own states, or empty.
func (sim *Simulation) Primary() core.UpstreamID {
	var primary core.UpstreamID
	var term core.Term
	for _, id := range sim.Group.IDs() {
		s := sim.Group.State(id)
		if s.Role == core.RolePrimary && s.Log.Term == s.Promised && s.Promised > term {
			primary, term = id, s.Promised
		}
	}
	return primary
}

func (sim *Simulation) recordChange(c elect.Change) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.changes = append(sim.changes, c)
}

// recordConnected records whether a majority of the upstreams is running and connected with each other and
// with an entry VM.
func (sim *Simulation) recordConnected() {
	c := Connectivity{At: time.Now(), Majority: sim.Group.HasConnectedMajority(sim.Sites())}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.connected = append(sim.connected, c)
}
