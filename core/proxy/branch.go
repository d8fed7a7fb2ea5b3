package proxy

import (
	"sync/atomic"

	"snipewall/core"
	"snipewall/core/lead"
)

// branch keeps where the newest terms of a group's log begin, as far as upstreams have told. It is safe for concurrent use.
type branch struct{ begins atomic.Pointer[lead.Begins] }

// note records that an upstream's log has an entry at p.
func (b *branch) note(p core.Position) {
	for {
		old := b.begins.Load()
		var known lead.Begins
		if old != nil {
			known = *old
		}
		next, changed := known.With(p)
		if !changed {
			return
		}
		// Nearly all calls change nothing, and must not allocate.
		stored := next
		if b.begins.CompareAndSwap(old, &stored) {
			return
		}
	}
}

func (b *branch) get() lead.Begins {
	if begins := b.begins.Load(); begins != nil {
		return *begins
	}
	return nil
}

// TermBegins returns where the newest terms of the group's log begin, as far as this VM knows.
func (p *Proxy) TermBegins(id core.GroupID) lead.Begins {
	p.mu.Lock()
	g := p.groups[id]
	p.mu.Unlock()
	if g == nil {
		return nil
	}
	return g.branch.get()
}
