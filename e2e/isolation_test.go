package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against acknowledgments by a primary that is cut off but still believes that it leads, and
// against an old primary that does not rejoin by itself after the cut.
func TestIsolatedPrimary(t *testing.T) {
	tests := []struct {
		name   string
		ways   []int
		fault  string
		domain bool
		times  int
		// platform is a fault of the platform during the cut.
		platform, value string
		// stays tells that the replicas still hear from the primary, which delays its replacement
		// by 5 s. The cut lasts longer.
		stays bool
	}{
		{name: "from other failure domains", ways: []int{toUpstream, fromUpstream}, fault: "upstreams", times: 1},
		{name: "with its failure domain, platform down", ways: []int{toUpstream, fromUpstream}, fault: "upstreams", domain: true, times: 1, platform: "down", value: "true"},
		{name: "answers only", ways: []int{fromUpstream}, fault: "upstreams:out", times: 1},
		{name: "requests only, platform slow", ways: []int{toUpstream}, fault: "upstreams:in", times: 1, platform: "slow", value: "3s", stays: true},
		{name: "twice in a row", ways: []int{toUpstream, fromUpstream}, fault: "upstreams", times: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := options{vms: 4, wires: true}.start(t)
			mustExec(t, c.connect(c.vms[0]), "create table sessions (id int8, berth int8)")
			writers := runWriters(t, c, func() {
				time.Sleep(time.Second)
				if tt.platform != "" {
					c.platformFault(tt.platform, tt.value)
				}
				for range tt.times {
					old := mustLeader(t, c)
					c.isolate(old, tt.domain, tt.fault, tt.ways)
					time.Sleep(2500 * time.Millisecond)
					c.probeOutside(old)
					time.Sleep(1500 * time.Millisecond)
					if tt.stays {
						time.Sleep(3 * time.Second)
					}
					c.fault(old, "cut", "off")
					for _, row := range c.wires {
						for _, w := range row {
							w.heal()
						}
					}
					c.awaitWhole()
					if !tt.stays {
						assert.Assert(t, mustLeader(t, c) != old, "the isolated primary was not replaced")
					}
				}
				time.Sleep(500 * time.Millisecond)
			})
			conn := c.connect(c.vms[3], "session", "checker")
			for _, w := range writers {
				w.check(t, conn)
				assert.Assert(t, time.Since(w.lastAck) < 3*time.Second, "writes did not go on at %s", w.session)
				assert.Assert(t, w.longest < failoverLimit)
			}
		})
	}
}

// isolate cuts an upstream off from the other upstreams and from the entry VMs outside of its
// failure domain; with its domain, also the entry VMs in its domain from the other upstreams.
func (c *cluster) isolate(i int, domain bool, fault string, ways []int) {
	c.fault(i, "cut", fault)
	for n, vm := range c.vms {
		if vm.domain != fmt.Sprintf("domain-%d", i+1) {
			c.wires[n][i].cut(ways...)
			continue
		}
		for j := range c.upstreams {
			if domain && j != i {
				c.wires[n][j].cut(ways...)
			}
		}
	}
}

// leader returns the upstream that says that it is the primary, of the highest term.
func (c *cluster) leader() (int, error) {
	best, term := -1, core.Term(0)
	for i := range c.upstreams {
		s := c.stats(i).Status
		if s.Role == core.RolePrimary && s.Promised > term {
			best, term = i, s.Promised
		}
	}
	if best < 0 {
		return 0, fmt.Errorf("no upstream is primary")
	}
	return best, nil
}

func mustLeader(t *testing.T, c *cluster) int {
	t.Helper()
	var leader int
	c.eventually(startTimeout, func() (err error) {
		leader, err = c.leader()
		return err
	})
	return leader
}

// probeOutside expects a write to succeed at each entry VM outside of the upstream's failure domain.
func (c *cluster) probeOutside(i int) {
	c.t.Helper()
	for _, vm := range c.vms {
		if vm.domain == fmt.Sprintf("domain-%d", i+1) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := c.connect(vm).Exec(ctx, "insert into sessions (id, berth) values (0, 0)")
		cancel()
		assert.NilError(c.t, err, "%s during the cut", vm.id)
	}
	mustExec(c.t, c.connect(c.vms[0]), "delete from sessions where id = 0")
}

// awaitWhole waits until one upstream is primary and the others are replicas that hear from it and
// have its term's log.
func (c *cluster) awaitWhole() {
	c.t.Helper()
	start := time.Now()
	c.eventually(10*time.Second, func() error {
		leader, err := c.leader()
		if err != nil {
			return err
		}
		target := c.stats(leader).Status
		for i := range c.upstreams {
			s := c.stats(i).Status
			if i != leader && (s.Role != core.RoleReplica || s.Heard < 0 || s.Heard > time.Second || s.Log.Term != target.Log.Term) {
				return fmt.Errorf("%s does not follow %s: %+v, %+v", upstreamID(i), upstreamID(leader), s, target)
			}
		}
		return nil
	})
	c.t.Logf("the group is whole after %v", time.Since(start).Round(10*time.Millisecond))
}

// Guards against a change of primary because of slow spells that are shorter than 1 s.
func TestSlowPrimaryStays(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, "--service-time", "3ms", "--control-time", "10ms", "--delay", "1ms")
	mustExec(t, c.connect(c.vms[0]), "create table sessions (id int8, berth int8)")
	before := c.stats(0).Status
	writers := runWriters(t, c, func() {
		time.Sleep(time.Second)
		for range 5 {
			c.fault(0, "slow", "10@900ms")
			time.Sleep(1300 * time.Millisecond)
		}
	})
	after := c.stats(0).Status
	assert.Equal(t, after.Role, core.RolePrimary)
	assert.Equal(t, after.Promised, before.Promised, "the term was raised")
	for _, w := range writers {
		w.check(t, c.connect(c.vms[1], "session", "checker"))
		assert.Assert(t, len(w.acknowledged) > 20, "%d writes", len(w.acknowledged))
	}
}
