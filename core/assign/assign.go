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
	// DefaultLinger is how long work that nobody asks for goes on.
	DefaultLinger = 30 * time.Second
	// checkInterval is how often the assignment is compared with the membership.
	checkInterval = 200 * time.Millisecond
	// settleTime is how long a starting entry VM waits to hear of others. Before that it would take
	// itself for the only one and open connections to all upstreams.
	settleTime = 2 * time.Second
	// drainTimeout limits how long an owner that lost its upstream finishes its requests.
	drainTimeout = 10 * time.Second
)

// Owner serves one upstream.
type Owner interface {
	core.Service
	core.Executor
	// Drain refuses new requests and waits for the ones in flight.
	Drain(ctx context.Context) error
	// SetAssigned tells whether this entry VM is the assigned owner or serves on demand.
	SetAssigned(assigned bool)
}

// Group is the monitor and the failover driver of one group.
type Group struct {
	View core.GroupView
	// Services are run as long as the group is needed.
	Services []core.Service
}

// Config configures a Manager.
type Config struct {
	Upstreams []core.UpstreamInfo
	Members   core.Members
	// Owners returns entry VMs in the order in which they own the upstream. It is asked for all
	// upstreams several times a second, so it has to answer from a cache.
	Owners func(info core.UpstreamInfo) []core.VM
	// NewGroup builds the monitor and the driver of a group.
	NewGroup func(id core.GroupID, upstreams []core.UpstreamInfo) Group
	// NewOwner builds the owner of an upstream.
	NewOwner func(info core.UpstreamInfo, view core.GroupView) Owner
	// Linger is how long work that nobody asks for goes on; 0 means DefaultLinger.
	Linger time.Duration
	Log    log.Logger
}

// Manager holds the running owners and groups.
type Manager struct {
	cfg       Config
	upstreams map[core.UpstreamID]core.UpstreamInfo

	mu       sync.Mutex
	ctx      context.Context
	draining bool
	owners   map[core.UpstreamID]*ownerCell
	groups   map[core.GroupID]*groupCell
}

// ownerCell is a running owner.
type ownerCell struct {
	owner Owner
	task  *task
	// assigned tells that rendezvous hashing names this entry VM.
	assigned bool
	lastUsed time.Time
}

// groupCell is a running group.
type groupCell struct {
	group Group
	tasks []*task
}

// New returns a manager that works during Run.
func New(cfg Config) *Manager {
	if cfg.Linger == 0 {
		cfg.Linger = DefaultLinger
	}
	if cfg.Log == nil {
		cfg.Log = log.NewNopLogger()
	}
	m := &Manager{
		cfg:       cfg,
		upstreams: make(map[core.UpstreamID]core.UpstreamInfo, len(cfg.Upstreams)),
		owners:    make(map[core.UpstreamID]*ownerCell),
		groups:    make(map[core.GroupID]*groupCell),
	}
	for _, info := range cfg.Upstreams {
		m.upstreams[info.ID] = info
	}
	return m
}

// Name implements core.Service.
func (m *Manager) Name() string { return "assign" }

// Run follows the membership until ctx ends, then stops all work.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	began := time.Now()
	for len(m.cfg.Members.Alive()) < 2 && time.Since(began) < settleTime {
		select {
		case <-ctx.Done():
			return m.stopAll()
		case <-ticker.C:
		}
	}
	for {
		if err := m.adjust(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return m.stopAll()
		case <-ticker.C:
		}
	}
}

// adjust starts what this entry VM owns and stops what nobody needs.
func (m *Manager) adjust() error {
	self := m.cfg.Members.Self().ID
	var stopped []*ownerCell
	m.mu.Lock()
	for id, info := range m.upstreams {
		first := m.cfg.Owners(info)
		assigned := len(first) > 0 && first[0].ID == self && !m.draining
		cell := m.owners[id]
		if cell == nil && assigned {
			cell = m.start(info, true)
		}
		if cell == nil {
			continue
		}
		if cell.assigned != assigned {
			cell.assigned = assigned
			cell.owner.SetAssigned(assigned)
		}
		if assigned {
			cell.lastUsed = time.Now()
		}
		if time.Since(cell.lastUsed) > m.cfg.Linger {
			stopped = append(stopped, cell)
			delete(m.owners, id)
		}
	}
	idle := m.takeIdleGroups()
	m.mu.Unlock()
	var errs []error
	for _, cell := range stopped {
		errs = append(errs, m.stop(cell))
	}
	for _, g := range idle {
		errs = append(errs, g.stop())
	}
	return errors.Join(errs...)
}

// takeIdleGroups removes the groups that have no owner here. The caller holds mu.
func (m *Manager) takeIdleGroups() []*groupCell {
	var idle []*groupCell
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

// start starts the owner of the upstream and its group. The caller holds mu.
func (m *Manager) start(info core.UpstreamInfo, assigned bool) *ownerCell {
	g, ok := m.groups[info.Group]
	if !ok {
		g = m.startGroup(info.Group)
		m.groups[info.Group] = g
	}
	o := m.cfg.NewOwner(info, g.group.View)
	o.SetAssigned(assigned)
	cell := &ownerCell{owner: o, task: startTask(m.ctx, o), assigned: assigned, lastUsed: time.Now()}
	m.owners[info.ID] = cell
	level.Info(m.cfg.Log).Log("Msg", "upstream is served here", "Upstream", info.ID, "Assigned", assigned)
	return cell
}

func (m *Manager) startGroup(id core.GroupID) *groupCell {
	var members []core.UpstreamInfo
	for _, info := range m.cfg.Upstreams {
		if info.Group == id {
			members = append(members, info)
		}
	}
	g := &groupCell{group: m.cfg.NewGroup(id, members)}
	for _, s := range g.group.Services {
		g.tasks = append(g.tasks, startTask(m.ctx, s))
	}
	return g
}

func (g *groupCell) stop() error {
	var errs []error
	for _, t := range g.tasks {
		errs = append(errs, t.stop())
	}
	return errors.Join(errs...)
}

// stop drains and ends an owner.
func (m *Manager) stop(cell *ownerCell) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := cell.owner.Drain(ctx); err != nil {
		level.Warn(m.cfg.Log).Log("Msg", "requests were still in flight when the owner stopped", "Owner", cell.owner.Name(), "Err", err)
	}
	level.Info(m.cfg.Log).Log("Msg", "upstream is no longer served here", "Owner", cell.owner.Name())
	return cell.task.stop()
}

func (m *Manager) stopAll() error {
	m.mu.Lock()
	owners, groups := m.owners, m.groups
	m.owners, m.groups = map[core.UpstreamID]*ownerCell{}, map[core.GroupID]*groupCell{}
	m.draining = true
	m.mu.Unlock()
	var errs []error
	for _, cell := range owners {
		errs = append(errs, cell.task.stop())
	}
	for _, g := range groups {
		errs = append(errs, g.stop())
	}
	return errors.Join(errs...)
}

// Drain refuses new requests on all owners and waits until the ones in flight have ended.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	cells := make([]*ownerCell, 0, len(m.owners))
	for _, cell := range m.owners {
		cells = append(cells, cell)
	}
	m.mu.Unlock()
	ends := make(chan error, len(cells))
	for _, cell := range cells {
		go func() { ends <- cell.owner.Drain(ctx) }()
	}
	var errs []error
	for range cells {
		errs = append(errs, <-ends)
	}
	return errors.Join(errs...)
}

// Executor returns the owner of the upstream in this process and starts it if needed.
func (m *Manager) Executor(id core.UpstreamID) (core.Executor, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cell, ok := m.owners[id]; ok {
		cell.lastUsed = time.Now()
		return cell.owner, true
	}
	info, ok := m.upstreams[id]
	if !ok || m.draining || m.ctx == nil || m.ctx.Err() != nil {
		return nil, false
	}
	return m.start(info, false).owner, true
}

// View returns the monitor of the group if it runs in this process.
func (m *Manager) View(id core.GroupID) (core.GroupView, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.groups[id]
	if !ok {
		return nil, false
	}
	return g.group.View, true
}
