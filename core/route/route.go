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
	// maxRedirects limits the redirects that are followed without a pause in between.
	maxRedirects = 3
	// firstBackoff and maxBackoff bound the pause before a request that did not run is tried again,
	// for example while a group has no primary.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
	// answerReserve is the part of the deadline that is kept to answer the caller.
	answerReserve = 50 * time.Millisecond
	// defaultRetryRatio is the share of the requests that may be sent a second time, and
	// defaultRetryBurst how many repetitions can be saved up.
	defaultRetryRatio = 0.1
	defaultRetryBurst = 50
	// peerPenalty is how long an entry VM that could not be reached is passed over.
	peerPenalty = 500 * time.Millisecond
)

// Config configures a Router.
type Config struct {
	Upstreams []core.UpstreamInfo
	Members   core.Members
	// Owners returns entry VMs in the order in which they own the upstream. It is on the path of each
	// request, so it has to answer from a cache.
	Owners func(info core.UpstreamInfo) []core.VM
	// Local returns the executor of an upstream in this process and starts it if needed.
	Local func(id core.UpstreamID) (core.Executor, bool)
	// Remote returns the executor of an upstream on another entry VM.
	Remote func(vm core.VM, id core.UpstreamID) core.Executor
	// View returns the monitor of a group if one runs in this process.
	View func(id core.GroupID) (core.GroupView, bool)
	// Budget limits repetitions of requests that were sent; nil means 10% of the traffic.
	Budget *retry.Budget
}

// Router implements core.Executor for all groups.
type Router struct {
	cfg    Config
	groups map[core.GroupID]*group
	nextID atomic.Uint64
	counts counters

	mu sync.Mutex
	// penalties holds the time until which an entry VM is passed over.
	penalties map[core.VMID]time.Time
}

// group is what the router knows about a group.
type group struct {
	id        core.GroupID
	upstreams []core.UpstreamInfo
	// primary is the last primary heard of, a core.UpstreamID.
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

// New returns a router for the groups of the upstreams.
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
	t := &trial{router: r, group: g, req: req, out: &passedWriter{w: w}}
	res, err := t.run(ctx)
	r.counts.add(g, req, res, err)
	return res, err
}

// trial is the work for one request over all its attempts.
type trial struct {
	router *Router
	group  *group
	req    *core.Request
	out    *passedWriter
	// better is the upstream that the last redirect named, or empty.
	better core.UpstreamID
	// failed holds the upstreams that turned the request down since the last pause.
	failed    []core.UpstreamID
	redirects int
	backoff   time.Duration
}

// run tries upstreams until the request has run, must not be repeated, or its time is over.
func (t *trial) run(ctx context.Context) (core.Result, error) {
	t.resolveIndex(ctx)
	lastReason := "no upstream could be reached"
	for {
		info, ok := t.choose()
		if !ok {
			if err := t.pause(ctx, lastReason); err != nil {
				return core.Result{}, err
			}
			continue
		}
		res, err := t.attempt(ctx, info)
		if err == nil {
			return res, nil
		}
		again, reason, err := t.judge(ctx, info, err)
		if !again {
			return core.Result{}, err
		}
		lastReason = reason
	}
}

// judge decides whether the request may be tried again after err.
func (t *trial) judge(ctx context.Context, info core.UpstreamInfo, err error) (again bool, reason string, final error) {
	var redirect *core.RedirectError
	var notRun *core.NotRunError
	var unknown *core.UnknownOutcomeError
	var duplicate *core.DuplicateError
	switch {
	case errors.As(err, &redirect):
		t.follow(info, redirect)
		return true, redirect.Reason, nil
	case errors.As(err, &notRun):
		if notRun.State == core.StateOverload && !t.mayTryReplica(info) {
			return false, "", err
		}
		t.failed = append(t.failed, info.ID)
		return true, notRun.Reason, nil
	case errors.As(err, &duplicate):
		return false, "", err
	case ctx.Err() != nil:
		return false, "", t.req.Attempt.Refuse(core.StateUnavailable, "the request's time is over", 0)
	case t.req.Attempt.IsSent() && !t.mayRepeat():
		if !errors.As(err, &unknown) {
			err = &core.UnknownOutcomeError{Reason: err.Error()}
		}
		return false, "", err
	}
	t.req.Attempt.ConfirmNotRun()
	t.failed = append(t.failed, info.ID)
	return true, err.Error(), nil
}

// mayRepeat tells whether a request that may have run can be sent again: it changes nothing or is
// idempotent, no part of an answer was passed on, and the retry budget allows it. The start of a
// transaction changes nothing, since an upstream rolls back when its connection drops.
func (t *trial) mayRepeat() bool {
	if t.out.passed || t.req.InTx {
		return false
	}
	switch t.req.Class {
	case core.ClassRead, core.ClassBegin, core.ClassBeginRead:
		return t.router.cfg.Budget.Withdraw()
	case core.ClassWrite:
		return t.req.Idempotent && t.router.cfg.Budget.Withdraw()
	default:
		return false
	}
}

// mayTryReplica tells whether a read that one upstream refused for load may ask another one. It
// does so once, and within the retry budget, so that a surge isn't multiplied.
func (t *trial) mayTryReplica(info core.UpstreamInfo) bool {
	if t.req.Class != core.ClassRead || len(t.failed) > 0 || info.ID == t.group.knownPrimary() {
		return false
	}
	return t.router.cfg.Budget.Withdraw()
}

// follow takes note of a redirect.
func (t *trial) follow(info core.UpstreamInfo, redirect *core.RedirectError) {
	t.redirects++
	t.failed = append(t.failed, info.ID)
	t.group.learnPrimary(redirect.Primary)
	if redirect.Better == info.ID || t.redirects > maxRedirects {
		return
	}
	t.better = redirect.Better
	t.failed = without(t.failed, redirect.Better)
}

func without(ids []core.UpstreamID, id core.UpstreamID) []core.UpstreamID {
	kept := ids[:0]
	for _, other := range ids {
		if other != id {
			kept = append(kept, other)
		}
	}
	return kept
}

// pause waits before the next round over the upstreams, or ends the request when its time is over.
func (t *trial) pause(ctx context.Context, reason string) error {
	t.backoff = min(max(firstBackoff, 2*t.backoff), maxBackoff)
	wait := t.backoff/2 + rand.N(t.backoff/2)
	if time.Until(t.req.Deadline) < wait+answerReserve {
		return t.req.Attempt.Refuse(core.StateUnavailable, reason, maxBackoff)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return t.req.Attempt.Refuse(core.StateUnavailable, reason, 0)
	case <-timer.C:
	}
	t.failed = t.failed[:0]
	t.redirects = 0
	t.better = ""
	return nil
}

// passedWriter remembers whether any message was passed on.
type passedWriter struct {
	w      core.ResponseWriter
	passed bool
}

// Send implements core.ResponseWriter.
func (p *passedWriter) Send(msg pgproto3.BackendMessage) error {
	p.passed = true
	return p.w.Send(msg)
}
