package e2e

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against examples with invalid settings or tables, and against address conflicts in a deployment.
func TestExamples(t *testing.T) {
	t.Parallel()
	bin, err := buildOnce()
	assert.NilError(t, err)
	c := &cluster{t: t, bin: bin}
	for _, deployment := range []string{"gulf-berth", "hoang-phat"} {
		t.Run(deployment, func(t *testing.T) {
			dir := filepath.Join("..", "examples", deployment)
			files, err := filepath.Glob(filepath.Join(dir, "*.ini"))
			assert.NilError(t, err)
			assert.Equal(t, len(files), 6)
			out, code := c.run("", append([]string{"settings", "check"}, files...)...)
			assert.Equal(t, code, 0, out)
			out, code = c.run("", "table", "check", filepath.Join(dir, "table.csv"))
			assert.Equal(t, code, 0, out)
			table, err := os.ReadFile(filepath.Join(dir, "table.csv"))
			assert.NilError(t, err)
			checkEntryVMs(t, files, string(table))
		})
	}
}

// checkEntryVMs fails the test unless all addresses differ, all entry VMs have the same upstreams, and
// their default kinds are in the table.
func checkEntryVMs(t *testing.T, files []string, table string) {
	t.Helper()
	owner := make(map[string]string)
	upstreams := ""
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		text := string(data)
		_, listen, _ := strings.Cut(text, "[Listen]")
		listen, _, _ = strings.Cut(listen, "[")
		for line := range strings.Lines(listen) {
			if _, address, ok := strings.Cut(strings.TrimSpace(line), " = "); ok {
				assert.Equal(t, owner[address], "", "%s of %s", address, file)
				owner[address] = file
			}
		}
		_, kind, _ := strings.Cut(text, "DefaultKind = ")
		kind, _, _ = strings.Cut(kind, "\n")
		assert.Assert(t, strings.Contains(table, "\n"+kind+","), "%s: no kind %q", file, kind)
		at := strings.Index(text, "[Upstream ")
		assert.Assert(t, at >= 0)
		assert.Assert(t, upstreams == "" || upstreams == text[at:], "%s has other upstreams", file)
		upstreams = text[at:]
	}
	assert.Equal(t, len(owner), 4*len(files))
}
