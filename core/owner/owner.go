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

// sweepTime is the time between two looks for idle transactions.
const sweepTime = 100 * time.Millisecond

// Owner runs requests on one upstream under its limits. It is safe for concurrent use.
type Owner struct {
	cfg     Config
	info    core.UpstreamInfo
	id      core.UpstreamID
	queue   *queue.Queue
	pool    *pool.Pool[core.Conn]
	retries *retry.Budget
	metrics metrics
	// sessions knows the commits that this owner ran while its upstream was the primary.
	sessions *sessionLog
	// warm is the number of connections kept ready while this entry VM is the assigned owner.
	warm int
	// leavingSince is when the upstream was first seen leaving, in Unix nanoseconds, or 0.
	leavingSince atomic.Int64

	mu       sync.Mutex
	inFlight int
	open     map[*tx]struct{}
	draining bool
	// changed is closed and replaced when inFlight or open shrinks during a drain.
	changed chan struct{}
}

var (
	_ core.Executor       = (*Owner)(nil)
	_ core.Service        = (*Owner)(nil)
	_ core.Dumper         = (*Owner)(nil)
	_ core.SessionIndexer = (*Owner)(nil)
)

// New returns the owner of an upstream. It serves requests while Run works.
func New(cfg Config) *Owner {
	cfg = cfg.withDefaults()
	info := cfg.Upstream.Info()
	slots, connections, maxOpen, warm := cfg.limits(info)
	o := &Owner{
		cfg:      cfg,
		info:     info,
		id:       info.ID,
		sessions: newSessionLog(),
		warm:     warm,
		retries:  retry.NewBudget(retry.Config{Ratio: cfg.RetryRatio, Burst: budgetBurst}),
		metrics:  newMetrics(cfg.Metrics),
		open:     make(map[*tx]struct{}),
		changed:  make(chan struct{}),
	}
	o.queue = queue.New(cfg.Scheduler(queue.Config{Slots: slots, MaxOpen: maxOpen, Policies: cfg.Policies}))
	o.pool = pool.New(pool.Config[core.Conn]{
		Limit:       connections,
		MinIdle:     warm,
		Dial:        cfg.Upstream.Dial,
		Close:       func(c core.Conn) error { return c.Close() },
		Ping:        func(ctx context.Context, c core.Conn) error { return c.Ping(ctx) },
		AtLimit:     isRefused,
		OnDialError: o.dialFailed,
	})
	return o
}

// SetAssigned tells whether this entry VM is the assigned owner. Without the assignment it serves on
// demand and keeps no connections ready, since the assigned owner needs the upstream's few.
func (o *Owner) SetAssigned(assigned bool) {
	if assigned {
		o.pool.SetMinIdle(o.warm)
		return
	}
	o.pool.SetMinIdle(0)
}

// Name returns "owner/" and the upstream.
func (o *Owner) Name() string { return "owner/" + string(o.id) }

// Run works until ctx ends. It then rolls back open transactions and closes the connections.
func (o *Owner) Run(ctx context.Context) error {
	ends := make(chan error)
	go func() { ends <- o.pool.Run(ctx) }()
	go func() { ends <- o.queue.Run(ctx) }()
	ticker := time.NewTicker(sweepTime)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			o.closeIdle(now)
		}
	}
	for _, t := range o.openTxs() {
		_ = t.Close()
	}
	return errors.Join(<-ends, <-ends)
}

// Execute runs the request; see core.Executor.
func (o *Owner) Execute(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	if !o.enter() {
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, "the proxy is stopping", 0)
	}
	defer o.leave()
	o.metrics.requests.Inc(1)
	o.retries.Deposit()
	ctx, cancel := o.limit(ctx, req)
	defer cancel()
	path := pathOf(req)
	a := &answer{w: w, withhold: path != PathRead, movable: true, max: o.cfg.MaxWithheld}
	res, err := o.serve(ctx, path, req, a)
	o.count(err)
	return res, err
}

// Drain refuses new requests and waits until the requests in flight and the open transactions have
// ended, or until ctx ends.
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

// enter counts a request, unless the owner is draining.
func (o *Owner) enter() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.inFlight++
	return true
}

func (o *Owner) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inFlight--
	o.notify()
}

// notify wakes Drain. The caller holds mu.
func (o *Owner) notify() {
	if !o.draining {
		return
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// limit bounds the request by its deadline.
func (o *Owner) limit(ctx context.Context, req *core.Request) (context.Context, context.CancelFunc) {
	if req.Deadline.IsZero() {
		return context.WithTimeout(ctx, o.cfg.RequestTime)
	}
	if deadline, ok := ctx.Deadline(); ok && !req.Deadline.Before(deadline) {
		// The listener and the relay have set the deadline already.
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, req.Deadline)
}

// count counts the way in which a request failed.
func (o *Owner) count(err error) {
	var notRun *core.NotRunError
	var unknown *core.UnknownOutcomeError
	switch {
	case errors.As(err, &notRun):
		o.metrics.refused.Inc(1)
	case errors.As(err, &unknown):
		o.metrics.unknown.Inc(1)
	}
}

// dialFailed tells the monitor that the upstream can't be reached.
func (o *Owner) dialFailed(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	level.Warn(o.cfg.Log).Log("Msg", "dial failed", "Upstream", o.id, "Err", err)
	if !isRefused(err) {
		o.cfg.View.Suspect(o.id)
	}
}

// isRefused reports whether the upstream answered that it is at its connection limit.
func isRefused(err error) bool {
	var refused *core.RefusedError
	return errors.As(err, &refused)
}
