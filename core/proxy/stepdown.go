package proxy

import (
	"context"
	"errors"
	"time"

	"snipewall/core"
	"snipewall/core/lead"
	"snipewall/core/pool"
)

const (
	// stepDownTries limits how often a primary is asked to step down. Each time the term is twice as far above
	// that of its log, since the terms of promotions without a commit don't show there.
	stepDownTries = 5
	// stepDownDelay is the time until the next attempt, for an upstream without a free slot.
	stepDownDelay = 20 * time.Millisecond
)

var errStillLeads = errors.New("the upstream still leads")

// stepDownError reports that the upstream refused to step down.
type stepDownError struct{ fault core.Fault }

func (e *stepDownError) Error() string { return "step down: " + e.fault.String() }

// isFinal reports whether another attempt is useless: the upstream doesn't know the statement.
func (e *stepDownError) isFinal() bool { return e.fault == core.FaultMalformed }

// StepDown implements lead.Cluster.
func (p *Proxy) StepDown(ctx context.Context, id core.UpstreamID) error {
	n, ok := p.lookup(id)
	deadline, hasDeadline := ctx.Deadline()
	if !ok || !hasDeadline {
		return lead.ErrProbeNotSent
	}
	err := errStillLeads
	for try := range stepDownTries {
		if err = n.stepDown(ctx, deadline, core.Term(1)<<try); err == nil {
			return nil
		}
		var refused *stepDownError
		if errors.As(err, &refused) && refused.isFinal() {
			return err
		}
		timer := time.NewTimer(stepDownDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return err
		case <-timer.C:
		}
	}
	return err
}

// stepDown asks the upstream to step down with a term above that of its log, and then whether it leads.
func (n *node) stepDown(ctx context.Context, deadline time.Time, above core.Term) error {
	handle, err := n.get(ctx, pool.AnyLabel, deadline)
	if err != nil {
		return err
	}
	h := &heldConn{node: n, handle: handle}
	n.mu.Lock()
	term := n.position.Term + above
	n.mu.Unlock()
	ans, err := handle.Value.exchange([]core.Command{{Op: core.OpStepDown, Term: term}}, deadline)
	if err != nil {
		h.discard()
		return err
	}
	if ans.Fault != core.FaultNone {
		h.freeAfter(ans.Fault)
		return &stepDownError{ans.Fault}
	}
	res, err := n.probeOn(handle, probeRequest{deadline: deadline})
	if err != nil {
		return err
	}
	if res.Leads {
		return errStillLeads
	}
	return nil
}
