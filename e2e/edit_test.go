package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// editLimit is the specified time within which an accepted edit is in force on all entry VMs.
const editLimit = 7 * time.Second

// version returns the table version that is in force on an entry VM.
func (c *cluster) version(vm entryVM) (int, error) {
	var status struct{ TableVersion int }
	err := c.get("http://"+vm.admin+"/status", &status)
	return status.TableVersion, err
}

// awaitVersion waits until the version is in force on the entry VMs, for at most editLimit.
func (c *cluster) awaitVersion(version int, vms ...entryVM) {
	c.t.Helper()
	c.eventually(editLimit, func() error {
		for _, vm := range vms {
			got, err := c.version(vm)
			if err != nil {
				return err
			}
			if got != version {
				return fmt.Errorf("%s has version %d instead of %d", vm.id, got, version)
			}
		}
		return nil
	})
}

// edit applies an edit that changes the weight of the kind "relaxed".
func (c *cluster) edit(weight int, wait string) (string, int) {
	c.t.Helper()
	csv, code := c.run("", "table", "show", "--settings", c.vms[0].settings)
	assert.Equal(c.t, code, 0, csv)
	lines := strings.Split(csv, "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "relaxed,") {
			fields := strings.Split(line, ",")
			fields[2] = fmt.Sprint(weight)
			lines[i] = strings.Join(fields, ",")
		}
	}
	return c.run(strings.Join(lines, "\n"), "table", "apply", "--settings", c.vms[0].settings, "--wait", wait, "-")
}

// Guards against an edit that is reported as failed or applied twice because the store's answer was lost.
func TestEditWithLostAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	for version := 2; version <= 4; version++ {
		c.platformFault("lost", "1")
		out, code := c.edit(version, "7s")
		assert.Equal(t, code, 0, out)
		c.awaitVersion(version, c.vms...)
	}
	c.platformFault("slow", "500ms")
	out, code := c.edit(50, "7s")
	assert.Equal(t, code, 0, out)
	// The report has one line for the version, one for the change and one for the entry VMs.
	assert.Equal(t, strings.Count(out, "\n"), 3, out)
	assert.Assert(t, strings.Contains(out, "\nin force on all 3 entry VMs"), out)
	c.awaitVersion(5, c.vms...)
}

// Guards against an entry VM that keeps an outdated table after it was suspended, or reverts to one.
func TestEditWhileFrozen(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4)
	c.awaitVersion(1, c.vms...)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var watching sync.WaitGroup
	for _, vm := range c.vms {
		watching.Go(func() {
			for highest := 0; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
				version, err := c.version(vm)
				if err == nil && version < highest {
					t.Errorf("%s reverted from version %d to %d", vm.id, highest, version)
				}
				highest = max(highest, version)
			}
		})
	}
	frozen := c.vms[2]
	c.procs[frozen.id].signal(t, syscall.SIGSTOP)
	out, code := c.edit(2, "0s")
	assert.Equal(t, code, 0, out)
	c.awaitVersion(2, c.vms[0], c.vms[1], c.vms[3])
	// With the platform down, the resumed entry VM can learn of the new version from its peers only.
	c.platformFault("down", "true")
	time.Sleep(2 * time.Second)
	c.procs[frozen.id].signal(t, syscall.SIGCONT)
	start := time.Now()
	c.awaitVersion(2, c.vms...)
	t.Logf("in force %v after the process was resumed", time.Since(start).Round(10*time.Millisecond))
	// A platform whose reads lag must not make an entry VM revert to an older version.
	c.platformFault("stale", "2s")
	c.platformFault("down", "false")
	time.Sleep(3 * time.Second)
	c.platformFault("stale", "0")
	out, code = c.edit(3, "7s")
	assert.Equal(t, code, 0, out)
	c.awaitVersion(3, c.vms...)
	cancel()
	watching.Wait()
}
