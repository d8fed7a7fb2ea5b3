package conf

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"snipewall/core"
)

// Entry holds the settings of an entry VM on a hosting platform, where the upstreams and the operators'
// configuration are read from the platform's store.
type Entry struct {
	VM     VM
	Listen EntryListen
	// Store is the address of the platform's metadata store, Promotion that of its promotion call.
	Store, Promotion string
	// Fenced is set if the platform checks the fencing token of a promotion, and ends the leadership of the
	// old primary in the same moment.
	Fenced bool
	// Regions maps each failure domain to its region.
	Regions map[core.FailureDomain]core.Region
	// ConfigTarget is the time after which an acknowledged configuration must be in force, DrainTarget the
	// time after which an upstream that announced its stop must not be used.
	ConfigTarget, DrainTarget time.Duration
	// KeyRevocation is the time after which a withdrawn key of callers must be out of use on all VMs, also on those
	// that can't reach the store; 0 means that there is no such bound.
	KeyRevocation time.Duration
	// Quota bounds the operations of organisations whose limits the configuration names.
	Quota EntryQuota
	// CrossingPrice is how long a caller may wait to save a KiB between failure domains; 0 if it costs nothing.
	CrossingPrice time.Duration
	// Grace is the time between SIGTERM and SIGKILL, in which the process must stop.
	Grace time.Duration
	// Memory is the memory limit of the process in bytes.
	Memory int64
	// Descriptors is the limit of open descriptors; 0 stands for that of the operating system.
	Descriptors int
	// Stall is how long a caller may take to send or read the next part of a message that has begun.
	Stall time.Duration
	Log   Log
}

// EntryQuota bounds the operations of an organisation on all VMs together: in any Window they stay below
// (rate x Window + burst) x (1 + Excess) + Slack.
type EntryQuota struct {
	Window        time.Duration
	Excess, Slack float64
}

// EntryListen holds the listen addresses, host:port.
type EntryListen struct {
	// Callers accepts callers' connections.
	Callers string
	// Ready serves the load balancer's readiness probe over HTTP.
	Ready string
	// Metrics serves metrics and state dumps over HTTP.
	Metrics string
	// Relay accepts statements forwarded by other entry VMs.
	Relay string
	// Control accepts control calls of other entry VMs.
	Control string
}

// entryKey describes a key of an Entry's file. Keys without a default are required.
type entryKey struct {
	section, name, defaultValue, accepts, doc string
	set                                       func(e *Entry, value string) bool
}

const (
	acceptsSeconds      = "a number of seconds above 0"
	acceptsMilliseconds = "a number of milliseconds above 0"
	acceptsMegabytes    = "a number of megabytes above 0"

	acceptsShare       = "a number, 0 or above"
	acceptsDescriptors = "a number of descriptors, at least 64, or 0 for the limit of the operating system"

	acceptsOptionalMilliseconds = "a number of milliseconds, 0 for none"
)

// minDescriptors is enough for the listeners, the store and a few callers.
const minDescriptors = 64

// setPositive sets d to the number in v, in the unit, and reports whether it is above 0.
func setPositive(d *time.Duration, v string, unit time.Duration) bool {
	n, err := strconv.ParseFloat(v, 64)
	*d = time.Duration(n * float64(unit))
	return err == nil && n > 0
}

// setShare sets n to the number in v and reports whether it is 0 or above.
func setShare(n *float64, v string) bool {
	var err error
	*n, err = strconv.ParseFloat(v, 64)
	return err == nil && *n >= 0
}

var entryKeys = []entryKey{
	{"VM", "ID", "", acceptsName, "Name of this entry VM, unique in the deployment.", func(e *Entry, v string) bool { return setName((*string)(&e.VM.ID), v) }},
	{"VM", "FailureDomain", "", acceptsName, "Failure domain of this entry VM.", func(e *Entry, v string) bool { return setName((*string)(&e.VM.FailureDomain), v) }},
	{"VM", "Region", "", acceptsName, "Region of the failure domain.", func(e *Entry, v string) bool { return setName((*string)(&e.VM.Region), v) }},
	{"Listen", "Callers", "", acceptsAddress, "Address for callers, line protocol.", func(e *Entry, v string) bool { return setAddress(&e.Listen.Callers, v) }},
	{"Listen", "Ready", "", acceptsAddress, "Address for the load balancer's readiness probe, HTTP.", func(e *Entry, v string) bool { return setAddress(&e.Listen.Ready, v) }},
	{"Listen", "Metrics", "", acceptsAddress, "Address for metrics and state dumps, HTTP.", func(e *Entry, v string) bool { return setAddress(&e.Listen.Metrics, v) }},
	{"Listen", "Relay", "", acceptsAddress, "Address for statements forwarded by other entry VMs.", func(e *Entry, v string) bool { return setAddress(&e.Listen.Relay, v) }},
	{"Listen", "Control", "", acceptsAddress, "Address for control calls of other entry VMs.", func(e *Entry, v string) bool { return setAddress(&e.Listen.Control, v) }},
	{"Store", "Address", "", acceptsAddress, "Address of the platform's metadata store.", func(e *Entry, v string) bool { return setAddress(&e.Store, v) }},
	{"Promotion", "Address", "", acceptsAddress, "Address of the platform's promotion call.", func(e *Entry, v string) bool { return setAddress(&e.Promotion, v) }},
	{"Promotion", "Fenced", "true", acceptsBool, "Whether the platform checks fencing tokens, and a promotion ends the old primary's leadership.", func(e *Entry, v string) bool {
		e.Fenced = v == "true"
		return e.Fenced || v == "false"
	}},
	{"Targets", "ConfigurationMilliseconds", "3000", acceptsMilliseconds, "Time after which an acknowledged configuration must be in force.", func(e *Entry, v string) bool {
		return setPositive(&e.ConfigTarget, v, time.Millisecond)
	}},
	{"Targets", "DrainMilliseconds", "7000", acceptsMilliseconds, "Time after which an upstream that announced its stop must not be used.", func(e *Entry, v string) bool {
		return setPositive(&e.DrainTarget, v, time.Millisecond)
	}},
	{"Targets", "KeyRevocationMilliseconds", "0", acceptsOptionalMilliseconds, "Time after which a withdrawn key must be out of use on all VMs, also on those that can't reach the store; 0 if there is no bound.", func(e *Entry, v string) bool {
		return v == "0" || setPositive(&e.KeyRevocation, v, time.Millisecond)
	}},
	{"Quota", "WindowSeconds", "5", acceptsSeconds, "Length of the windows in which the operations of an organisation are bounded.", func(e *Entry, v string) bool {
		return setPositive(&e.Quota.Window, v, time.Second)
	}},
	{"Quota", "Excess", "0.1", acceptsShare, "Share by which the operations in a window may exceed the limit.", func(e *Entry, v string) bool {
		return setShare(&e.Quota.Excess, v)
	}},
	{"Quota", "Slack", "20", acceptsShare, "Operations in a window beyond that.", func(e *Entry, v string) bool {
		return setShare(&e.Quota.Slack, v)
	}},
	{"Placement", "CrossingMillisecondsPerKilobyte", "20", acceptsOptionalMilliseconds, "Price of bytes between failure domains, as the time that a caller may wait to save a kilobyte; 0 if they cost nothing.", func(e *Entry, v string) bool {
		return v == "0" || setPositive(&e.CrossingPrice, v, time.Millisecond)
	}},
	{"Stop", "GraceSeconds", "6", acceptsSeconds, "Time between SIGTERM and SIGKILL.", func(e *Entry, v string) bool {
		return setPositive(&e.Grace, v, time.Second)
	}},
	{"Limits", "MemoryMegabytes", "256", acceptsMegabytes, "Memory limit of the process.", func(e *Entry, v string) bool {
		n, err := strconv.ParseFloat(v, 64)
		e.Memory = int64(n * (1 << 20))
		return err == nil && n > 0
	}},
	{"Limits", "Descriptors", "0", acceptsDescriptors, "Limit of open descriptors; 0 stands for that of the operating system.", func(e *Entry, v string) bool {
		n, err := strconv.Atoi(v)
		e.Descriptors = n
		return err == nil && (n == 0 || n >= minDescriptors)
	}},
	{"Limits", "StallMilliseconds", "30000", acceptsMilliseconds, "Time in which a caller must send or read the next part of a message that has begun.", func(e *Entry, v string) bool {
		return setPositive(&e.Stall, v, time.Millisecond)
	}},
	{"Log", "Level", "info", acceptsLevel, "Lowest level that is logged.", func(e *Entry, v string) bool {
		e.Log.Level = v
		return slices.Contains([]string{"debug", "info", "warn", "error"}, v)
	}},
}

// regionsSection is the section that maps failure domains to regions. Its keys are failure domains.
const regionsSection = "Regions"

// EntryReference documents all keys of an Entry's file with their defaults, as an INI file.
func EntryReference() string {
	var b strings.Builder
	section := ""
	for _, k := range entryKeys {
		if k.section != section {
			section = k.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		writeKey(&b, k.doc, k.accepts, k.name, k.defaultValue, k.defaultValue == "")
	}
	fmt.Fprintf(&b, "[%s]\n# Region of each failure domain, one a line.\n# DOMAIN = REGION\n", regionsSection)
	return b.String()
}

// LoadEntry reads and validates the file. The error joins all problems found, as *Problem.
func LoadEntry(path string) (*Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, core.ErrSettings.Wrap(err)
	}
	return ParseEntry(path, data)
}

// ParseEntry parses and validates the content of a settings file. The name is used in messages only.
// Unknown sections and keys are ignored, since the platform may add some at any time.
func ParseEntry(name string, data []byte) (*Entry, error) {
	file, err := ini.Load(data)
	if err != nil {
		return nil, core.ErrSettings.New("%s: %v", name, err)
	}
	e := &Entry{Regions: make(map[core.FailureDomain]core.Region)}
	var problems []error
	for _, k := range entryKeys {
		value := file.Section(k.section).Key(k.name).MustString(k.defaultValue)
		if !k.set(e, value) {
			problems = append(problems, &Problem{File: name, Section: k.section, Key: k.name, Value: value, Accepts: k.accepts})
		}
	}
	for _, k := range file.Section(regionsSection).Keys() {
		e.Regions[core.FailureDomain(k.Name())] = core.Region(k.String())
	}
	if e.VM.FailureDomain != "" && e.Regions[e.VM.FailureDomain] == "" {
		e.Regions[e.VM.FailureDomain] = e.VM.Region
	}
	if len(problems) > 0 {
		return nil, core.ErrSettings.Wrap(errors.Join(problems...))
	}
	return e, nil
}
