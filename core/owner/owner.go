package owner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/pool"
	"snipewall/core/queue"
	"snipewall/core/retry"
)

const idleCheckInterval = 100 * time.Millisecond

// Owner runs requests on one upstream within its limits. It is safe for concurrent use.
type Owner struct {
	cfg     Config
	info    core.UpstreamInfo
	id      core.UpstreamID
	queue   *queue.Queue
	pool    *pool.Pool[core.Conn]
	retries *retry.Budget
	metrics metrics
	// sessions records the commits that this owner ran while its upstream was the primary.
	sessions *sessionLog
	// minIdle is the number of idle connections kept open while this entry VM is the assigned owner.
	minIdle int
	// leavingSince is when the upstream was first seen as leaving, in Unix nanoseconds, or 0.
	leavingSince atomic.Int64

	mu       sync.Mutex
	inFlight int
	open     map[*tx]struct{}
	draining bool
	// changed is closed and replaced when inFlight or open decreases during a drain.
	changed chan struct{}
}

var (
	_ core.Executor       = (*Owner)(nil)
	_ core.Service        = (*Owner)(nil)
	_ core.Dumper         = (*Owner)(nil)
	_ core.SessionIndexer = (*Owner)(nil)
)

// New returns the owner of an upstream. Requests are served while Run is running.
func New(cfg Config) *Owner {
	cfg = cfg.withDefaults()
	info := cfg.Upstream.Info()
	slots, connections, maxOpen, minIdle := cfg.limits(info)
	o := &Owner{
		cfg:      cfg,
		info:     info,
		id:       info.ID,
		sessions: newSessionLog(),
		minIdle:  minIdle,
		retries:  retry.NewBudget(retry.Config{Ratio: cfg.RetryRatio, Burst: retryBurst}),
		metrics:  newMetrics(cfg.Metrics),
		open:     make(map[*tx]struct{}),
		changed:  make(chan struct{}),
	}
	o.queue = queue.New(cfg.Scheduler(queue.Config{Slots: slots, MaxOpen: maxOpen, Policies: cfg.Policies}))
	o.pool = pool.New(pool.Config[core.Conn]{
		Limit:       connections,
		MinIdle:     minIdle,
		Dial:        func(ctx context.Context, _ string) (core.Conn, error) { return cfg.Upstream.Dial(ctx) },
		Close:       func(c core.Conn) error { return c.Close() },
		Ping:        func(ctx context.Context, c core.Conn) error { return c.Ping(ctx) },
		AtLimit:     isRefused,
		OnDialError: o.onDialError,
	})
	return o
}

// SetAssigned sets whether this entry VM is the assigned owner. Without the assignment it serves on
// demand and keeps no idle connections, since the assigned owner needs the upstream's few connections.
func (o *Owner) SetAssigned(assigned bool) {
	if assigned {
		o.pool.SetMinIdle(o.minIdle)
		return
	}
	o.pool.SetMinIdle(0)
}

// Name returns "owner/" followed by the upstream's id.
func (o *Owner) Name() string { return "owner/" + string(o.id) }

// Run serves until ctx ends. It then rolls back open transactions and closes the connections.
func (o *Owner) Run(ctx context.Context) error {
	ends := make(chan error)
	go func() { ends <- o.pool.Run(ctx) }()
	go func() { ends <- o.queue.Run(ctx) }()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			o.closeIdleTxs(now)
		}
	}
	for _, t := range o.openTxs() {
		_ = t.Close()
	}
	return errors.Join(<-ends, <-ends)
}

// Execute runs the request; see core.Executor.
func (o *Owner) Execute(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if !o.beginRequest() {
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, "the proxy is stopping", 0)
	}
	defer o.endRequest()
	o.metrics.requests.Inc(1)
	o.retries.Deposit()
	ctx, cancel := o.withDeadline(ctx, req)
	defer cancel()
	path := pathOf(req)
	a := &answer{w: w, withhold: path != PathRead, redirectable: true, max: o.cfg.MaxWithheldBytes}
	res, err := o.serve(ctx, path, req, a)
	o.countFailure(err)
	return res, err
}

// Drain refuses new requests and waits until the requests in flight and the open transactions have
// ended. It returns the error of ctx if that ends first.
func (o *Owner) Drain(ctx context.Context) error {
	for {
		o.mu.Lock()
		o.draining = true
		busy, changed := o.inFlight > 0 || len(o.open) > 0, o.changed
		o.mu.Unlock()
		if !busy {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// beginRequest counts a request in flight. It returns false if the owner is draining.
func (o *Owner) beginRequest() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.inFlight++
	return true
}

func (o *Owner) endRequest() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
	o.notifyDrain()
}

// notifyDrain wakes up Drain. The caller holds mu.
func (o *Owner) notifyDrain() {
	if !o.draining {
		return
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// withDeadline limits ctx to the request's deadline.
func (o *Owner) withDeadline(ctx context.Context, req *core.Request) (context.Context, context.CancelFunc) {
	if req.Deadline.IsZero() {
		return context.WithTimeout(ctx, o.cfg.RequestTimeout)
	}
	if deadline, ok := ctx.Deadline(); ok && !req.Deadline.Before(deadline) {
		// The listener or the relay has already set the deadline.
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, req.Deadline)
}

// countFailure updates the failure metrics.
func (o *Owner) countFailure(err error) {
	var notRun *core.NotRunError
	var unknown *core.UnknownOutcomeError
	switch {
	case errors.As(err, &notRun):
		o.metrics.refused.Inc(1)
	case errors.As(err, &unknown):
		o.metrics.unknown.Inc(1)
	}
}

// onDialError reports an unreachable upstream to the monitor.
func (o *Owner) onDialError(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	level.Warn(o.cfg.Log).Log("Msg", "dial failed", "Upstream", o.id, "Err", err)
	if !isRefused(err) {
		o.cfg.View.Suspect(o.id)
	}
}

// isRefused reports whether the upstream refused the connection because of its connection limit.
func isRefused(err error) bool {
	var refused *core.RefusedError
	return errors.As(err, &refused)
}
