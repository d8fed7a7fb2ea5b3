package route

import (
	"context"
	"errors"
	"sync/atomic"

	"snipewall/core"
)

// isOwnerError reports whether the error was returned by an owner, rather than a failure to reach it.
func isOwnerError(err error) bool {
	var notRun *core.NotRunError
	var redirect *core.RedirectError
	var unknown *core.UnknownOutcomeError
	var duplicate *core.DuplicateError
	return errors.As(err, &notRun) || errors.As(err, &redirect) || errors.As(err, &unknown) || errors.As(err, &duplicate)
}

// counters count the outcomes of requests.
type counters struct {
	replicaReads [core.RankCount]atomic.Uint64
	primaryReads [core.RankCount]atomic.Uint64
	writes       atomic.Uint64
	notRun       atomic.Uint64
	unknown      atomic.Uint64
	duplicates   atomic.Uint64
}

func (c *counters) add(g *group, req *core.Request, res core.Result, err error) {
	var notRun *core.NotRunError
	var unknown *core.UnknownOutcomeError
	var duplicate *core.DuplicateError
	switch {
	case errors.As(err, &notRun):
		c.notRun.Add(1)
	case errors.As(err, &unknown):
		c.unknown.Add(1)
	case errors.As(err, &duplicate):
		c.duplicates.Add(1)
	case err != nil:
	case req.Class != core.ClassRead:
		c.writes.Add(1)
		g.learnPrimary(primaryOf(req, res))
	case res.Upstream == g.knownPrimary():
		c.primaryReads[req.Rank].Add(1)
	default:
		c.replicaReads[req.Rank].Add(1)
	}
}

// primaryOf returns the upstream that proved to be the primary by serving the request, or "".
func primaryOf(req *core.Request, res core.Result) core.UpstreamID {
	if req.Class == core.ClassWrite || req.Class == core.ClassBegin {
		return res.Upstream
	}
	return ""
}

// State is a snapshot of the router for diagnosis.
type State struct {
	// Primaries holds the last known primary of each group.
	Primaries map[core.GroupID]core.UpstreamID
	// ReplicaReads and PrimaryReads count the reads by rank, urgent first.
	ReplicaReads [core.RankCount]uint64
	PrimaryReads [core.RankCount]uint64
	Writes       uint64
	NotRun       uint64
	Unknown      uint64
	Duplicates   uint64
}

// Name implements core.Service.
func (r *Router) Name() string { return "route" }

// Run implements core.Service. The router works in the goroutines of its callers.
func (r *Router) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Primaries returns the last known primary of each group.
func (r *Router) Primaries() map[core.GroupID]core.UpstreamID {
	primaries := make(map[core.GroupID]core.UpstreamID, len(r.groups))
	for id, g := range r.groups {
		if view, ok := r.view(id); ok {
			if primary, _, ok := view.Primary(); ok {
				g.learnPrimary(primary)
			}
		}
		primaries[id] = g.knownPrimary()
	}
	return primaries
}

// Dump implements core.Dumper.
func (r *Router) Dump() any {
	s := State{
		Primaries:  r.Primaries(),
		Writes:     r.counts.writes.Load(),
		NotRun:     r.counts.notRun.Load(),
		Unknown:    r.counts.unknown.Load(),
		Duplicates: r.counts.duplicates.Load(),
	}
	for rank := range s.ReplicaReads {
		s.ReplicaReads[rank] = r.counts.replicaReads[rank].Load()
		s.PrimaryReads[rank] = r.counts.primaryReads[rank].Load()
	}
	return s
}
