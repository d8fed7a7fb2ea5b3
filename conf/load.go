package conf

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"snipewall/core"
)

// upstreamPrefix is the prefix of the names of the upstreams' sections; the upstream's id follows.
const upstreamPrefix = "Upstream "

// Problem is an error in a settings file. Key is empty if it concerns a whole section.
type Problem struct {
	File, Section, Key, Value string
	// Accepts describes the valid values.
	Accepts string
}

func (p *Problem) Error() string {
	where := fmt.Sprintf("%s: section [%s]", p.File, p.Section)
	if p.Key != "" {
		where += ", key " + p.Key
	}
	return fmt.Sprintf("%s: got %q, want %s", where, p.Value, p.Accepts)
}

// Load reads and validates the file. The error joins all problems found, as *Problem.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, core.ErrSettings.Wrap(err)
	}
	return Parse(path, data)
}

// Parse parses and validates the content of a settings file. The name is used in messages only. Unlike
// ParseEntry, it rejects unknown sections and keys.
func Parse(name string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true, SkipUnrecognizableLines: false}, data)
	if err != nil {
		return nil, core.ErrSettings.New("%s: %v", name, err)
	}
	l := &loader{name: name, file: file, settings: &Settings{}}
	l.checkNames()
	l.readKeys()
	l.readUpstreams()
	l.checkCombinations()
	if len(l.problems) > 0 {
		return nil, core.ErrSettings.Wrap(errors.Join(l.problems...))
	}
	return l.settings, nil
}

// loader parses a file and collects its problems.
type loader struct {
	name     string
	file     *ini.File
	settings *Settings
	problems []error
}

func (l *loader) addProblem(section, key, value, accepts string) {
	l.problems = append(l.problems, &Problem{File: l.name, Section: section, Key: key, Value: value, Accepts: accepts})
}

// checkNames reports unknown sections and keys, and duplicate sections.
func (l *loader) checkNames() {
	known := make(map[string][]string)
	for _, k := range keys {
		known[k.section] = append(known[k.section], k.name)
	}
	var upstream []string
	for _, k := range upstreamKeys {
		upstream = append(upstream, k.name)
	}
	seen := make(map[string]bool)
	for _, section := range l.file.Sections() {
		name := section.Name()
		names, ok := known[name]
		if strings.HasPrefix(name, upstreamPrefix) {
			names, ok = upstream, true
		}
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !ok {
			l.addProblem(name, "", name, "one of "+sectionNames())
			continue
		}
		if seen[name] {
			l.addProblem(name, "", name, "each section once")
		}
		seen[name] = true
		for _, k := range section.Keys() {
			if !slices.Contains(names, k.Name()) {
				l.addProblem(name, k.Name(), k.Name(), "one of the keys "+strings.Join(names, ", "))
			}
		}
	}
}

func sectionNames() string {
	var names []string
	for _, k := range keys {
		if !slices.Contains(names, k.section) {
			names = append(names, k.section)
		}
	}
	return strings.Join(names, ", ") + ", " + upstreamPrefix + "ID"
}

func (l *loader) readKeys() {
	for _, k := range keys {
		value := k.defaultValue
		if section, err := l.file.GetSection(k.section); err == nil && section.HasKey(k.name) {
			value = section.Key(k.name).String()
		}
		if value == "" && !k.required {
			continue
		}
		if !k.set(l.settings, value) {
			l.addProblem(k.section, k.name, value, k.accepts)
		}
	}
}

func (l *loader) readUpstreams() {
	for _, section := range l.file.Sections() {
		id, ok := strings.CutPrefix(section.Name(), upstreamPrefix)
		if !ok {
			continue
		}
		var u core.UpstreamInfo
		if !setName((*string)(&u.ID), id) {
			l.addProblem(section.Name(), "", id, acceptsName)
		}
		for _, k := range upstreamKeys {
			value := k.defaultValue
			if section.HasKey(k.name) {
				value = section.Key(k.name).String()
			}
			if !k.set(&u, value) {
				l.addProblem(section.Name(), k.name, value, k.accepts)
			}
		}
		l.settings.Upstreams = append(l.settings.Upstreams, u)
	}
}

// checkCombinations reports values that are valid by themselves but not together.
func (l *loader) checkCombinations() {
	s := l.settings
	if len(s.Upstreams) == 0 {
		l.addProblem(upstreamPrefix+"ID", "", "", "at least one upstream")
	}
	addresses := make(map[string]core.UpstreamID)
	groups := make(map[core.GroupID]int)
	for _, u := range s.Upstreams {
		if other, ok := addresses[u.Address]; ok && u.Address != "" {
			l.addProblem(upstreamPrefix+string(u.ID), "Address", u.Address, "an address of its own; upstream "+string(other)+" has this one")
		}
		addresses[u.Address] = u.ID
		groups[u.Group]++
	}
	for _, u := range s.Upstreams {
		if n := groups[u.Group]; n%2 == 0 {
			l.addProblem(upstreamPrefix+string(u.ID), "Group", string(u.Group), fmt.Sprintf("a group with an odd number of upstreams, this one has %d", n))
		}
	}
	if (s.CallerTLS.Certificate == "") != (s.CallerTLS.Key == "") {
		l.addProblem("CallerTLS", "Key", s.CallerTLS.Key, "both Certificate and Key, or none")
	}
	if s.CallerTLS.Required && s.CallerTLS.Certificate == "" {
		l.addProblem("CallerTLS", "Required", "true", "false as long as there is no Certificate")
	}
	if s.Failover.PollInterval*3 > s.Failover.SuspectAfter {
		l.addProblem("Failover", "SuspectAfter", s.Failover.SuspectAfter.String(), "at least three times PollInterval")
	}
}

// Reference documents all keys with their defaults, as an INI file.
func Reference() string {
	var b strings.Builder
	section := ""
	for _, k := range keys {
		if k.section != section {
			section = k.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		writeKey(&b, k.doc, k.accepts, k.name, k.defaultValue, k.required)
	}
	fmt.Fprintf(&b, "[%sID]\n", upstreamPrefix)
	for _, k := range upstreamKeys {
		writeKey(&b, k.doc, k.accepts, k.name, k.defaultValue, k.required)
	}
	return b.String()
}

func writeKey(b *strings.Builder, doc, accepts, name, defaultValue string, required bool) {
	if required {
		fmt.Fprintf(b, "# %s Accepts %s. Required.\n# %s =\n\n", doc, accepts, name)
		return
	}
	fmt.Fprintf(b, "# %s Accepts %s.\n%s = %s\n\n", doc, accepts, name, defaultValue)
}
