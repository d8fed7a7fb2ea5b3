package permit

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"snipewall/core"
)

const (
	// maxGap is the longest time between two looks at the clock after which this VM still knows all pauses. A VM that was
	// suspended for longer may have missed the request and the renewals of a pause, which are a second apart.
	maxGap = time.Second
	// readInterval is the time between two readings of the records while a pause is known from one, or none has succeeded.
	readInterval = 500 * time.Millisecond
)

// knowledge is what a VM knows of the records of pauses.
type knowledge struct {
	// wanted wakes Run when the records must be read.
	wanted chan struct{}
	// known is set once the records were read. Later pauses are told to this VM.
	known bool
	// since is when the last time without knowledge began, seenAt the last look at the clock.
	since, seenAt core.Instant
	// era is the store's era in which the records were read.
	era core.Era
	// gaps is the number of times that this VM was suspended. Work that began before isn't covered after.
	gaps core.Version
}

// noteTime finds out whether this VM was suspended, so that it may have missed pauses. The caller holds mu.
func (p *Pauses) noteTime(now core.Instant) {
	k := &p.recorded
	gap := now.Sub(k.seenAt)
	k.seenAt = max(k.seenAt, now)
	if k.known && gap > maxGap {
		level.Info(p.cfg.Log).Log("Msg", "pauses are read again after a suspension", "Gap", gap.String())
		k.known, k.since = false, now
		k.gaps++
	}
}

// knowsRecords reports whether this VM knows all pauses that may be in force. Without an answer of the store, it does once those
// of which it wasn't told have ended by themselves. The caller holds mu.
func (p *Pauses) knowsRecords(now core.Instant) bool {
	k := &p.recorded
	if k.known {
		return true
	}
	signal(k.wanted)
	enlistedAt, ok := p.cfg.Members.EnlistedAt()
	return ok && now.Sub(max(k.since, enlistedAt)) >= maxPauseTime
}

// followRecords reads the records when told to, and then as long as a pause is known from them only, until ctx ends.
func (p *Pauses) followRecords(ctx context.Context, read <-chan struct{}) {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-read:
		}
		for ctx.Err() == nil && p.needsReading() {
			p.readRecords(ctx)
			ticker.Reset(readInterval)
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	}
}

// needsReading reports whether the records aren't known, or a pause in force is known from a record only.
func (p *Pauses) needsReading() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	for _, g := range p.groups {
		for _, e := range g.ends {
			if e.recordKey != "" && now < e.at {
				return true
			}
		}
	}
	return !p.recorded.known
}

// readRecords reads the records of pauses. It does nothing before this VM is enlisted: a VM that pauses a group then doesn't
// count it, and may write the record after the reading.
func (p *Pauses) readRecords(ctx context.Context) {
	if _, ok := p.cfg.Members.EnlistedAt(); !ok {
		return
	}
	p.mu.Lock()
	gaps := p.recorded.gaps
	p.mu.Unlock()
	entries, at, err := p.cfg.Store.List(ctx, pausePrefix)
	if err != nil {
		level.Info(p.cfg.Log).Log("Msg", "records of pauses not read", "Err", err)
		return
	}
	var told []ListedPause
	if p.cfg.Eras.Newest() > 0 {
		// A store that has come back from an older copy may have lost records.
		told = p.askOthers(ctx)
	}
	p.mu.Lock()
	now := p.cfg.Now()
	p.noteTime(now)
	if isFirst := !p.recorded.known; isFirst && p.recorded.gaps == gaps {
		p.adopt(p.decode(entries), told, now)
		p.recorded.known, p.recorded.era = true, at.Era()
	} else if !isFirst && at.Era() == p.recorded.era {
		// A store that has come back from an older copy may lack records of pauses that are in force. These end by themselves.
		p.compare(p.decode(entries), now)
	}
	p.mu.Unlock()
	signal(p.begun)
	p.cfg.Changed()
}

// decode returns the records of other processes by their keys. Another writer may have left odd entries.
func (p *Pauses) decode(entries []core.Entry) map[string]pauseRecord {
	out := make(map[string]pauseRecord, len(entries))
	for _, e := range entries {
		var r pauseRecord
		if err := json.Unmarshal(e.Value, &r); err != nil || r.key() != e.Key {
			level.Warn(p.cfg.Log).Log("Msg", "invalid record of a pause ignored", "Key", e.Key, "Err", err)
			continue
		}
		if r.holder() != p.self {
			out[e.Key] = r
		}
	}
	return out
}

// adopt begins the recorded pauses, and those that other VMs know, unless their holders have told them to this VM. The caller
// holds mu.
func (p *Pauses) adopt(records map[string]pauseRecord, told []ListedPause, now core.Instant) {
	for key, r := range records {
		p.keep(r.Group, r.holder(), pauseEnd{at: now.Add(lengthOf(r.Lasts)), renewedAt: now, recordKey: key}, now)
		level.Info(p.cfg.Log).Log("Msg", "pause of another VM is in force", "Group", r.Group, "Holder", r.Holder)
	}
	for _, l := range told {
		p.keep(l.Group, holder{l.Holder, l.Process}, pauseEnd{at: now.Add(min(l.Remaining, maxPauseTime)), renewedAt: now, seq: l.Seq}, now)
	}
}

// keep adds the end of a holder's pause, unless one is in force that the holder has told. The caller holds mu.
func (p *Pauses) keep(id core.GroupID, h holder, end pauseEnd, now core.Instant) {
	g := p.groups[id]
	if e, ok := g.ends[h]; ok && e.recordKey == "" && now < e.at {
		return
	}
	g.ends = g.endsAfter(now)
	g.ends[h] = end
	p.groups[id] = g
}

// compare ends the pauses whose records are gone, and renews the others. The caller holds mu.
func (p *Pauses) compare(records map[string]pauseRecord, now core.Instant) {
	for id, g := range p.groups {
		g.ends = g.endsAfter(now)
		for h, e := range g.ends {
			if e.recordKey == "" {
				continue
			}
			r, ok := records[e.recordKey]
			if !ok {
				delete(g.ends, h)
				continue
			}
			e.at = now.Add(lengthOf(r.Lasts))
			g.ends[h] = e
		}
		p.groups[id] = g
	}
}

// ListedPause is a pause that a VM knows.
type ListedPause struct {
	Group   core.GroupID
	Holder  core.VMID
	Process uint64
	Seq     uint64
	// Remaining is how long the pause lasts if nobody ends it.
	Remaining time.Duration
}

// ListPausesRequest asks another VM for the pauses that it knows.
type ListPausesRequest struct{}

// ListPausesAnswer holds the pauses in force.
type ListPausesAnswer struct{ Pauses []ListedPause }

// List returns the pauses in force on this VM.
func (s *PauseService) List(_ *ListPausesRequest, out *ListPausesAnswer) error {
	p := s.p
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	for id, g := range p.groups {
		for h, e := range g.endsAfter(now) {
			out.Pauses = append(out.Pauses, ListedPause{Group: id, Holder: h.vm, Process: h.process, Seq: e.seq, Remaining: e.at.Sub(now)})
		}
	}
	return nil
}

// askOthers returns the pauses that the other VMs know.
func (p *Pauses) askOthers(ctx context.Context) []ListedPause {
	if err := p.cfg.Members.Refresh(ctx); err != nil {
		level.Info(p.cfg.Log).Log("Msg", "list of VMs not read before asking for pauses", "Err", err)
	}
	var mu sync.Mutex
	var out []ListedPause
	CallOthers(ctx, p.cfg.Members, p.cfg.Self, spreadTimeout, func(ctx context.Context, vm core.VM) {
		var ans ListPausesAnswer
		if err := p.cfg.Call(ctx, vm.Control, listPauseMethod, &ListPausesRequest{}, &ans); err != nil {
			level.Info(p.cfg.Log).Log("Msg", "VM doesn't tell its pauses", "VM", vm.ID, "Err", err)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		out = append(out, ans.Pauses...)
	})
	return out
}
