package conf

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

const validEntry = `
[VM]
ID = vm-1
FailureDomain = here
Region = home
[Listen]
Callers = 10.0.0.1:1
Ready = 10.0.0.1:2
Metrics = 10.0.0.1:3
Relay = 10.0.0.1:4
Control = 10.0.0.1:5
[Store]
Address = 10.0.0.2:1
[Promotion]
Address = 10.0.0.3:1
[Targets]
ConfigurationMilliseconds = 5000
[Stop]
GraceSeconds = 4.5
[Regions]
there = away
[Later]
Key = ignored
`

// Guards against misread settings, and against rejecting sections that the platform adds later.
func TestParseEntry(t *testing.T) {
	e, err := ParseEntry("test", []byte(validEntry))
	assert.NilError(t, err)
	assert.Equal(t, e.VM.ID, core.VMID("vm-1"))
	assert.Equal(t, e.Listen.Relay, "10.0.0.1:4")
	assert.Equal(t, e.Grace, 4500*time.Millisecond)
	assert.Equal(t, e.ConfigTarget, 5*time.Second)
	assert.Equal(t, e.DrainTarget, 7*time.Second)
	assert.Equal(t, e.Memory, int64(256<<20))
	assert.Equal(t, e.Descriptors, 0)
	assert.Equal(t, e.Stall, 30*time.Second)
	assert.DeepEqual(t, e.Regions, map[core.FailureDomain]core.Region{"there": "away", "here": "home"})
}

// Guards against accepting invalid settings, and against reporting only the first problem.
func TestParseEntryProblems(t *testing.T) {
	text := strings.Replace(validEntry, "10.0.0.2:1", "nowhere", 1)
	text = strings.Replace(text, "GraceSeconds = 4.5", "GraceSeconds = -1", 1)
	text = strings.Replace(text, "= 5000", "= 0", 1)
	text = strings.Replace(text, "[Later]", "[Limits]\nDescriptors = 10\n[Later]", 1)
	_, err := ParseEntry("test", []byte(text))
	assert.ErrorContains(t, err, "section [Store], key Address")
	assert.ErrorContains(t, err, "section [Targets], key ConfigurationMilliseconds")
	assert.ErrorContains(t, err, "section [Stop], key GraceSeconds")
	assert.ErrorContains(t, err, "section [Limits], key Descriptors")
}

// Guards against a platform template that lacks a required key.
func TestTemplateHasRequiredKeys(t *testing.T) {
	data, err := os.ReadFile("../deploy/entry.ini")
	assert.NilError(t, err)
	for _, k := range entryKeys {
		if k.defaultValue == "" {
			assert.Assert(t, strings.Contains(string(data), "\n"+k.name+" = "), "%s.%s", k.section, k.name)
		}
	}
}

// Guards against a reference that lacks a key, or isn't valid once the required keys are set.
func TestEntryReferenceIsValid(t *testing.T) {
	text := EntryReference()
	for _, k := range entryKeys {
		assert.Assert(t, strings.Contains(text, k.doc), k.name)
		if k.defaultValue != "" {
			continue
		}
		value := "10.0.0.1:1"
		if k.accepts == acceptsName {
			value = "name"
		}
		text = strings.Replace(text, "# "+k.name+" =", k.name+" = "+value, 1)
	}
	_, err := ParseEntry("reference", []byte(text))
	assert.NilError(t, err)
}
