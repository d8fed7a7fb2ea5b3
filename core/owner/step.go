package owner

import (
	"context"
	"fmt"

	"snipewall/core"
)

// Path is the sequence of steps that a request takes through the owner.
type Path string

// Paths of requests.
const (
	PathRead  Path = "read"
	PathWrite Path = "write"
	// PathTx is for the statements of an open transaction and for the one that opens it.
	PathTx Path = "transaction"
)

// Step is one step of a path.
type Step string

// Steps, in the order in which they occur on a path.
const (
	// StepCheck decides whether the upstream can serve the request.
	StepCheck Step = "check"
	// StepIndex obtains a read index.
	StepIndex Step = "index"
	// StepCatchUp waits until a replica has applied the position.
	StepCatchUp Step = "catch-up"
	// StepAdmit waits for a slot.
	StepAdmit Step = "admit"
	// StepConnect takes a connection from the pool.
	StepConnect Step = "connect"
	// StepExecute sends the request and forwards the answer.
	StepExecute Step = "execute"
	// StepReceive is reached when the whole answer has arrived. A failure here means that it was lost.
	StepReceive Step = "receive"
	// StepConfirm waits until a majority has the commit.
	StepConfirm Step = "confirm"
	// StepRelease forwards the withheld part of the answer.
	StepRelease Step = "release"
	// StepRollback rolls back an open transaction.
	StepRollback Step = "rollback"
)

// Steps returns the steps of the path in order.
func Steps(p Path) []Step {
	switch p {
	case PathRead:
		return []Step{StepCheck, StepIndex, StepCatchUp, StepAdmit, StepConnect, StepExecute, StepReceive}
	case PathWrite:
		return []Step{StepCheck, StepAdmit, StepConnect, StepExecute, StepReceive, StepConfirm, StepRelease}
	case PathTx:
		return []Step{
			StepCheck, StepIndex, StepCatchUp, StepAdmit, StepConnect, StepExecute, StepReceive,
			StepConfirm, StepRelease, StepRollback,
		}
	}
	return nil
}

// Paths returns all paths.
func Paths() []Path { return []Path{PathRead, PathWrite, PathTx} }

// pathOf returns the path of a request from outside a transaction.
func pathOf(req *core.Request) Path {
	switch req.Class {
	case core.ClassRead:
		return PathRead
	case core.ClassBegin, core.ClassBeginRead:
		return PathTx
	}
	return PathWrite
}

// runHook calls the hook before a step.
func (o *Owner) runHook(ctx context.Context, p Path, s Step, req *core.Request) error {
	if err := o.cfg.Hook(ctx, p, s, req); err != nil {
		return fmt.Errorf("step %s: %w", s, err)
	}
	return nil
}
