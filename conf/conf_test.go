package conf

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

const validSettings = `
[VM]
ID = galveston-1
FailureDomain = galveston
Region = gulf-west
[Listen]
Callers = 127.0.0.1:6432
Control = 127.0.0.1:6433
Relay = 127.0.0.1:6434
Admin = 127.0.0.1:6435
[Platform]
Address = 127.0.0.1:8500
[Peers]
Seeds = 127.0.0.1:7433, 127.0.0.1:8433
[Upstream berth-1]
Group = berth
Address = 127.0.0.1:5432
FailureDomain = galveston
Region = gulf-west
`

// Guards against omitted keys that don't get their default, and against a misread list of seeds.
func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("vm.ini", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Failover.SuspectAfter, 1200*time.Millisecond)
	assert.Equal(t, s.Upstreams[0].Connections, 20)
	assert.DeepEqual(t, s.Peers.Seeds, []string{"127.0.0.1:7433", "127.0.0.1:8433"})
}

// Guards against error messages that don't tell the operator which key to change and how.
func TestParseNamesEachProblem(t *testing.T) {
	tests := []struct {
		name, from, to string
		want           []string
	}{
		{"missing key", "ID = galveston-1", "", []string{"section [VM], key ID", "want a name"}},
		{"bad address", "127.0.0.1:8500", "platform:8500", []string{"[Platform], key Address", `"platform:8500"`, "IP number"}},
		{"port zero", "127.0.0.1:6432", "127.0.0.1:0", []string{"[Listen], key Callers"}},
		{"unknown key", "[Platform]", "[Platform]\nPort = 1", []string{"[Platform], key Port", "Address, Timeout"}},
		{"unknown section", "[Platform]", "[Storage]\nTimeout = 1s\n[Platform]", []string{"section [Storage]", "Upstream ID"}},
		{"duration out of range", "[Platform]", "[Platform]\nTimeout = 2h", []string{"key Timeout", "from 1ms to 1m0s"}},
		{"negative number", "Group = berth", "Group = berth\nSlots = -1", []string{"[Upstream berth-1], key Slots", "from 1 to 1000"}},
		{"even group", "[Upstream berth-1]", "[Upstream berth-2]\nGroup = berth\nAddress = 127.0.0.1:1\nFailureDomain = g\nRegion = g\n[Upstream berth-1]", []string{"odd number of upstreams"}},
		{"twice the same upstream", "[Upstream berth-1]", "[Upstream berth-1]\nGroup = berth\nAddress = 127.0.0.1:1\nFailureDomain = g\nRegion = g\n[Upstream berth-1]", []string{"each section once"}},
		{"key without certificate", "[Platform]", "[CallerTLS]\nKey = k.pem\n[Platform]", []string{"both Certificate and Key"}},
		{"seed", "127.0.0.1:7433,", "here,", []string{"key Seeds"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("vm.ini", []byte(strings.Replace(validSettings, tt.from, tt.to, 1)))
			assert.Assert(t, err != nil)
			for _, want := range append(tt.want, "vm.ini") {
				assert.Check(t, is.Contains(err.Error(), want))
			}
		})
	}
}

// Guards against a panic on a malformed file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[VM\nID"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Parse("vm.ini", data)
	})
}
