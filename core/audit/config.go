package audit

import (
	"time"

	"snipewall/core"
	"snipewall/core/topo"
)

// Config is a configuration as its file has it.
type Config struct {
	Version       core.Version
	Line          int
	Routes        []Route
	Groups        []Group
	Organisations []Organisation
	// NeedsKeys is set if the configuration has a list of organisations, which may be empty.
	NeedsKeys bool
	// TxIdle is how long a transaction may stay idle, and TxIdleLine the line of that limit.
	TxIdle     time.Duration
	TxIdleLine int
}

// Route is one route with its line.
type Route struct {
	topo.Route
	Line int
	// IsKnown is set if the consistency is a known one.
	IsKnown bool
}

// Group is one group with its line.
type Group struct {
	topo.Group
	Line int
}

// Organisation is one organisation with its keys.
type Organisation struct {
	topo.Organisation
	Line int
	Keys []Key
	// IsValidName is set if upstreams can be told the name.
	IsValidName bool
}

// Key is one key of callers.
type Key struct {
	Digest topo.KeyDigest
	// IsEmpty is set for the empty text, CanMatch if a caller can send the key.
	IsEmpty, CanMatch bool
}

// Bounds are what the deployment's settings say about the configuration. Zero values aren't checked.
type Bounds struct {
	// ConfigTarget is the time after which a configuration must be in force, KeyRevocation that after which a
	// withdrawn key must be out of use.
	ConfigTarget, KeyRevocation time.Duration
}

// Severity is how much a finding matters.
type Severity uint8

// Severities, the most important one first.
const (
	// Error means that the configuration must not be sent.
	Error Severity = iota
	// Warning means that an entry has no effect, or that limits contradict each other.
	Warning
	// Change is a difference from the version in force.
	Change
)

var severityNames = [...]string{"error", "warning", "change"}

// String returns the name of the severity.
func (s Severity) String() string { return severityNames[s] }

// Field names what a finding is about.
type Field string

// Fields of findings.
const (
	FieldVersion     Field = "Version"
	FieldDatabase    Field = "Database"
	FieldGroup       Field = "Group"
	FieldConsistency Field = "Consistency"
	FieldMaxAge      Field = "MaxAge"
	FieldTimeout     Field = "StatementTimeout"
	FieldObjective   Field = "Objective"
	FieldRank        Field = "Rank"
	FieldPublic      Field = "Public"
	FieldName        Field = "Name"
	FieldConnections Field = "Connections"
	FieldReplicas    Field = "SyncReplicas"
	FieldKeys        Field = "Keys"
	FieldRate        Field = "Rate"
	FieldBurst       Field = "Burst"
	FieldTxIdle      Field = "TxIdle"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	// Line is the line in the file, 0 if the finding is about none.
	Line int
	// Subject is the route's database, the group or the organisation; empty for the whole configuration.
	Subject string
	Field   Field
	Text    string
}
