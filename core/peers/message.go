package peers

import (
	"context"

	"snipewall/core"
)

// Status is what a record says about a member.
type Status uint8

// Statuses of a member. Of two records with the same incarnation, the one with the higher status
// counts.
const (
	StatusAlive Status = iota
	// StatusSuspect is a member that didn't answer. It still counts as alive.
	StatusSuspect
	StatusDead
	// StatusLeft is a member that said that it is stopping.
	StatusLeft
)

// String returns the name of the status.
func (s Status) String() string {
	names := [...]string{"alive", "suspect", "dead", "left"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// Update is a record of one member. VM has only its ID unless Status is StatusAlive.
type Update struct {
	VM          core.VM
	Status      Status
	Incarnation uint64
	// Age is how long ago the sender adopted StatusDead, in seconds.
	Age uint32
}

// Source tells who saw that something is leaving.
type Source uint8

// Sources of a Mark.
const (
	// SourceStatus is the upstream's own status.
	SourceStatus Source = iota
	// SourcePlatform is the platform's list of VMs.
	SourcePlatform
)

// Mark tells that an upstream or an entry VM is leaving, or no longer is. The one with the higher
// stamp counts.
type Mark struct {
	Upstream core.UpstreamID
	// VM is set instead of Upstream for an entry VM.
	VM      core.VMID
	Source  Source
	Leaving bool
	Stamp   uint64
}

// Gossip is what every ping and every answer carries.
type Gossip struct {
	// Self is the sender's own record.
	Self    Update
	Updates []Update
	Marks   []Mark
	// Table is the version of the operators' table that the sender has.
	Table core.Version
}

// PingRequest asks a member for a sign of life.
type PingRequest struct {
	// To is the member that the sender expects at the address, or empty for a candidate.
	To core.VMID
	Gossip
}

// PingAnswer answers a PingRequest.
type PingAnswer struct {
	Gossip
}

// ProbeRequest asks a member to ping another one.
type ProbeRequest struct {
	Target core.VM
}

// ProbeAnswer answers a ProbeRequest.
type ProbeAnswer struct {
	// Answered tells that the target answered with Self.
	Answered bool
	Self     Update
}

// SyncRequest compares the states of two members. The first request carries only a digest. If the
// answer differs, a second one carries what the other side lacks.
type SyncRequest struct {
	Gossip
	Digest uint64
	// Push tells that this is the second request.
	Push bool
}

// SyncAnswer answers a SyncRequest. Its gossip is the full state unless Same is set.
type SyncAnswer struct {
	Gossip
	Same bool
}

// TableRequest asks for the operators' table.
type TableRequest struct {
	// Have is the version that the sender has; only a higher one is sent.
	Have core.Version
}

// TableAnswer answers a TableRequest. Data is empty if there is no higher version.
type TableAnswer struct {
	Version core.Version
	Data    []byte
}

// Transport makes calls to the member at an address. A call ends when ctx ends.
type Transport interface {
	Ping(ctx context.Context, address string, req *PingRequest) (*PingAnswer, error)
	Probe(ctx context.Context, address string, req *ProbeRequest) (*ProbeAnswer, error)
	Sync(ctx context.Context, address string, req *SyncRequest) (*SyncAnswer, error)
	Table(ctx context.Context, address string, req *TableRequest) (*TableAnswer, error)
}

// Handler serves the calls of other members.
type Handler interface {
	Ping(ctx context.Context, req *PingRequest) (*PingAnswer, error)
	Probe(ctx context.Context, req *ProbeRequest) (*ProbeAnswer, error)
	Sync(ctx context.Context, req *SyncRequest) (*SyncAnswer, error)
	Table(ctx context.Context, req *TableRequest) (*TableAnswer, error)
}

// Platform is the part of core.Store that lists VMs.
type Platform interface {
	VMs(ctx context.Context) ([]core.VM, error)
}

// Table is the operators' table on this entry VM.
type Table interface {
	// Version returns the version in force, or 0.
	Version() core.Version
	// Encoded returns the version in force and its form for Adopt, or nil.
	Encoded() (core.Version, []byte)
	// Adopt puts a higher version into force.
	Adopt(encoded []byte, source string) (core.Version, error)
}
