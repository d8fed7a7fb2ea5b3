package main

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFill guards against cases that can't be played since the template got a field or a section that the rig has no value for.
func TestFill(t *testing.T) {
	t.Parallel()
	values := map[string]string{"ip": "127.0.0.1", "limits.memoryMb": "284", "bounds.fencingRequired": "true", "bounds.revokeStrict": "false"}
	zones := []string{"south", "north"}
	for _, tc := range []struct{ name, template, want string }{
		{"values", "{{ip}}:9464, {{limits.memoryMb}}, {{bounds.fencingRequired}}", "127.0.0.1:9464, 284, true"},
		{"no value", "<{{limits.maxFds}}{{other.name}}{{ip.0}}>", "<>"},
		{"sections without a value", "<{{#bounds.quotaExcess}}a{{bounds.quotaExcess}}{{/bounds.quotaExcess}}{{#bounds.revokeStrict}}b{{/bounds.revokeStrict}}>", "<>"},
		{"inverted sections", "{{^bounds.quotaExcess}}a{{/bounds.quotaExcess}}{{^bounds.revokeStrict}}b{{/bounds.revokeStrict}}{{^ip}}c{{/ip}}", "ab"},
		{"section of a value", "{{#limits.memoryMb}}<{{.}}>{{/limits.memoryMb}}", "<284>"},
		{"section of a table", "{{#zones}}{{@}} = {{.}}{{,}} {{/zones}}", "north = region-north, south = region-south "},
		{"names in an entry first", "{{#limits}}{{.}} {{ip}}{{/limits}}", "284 127.0.0.1"},
		{"nested sections of one name", "{{#zones}}{{#zones}}{{@}}{{/zones}};{{/zones}}", "northsouth;northsouth;"},
		{"JSON", "{{limits.memoryMb|json}} {{ip|json}} {{limits|json}} {{limits}} {{other|json}}", `284 "127.0.0.1" {"memoryMb":284} {"memoryMb":284} null`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			got, err := fill(tc.template, values, zones)
			assert.NilError(t, err)
			assert.Equal(t, got, tc.want)
		})
	}
	for _, template := range []string{"{{#zones}}{{@}}", "{{@}}{{/zones}}"} {
		_, err := fill(template, values, zones)
		assert.ErrorContains(t, err, "section zones", template)
	}
}

// TestFillDeployTemplate guards against a settings template that the rig can't fill in.
func TestFillDeployTemplate(t *testing.T) {
	t.Parallel()
	template, err := os.ReadFile("../../deploy/entry.ini")
	assert.NilError(t, err)
	got, err := fill(string(template), map[string]string{"nodeName": "edge-north-1", "limits.memoryMb": "284"}, []string{"north"})
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(got, "{{"), got)
	assert.Assert(t, strings.Contains(got, "\nnorth = region-north\n"), got)
	assert.Assert(t, strings.Contains(got, "\nMemoryMegabytes = 284\n"), got)
}
