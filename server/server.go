package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"

	"snipewall/conf"
	"snipewall/core"
	"snipewall/core/assign"
	"snipewall/core/budget"
	"snipewall/core/peers"
	"snipewall/core/place"
	"snipewall/core/route"
	"snipewall/core/table"
	"snipewall/io/admin"
	"snipewall/io/front"
	"snipewall/io/relay"
	"snipewall/io/stats"
	"snipewall/io/store"
)

// Config configures a Process. Both fields are required.
type Config struct {
	Settings *conf.Settings
	Log      log.Logger
}

// Process is an entry VM. New builds it.
type Process struct {
	cfg       Config
	registry  *core.Registry
	scope     tally.Scope
	metrics   http.Handler
	upstreams map[core.UpstreamID]core.Upstream

	store   *store.Store
	members *peers.Peers
	owners  *place.Cache
	table   *table.Cache
	assign  *assign.Manager
	client  *relay.Client
	relay   *relay.Server
	router  *route.Router
	front   *front.Server
	admin   *admin.Server
}

// New opens the listeners and registers the services, which Run starts. Its errors name the setting to
// change.
func New(cfg Config) (*Process, error) {
	p := &Process{cfg: cfg, registry: core.NewRegistry()}
	p.scope, p.metrics = stats.New(cfg.Settings.VM.ID)
	steps := []func() error{
		p.openUpstreams, p.openPlatform, p.openMembers, p.openOwners, p.openRouter, p.openFront, p.openAdmin,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// listen opens a TCP listener. Its error names the key of the section Listen.
func listen(key, address string) (net.Listener, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, core.ErrSettings.New("section [Listen], key %s: %v", key, err)
	}
	return ln, nil
}

func (p *Process) self() core.VM {
	s := p.cfg.Settings
	return core.VM{
		ID: s.VM.ID, FailureDomain: s.VM.FailureDomain, Region: s.VM.Region,
		Control: s.Listen.Control, Relay: s.Listen.Relay,
	}
}

func (p *Process) openPlatform() error {
	s := p.cfg.Settings
	var err error
	p.store, err = store.New(store.Config{Address: "http://" + s.Platform.Address, CallTimeout: s.Platform.Timeout})
	if err != nil {
		return err
	}
	p.table = table.NewCache(table.CacheConfig{Store: p.store, Logger: log.With(p.cfg.Log, "Service", "table")})
	return p.registry.Register(p.table)
}

func (p *Process) openOwners() error {
	s := p.cfg.Settings
	p.owners = place.NewCache(place.CacheConfig{Members: p.members})
	p.assign = assign.New(assign.Config{
		Upstreams: s.Upstreams, Members: p.members, Owners: p.owners.Owners,
		NewGroup: p.newGroup, NewOwner: p.newOwner, Log: log.With(p.cfg.Log, "Service", "assign"),
	})
	ln, err := listen("Relay", s.Listen.Relay)
	if err != nil {
		return err
	}
	p.relay = relay.NewServer(relay.ServerConfig{Listener: ln, Find: p.assign.Executor, Log: log.With(p.cfg.Log, "Service", "relay")})
	p.client = relay.NewClient(relay.ClientConfig{})
	return errors.Join(p.registry.Register(p.assign), p.registry.Register(p.relay), p.registry.Register(p.client))
}

func (p *Process) openRouter() error {
	p.router = route.New(route.Config{
		Upstreams: p.cfg.Settings.Upstreams, Members: p.members, Owners: p.owners.Owners,
		Local: p.assign.Executor, Remote: p.client.Executor, View: p.assign.View,
	})
	return p.registry.Register(p.router)
}

// memoryWait is how long a message waits for memory that others give back.
const memoryWait = 300 * time.Millisecond

func (p *Process) openFront() error {
	s := p.cfg.Settings
	ln, err := listen("Callers", s.Listen.Callers)
	if err != nil {
		return err
	}
	tlsConfig, err := callerTLS(s.CallerTLS)
	if err != nil {
		return err
	}
	scope, logger := p.scope.SubScope("Limits"), log.With(p.cfg.Log, "Service", "limits")
	memory := budget.New(budget.Config{
		Limit: int64(s.Callers.BufferMegabytes) << 20, Wait: memoryWait,
		Refused: budget.NewNotice(budget.NoticeConfig{Msg: "no memory for a message", Counter: scope.Counter("MemoryRefusals"), Log: logger}),
		Closed:  budget.NewNotice(budget.NoticeConfig{Msg: "connection closed, since it held the most memory", Counter: scope.Counter("MemoryClosed"), Log: logger}),
	})
	p.front = front.New(front.Config{
		Memory:   memory,
		Listener: ln, Router: p.router, Policies: p.table, Groups: p.router, TLS: tlsConfig,
		Log: log.With(p.cfg.Log, "Service", "front"), Metrics: p.scope.SubScope("Front"),
		DefaultKind: s.Callers.DefaultKind, MaxMessage: s.Callers.MaxMessage,
		MaxConnections: s.Callers.MaxConnections, TLSRequired: s.CallerTLS.Required,
	})
	return p.registry.Register(p.front)
}

func (p *Process) openAdmin() error {
	ln, err := listen("Admin", p.cfg.Settings.Listen.Admin)
	if err != nil {
		return err
	}
	p.admin = admin.New(admin.Config{Listener: ln, Registry: p.registry, Metrics: p.metrics, Status: p.status})
	return p.registry.Register(p.admin)
}

// Run serves callers until ctx ends, then shuts down gracefully within Grace and Timeout of the section
// Stop. It returns the error of the first service that fails.
func (p *Process) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	end := make(chan error, 1)
	go func() { end <- p.registry.Run(runCtx) }()
	readyEnd := make(chan error, 1)
	go func() { readyEnd <- p.awaitReady(ctx) }()
	level.Info(p.cfg.Log).Log("Msg", "entry VM started", "VM", p.cfg.Settings.VM.ID, "Callers", p.cfg.Settings.Listen.Callers)
	select {
	case err := <-end:
		return err
	case <-ctx.Done():
	}
	if err := <-readyEnd; err != nil {
		return err
	}
	p.stop(runCtx)
	cancel()
	return <-end
}

const (
	// readyInterval is the interval at which awaitReady checks for an operators' table.
	readyInterval = 50 * time.Millisecond
	// readyTimeout limits the wait for an operators' table. After it the process serves with the
	// defaults, so that it can start during an outage of the platform.
	readyTimeout = 5 * time.Second
)

// awaitReady turns readiness on as soon as a table is in force, at the latest after readyTimeout. It
// returns when ctx ends.
func (p *Process) awaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	began := time.Now()
	for p.table.Version() == 0 && time.Since(began) < readyTimeout {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	if p.table.Version() == 0 {
		level.Warn(p.cfg.Log).Log("Msg", "serving without an operators' table: neither the platform nor a peer has one")
	}
	p.admin.SetReady(true)
	<-ctx.Done()
	return nil
}

// stop makes the load balancer and the other entry VMs send their requests elsewhere, then drains the
// requests in flight.
func (p *Process) stop(ctx context.Context) {
	s := p.cfg.Settings.Stop
	level.Info(p.cfg.Log).Log("Msg", "stopping", "Grace", s.Grace.String())
	p.admin.SetReady(false)
	ctx, cancel := context.WithTimeout(ctx, s.Grace+s.Timeout)
	defer cancel()
	p.members.Leave(ctx)
	sleep(ctx, s.Grace)
	for _, d := range []drainer{p.front, p.relay, p.assign} {
		if err := d.Drain(ctx); err != nil {
			level.Warn(p.cfg.Log).Log("Msg", "stopped with work in flight", "Service", d.Name(), "Err", err)
		}
	}
	level.Info(p.cfg.Log).Log("Msg", "stopped")
}

// drainer is a service that can finish its requests in flight before it ends.
type drainer interface {
	Name() string
	Drain(ctx context.Context) error
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Status is the JSON response of /status on the admin port.
type Status struct {
	VM           core.VM
	TableVersion core.Version
	Members      []core.VM
	// Primaries holds the primary of each group, as far as it is known to this entry VM.
	Primaries map[core.GroupID]core.UpstreamID
	// Leaving lists the upstreams that are being taken out of service.
	Leaving []core.UpstreamID `json:",omitempty"`
}

func (p *Process) status() any {
	st := Status{
		VM: p.members.Self(), TableVersion: p.table.Version(), Members: p.members.Alive(),
		Primaries: p.router.Primaries(),
	}
	for _, info := range p.cfg.Settings.Upstreams {
		if p.members.IsLeaving(info.ID) {
			st.Leaving = append(st.Leaving, info.ID)
		}
	}
	return st
}

// errNoCertificates is the error of a CA file without a certificate.
func errNoCertificates(path string) error {
	return core.ErrSettings.New("section [UpstreamTLS], key CA: %s", fmt.Sprintf("%q holds no PEM certificate", path))
}
