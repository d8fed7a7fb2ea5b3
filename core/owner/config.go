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
	defaultSlots       = 2
	defaultConnections = 20
	defaultSpare       = 2
	defaultConnect     = 500 * time.Millisecond
	defaultTxIdle      = 30 * time.Second
	defaultRequestTime = 30 * time.Second
	defaultLeaveGrace  = 3 * time.Second
	defaultRetryRatio  = 0.1
	// budgetBurst is the number of retries that may follow each other without any other traffic.
	budgetBurst        = 10
	defaultMaxWithheld = 1 << 20
)

// Config describes the owner of one upstream. Upstream, View and Policies are required; other zero
// values stand for the defaults.
type Config struct {
	Upstream core.Upstream
	View     core.GroupView
	Policies core.Policies
	// Leaving reports whether any entry VM has seen that the upstream is leaving.
	Leaving func() bool
	Log     log.Logger
	Metrics tally.Scope
	// Scheduler builds the scheduler of the queue; the default is queue.Shares.
	Scheduler func(cfg queue.Config) queue.Scheduler
	// Hook is called before each step of a request. An error makes the step fail.
	Hook Hook
	// Warm is the number of connections kept ready, by default one more than the slots.
	Warm int
	// Spare is the number of the upstream's connections that are left to monitors and to other
	// owners.
	Spare int
	// Group lists the upstreams of the group, which a redirect may name.
	Group []core.UpstreamInfo
	// CatchUp limits for each rank how long a read waits for a replica to apply a position before it
	// goes to the primary.
	CatchUp [core.RankCount]time.Duration
	// Connect limits the wait for a connection. The request holds its slot meanwhile, and when
	// another owner has most of the upstream's connections, only statements of open transactions
	// can free one, which need the slots.
	Connect time.Duration
	// TxIdle is how long an open transaction may stay without a statement.
	TxIdle time.Duration
	// RequestTime limits a request without a deadline.
	RequestTime time.Duration
	// LeaveGrace is how long a leaving primary goes on with new work, so that failover can replace
	// it first.
	LeaveGrace time.Duration
	// RetryRatio is the number of retries per request, averaged over the traffic.
	RetryRatio float64
	// MaxWithheld limits the bytes of an answer that are kept until the commit is confirmed.
	MaxWithheld int
}

// defaultCatchUp makes urgent reads quick and keeps the primary free of reads that can wait.
var defaultCatchUp = [core.RankCount]time.Duration{
	core.RankUrgent: 5 * time.Millisecond,
	core.RankMiddle: 20 * time.Millisecond,
	core.RankLast:   100 * time.Millisecond,
}

// Hook observes or fails the steps of requests.
type Hook func(ctx context.Context, path Path, step Step, req *core.Request) error

// withDefaults replaces zero values by the defaults.
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
	setDefault(&c.Spare, defaultSpare)
	for rank, limit := range defaultCatchUp {
		setDefault(&c.CatchUp[rank], limit)
	}
	setDefault(&c.Connect, defaultConnect)
	setDefault(&c.TxIdle, defaultTxIdle)
	setDefault(&c.RequestTime, defaultRequestTime)
	setDefault(&c.LeaveGrace, defaultLeaveGrace)
	setDefault(&c.RetryRatio, defaultRetryRatio)
	setDefault(&c.MaxWithheld, defaultMaxWithheld)
	return c
}

func setDefault[T int | float64 | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// limits derives the sizes of the queue and the pool from the upstream's description.
func (c Config) limits(info core.UpstreamInfo) (slots, connections, maxOpen, warm int) {
	slots = info.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	connections = info.Connections
	if connections <= 0 {
		connections = defaultConnections
	}
	connections = max(connections-c.Spare, slots+1)
	// A request that holds a slot never waits for a connection that open transactions occupy.
	maxOpen = connections - slots
	warm = c.Warm
	if warm <= 0 {
		warm = slots + 1
	}
	return slots, connections, maxOpen, warm
}
