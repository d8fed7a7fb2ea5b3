package proxy

import (
	"time"

	"snipewall/core"
	"snipewall/core/queue"
	"snipewall/core/spill"
)

const (
	// toldTTL is how long the service time that an owner told counts.
	toldTTL = 3 * time.Second
	// bytesWeight is the weight of a new sample in the average size of a group's statements and answers.
	bytesWeight = 0.05
	// keptSlots is the number of slots of a primary that work which may go elsewhere leaves free.
	keptSlots = 1
	// maxKinds limits the kinds of a group whose service times are kept, since kinds come and go with routes.
	maxKinds = 100
	// faultWeight is the weight of a new sample in the share of failed statements.
	faultWeight = 0.1
	// faultPenalty is what a failed try costs: an answer that doesn't come is waited for about as long.
	faultPenalty = 300 * time.Millisecond
)

// told is what the owner of an upstream told of it.
type told struct {
	spill.Told
	// run is the service time by kind.
	run map[core.Kind]toldRun
	// hop is the moving average of the round trip to the owner; 0 if it isn't known.
	hop time.Duration
	// faultShare is the share of statements that the upstream failed.
	faultShare float64
}

type toldRun struct {
	d  time.Duration
	at time.Time
}

// noteLoad records what an owner told with an answer to a statement of the kind, which arrived d after its only command was
// sent. d is 0 if there were several.
func (n *node) noteLoad(now time.Time, kind core.Kind, l core.Load, d time.Duration) {
	if !n.path.isIndirect() || l.Took <= 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told.Told, n.told.faultShare = spill.Told{Wait: l.Wait, At: now}, float64(l.FaultPercent)/100
	if n.told.run == nil || len(n.told.run) > maxKinds {
		n.told.run = make(map[core.Kind]toldRun)
	}
	n.told.run[kind] = toldRun{l.Run, now}
	hop := d - l.Took
	switch {
	case hop <= 0:
	case n.told.hop == 0:
		n.told.hop = hop
	default:
		n.told.hop += time.Duration(latencyWeight * float64(hop-n.told.hop))
	}
}

// noteOutcome records whether the upstream itself ran a statement. Load pattern: an upstream fails part of its requests
// while its health is good, so that it never fails often enough in a row.
func (n *node) noteOutcome(now time.Time, failed bool) {
	if n.path.isIndirect() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	sample := 0.0
	if failed {
		sample = 1
	}
	n.told.faultShare += faultWeight * (sample - n.told.faultShare)
	n.told.At = now
}

// isFailure reports whether an answer with the fault counts against the upstream.
func isFailure(f core.Fault) bool {
	switch f {
	case core.FaultFailed, core.FaultTimeout, core.FaultInDoubt, core.FaultBusy:
		return true
	}
	return false
}

// faultCost returns what the share of failed statements costs a read. An upstream that nobody has used for a while gets
// a chance again. The caller holds mu.
func (n *node) faultCost(now time.Time) time.Duration {
	if now.Sub(n.told.At) >= toldTTL {
		return 0
	}
	return time.Duration(n.told.faultShare * float64(faultPenalty))
}

// expectation returns the expected wait and service time of a read of the kind. The service time is 0 if it isn't known
// or part of the wait. The caller holds mu.
func (n *node) expectation(now time.Time, kind core.Kind, rank core.Rank) (wait, run time.Duration) {
	switch {
	case n.path.isIndirect():
		if r := n.told.run[kind]; now.Sub(r.at) < toldTTL {
			run = r.d
		}
		return n.told.Left(now), run
	case n.path.conns > maxConns:
		return n.queue.ExpectedWait(&queue.Item{Kind: kind, Rank: rank}), n.queue.Estimate(kind)
	}
	latency := n.latency
	for d := now.Sub(n.answeredAt); d > latencyHalfLife && latency > time.Millisecond; d -= latencyHalfLife {
		latency /= 2
	}
	return latency * time.Duration(1+n.pending.Load()) / time.Duration(n.limit), 0
}

// assumeRun gives candidates whose service time isn't known the lowest one that is, so that no statement leaves its
// failure domain only to learn it.
func assumeRun(cands []candidate) {
	known := time.Duration(0)
	for _, c := range cands {
		if c.run > 0 && (known == 0 || c.run < known) {
			known = c.run
		}
	}
	for i := range cands {
		if cands[i].run == 0 {
			cands[i].run = known
		}
	}
}

// keptSlots returns how many slots of the upstream work that may go elsewhere leaves free: one of those of a primary, for
// the next write, strict read or transaction, which only it can run. Only its owner knows how many are taken.
func (n *node) keptSlots() int {
	if n.path.isIndirect() || n.path.conns <= maxConns {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isPrimaryClaimant() {
		return 0
	}
	return min(keptSlots+extraSlots, n.limit/2)
}

// load returns what this VM tells of the upstream to one that sent the command.
func (r *Relay) load(cmd core.Command, refused *Reply) core.Load {
	if cmd.Kind == "" {
		return core.Load{}
	}
	l := core.Load{Wait: r.n.queue.ExpectedWait(&queue.Item{Kind: cmd.Kind, Rank: cmd.Rank}), Run: r.n.queue.Estimate(cmd.Kind)}
	r.n.mu.Lock()
	l.FaultPercent = uint8(100 * r.n.told.faultShare)
	r.n.mu.Unlock()
	if refused != nil && refused.declined {
		// A slot that is kept for other work is free no sooner than one that is taken.
		l.Wait = max(l.Wait, l.Run)
	}
	if refused != nil {
		l.IsDeclined = refused.declined
	}
	return l
}

// noteBytes records the size of a statement with its answer.
func (g *group) noteBytes(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bytes += bytesWeight * (float64(n) - g.bytes)
}

// toll returns the price of a statement for the group that leaves the failure domain.
func (g *group) toll(t spill.Tariff) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return t.Toll(int(g.bytes))
}
