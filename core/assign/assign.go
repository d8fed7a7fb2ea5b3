package assign

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
)

const (
	// DefaultIdleTimeout is the default of Config.IdleTimeout.
	DefaultIdleTimeout = 30 * time.Second
	// reconcileInterval is how often the running owners are compared with the membership.
	reconcileInterval = 200 * time.Millisecond
	// joinWait is how long a starting entry VM waits until it sees other entry VMs. Without the wait it
	// would consider itself the only one and open connections to all upstreams.
	joinWait = 2 * time.Second
	// drainTimeout limits how long an owner that is being stopped may take to finish its requests.
	drainTimeout = 10 * time.Second
)

// Owner serves one upstream.
type Owner interface {
	core.Service
	core.Executor
	// Drain refuses new requests and waits for those in flight.
	Drain(ctx context.Context) error
	// SetAssigned sets whether this entry VM is the assigned owner or serves on demand.
	SetAssigned(assigned bool)
}

// Group consists of the monitor and the failover driver of one group.
type Group struct {
	View core.GroupView
	// Services run as long as the group is in use.
	Services []core.Service
}

// Config configures a Manager.
type Config struct {
	Upstreams []core.UpstreamInfo
	Members   core.Members
	// Owners returns entry VMs in the order in which they own the upstream. It is called for all upstreams
	// several times a second, so it has to answer from a cache.
	Owners func(info core.UpstreamInfo) []core.VM
	// NewGroup creates the monitor and the failover driver of a group.
	NewGroup func(id core.GroupID, upstreams []core.UpstreamInfo) Group
	// NewOwner creates the owner of an upstream.
	NewOwner func(info core.UpstreamInfo, view core.GroupView) Owner
	// IdleTimeout is how long an owner that is neither assigned nor used continues to run; 0 means
	// DefaultIdleTimeout.
	IdleTimeout time.Duration
	Log         log.Logger
}

// Manager starts and stops owners and groups. It is safe for concurrent use.
type Manager struct {
	cfg       Config
	upstreams map[core.UpstreamID]core.UpstreamInfo

	mu       sync.Mutex
	ctx      context.Context
	draining bool
	owners   map[core.UpstreamID]*runningOwner
	groups   map[core.GroupID]*runningGroup
}

type runningOwner struct {
	owner Owner
	task  *task
	// assigned is set if rendezvous hashing assigns the upstream to this entry VM.
	assigned bool
	lastUsed time.Time
}

type runningGroup struct {
	group Group
	tasks []*task
}

// New returns a manager. It starts owners only while Run is running.
func New(cfg Config) *Manager {
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.Log == nil {
		cfg.Log = log.NewNopLogger()
	}
	m := &Manager{
		cfg:       cfg,
		upstreams: make(map[core.UpstreamID]core.UpstreamInfo, len(cfg.Upstreams)),
		owners:    make(map[core.UpstreamID]*runningOwner),
		groups:    make(map[core.GroupID]*runningGroup),
	}
	for _, info := range cfg.Upstreams {
		m.upstreams[info.ID] = info
	}
	return m
}

// Name implements core.Service.
func (m *Manager) Name() string { return "assign" }

// Run follows the membership until ctx ends, then stops all owners and groups.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	began := time.Now()
	for len(m.cfg.Members.Alive()) < 2 && time.Since(began) < joinWait {
		select {
		case <-ctx.Done():
			return m.stopAll()
		case <-ticker.C:
		}
	}
	for {
		if err := m.reconcile(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return m.stopAll()
		case <-ticker.C:
		}
	}
}

// reconcile starts the owners that are assigned to this entry VM and stops the idle ones.
func (m *Manager) reconcile() error {
	self := m.cfg.Members.Self().ID
	var stopped []*runningOwner
	m.mu.Lock()
	for id, info := range m.upstreams {
		first := m.cfg.Owners(info)
		assigned := len(first) > 0 && first[0].ID == self && !m.draining
		ro := m.owners[id]
		if ro == nil && assigned {
			ro = m.start(info, true)
		}
		if ro == nil {
			continue
		}
		if ro.assigned != assigned {
			ro.assigned = assigned
			ro.owner.SetAssigned(assigned)
		}
		if assigned {
			ro.lastUsed = time.Now()
		}
		if time.Since(ro.lastUsed) > m.cfg.IdleTimeout {
			stopped = append(stopped, ro)
			delete(m.owners, id)
		}
	}
	idle := m.removeIdleGroups()
	m.mu.Unlock()
	var errs []error
	for _, ro := range stopped {
		errs = append(errs, m.stop(ro))
	}
	for _, g := range idle {
		errs = append(errs, g.stop())
	}
	return errors.Join(errs...)
}

// removeIdleGroups removes and returns the groups without an owner in this process. The caller holds mu.
func (m *Manager) removeIdleGroups() []*runningGroup {
	var idle []*runningGroup
	for id, g := range m.groups {
		used := slices.ContainsFunc(m.cfg.Upstreams, func(info core.UpstreamInfo) bool {
			return info.Group == id && m.owners[info.ID] != nil
		})
		if !used {
			idle = append(idle, g)
			delete(m.groups, id)
		}
	}
	return idle
}

// start starts the owner of the upstream, and its group if necessary. The caller holds mu.
func (m *Manager) start(info core.UpstreamInfo, assigned bool) *runningOwner {
	g, ok := m.groups[info.Group]
	if !ok {
		g = m.startGroup(info.Group)
		m.groups[info.Group] = g
	}
	o := m.cfg.NewOwner(info, g.group.View)
	o.SetAssigned(assigned)
	ro := &runningOwner{owner: o, task: startTask(m.ctx, o), assigned: assigned, lastUsed: time.Now()}
	m.owners[info.ID] = ro
	level.Info(m.cfg.Log).Log("Msg", "owner started", "Upstream", info.ID, "Assigned", assigned)
	return ro
}

func (m *Manager) startGroup(id core.GroupID) *runningGroup {
	var members []core.UpstreamInfo
	for _, info := range m.cfg.Upstreams {
		if info.Group == id {
			members = append(members, info)
		}
	}
	g := &runningGroup{group: m.cfg.NewGroup(id, members)}
	for _, s := range g.group.Services {
		g.tasks = append(g.tasks, startTask(m.ctx, s))
	}
	return g
}

func (g *runningGroup) stop() error {
	var errs []error
	for _, t := range g.tasks {
		errs = append(errs, t.stop())
	}
	return errors.Join(errs...)
}

// stop drains and stops an owner.
func (m *Manager) stop(ro *runningOwner) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := ro.owner.Drain(ctx); err != nil {
		level.Warn(m.cfg.Log).Log("Msg", "owner not drained in time, stopping it with requests in flight", "Owner", ro.owner.Name(), "Err", err)
	}
	level.Info(m.cfg.Log).Log("Msg", "stopping owner", "Owner", ro.owner.Name())
	return ro.task.stop()
}

func (m *Manager) stopAll() error {
	m.mu.Lock()
	owners, groups := m.owners, m.groups
	m.owners, m.groups = map[core.UpstreamID]*runningOwner{}, map[core.GroupID]*runningGroup{}
	m.draining = true
	m.mu.Unlock()
	var errs []error
	for _, ro := range owners {
		errs = append(errs, ro.task.stop())
	}
	for _, g := range groups {
		errs = append(errs, g.stop())
	}
	return errors.Join(errs...)
}

// Drain refuses new requests on all owners and waits for the requests in flight.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	owners := make([]*runningOwner, 0, len(m.owners))
	for _, ro := range m.owners {
		owners = append(owners, ro)
	}
	m.mu.Unlock()
	ends := make(chan error, len(owners))
	for _, ro := range owners {
		go func() { ends <- ro.owner.Drain(ctx) }()
	}
	var errs []error
	for range owners {
		errs = append(errs, <-ends)
	}
	return errors.Join(errs...)
}

// Executor returns the owner of the upstream in this process, and starts it if necessary. It returns
// false for an unknown upstream, and while the manager is stopped or draining.
func (m *Manager) Executor(id core.UpstreamID) (core.Executor, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ro, ok := m.owners[id]; ok {
		ro.lastUsed = time.Now()
		return ro.owner, true
	}
	info, ok := m.upstreams[id]
	if !ok || m.draining || m.ctx == nil || m.ctx.Err() != nil {
		return nil, false
	}
	return m.start(info, false).owner, true
}

// View returns the monitor of the group, or false if none runs in this process.
func (m *Manager) View(id core.GroupID) (core.GroupView, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.groups[id]
	if !ok {
		return nil, false
	}
	return g.group.View, true
}
