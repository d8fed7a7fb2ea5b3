package route

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
	"snipewall/core/retry"
)

const (
	// maxRedirects limits the redirects that are followed without a backoff.
	maxRedirects = 3
	// firstBackoff and maxBackoff limit the backoff before a request that did not run is tried again, for
	// example while a group has no primary.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
	// answerReserve is the part of the deadline that is reserved for answering the caller.
	answerReserve = 50 * time.Millisecond
	// defaultRetryRatio is the share of requests that may be sent again, and defaultRetryBurst the number
	// of such retries that can accumulate.
	defaultRetryRatio = 0.1
	defaultRetryBurst = 50
	// peerPenalty is how long an unreachable entry VM is skipped.
	peerPenalty = 500 * time.Millisecond
)

// Config configures a Router.
type Config struct {
	Upstreams []core.UpstreamInfo
	Members   core.Members
	// Owners returns entry VMs in the order in which they own the upstream. It is called for each request,
	// so it has to answer from a cache.
	Owners func(info core.UpstreamInfo) []core.VM
	// Local returns the executor of an upstream in this process, and starts it if necessary.
	Local func(id core.UpstreamID) (core.Executor, bool)
	// Remote returns the executor of an upstream on another entry VM.
	Remote func(vm core.VM, id core.UpstreamID) core.Executor
	// View returns the monitor of a group, or false if none runs in this process.
	View func(id core.GroupID) (core.GroupView, bool)
	// Budget limits the retries of requests that were sent; nil means 10% of the traffic.
	Budget *retry.Budget
}

// Router implements core.Executor for all groups.
type Router struct {
	cfg    Config
	groups map[core.GroupID]*group
	nextID atomic.Uint64
	counts counters

	mu sync.Mutex
	// penalties holds the time until which an entry VM is skipped.
	penalties map[core.VMID]time.Time
}

// group is the router's state of a group.
type group struct {
	id        core.GroupID
	upstreams []core.UpstreamInfo
	// primary is the last known primary, a core.UpstreamID.
	primary atomic.Value
}

func (g *group) knownPrimary() core.UpstreamID {
	id, _ := g.primary.Load().(core.UpstreamID)
	return id
}

func (g *group) learnPrimary(id core.UpstreamID) {
	if id != "" && id != g.knownPrimary() {
		g.primary.Store(id)
	}
}

func (g *group) info(id core.UpstreamID) (core.UpstreamInfo, bool) {
	for _, info := range g.upstreams {
		if info.ID == id {
			return info, true
		}
	}
	return core.UpstreamInfo{}, false
}

// New returns a router for the groups of cfg.Upstreams.
func New(cfg Config) *Router {
	if cfg.Budget == nil {
		cfg.Budget = retry.NewBudget(retry.Config{Ratio: defaultRetryRatio, Burst: defaultRetryBurst})
	}
	r := &Router{cfg: cfg, groups: make(map[core.GroupID]*group), penalties: make(map[core.VMID]time.Time)}
	for _, info := range cfg.Upstreams {
		g, ok := r.groups[info.Group]
		if !ok {
			g = &group{id: info.Group}
			r.groups[info.Group] = g
		}
		g.upstreams = append(g.upstreams, info)
	}
	return r
}

// Has implements core.Groups.
func (r *Router) Has(id core.GroupID) bool {
	_, ok := r.groups[id]
	return ok
}

// Execute implements core.Executor.
func (r *Router) Execute(ctx context.Context, req *core.Request, w core.ResponseWriter) (core.Result, error) {
	g, ok := r.groups[req.Group]
	if !ok {
		return core.Result{}, req.Attempt.Refuse(core.StateUnavailable, "group "+string(req.Group)+" is not known", 0)
	}
	req.ID = r.nextID.Add(1)
	r.cfg.Budget.Deposit()
	e := &execution{router: r, group: g, req: req, out: &trackingWriter{w: w}}
	res, err := e.run(ctx)
	r.counts.add(g, req, res, err)
	return res, err
}

// execution is the state of one request over all its attempts.
type execution struct {
	router *Router
	group  *group
	req    *core.Request
	out    *trackingWriter
	// redirectTarget is the upstream that the last redirect named, or empty.
	redirectTarget core.UpstreamID
	// failed holds the upstreams that refused, redirected or lost the request since the last backoff.
	failed    []core.UpstreamID
	redirects int
	backoff   time.Duration
}

// run tries upstreams until the request has run, must not be repeated, or its deadline is near.
func (e *execution) run(ctx context.Context) (core.Result, error) {
	e.resolveIndex(ctx)
	lastReason := "no upstream could be reached"
	for {
		info, ok := e.choose()
		if !ok {
			if err := e.waitBackoff(ctx, lastReason); err != nil {
				return core.Result{}, err
			}
			continue
		}
		res, err := e.attempt(ctx, info)
		if err == nil {
			return res, nil
		}
		again, reason, err := e.handleError(ctx, info, err)
		if !again {
			return core.Result{}, err
		}
		lastReason = reason
	}
}

// handleError decides whether the request may be tried again after err.
func (e *execution) handleError(ctx context.Context, info core.UpstreamInfo, err error) (again bool, reason string, final error) {
	var redirect *core.RedirectError
	var notRun *core.NotRunError
	var unknown *core.UnknownOutcomeError
	var duplicate *core.DuplicateError
	switch {
	case errors.As(err, &redirect):
		e.followRedirect(info, redirect)
		return true, redirect.Reason, nil
	case errors.As(err, &notRun):
		if notRun.State == core.StateOverload && !e.canTryAnotherReplica(info) {
			return false, "", err
		}
		e.failed = append(e.failed, info.ID)
		return true, notRun.Reason, nil
	case errors.As(err, &duplicate):
		return false, "", err
	case ctx.Err() != nil:
		return false, "", e.req.Attempt.Refuse(core.StateUnavailable, "the request's time is over", 0)
	case e.req.Attempt.IsSent() && !e.canRepeat():
		if !errors.As(err, &unknown) {
			err = &core.UnknownOutcomeError{Reason: err.Error()}
		}
		return false, "", err
	}
	e.req.Attempt.ConfirmNotRun()
	e.failed = append(e.failed, info.ID)
	return true, err.Error(), nil
}

// canRepeat reports whether a request that may have run can be sent again: it changes nothing or is
// idempotent, no part of an answer was forwarded, and the retry budget allows it. The start of a
// transaction changes nothing, since an upstream rolls back when the connection drops.
func (e *execution) canRepeat() bool {
	if e.out.forwarded || e.req.InTx {
		return false
	}
	switch e.req.Class {
	case core.ClassRead, core.ClassBegin, core.ClassBeginRead:
		return e.router.cfg.Budget.Withdraw()
	case core.ClassWrite:
		return e.req.Idempotent && e.router.cfg.Budget.Withdraw()
	default:
		return false
	}
}

// canTryAnotherReplica reports whether a read that one upstream refused for load may go to another one.
// It may do so once, and within the retry budget, so that it doesn't multiply an overload.
func (e *execution) canTryAnotherReplica(info core.UpstreamInfo) bool {
	if e.req.Class != core.ClassRead || len(e.failed) > 0 || info.ID == e.group.knownPrimary() {
		return false
	}
	return e.router.cfg.Budget.Withdraw()
}

// followRedirect records a redirect and its target.
func (e *execution) followRedirect(info core.UpstreamInfo, redirect *core.RedirectError) {
	e.redirects++
	e.failed = append(e.failed, info.ID)
	e.group.learnPrimary(redirect.Primary)
	if redirect.Better == info.ID || e.redirects > maxRedirects {
		return
	}
	e.redirectTarget = redirect.Better
	e.failed = remove(e.failed, redirect.Better)
}

func remove(ids []core.UpstreamID, id core.UpstreamID) []core.UpstreamID {
	kept := ids[:0]
	for _, other := range ids {
		if other != id {
			kept = append(kept, other)
		}
	}
	return kept
}

// waitBackoff waits before all upstreams are tried again. It returns an error if the deadline is too near.
func (e *execution) waitBackoff(ctx context.Context, reason string) error {
	e.backoff = min(max(firstBackoff, 2*e.backoff), maxBackoff)
	wait := e.backoff/2 + rand.N(e.backoff/2)
	if time.Until(e.req.Deadline) < wait+answerReserve {
		return e.req.Attempt.Refuse(core.StateUnavailable, reason, maxBackoff)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return e.req.Attempt.Refuse(core.StateUnavailable, reason, 0)
	case <-timer.C:
	}
	e.failed = e.failed[:0]
	e.redirects = 0
	e.redirectTarget = ""
	return nil
}

// trackingWriter records whether any message was forwarded.
type trackingWriter struct {
	w         core.ResponseWriter
	forwarded bool
}

// Send implements core.ResponseWriter.
func (t *trackingWriter) Send(msg pgproto3.BackendMessage) error {
	t.forwarded = true
	return t.w.Send(msg)
}
