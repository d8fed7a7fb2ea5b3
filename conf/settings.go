package conf

import (
	"time"

	"snipewall/core"
)

// Settings holds the settings of an entry VM that lists its upstreams in its file. Reference documents each
// key with its default.
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

// VM identifies the entry VM.
type VM struct {
	ID            core.VMID
	FailureDomain core.FailureDomain
	Region        core.Region
}

// Listen holds the listen addresses, host:port.
type Listen struct {
	// Callers accepts PostgreSQL connections.
	Callers string
	// Control accepts net/rpc calls of other entry VMs.
	Control string
	// Relay accepts requests forwarded by other entry VMs.
	Relay string
	// Admin serves health, readiness, metrics and state dumps over HTTP.
	Admin string
}

// Platform configures the client of the platform's key-value service.
type Platform struct {
	// Address is host:port.
	Address string
	// Timeout limits each call except watches.
	Timeout time.Duration
	// ListInterval is the interval at which the list of VMs is read.
	ListInterval time.Duration
}

// Peers configures the membership of entry VMs.
type Peers struct {
	// Seeds are control addresses to try when the platform's list of VMs can't be read.
	Seeds []string
	// PingInterval is the interval of the pings between entry VMs.
	PingInterval time.Duration
}

// Failover configures the detection of failed primaries.
type Failover struct {
	// PollInterval is the interval at which an idle group is polled.
	PollInterval time.Duration
	// SuspectAfter is the time without a successful status call after which a primary counts as failed.
	SuspectAfter time.Duration
	// RefusedAfter is the same time for a primary that refuses connections.
	RefusedAfter time.Duration
}

// Callers configures the listener for callers.
type Callers struct {
	// DefaultKind is the kind of requests that don't specify one.
	DefaultKind core.Kind
	// MaxMessage is the maximum message size in bytes.
	MaxMessage int
	// MaxConnections is the maximum number of concurrent connections.
	MaxConnections int
	// BufferMegabytes is the memory that messages above 8 KiB may take together until they have run.
	BufferMegabytes int
}

// Stop configures the graceful shutdown.
type Stop struct {
	// Grace is the time between turning readiness off and refusing new work, in which the load balancer
	// removes the entry VM.
	Grace time.Duration
	// Timeout limits the draining of requests in flight.
	Timeout time.Duration
}

// CallerTLS configures TLS for callers. TLS is off if Certificate and Key are empty.
type CallerTLS struct {
	Certificate string
	Key         string
	// Required rejects callers without TLS.
	Required bool
}

// UpstreamTLS configures TLS for upstreams. TLS is off if CA is empty.
type UpstreamTLS struct {
	// CA is the path of a PEM file with the certificate authorities of the upstreams.
	CA string
	// ServerName is the name to verify in the upstreams' certificates. If empty, it is the host of the
	// upstream's address.
	ServerName string
}

// Log configures logging.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string
}
