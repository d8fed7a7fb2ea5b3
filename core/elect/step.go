package elect

// Step is a step of a driver. The fault matrix enumerates Steps.
type Step string

// Steps in the order in which a driver takes them. StepDrain and StepCatchUp belong to a planned
// change only, StepRepair to the time after a change.
const (
	// StepDetect decides that a change is needed.
	StepDetect Step = "Detect"
	// StepLease asks the store for the advisory lease.
	StepLease Step = "Lease"
	// StepDelay waits for the holder of the lease, or for a random time if the store doesn't answer.
	StepDelay Step = "Delay"
	// StepDrain prepares a leaving primary, which then takes no more commits.
	StepDrain Step = "Drain"
	// StepCatchUp waits until a replica holds the leaving primary's whole log.
	StepCatchUp Step = "CatchUp"
	// StepPrepare prepares the upstreams.
	StepPrepare Step = "Prepare"
	// StepPromote promotes the upstream with the highest log.
	StepPromote Step = "Promote"
	// StepFollow tells the other upstreams to follow.
	StepFollow Step = "Follow"
	// StepConfirm waits for the first position that is confirmed under the new term.
	StepConfirm Step = "Confirm"
	// StepRelease gives up the lease.
	StepRelease Step = "Release"
	// StepRepair tells an upstream that fell out of the group to follow the primary.
	StepRepair Step = "Repair"
)

// Steps returns all steps in order.
func Steps() []Step {
	return []Step{
		StepDetect, StepLease, StepDelay, StepDrain, StepCatchUp, StepPrepare, StepPromote,
		StepFollow, StepConfirm, StepRelease, StepRepair,
	}
}

// Reason is why a change starts.
type Reason string

// Reasons of a change.
const (
	// ReasonSilent: the primary has given no successful status for SilentAfter.
	ReasonSilent Reason = "primary silent"
	// ReasonRefused: the primary has refused connections for RefusedAfter.
	ReasonRefused Reason = "primary refuses connections"
	// ReasonNone: no upstream is primary of the term that a majority has promised.
	ReasonNone Reason = "no primary"
	// ReasonTermPassed: an upstream has promised a term above the primary's, so it can't follow.
	ReasonTermPassed Reason = "term passed"
	// ReasonLeaving: the primary is leaving.
	ReasonLeaving Reason = "primary leaving"
)

// class merges the reasons that turn into each other while the same failure lasts.
func (r Reason) class() Reason {
	if r == ReasonRefused {
		return ReasonSilent
	}
	return r
}
