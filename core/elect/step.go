package elect

// Step is a step of a change of primary. The fault matrix injects faults at each of Steps.
type Step string

// Steps in the order in which a driver runs them. StepDrain and StepCatchUp are part of planned changes
// only. StepRepair is not part of a change.
const (
	// StepDetect decides that a change is needed.
	StepDetect Step = "Detect"
	// StepLease asks the store for the advisory lease.
	StepLease Step = "Lease"
	// StepDelay waits for the lease's holder, or for a random time if the store doesn't answer.
	StepDelay Step = "Delay"
	// StepDrain sends prepare to a leaving primary, which then takes no more commits.
	StepDrain Step = "Drain"
	// StepCatchUp waits until a replica holds the leaving primary's whole log.
	StepCatchUp Step = "CatchUp"
	// StepPrepare sends prepare to the upstreams.
	StepPrepare Step = "Prepare"
	// StepPromote promotes the upstream with the highest log.
	StepPromote Step = "Promote"
	// StepFollow tells the other upstreams to follow the new primary.
	StepFollow Step = "Follow"
	// StepConfirm waits for the first position that is confirmed in the new term.
	StepConfirm Step = "Confirm"
	// StepRelease releases the lease.
	StepRelease Step = "Release"
	// StepRepair tells an upstream that doesn't follow the primary to do so.
	StepRepair Step = "Repair"
)

// Steps returns all steps in the order of the constants.
func Steps() []Step {
	return []Step{
		StepDetect, StepLease, StepDelay, StepDrain, StepCatchUp, StepPrepare, StepPromote,
		StepFollow, StepConfirm, StepRelease, StepRepair,
	}
}

// Reason is the reason of a change of primary.
type Reason string

// Reasons of a change.
const (
	// ReasonSilent means that no status poll of the primary has succeeded for SilentAfter.
	ReasonSilent Reason = "primary silent"
	// ReasonRefused means that the primary has refused connections for RefusedAfter.
	ReasonRefused Reason = "primary refuses connections"
	// ReasonNone means that no upstream is primary of the term that a majority has promised.
	ReasonNone Reason = "no primary"
	// ReasonHigherTerm means that an upstream has promised a term above the primary's and therefore can't
	// follow it.
	ReasonHigherTerm Reason = "term passed"
	// ReasonLeaving means that the primary is leaving.
	ReasonLeaving Reason = "primary leaving"
)

// class returns ReasonSilent for ReasonRefused as well, since the two can alternate during one failure.
// Other reasons are their own class.
func (r Reason) class() Reason {
	if r == ReasonRefused {
		return ReasonSilent
	}
	return r
}
