package lead

import (
	"errors"

	"snipewall/core"
)

var (
	errMinority  = errors.New("most of the group doesn't answer")
	errReceivers = errors.New("a replica that may hold acknowledged commits doesn't answer")
	errNoReplica = errors.New("no replica answered a probe")
	errBranch    = errors.New("a replica doesn't tell whether its log was cut off")
)

// ProbeResult is an upstream's answer to a probe.
type ProbeResult struct {
	// Leads is set if the upstream is the primary, IsDeposed if it acts as one although another one was promoted after it.
	Leads, IsDeposed bool
	// Log is the end of the log that the upstream has applied.
	Log core.Position
	// Received is the end of the log that the upstream has received, which a promotion keeps. It is valid if
	// IsReceivedKnown is set.
	Received        core.Position
	IsReceivedKnown bool
}

// End returns the end of the log that a promotion of the upstream keeps, as far as it is known.
func (r ProbeResult) End() core.Position {
	if r.IsReceivedKnown && r.Log.Less(r.Received) {
		return r.Received
	}
	return r.Log
}

// answer is the result of inspecting one upstream.
type answer struct {
	id    core.UpstreamID
	probe ProbeResult
	err   error
	// isDraining is set if the upstream is about to be removed.
	isDraining bool
	// isCutOff is set if the log has entries that an earlier promotion has cut off, mayBeCutOff if that depends on what the
	// upstream has received, which it doesn't tell.
	isCutOff, mayBeCutOff bool
}

// choose returns the upstream that is the primary, or else the one whose promotion keeps the most of the log. Of
// several, it prefers one that stays, then the first. A log with entries that were cut off is chosen only if there is no
// other; one that may have such entries counts as cut off once a majority isn't waited for any longer. It returns an error if an
// upstream that didn't answer may hold acknowledged commits, unless the request allows that.
func choose(g Group, answers []answer, req failoverRequest) (core.UpstreamID, ProbeResult, error) {
	var best *answer
	answered, known := 0, 0
	if g.Leaving {
		// A leaving primary works.
		answered++
	}
	for i := range answers {
		a := &answers[i]
		if a.err != nil {
			continue
		}
		if a.probe.Leads {
			return a.id, a.probe, nil
		}
		answered++
		a.isCutOff = req.begins.CutOff(a.probe.End())
		if a.probe.IsReceivedKnown {
			known++
		} else {
			a.mayBeCutOff = !a.isCutOff && req.begins.Follow(a.probe.Log)
			a.isCutOff = a.isCutOff || a.mayBeCutOff && req.allowMinority
		}
		if best == nil || best.isWorseThan(a) {
			best = a
		}
	}
	switch {
	case best == nil:
		return "", ProbeResult{}, errNoReplica
	case !req.allowMinority && 2*answered <= g.Members:
		return "", best.probe, errMinority
	case !req.allowMissing && !g.canMiss(len(answers)-known):
		return "", best.probe, errReceivers
	case !req.allowMinority && best.mayBeCutOff:
		return "", best.probe, errBranch
	}
	return best.id, best.probe, nil
}

func (a *answer) isWorseThan(b *answer) bool {
	if a.isCutOff != b.isCutOff {
		return a.isCutOff
	}
	if a.probe.End() != b.probe.End() {
		return a.probe.End().Less(b.probe.End())
	}
	return a.isDraining && !b.isDraining
}

// canMiss reports whether every acknowledged commit has been received by one of the other replicas if the given
// number of replicas don't tell what they have received. While the primary works, it tells the end of the log instead.
func (g Group) canMiss(replicas int) bool {
	return g.SyncReplicas == 0 || g.Leaving || replicas < g.SyncReplicas
}
