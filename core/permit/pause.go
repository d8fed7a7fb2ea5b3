package permit

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
)

const (
	// pauseTime is how long a pause lasts if nobody ends it and its holder doesn't ask for more. A change of the primary takes
	// less.
	pauseTime = 3 * time.Second
	// maxPauseTime limits what a holder may ask for.
	maxPauseTime = 30 * time.Second
	// endRetryDelay is the time between the attempts to tell a VM that a pause has ended.
	endRetryDelay = time.Second

	beginPauseMethod = "Pause.Begin"
	endPauseMethod   = "Pause.End"
)

// PausesConfig configures Pauses. Now may be nil.
type PausesConfig struct {
	Members Members
	Self    core.VMID
	// Call calls a method of another entry VM at its control address.
	Call func(ctx context.Context, address, method string, req, answer any) error
	// Changed is called when a group's primary may be used again.
	Changed func()
	Log     log.Logger
	// Now reads a clock that advances while the VM is suspended; nil stands for core.Now.
	Now func() core.Instant
}

// Pauses keep all VMs from using the primary of a group for a short time, while another upstream is promoted. They
// are for platforms where a promotion ends the old primary's leadership, but not before the new primary takes over:
// what the old one commits until then may be missing in the log of the new one. Pauses implement core.Permits and
// core.Service, and are safe for concurrent use.
type Pauses struct {
	cfg PausesConfig
	// begun wakes Run after a pause has begun.
	begun chan struct{}
	// lastSeq is the number of the last request.
	lastSeq atomic.Uint64

	mu     sync.Mutex
	groups map[core.GroupID]pause
	// unended holds the pauses whose end isn't acknowledged by all VMs.
	unended []unendedPause
}

var _ core.Permits = (*Pauses)(nil)

// NewPauses returns pauses of which none is in force.
func NewPauses(cfg PausesConfig) *Pauses {
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	return &Pauses{cfg: cfg, begun: make(chan struct{}, 1), groups: make(map[core.GroupID]pause)}
}

// pause is the last pause of a group. It does no input or output.
type pause struct {
	// epoch is the number of pauses that work in progress has ended for.
	epoch core.Version
	// ends holds the end of each VM's pause: one VM may still wait for a promotion while another one replaces the primary.
	ends map[core.VMID]pauseEnd
	// closeAt is until when work in progress may end; 0 once epoch has counted the pause.
	closeAt core.Instant
}

// pauseEnd is the end of one VM's pause, with the number of its request.
type pauseEnd struct {
	at  core.Instant
	seq uint64
}

// admits reports whether new work may start.
func (p pause) admits(now core.Instant) bool { return now >= p.end() }

// end returns the end of the last pause.
func (p pause) end() core.Instant {
	end := core.Instant(0)
	for _, e := range p.ends {
		end = max(end, e.at)
	}
	return end
}

// isHeldBy reports whether the VM's pause is in force.
func (p pause) isHeldBy(holder core.VMID, now core.Instant) bool { return now < p.ends[holder].at }

// covers reports whether work that started in the epoch has not been overtaken by a pause.
func (p pause) covers(now core.Instant, epoch core.Version) bool {
	return epoch == p.epoch && (p.closeAt == 0 || now < p.closeAt)
}

// begin returns the state after a VM asked for a pause.
func (p pause) begin(now core.Instant, req *PauseRequest) pause {
	closeAt := now.Add(min(max(0, req.Drain), drainTime))
	if p.closeAt != 0 {
		closeAt = min(closeAt, p.closeAt)
	}
	ends := make(map[core.VMID]pauseEnd, len(p.ends)+1)
	for vm, e := range p.ends {
		if now < e.at {
			ends[vm] = e
		}
	}
	ends[req.Holder] = pauseEnd{at: now.Add(min(max(pauseTime, req.Lasts), maxPauseTime)), seq: req.Seq}
	return pause{epoch: p.epoch, ends: ends, closeAt: closeAt}
}

// revoke returns the state once work in progress no longer counts.
func (p pause) revoke() pause {
	if p.closeAt != 0 {
		p.epoch, p.closeAt = p.epoch+1, 0
	}
	return p
}

// resume returns the state after the holder ended its pause, or those of all VMs. A request that a newer pause of the holder has
// overtaken does nothing.
func (p pause) resume(req *PauseRequest) pause {
	if p.ends[req.Holder].seq > req.Seq {
		return p
	}
	ends := maps.Clone(p.ends)
	if req.All {
		clear(ends)
	}
	delete(ends, req.Holder)
	p.ends = ends
	return p
}

// Admits implements core.Permits.
func (p *Pauses) Admits(id core.GroupID) (core.Version, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.groups[id]
	return g.epoch, g.admits(p.cfg.Now())
}

// Covers implements core.Permits.
func (p *Pauses) Covers(id core.GroupID, epoch core.Version) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groups[id].covers(p.cfg.Now(), epoch)
}

// Leader implements core.Permits. The platform decides who leads.
func (p *Pauses) Leader(core.GroupID) (core.UpstreamID, bool) { return "", false }

// Hold implements core.Permits. A pause isn't a promotion that other VMs must finish.
func (p *Pauses) Hold(core.GroupID) (core.Hold, bool) { return core.Hold{}, false }

func (p *Pauses) update(id core.GroupID, change func(pause) pause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.groups[id] = change(p.groups[id])
}

// begin pauses the group on this VM and returns once work in progress no longer counts.
func (p *Pauses) begin(req *PauseRequest) {
	p.update(req.Group, func(g pause) pause { return g.begin(p.cfg.Now(), req) })
	select {
	case p.begun <- struct{}{}:
	default:
	}
	time.Sleep(min(max(0, req.Drain), drainTime))
	p.update(req.Group, pause.revoke)
}

// end ends a pause of the group on this VM.
func (p *Pauses) end(req *PauseRequest) {
	p.update(req.Group, func(g pause) pause { return g.resume(req) })
	p.cfg.Changed()
}

// Pause pauses the group on all VMs and reports whether all of them acknowledged it. Work in progress gets a short time
// if the primary works. VMs end the pause by themselves after the longer one of lasts and pauseTime.
func (p *Pauses) Pause(ctx context.Context, id core.GroupID, works bool, lasts time.Duration) bool {
	req := &PauseRequest{Group: id, Holder: p.cfg.Self, Lasts: lasts, Seq: p.lastSeq.Add(1)}
	if works {
		req.Drain = drainTime
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.begin(req)
	}()
	err := p.cfg.Members.Refresh(ctx)
	silent := p.callAll(ctx, spreadTimeout+req.Drain, beginPauseMethod, req)
	<-ended
	if err != nil || len(silent) > 0 {
		level.Info(p.cfg.Log).Log("Msg", "pause not acknowledged by all VMs", "Group", id, "Silent", len(silent), "Err", err)
	}
	return err == nil && len(silent) == 0
}

// Resume ends this VM's pause of the group on all VMs, or the pauses of all VMs once another upstream leads. It does nothing if
// this VM has none.
func (p *Pauses) Resume(ctx context.Context, id core.GroupID, replaced bool) {
	p.mu.Lock()
	g := p.groups[id]
	p.mu.Unlock()
	now := p.cfg.Now()
	if !g.isHeldBy(p.cfg.Self, now) {
		return
	}
	req := &PauseRequest{Group: id, Holder: p.cfg.Self, All: replaced, Seq: g.ends[p.cfg.Self].seq}
	p.end(req)
	silent := p.callAll(ctx, spreadTimeout, endPauseMethod, req)
	if len(silent) == 0 {
		return
	}
	level.Info(p.cfg.Log).Log("Msg", "end of a pause not acknowledged by all VMs", "Group", id, "Silent", len(silent), "First", silent[0])
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unended = append(p.unended, unendedPause{req: req, vms: silent, until: g.ends[p.cfg.Self].at})
}

// unendedPause is a pause whose end some VMs haven't acknowledged. They would end it at the instant until.
type unendedPause struct {
	req   *PauseRequest
	vms   []core.VMID
	until core.Instant
}

// retryEnds tells VMs again that pauses have ended, unless there is a new one since.
func (p *Pauses) retryEnds(ctx context.Context) {
	p.mu.Lock()
	unended := p.unended
	p.unended = nil
	p.mu.Unlock()
	for _, u := range unended {
		p.mu.Lock()
		g := p.groups[u.req.Group]
		p.mu.Unlock()
		now := p.cfg.Now()
		if now >= u.until || g.isHeldBy(p.cfg.Self, now) {
			continue
		}
		if u.vms = p.call(ctx, u.vms, spreadTimeout, endPauseMethod, u.req); len(u.vms) > 0 {
			p.mu.Lock()
			p.unended = append(p.unended, u)
			p.mu.Unlock()
		}
	}
}

// callAll calls the method of all other VMs and returns those that didn't answer.
func (p *Pauses) callAll(ctx context.Context, timeout time.Duration, method string, req *PauseRequest) []core.VMID {
	return p.call(ctx, nil, timeout, method, req)
}

// call calls the method of the other VMs among vms, or of all if it is nil, and returns those that didn't answer.
func (p *Pauses) call(ctx context.Context, vms []core.VMID, timeout time.Duration, method string, req *PauseRequest) []core.VMID {
	var mu sync.Mutex
	var silent []core.VMID
	callOthers(ctx, p.cfg.Members, p.cfg.Self, timeout, func(ctx context.Context, vm core.VM) {
		if vms != nil && !slices.Contains(vms, vm.ID) {
			return
		}
		if err := p.cfg.Call(ctx, vm.Control, method, req, &PauseAnswer{}); err != nil {
			mu.Lock()
			defer mu.Unlock()
			silent = append(silent, vm.ID)
		}
	})
	return silent
}

// PauseRequest asks another VM to begin or end a pause.
type PauseRequest struct {
	Group  core.GroupID
	Holder core.VMID
	// Drain is the time for work in progress, and Lasts how long the pause lasts if nobody ends it; VMs of older builds don't
	// know Lasts.
	Drain, Lasts time.Duration
	// All ends the pauses of all holders.
	All bool
	// Seq orders the requests of a VM since its start: a call that ends a pause may arrive after the next one has begun.
	Seq uint64
}

// PauseAnswer acknowledges a PauseRequest.
type PauseAnswer struct{}

// PauseService serves calls of other VMs over RPC.
type PauseService struct{ p *Pauses }

// Service returns the RPC service, which must be registered as "Pause".
func (p *Pauses) Service() *PauseService { return &PauseService{p} }

// Begin begins a pause. It answers once work in progress no longer counts.
func (s *PauseService) Begin(req *PauseRequest, _ *PauseAnswer) error {
	s.p.begin(req)
	return nil
}

// End ends a pause.
func (s *PauseService) End(req *PauseRequest, _ *PauseAnswer) error {
	s.p.end(req)
	return nil
}

// Name implements core.Service.
func (p *Pauses) Name() string { return "pause" }

// Run reports the ends of pauses that nobody has ended, and repeats the calls that end one, until ctx ends. It returns nil.
func (p *Pauses) Run(ctx context.Context) error {
	timer := time.NewTimer(pauseTime)
	defer timer.Stop()
	retry := time.NewTicker(endRetryDelay)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.begun:
		case <-retry.C:
			p.retryEnds(ctx)
			continue
		case <-timer.C:
			p.cfg.Changed()
		}
		if left := p.timeToNextEnd(); left > 0 {
			timer.Reset(left)
		}
	}
}

// timeToNextEnd returns the time until the first group's pauses end, 0 if there are none.
func (p *Pauses) timeToNextEnd() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, next := p.cfg.Now(), time.Duration(0)
	for _, g := range p.groups {
		if left := g.end().Sub(now); left > 0 && (next == 0 || left < next) {
			next = left
		}
	}
	return next
}
