package lead

import (
	"context"
	"sync/atomic"
)

// oldProbe is a probe of the primary that is to be replaced.
type oldProbe struct {
	ended  chan struct{}
	answer atomic.Bool
}

// probeOld probes a primary that was taken for failed while the candidates are inspected, in case it works again. Where promotions
// don't stop the old primary, that is asked during the hold.
func (d *Driver) probeOld(ctx context.Context, g Group) *oldProbe {
	p := &oldProbe{ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.answer.Store(!g.Leaving && d.cfg.Permits == nil && d.leads(ctx, g.Primary))
	}()
	return p
}

// leads reports whether the primary has answered by now that it leads. Waiting for it would prolong the failover of one that
// is gone.
func (p *oldProbe) leads() bool { return p.answer.Load() }

func (p *oldProbe) wait() { <-p.ended }
