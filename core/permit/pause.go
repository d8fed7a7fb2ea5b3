package permit

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"snipewall/core"
	"snipewall/core/eras"
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
	listPauseMethod  = "Pause.List"
)

// PausesConfig configures Pauses. Eras and Now may be nil.
type PausesConfig struct {
	Members Members
	Store   PauseStore
	// Eras keeps the newest era of the store; nil stands for a store that never comes back from a copy.
	Eras *eras.Tracker
	Self core.VMID
	// NeedsRecords reports whether the group's primary may be used only while this VM knows the pauses in the store.
	NeedsRecords func(id core.GroupID) bool
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
	// self names this process among those that begin pauses.
	self holder

	mu       sync.Mutex
	groups   map[core.GroupID]pause
	records  map[core.GroupID]*ownRecord
	recorded knowledge
	// unended holds the pauses whose end isn't acknowledged by all VMs.
	unended []unendedPause
}

var _ core.Permits = (*Pauses)(nil)

// NewPauses returns pauses of which none is in force.
func NewPauses(cfg PausesConfig) *Pauses {
	if cfg.Now == nil {
		cfg.Now = core.Now
	}
	if cfg.Eras == nil {
		cfg.Eras = eras.New(eras.Config{Now: cfg.Now})
	}
	return &Pauses{
		cfg: cfg, begun: make(chan struct{}, 1), self: holder{cfg.Self, rand.Uint64()},
		groups: make(map[core.GroupID]pause), records: make(map[core.GroupID]*ownRecord),
		recorded: knowledge{wanted: make(chan struct{}, 1), since: cfg.Now(), seenAt: cfg.Now()},
	}
}

// holder is a process that has begun a pause. A VM that has started again is another holder, since promotions that its earlier
// process asked for may still be executed.
type holder struct {
	vm      core.VMID
	process uint64
}

// pause is the last pause of a group. It does no input or output.
type pause struct {
	// epoch is the number of pauses that work in progress has ended for.
	epoch core.Version
	// ends holds the end of each holder's pause: one VM may still wait for a promotion while another one replaces the primary.
	ends map[holder]pauseEnd
	// closeAt is until when work in progress may end; 0 once epoch has counted the pause.
	closeAt core.Instant
}

// pauseEnd is the end of one holder's pause, with the number of its request.
type pauseEnd struct {
	at  core.Instant
	seq uint64
	// renewedAt is when the holder last told this VM of the pause, or this VM read of it.
	renewedAt core.Instant
	// recordKey is the key of the record from which this VM knows the pause; empty if the holder has told it.
	recordKey string
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

// isHeldBy reports whether the holder's pause is in force.
func (p pause) isHeldBy(h holder, now core.Instant) bool { return now < p.ends[h].at }

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
	next := pause{epoch: p.epoch, ends: p.endsAfter(now), closeAt: closeAt}
	next.ends[req.holder()] = pauseEnd{at: now.Add(lengthOf(req.Lasts)), seq: req.Seq, renewedAt: now}
	return next
}

// endsAfter returns a copy of the ends that are still to come.
func (p pause) endsAfter(now core.Instant) map[holder]pauseEnd {
	ends := make(map[holder]pauseEnd, len(p.ends)+1)
	for h, e := range p.ends {
		if now < e.at {
			ends[h] = e
		}
	}
	return ends
}

// lengthOf returns how long a pause lasts if its holder asks for the time and nobody ends it.
func lengthOf(lasts time.Duration) time.Duration { return min(max(pauseTime, lasts), maxPauseTime) }

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
	if p.ends[req.holder()].seq > req.Seq {
		return p
	}
	ends := maps.Clone(p.ends)
	if req.All {
		clear(ends)
	}
	delete(ends, req.holder())
	p.ends = ends
	return p
}

// Admits implements core.Permits.
func (p *Pauses) Admits(id core.GroupID) (core.Version, bool) {
	needsRecords := p.cfg.NeedsRecords(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	g, now := p.groups[id], p.cfg.Now()
	if !needsRecords {
		return g.epoch, g.admits(now)
	}
	p.noteTime(now)
	return g.epoch + p.recorded.gaps, p.knowsRecords(now) && g.admits(now)
}

// Covers implements core.Permits.
func (p *Pauses) Covers(id core.GroupID, epoch core.Version) bool {
	needsRecords := p.cfg.NeedsRecords(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	if needsRecords {
		p.noteTime(now)
		epoch -= p.recorded.gaps
	}
	return p.groups[id].covers(now, epoch)
}

// Leader implements core.Permits. The platform decides who leads.
func (p *Pauses) Leader(core.GroupID) (core.UpstreamID, bool) { return "", false }

// IsDeposed implements core.Permits. A promotion stops the old primary.
func (p *Pauses) IsDeposed(core.GroupID, core.UpstreamID) bool { return false }

// Hold implements core.Permits. A pause isn't a promotion that other VMs must finish.
func (p *Pauses) Hold(core.GroupID) (core.Hold, bool) { return core.Hold{}, false }

// Unrenewed returns for how long another process hasn't renewed a pause of the group that is in force, or 0 if there is none. One
// that works renews it each second.
func (p *Pauses) Unrenewed(id core.GroupID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, longest := p.cfg.Now(), time.Duration(0)
	for h, e := range p.groups[id].ends {
		if h != p.self && now < e.at {
			longest = max(longest, now.Sub(e.renewedAt))
		}
	}
	return longest
}

func (p *Pauses) update(id core.GroupID, change func(pause) pause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.groups[id] = change(p.groups[id])
}

// begin pauses the group on this VM and returns once work in progress no longer counts.
func (p *Pauses) begin(req *PauseRequest) {
	p.update(req.Group, func(g pause) pause { return g.begin(p.cfg.Now(), req) })
	signal(p.begun)
	time.Sleep(min(max(0, req.Drain), drainTime))
	p.update(req.Group, pause.revoke)
}

// signal wakes the reader of a channel that has room for one value.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// end ends a pause of the group on this VM.
func (p *Pauses) end(req *PauseRequest) {
	p.update(req.Group, func(g pause) pause { return g.resume(req) })
	p.cfg.Changed()
}

// PauseResult tells which VMs keep a pause.
type PauseResult struct {
	// Recorded is set if the store has the pause, so that VMs that start later keep it too.
	Recorded bool
	// Acknowledged is set if all VMs that run have acknowledged it.
	Acknowledged bool
}

// IsComplete reports whether no VM uses the primary as long as the pause lasts.
func (r PauseResult) IsComplete() bool { return r.Recorded && r.Acknowledged }

// Pause records a pause of the group in the store and begins it on all VMs. Work in progress gets a short time
// if the primary works. VMs end the pause by themselves after the longer one of lasts and pauseTime.
func (p *Pauses) Pause(ctx context.Context, id core.GroupID, works bool, lasts time.Duration) PauseResult {
	req := &PauseRequest{Group: id, Holder: p.cfg.Self, Process: p.self.process, Lasts: lasts, Seq: p.lastSeq.Add(1)}
	if works {
		req.Drain = drainTime
	}
	// A VM that the listing below lacks reads the records after it was enlisted, and so finds this one.
	recordErr := p.writeRecord(ctx, id, lasts)
	if recordErr != nil {
		level.Warn(p.cfg.Log).Log("Msg", "pause not recorded", "Group", id, "Err", recordErr)
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
	return PauseResult{Recorded: recordErr == nil, Acknowledged: err == nil && len(silent) == 0}
}

// Resume ends this VM's pause of the group on all VMs, or the pauses of all VMs once another upstream leads. It does nothing if
// this VM has none.
func (p *Pauses) Resume(ctx context.Context, id core.GroupID, replaced bool) {
	p.mu.Lock()
	g := p.groups[id]
	p.mu.Unlock()
	now := p.cfg.Now()
	if !g.isHeldBy(p.self, now) {
		return
	}
	own := g.ends[p.self]
	req := &PauseRequest{Group: id, Holder: p.cfg.Self, Process: p.self.process, All: replaced, Seq: own.seq}
	p.end(req)
	silent := p.callAll(ctx, spreadTimeout, endPauseMethod, req)
	p.removeRecords(ctx, id, replaced)
	if len(silent) == 0 {
		return
	}
	level.Info(p.cfg.Log).Log("Msg", "end of a pause not acknowledged by all VMs", "Group", id, "Silent", len(silent), "First", silent[0])
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unended = append(p.unended, unendedPause{req: req, vms: silent, until: own.at})
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
		if now >= u.until || g.isHeldBy(p.self, now) {
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
	CallOthers(ctx, p.cfg.Members, p.cfg.Self, timeout, func(ctx context.Context, vm core.VM) {
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
	// Seq orders the requests of a process: a call that ends a pause may arrive after the next one has begun.
	Seq uint64
	// Process tells the processes of one VM apart; VMs of older builds don't know it.
	Process uint64
}

func (r *PauseRequest) holder() holder { return holder{r.Holder, r.Process} }

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
	// Records are seldom needed, and each tick costs processor time.
	var tick <-chan time.Time
	read, ended := make(chan struct{}, 1), make(chan struct{})
	go func() {
		defer close(ended)
		p.followRecords(ctx, read)
	}()
	for {
		select {
		case <-ctx.Done():
			<-ended
			return nil
		case <-p.begun:
		case <-p.recorded.wanted:
			signal(read)
			if tick == nil {
				ticker := time.NewTicker(maxGap / 4)
				defer ticker.Stop()
				tick = ticker.C
			}
			continue
		case <-tick:
			p.mu.Lock()
			p.noteTime(p.cfg.Now())
			p.mu.Unlock()
			continue
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
