package peers

import (
	"context"
	"time"

	"snipewall/core"
)

// Status is the status of a member.
type Status uint8

// Statuses of a member. Of two records with the same incarnation, the one with the higher status takes
// precedence.
const (
	StatusAlive Status = iota
	// StatusSuspect is a member that didn't answer. It still counts as alive.
	StatusSuspect
	StatusDead
	// StatusLeft is a member that has announced that it is stopping.
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
	// Age is the number of seconds since the sender adopted StatusDead.
	Age uint32
}

// Source is the origin of a Mark.
type Source uint8

// Sources of a Mark.
const (
	// SourceStatus is the upstream's own status.
	SourceStatus Source = iota
	// SourcePlatform is the platform's list of VMs.
	SourcePlatform
)

// Mark is a record that an upstream or an entry VM is leaving, or no longer is. Of two marks with the same
// subject and source, the one with the higher Stamp takes precedence.
type Mark struct {
	Upstream core.UpstreamID
	// VM is set instead of Upstream for an entry VM.
	VM      core.VMID
	Source  Source
	Leaving bool
	Stamp   uint64
}

// Gossip is the part that all pings, syncs and their answers have in common.
type Gossip struct {
	// Self is the sender's own record.
	Self    Update
	Updates []Update
	Marks   []Mark
	// Table is the version of the sender's operators' table, or 0.
	Table core.Version
}

// PingRequest checks whether a member is alive, and exchanges gossip with it.
type PingRequest struct {
	// To is the member that the sender expects at the address, or empty if it is a candidate.
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
	// Answered is set if the target answered. Self is then its record.
	Answered bool
	Self     Update
}

// SyncRequest compares the states of two members. The first request carries only a digest. If the digests
// differ, a second request carries what the other side lacks.
type SyncRequest struct {
	Gossip
	Digest uint64
	// Push is set in the second request.
	Push bool
}

// SyncAnswer answers a SyncRequest. Its gossip contains the full state unless Same is set.
type SyncAnswer struct {
	Gossip
	Same bool
}

// TableRequest asks for the operators' table.
type TableRequest struct {
	// Have is the version that the sender has. Only a higher version is returned.
	Have core.Version
	// Wait is how long the answer may wait for a confirmation that is newer than that of the sender, whose age is Age.
	// With 0, it is returned at once.
	Wait, Age time.Duration
}

// TableAnswer answers a TableRequest. Data is empty if the version isn't higher than the sender's. Older builds don't
// set Confirmation.
type TableAnswer struct {
	Version      core.Version
	Data         []byte
	Confirmation core.Confirmation
}

// Transport makes calls to the member at an address. A call returns at the latest when ctx ends.
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
	// Encoded returns the version in force and the table as Adopt accepts it, or 0 and nil without one.
	Encoded() (core.Version, []byte)
	// AwaitConfirmation waits until there is a confirmation that is newer than that of a caller whose confirmation
	// has the given age, but at most for wait or until ctx ends.
	AwaitConfirmation(ctx context.Context, callerAge, wait time.Duration) core.Confirmation
	// Adopt puts the table into force if its version is higher, and returns the version in force.
	Adopt(encoded []byte, source string) (core.Version, error)
}
