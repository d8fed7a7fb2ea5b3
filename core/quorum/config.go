package quorum

import (
	"time"

	"snipewall/core"
)

// Defaults of Config.
const (
	DefaultPollInterval   = 100 * time.Millisecond
	DefaultIdleInterval   = time.Second
	DefaultIdleAfter      = 10 * time.Second
	DefaultDemandInterval = time.Millisecond
	DefaultPollTimeout    = 500 * time.Millisecond
	DefaultStatusTTL      = 1200 * time.Millisecond
)

// Config configures a Monitor. Durations that are not positive take the defaults.
type Config struct {
	Group     core.GroupID
	Upstreams []core.Upstream
	// PollInterval is the time between polls without waiting callers.
	PollInterval time.Duration
	// IdleInterval is the time between polls of an idle group: all upstreams answer, and no method that
	// serves requests was called for IdleAfter.
	IdleInterval, IdleAfter time.Duration
	// DemandInterval is the shortest time between polls of one upstream with waiting callers.
	DemandInterval time.Duration
	// PollTimeout limits one poll. Two timeouts fit into the 1.2 s after which a failover starts, so
	// that one lost poll can't cause a failover.
	PollTimeout time.Duration
	// StatusTTL is the age up to which Primary uses a status.
	StatusTTL time.Duration
}

func (cfg *Config) setDefaults() {
	if cfg.PollInterval <= 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	if cfg.IdleInterval <= 0 {
		cfg.IdleInterval = DefaultIdleInterval
	}
	if cfg.IdleAfter <= 0 {
		cfg.IdleAfter = DefaultIdleAfter
	}
	if cfg.DemandInterval <= 0 {
		cfg.DemandInterval = DefaultDemandInterval
	}
	if cfg.PollTimeout <= 0 {
		cfg.PollTimeout = DefaultPollTimeout
	}
	if cfg.StatusTTL <= 0 {
		cfg.StatusTTL = DefaultStatusTTL
	}
}

// New returns a monitor. It doesn't poll until Run is called.
func New(cfg Config) *Monitor {
	cfg.setDefaults()
	n := len(cfg.Upstreams)
	m := &Monitor{
		cfg:      cfg,
		majority: n/2 + 1,
		members:  make([]member, n),
		index:    make(map[core.UpstreamID]int, n),
		results:  make(chan pollResult, n),
		wakeup:   make(chan struct{}, 1),
		changed:  make(chan struct{}, 1),
	}
	for i, up := range cfg.Upstreams {
		id := up.Info().ID
		m.members[i] = member{upstream: up, id: id}
		m.index[id] = i
	}
	return m
}
