package pool

import (
	"context"
	"time"
)

// Defaults of Config.
const (
	defaultDialTimeout       = 3 * time.Second
	defaultIdleTimeout       = 5 * time.Minute
	defaultHeartbeatInterval = 5 * time.Second
	defaultHeartbeatTimeout  = time.Second
	defaultMinBackoff        = 20 * time.Millisecond
	defaultMaxBackoff        = time.Second
)

// Config configures a Pool. Limit, Dial and Close are required; other zero values stand for the
// defaults, or switch the feature off where there is none.
type Config[T any] struct {
	// Limit is the maximum number of connections, including those being dialed.
	Limit int
	// MinIdle is the number of idle connections that the pool keeps open.
	MinIdle int
	// Dial opens a connection with the label, which is AnyLabel if any will do. Pools whose users ask for no
	// label ignore it.
	Dial func(ctx context.Context, label string) (T, error)
	// Close closes a connection. Its error is ignored, since the connection is unusable either way.
	Close func(v T) error
	// Ping checks an idle connection. Nil disables the heartbeat.
	Ping func(ctx context.Context, v T) error
	// AtLimit reports whether a dial error means that the other side is at its connection limit, so
	// that waiting for a connection in use is worthwhile.
	AtLimit func(err error) bool
	// OnDialError is called after each failed dial.
	OnDialError func(err error)
	// DialTimeout limits one dial.
	DialTimeout time.Duration
	// SlowStart limits the dials in progress to the number of open connections, at least one. Load
	// pattern: all VMs restart at once, and each dial occupies the other side for longer than a
	// statement does.
	SlowStart bool
	// SlowDialAfter is the time after which Blocked reports a dial as slow; 0 means never.
	SlowDialAfter time.Duration
	// IdleTimeout is how long a connection in excess of MinIdle may stay idle.
	IdleTimeout time.Duration
	// HeartbeatInterval is the time without use after which an idle connection is checked.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout limits one check.
	HeartbeatTimeout time.Duration
	// MinBackoff and MaxBackoff limit the time between dials after failures.
	MinBackoff, MaxBackoff time.Duration
}

func (c Config[T]) withDefaults() Config[T] {
	c.Limit = max(c.Limit, 1)
	c.MinIdle = min(c.MinIdle, c.Limit)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&c.HeartbeatTimeout, defaultHeartbeatTimeout)
	setDefault(&c.MinBackoff, defaultMinBackoff)
	setDefault(&c.MaxBackoff, defaultMaxBackoff)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
