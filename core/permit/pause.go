package permit

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
)

const (
	// pauseTime is how long a pause lasts if nobody ends it. A change of the primary takes less.
	pauseTime = 3 * time.Second

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

	mu     sync.Mutex
	groups map[core.GroupID]pause
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
	// holder is the VM that asked for the pause, and until is its end.
	holder core.VMID
	until  core.Instant
	// closeAt is until when work in progress may end; 0 once epoch has counted the pause.
	closeAt core.Instant
}

// admits reports whether new work may start.
func (p pause) admits(now core.Instant) bool { return now >= p.until }

// covers reports whether work that started in the epoch has not been overtaken by a pause.
func (p pause) covers(now core.Instant, epoch core.Version) bool {
	return epoch == p.epoch && (p.closeAt == 0 || now < p.closeAt)
}

// begin returns the state after a VM asked for a pause, with the time for work in progress.
func (p pause) begin(now core.Instant, holder core.VMID, drain time.Duration) pause {
	closeAt := now.Add(drain)
	if p.closeAt != 0 {
		closeAt = min(closeAt, p.closeAt)
	}
	return pause{epoch: p.epoch, holder: holder, until: now.Add(pauseTime), closeAt: closeAt}
}

// revoke returns the state once work in progress no longer counts.
func (p pause) revoke() pause {
	if p.closeAt != 0 {
		p.epoch, p.closeAt = p.epoch+1, 0
	}
	return p
}

// end returns the state after the holder ended its pause.
func (p pause) end(holder core.VMID) pause {
	if p.holder == holder {
		p.until = 0
	}
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
func (p *Pauses) begin(id core.GroupID, holder core.VMID, drain time.Duration) {
	p.update(id, func(g pause) pause { return g.begin(p.cfg.Now(), holder, drain) })
	select {
	case p.begun <- struct{}{}:
	default:
	}
	time.Sleep(drain)
	p.update(id, pause.revoke)
}

// end ends a pause of the group on this VM.
func (p *Pauses) end(id core.GroupID, holder core.VMID) {
	p.update(id, func(g pause) pause { return g.end(holder) })
	p.cfg.Changed()
}

// Pause pauses the group on all VMs and reports whether all of them acknowledged it. Work in progress gets a short time
// if the primary works.
func (p *Pauses) Pause(ctx context.Context, id core.GroupID, works bool) bool {
	drain := time.Duration(0)
	if works {
		drain = drainTime
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.begin(id, p.cfg.Self, drain)
	}()
	err := p.cfg.Members.Refresh(ctx)
	silent := p.callAll(ctx, spreadTimeout+drain, beginPauseMethod, &PauseRequest{Group: id, Holder: p.cfg.Self, Drain: drain})
	<-ended
	if err != nil || len(silent) > 0 {
		level.Info(p.cfg.Log).Log("Msg", "pause not acknowledged by all VMs", "Group", id, "Silent", len(silent), "Err", err)
	}
	return err == nil && len(silent) == 0
}

// Resume ends this VM's pause of the group on all VMs. It does nothing if there is none.
func (p *Pauses) Resume(ctx context.Context, id core.GroupID) {
	p.mu.Lock()
	g := p.groups[id]
	p.mu.Unlock()
	if g.holder != p.cfg.Self || g.admits(p.cfg.Now()) {
		return
	}
	p.end(id, p.cfg.Self)
	silent := p.callAll(ctx, spreadTimeout, endPauseMethod, &PauseRequest{Group: id, Holder: p.cfg.Self})
	if len(silent) > 0 {
		level.Info(p.cfg.Log).Log("Msg", "end of a pause not acknowledged by all VMs", "Group", id, "Silent", len(silent), "First", silent[0])
	}
}

// callAll calls the method of all other VMs and returns those that didn't answer.
func (p *Pauses) callAll(ctx context.Context, timeout time.Duration, method string, req *PauseRequest) []core.VMID {
	var mu sync.Mutex
	var silent []core.VMID
	callOthers(ctx, p.cfg.Members, p.cfg.Self, timeout, func(ctx context.Context, vm core.VM) {
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
	// Drain is the time for work in progress.
	Drain time.Duration
}

// PauseAnswer acknowledges a PauseRequest.
type PauseAnswer struct{}

// PauseService serves calls of other VMs over RPC.
type PauseService struct{ p *Pauses }

// Service returns the RPC service, which must be registered as "Pause".
func (p *Pauses) Service() *PauseService { return &PauseService{p} }

// Begin begins a pause. It answers once work in progress no longer counts.
func (s *PauseService) Begin(req *PauseRequest, _ *PauseAnswer) error {
	s.p.begin(req.Group, req.Holder, min(max(0, req.Drain), drainTime))
	return nil
}

// End ends a pause.
func (s *PauseService) End(req *PauseRequest, _ *PauseAnswer) error {
	s.p.end(req.Group, req.Holder)
	return nil
}

// Name implements core.Service.
func (p *Pauses) Name() string { return "pause" }

// Run reports the ends of pauses that nobody has ended, until ctx ends. It returns nil.
func (p *Pauses) Run(ctx context.Context) error {
	timer := time.NewTimer(pauseTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.begun:
			timer.Reset(pauseTime)
		case <-timer.C:
			p.cfg.Changed()
		}
	}
}
