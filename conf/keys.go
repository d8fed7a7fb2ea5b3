package conf

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"snipewall/core"
)

// key describes a key of the file: how it is parsed, validated and documented.
type key struct {
	section, name string
	// defaultValue is empty for required keys.
	defaultValue string
	required     bool
	// accepts describes the valid values in error messages and in the reference.
	accepts string
	doc     string
	set     func(s *Settings, value string) bool
}

const (
	acceptsName    = "a name of letters, digits, '-', '_' and '.'"
	acceptsAddress = "HOST:PORT with an IP number"
	acceptsFile    = "a file name, or nothing"
	acceptsLevel   = "debug, info, warn or error"
	acceptsBool    = "true or false"
)

// keys lists all keys outside of the upstreams' sections.
var keys = []key{
	text("VM", "ID", "", "Name of this entry VM, unique in the deployment.", func(s *Settings) *string { return (*string)(&s.VM.ID) }),
	text("VM", "FailureDomain", "", "Failure domain of this entry VM.", func(s *Settings) *string { return (*string)(&s.VM.FailureDomain) }),
	text("VM", "Region", "", "Region of the failure domain.", func(s *Settings) *string { return (*string)(&s.VM.Region) }),
	address("Listen", "Callers", "Address for callers, PostgreSQL protocol.", func(s *Settings) *string { return &s.Listen.Callers }),
	address("Listen", "Control", "Address for control calls of other entry VMs.", func(s *Settings) *string { return &s.Listen.Control }),
	address("Listen", "Relay", "Address for requests forwarded by other entry VMs.", func(s *Settings) *string { return &s.Listen.Relay }),
	address("Listen", "Admin", "Address for health, readiness, metrics and state dumps, HTTP.", func(s *Settings) *string { return &s.Listen.Admin }),
	address("Platform", "Address", "Address of the platform's key-value service.", func(s *Settings) *string { return &s.Platform.Address }),
	duration("Platform", "Timeout", "2s", time.Millisecond, time.Minute, "Time limit of each call.", func(s *Settings) *time.Duration { return &s.Platform.Timeout }),
	duration("Platform", "ListInterval", "5s", 100*time.Millisecond, time.Hour, "Interval at which the list of VMs is read.", func(s *Settings) *time.Duration { return &s.Platform.ListInterval }),
	{
		section: "Peers", name: "Seeds", accepts: "addresses HOST:PORT separated by commas, or nothing",
		doc: "Control addresses to try when the platform's list of VMs can't be read.", set: setSeeds,
	},
	duration("Peers", "PingInterval", "500ms", 10*time.Millisecond, time.Minute, "Interval of the pings between entry VMs.", func(s *Settings) *time.Duration { return &s.Peers.PingInterval }),
	duration("Failover", "PollInterval", "100ms", 10*time.Millisecond, 10*time.Second, "Interval at which an idle group is polled.", func(s *Settings) *time.Duration { return &s.Failover.PollInterval }),
	duration("Failover", "SuspectAfter", "1200ms", 100*time.Millisecond, time.Minute, "Time without a status after which a primary counts as failed.", func(s *Settings) *time.Duration { return &s.Failover.SuspectAfter }),
	duration("Failover", "RefusedAfter", "300ms", 50*time.Millisecond, time.Minute, "Time of refusing connections after which a primary counts as failed.", func(s *Settings) *time.Duration { return &s.Failover.RefusedAfter }),
	text("Callers", "DefaultKind", "default", "Kind of requests that don't specify one.", func(s *Settings) *string { return (*string)(&s.Callers.DefaultKind) }),
	number("Callers", "MaxMessage", "16777216", 1024, 1<<30, "Maximum message size in bytes.", func(s *Settings) *int { return &s.Callers.MaxMessage }),
	number("Callers", "MaxConnections", "20000", 1, 1<<20, "Maximum number of concurrent callers' connections.", func(s *Settings) *int { return &s.Callers.MaxConnections }),
	number("Callers", "BufferMegabytes", "48", 1, 1<<20, "Memory for messages that are being received or run, of all callers together; beyond it they are refused or closed.", func(s *Settings) *int { return &s.Callers.BufferMegabytes }),
	duration("Stop", "Grace", "2s", 0, time.Minute, "Time between turning readiness off and refusing new work.", func(s *Settings) *time.Duration { return &s.Stop.Grace }),
	duration("Stop", "Timeout", "30s", time.Second, time.Hour, "Time limit for finishing requests in flight.", func(s *Settings) *time.Duration { return &s.Stop.Timeout }),
	file("CallerTLS", "Certificate", "File with the PEM certificate presented to callers.", func(s *Settings) *string { return &s.CallerTLS.Certificate }),
	file("CallerTLS", "Key", "File with the PEM key of the certificate.", func(s *Settings) *string { return &s.CallerTLS.Key }),
	{
		section: "CallerTLS", name: "Required", defaultValue: "false", accepts: acceptsBool,
		doc: "Whether callers without TLS are rejected.",
		set: func(s *Settings, v string) bool { return setBool(&s.CallerTLS.Required, v) },
	},
	file("UpstreamTLS", "CA", "File with the PEM certificate authorities of the upstreams.", func(s *Settings) *string { return &s.UpstreamTLS.CA }),
	{
		section: "UpstreamTLS", name: "ServerName", accepts: "a host name, or nothing",
		doc: "Name to verify in the upstreams' certificates, by default the host of the address.",
		set: func(s *Settings, v string) bool { s.UpstreamTLS.ServerName = v; return true },
	},
	{
		section: "Log", name: "Level", defaultValue: "info", accepts: acceptsLevel, doc: "Lowest level that is logged.",
		set: setLevel,
	},
}

// upstreamKey describes a key of the upstreams' sections.
type upstreamKey struct {
	name, defaultValue string
	required           bool
	accepts, doc       string
	set                func(u *core.UpstreamInfo, value string) bool
}

var upstreamKeys = []upstreamKey{
	{"Group", "", true, acceptsName, "Group of the upstream; callers use it as the database name.", func(u *core.UpstreamInfo, v string) bool { return setName((*string)(&u.Group), v) }},
	{"Address", "", true, acceptsAddress, "Address of the upstream.", func(u *core.UpstreamInfo, v string) bool { return setAddress(&u.Address, v) }},
	{"FailureDomain", "", true, acceptsName, "Failure domain of the upstream.", func(u *core.UpstreamInfo, v string) bool { return setName((*string)(&u.FailureDomain), v) }},
	{"Region", "", true, acceptsName, "Region of the failure domain.", func(u *core.UpstreamInfo, v string) bool { return setName((*string)(&u.Region), v) }},
	{"Slots", "3", false, "a number from 1 to 1000", "Maximum number of statements that execute concurrently.", func(u *core.UpstreamInfo, v string) bool { return setNumber(&u.Slots, v, 1, 1000) }},
	{"Connections", "20", false, "a number from 8 to 10000", "Connection limit of the upstream.", func(u *core.UpstreamInfo, v string) bool { return setNumber(&u.Connections, v, 8, 10000) }},
	{"ConnectTime", "10ms", false, "a duration from 0s to 1m", "Time that opening a connection takes.", func(u *core.UpstreamInfo, v string) bool { return setDuration(&u.ConnectTime, v, 0, time.Minute) }},
}

func text(section, name, defaultValue, doc string, field func(*Settings) *string) key {
	return key{
		section: section, name: name, defaultValue: defaultValue, required: defaultValue == "", accepts: acceptsName, doc: doc,
		set: func(s *Settings, v string) bool { return setName(field(s), v) },
	}
}

func address(section, name, doc string, field func(*Settings) *string) key {
	return key{
		section: section, name: name, required: true, accepts: acceptsAddress, doc: doc,
		set: func(s *Settings, v string) bool { return setAddress(field(s), v) },
	}
}

func file(section, name, doc string, field func(*Settings) *string) key {
	return key{
		section: section, name: name, accepts: acceptsFile, doc: doc,
		set: func(s *Settings, v string) bool { *field(s) = v; return true },
	}
}

func duration(section, name, defaultValue string, low, high time.Duration, doc string, field func(*Settings) *time.Duration) key {
	return key{
		section: section, name: name, defaultValue: defaultValue, accepts: fmt.Sprintf("a duration from %v to %v", low, high), doc: doc,
		set: func(s *Settings, v string) bool { return setDuration(field(s), v, low, high) },
	}
}

func number(section, name, defaultValue string, low, high int, doc string, field func(*Settings) *int) key {
	return key{
		section: section, name: name, defaultValue: defaultValue, accepts: fmt.Sprintf("a number from %d to %d", low, high), doc: doc,
		set: func(s *Settings, v string) bool { return setNumber(field(s), v, low, high) },
	}
}

func setName(field *string, v string) bool {
	if v == "" {
		return false
	}
	for _, r := range v {
		isAlphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !isAlphanumeric && !strings.ContainsRune("-_.", r) {
			return false
		}
	}
	*field = v
	return true
}

func setAddress(field *string, v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return false
	}
	*field = v
	return true
}

func setDuration(field *time.Duration, v string, low, high time.Duration) bool {
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		return false
	}
	*field = d
	return true
}

func setNumber(field *int, v string, low, high int) bool {
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		return false
	}
	*field = n
	return true
}

func setBool(field *bool, v string) bool {
	b, err := strconv.ParseBool(v)
	if err != nil {
		return false
	}
	*field = b
	return true
}

func setLevel(s *Settings, v string) bool {
	switch v {
	case "debug", "info", "warn", "error":
		s.Log.Level = v
		return true
	}
	return false
}

func setSeeds(s *Settings, v string) bool {
	s.Peers.Seeds = nil
	for _, part := range strings.Split(v, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		var seed string
		if !setAddress(&seed, part) {
			return false
		}
		s.Peers.Seeds = append(s.Peers.Seeds, seed)
	}
	return true
}
