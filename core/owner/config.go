package owner

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"snipewall/core"
	"snipewall/core/queue"
)

// Defaults of Config.
const (
	defaultSlots               = 2
	defaultConnections         = 20
	defaultReservedConnections = 2
	defaultConnectTimeout      = 500 * time.Millisecond
	defaultTxIdleTimeout       = 30 * time.Second
	defaultRequestTimeout      = 30 * time.Second
	defaultLeaveGrace          = 3 * time.Second
	defaultRetryRatio          = 0.1
	// retryBurst is the number of retries that are possible in a row without other traffic.
	retryBurst              = 10
	defaultMaxWithheldBytes = 1 << 20
)

// Config configures the owner of one upstream. Upstream, View and Policies are required; zero values
// of the other fields select the defaults.
type Config struct {
	Upstream core.Upstream
	View     core.GroupView
	Policies core.Policies
	// Leaving reports whether any entry VM has seen that the upstream is leaving.
	Leaving func() bool
	Log     log.Logger
	Metrics tally.Scope
	// Scheduler creates the scheduler of the queue; the default is queue.NewShares.
	Scheduler func(cfg queue.Config) queue.Scheduler
	// Hook is called before each step of a request. An error makes the step fail.
	Hook Hook
	// MinIdle is the number of idle connections kept open, by default one more than the slots.
	MinIdle int
	// ReservedConnections is the number of the upstream's connections that are left to monitors and to
	// other owners.
	ReservedConnections int
	// Group lists the upstreams of the group, to which reads can be redirected.
	Group []core.UpstreamInfo
	// CatchUp is, for each rank, how long a read waits for a replica to apply a position before it is
	// redirected.
	CatchUp [core.RankCount]time.Duration
	// ConnectTimeout limits the wait for a connection. The request holds its slot meanwhile. When another
	// owner uses most of the upstream's connections, only statements of open transactions can free a
	// connection here, and they need the slots.
	ConnectTimeout time.Duration
	// TxIdleTimeout is how long a transaction may stay open without a statement.
	TxIdleTimeout time.Duration
	// RequestTimeout limits a request that has no deadline.
	RequestTimeout time.Duration
	// LeaveGrace is how long a leaving primary continues to accept requests, so that a failover can
	// replace it first.
	LeaveGrace time.Duration
	// RetryRatio is the allowed number of retries per request, averaged over the traffic.
	RetryRatio float64
	// MaxWithheldBytes limits the part of an answer that is buffered until the commit is confirmed.
	MaxWithheldBytes int
}

// defaultCatchUp keeps urgent reads fast, and keeps reads that can wait off the primary.
var defaultCatchUp = [core.RankCount]time.Duration{
	core.RankUrgent: 5 * time.Millisecond,
	core.RankMiddle: 20 * time.Millisecond,
	core.RankLast:   100 * time.Millisecond,
}

// Hook observes the steps of requests or makes them fail.
type Hook func(ctx context.Context, path Path, step Step, req *core.Request) error

// withDefaults replaces zero values with the defaults.
func (c Config) withDefaults() Config {
	if c.Leaving == nil {
		c.Leaving = func() bool { return false }
	}
	if c.Log == nil {
		c.Log = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	if c.Scheduler == nil {
		c.Scheduler = func(cfg queue.Config) queue.Scheduler { return queue.NewShares(cfg) }
	}
	if c.Hook == nil {
		c.Hook = func(context.Context, Path, Step, *core.Request) error { return nil }
	}
	setDefault(&c.ReservedConnections, defaultReservedConnections)
	for rank, limit := range defaultCatchUp {
		setDefault(&c.CatchUp[rank], limit)
	}
	setDefault(&c.ConnectTimeout, defaultConnectTimeout)
	setDefault(&c.TxIdleTimeout, defaultTxIdleTimeout)
	setDefault(&c.RequestTimeout, defaultRequestTimeout)
	setDefault(&c.LeaveGrace, defaultLeaveGrace)
	setDefault(&c.RetryRatio, defaultRetryRatio)
	setDefault(&c.MaxWithheldBytes, defaultMaxWithheldBytes)
	return c
}

func setDefault[T int | float64 | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// limits derives the sizes of the queue and the pool from the upstream's configuration.
func (c Config) limits(info core.UpstreamInfo) (slots, connections, maxOpen, minIdle int) {
	slots = info.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	connections = info.Connections
	if connections <= 0 {
		connections = defaultConnections
	}
	connections = max(connections-c.ReservedConnections, slots+1)
	// A request that holds a slot must never wait for a connection that an open transaction holds.
	maxOpen = connections - slots
	minIdle = c.MinIdle
	if minIdle <= 0 {
		minIdle = slots + 1
	}
	return slots, connections, maxOpen, minIdle
}
