package hop

import (
	"time"

	"snipewall/core"
)

// hello opens a connection: the upstream that it is for.
type hello struct {
	Upstream core.UpstreamID
}

// welcome answers hello. A refusal has a fault.
type welcome struct {
	Fault    core.Fault
	Position core.Position
}

// batch is what one Send carries.
type batch struct {
	Commands []core.Command
	// Left is the time that the commands have, since the clocks of VMs differ.
	Left time.Duration
	// Wait is the part of it in which they may wait for a slot and a connection; 0 means all of it.
	Wait time.Duration
}

// reply is the answer to one command, or a goodbye.
type reply struct {
	Goodbye bool
	Answer  core.Answer
}
