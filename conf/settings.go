package conf

import (
	"time"

	"snipewall/core"
)

// Settings is everything that an entry VM learns from its file. Reference lists each key with its
// default.
type Settings struct {
	VM        VM
	Listen    Listen
	Platform  Platform
	Peers     Peers
	Failover  Failover
	Callers   Callers
	Stop      Stop
	CallerTLS CallerTLS
	// UpstreamTLS applies to the connections to all upstreams.
	UpstreamTLS UpstreamTLS
	Log         Log
	Upstreams   []core.UpstreamInfo
}

// VM says which entry VM this is.
type VM struct {
	ID            core.VMID
	FailureDomain core.FailureDomain
	Region        core.Region
}

// Listen holds the addresses, host:port.
type Listen struct {
	// Callers takes PostgreSQL connections.
	Callers string
	// Control takes net/rpc calls of other entry VMs.
	Control string
	// Relay takes forwarded requests of other entry VMs.
	Relay string
	// Admin serves health, readiness, metrics and state dumps over HTTP.
	Admin string
}

// Platform says how to reach the platform's key-value service.
type Platform struct {
	// Address is host:port.
	Address string
	// Timeout limits each call other than a watch.
	Timeout time.Duration
	// ListInterval is the time between two readings of the list of VMs.
	ListInterval time.Duration
}

// Peers configures the membership of entry VMs.
type Peers struct {
	// Seeds are control addresses that are tried when the platform's list can't be read.
	Seeds []string
	// PingInterval is the time between two pings.
	PingInterval time.Duration
}

// Failover configures the detection of failed primaries.
type Failover struct {
	// PollInterval is the time between two polls of an idle group.
	PollInterval time.Duration
	// SuspectAfter is the time without a successful status after which a primary counts as failed.
	SuspectAfter time.Duration
	// RefusedAfter is the same for a primary that refuses connections.
	RefusedAfter time.Duration
}

// Callers configures the listener for callers.
type Callers struct {
	// DefaultKind is the kind of requests that name none.
	DefaultKind core.Kind
	// MaxMessage is the largest message in bytes.
	MaxMessage int
	// MaxConnections is the number of callers that may be connected at once.
	MaxConnections int
}

// Stop configures a planned stop.
type Stop struct {
	// Grace is the time between failing readiness and refusing new work, in which the balancer
	// takes the entry VM out.
	Grace time.Duration
	// Timeout limits the time in which requests in flight are finished.
	Timeout time.Duration
}

// CallerTLS holds the files for TLS towards callers. Empty means no TLS.
type CallerTLS struct {
	Certificate string
	Key         string
	// Required refuses callers without TLS.
	Required bool
}

// UpstreamTLS holds the files for TLS towards upstreams. Empty means no TLS.
type UpstreamTLS struct {
	// CA is a PEM file with the authorities that sign the upstreams' certificates.
	CA string
	// ServerName is the name in the upstreams' certificates; empty means the host of the address.
	ServerName string
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
}
