package hop

import (
	"time"

	"snipewall/core"
)

// hello is the first frame on a connection. It names the upstream that the connection is for.
type hello struct {
	Upstream core.UpstreamID
}

// welcome answers hello. Fault is set if the owner refuses the connection; otherwise Position is the
// upstream's last known position.
type welcome struct {
	Fault    core.Fault
	Position core.Position
}

// batch is the frame of one Send. It carries durations instead of points in time, since the clocks of
// VMs differ.
type batch struct {
	Commands []core.Command
	// Left is the time until the deadline of the commands; 0 means defaultTimeout.
	Left time.Duration
	// Wait is how long the commands may wait for a slot and a connection; 0 means until the deadline.
	Wait time.Duration
}

// reply is the answer to one command, or the announcement that the owner shuts down.
type reply struct {
	Goodbye bool
	Answer  core.Answer
}
