package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against acknowledgments by an isolated primary that has not detected its replacement, and against
// an old primary that does not rejoin as a replica after the partition.
func TestIsolatedPrimary(t *testing.T) {
	tests := []struct {
		name string
		// directions are the directions in which the traffic between the primary and entry VMs is held back.
		directions []int
		// fault is the value of the fault "cut" of the primary's simulator.
		fault string
		// withDomain is set if the entry VMs in the primary's failure domain are isolated together with it.
		withDomain  bool
		repetitions int
		// platform is the name of a fault of the platform during the partition, value its value.
		platform, value string
		// primaryStays is set if the replicas still receive the primary's heartbeats, which delays its
		// replacement by 5 s. The partition lasts longer.
		primaryStays bool
	}{
		{name: "from other failure domains", directions: []int{toUpstream, fromUpstream}, fault: "upstreams", repetitions: 1},
		{name: "with its failure domain, platform down", directions: []int{toUpstream, fromUpstream}, fault: "upstreams", withDomain: true, repetitions: 1, platform: "down", value: "true"},
		{name: "answers only", directions: []int{fromUpstream}, fault: "upstreams:out", repetitions: 1},
		{name: "requests only, platform slow", directions: []int{toUpstream}, fault: "upstreams:in", repetitions: 1, platform: "slow", value: "3s", primaryStays: true},
		{name: "twice in a row", directions: []int{toUpstream, fromUpstream}, fault: "upstreams", repetitions: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := options{vms: 4, links: true}.start(t)
			mustExec(t, c.connect(c.vms[0]), "create table sessions (id int8, berth int8)")
			writers := runWriters(t, c, func() {
				time.Sleep(time.Second)
				if tt.platform != "" {
					c.platformFault(tt.platform, tt.value)
				}
				for range tt.repetitions {
					old := mustPrimaryByStatus(t, c)
					c.isolate(old, tt.withDomain, tt.fault, tt.directions)
					time.Sleep(2500 * time.Millisecond)
					c.mustWriteOutside(old)
					time.Sleep(1500 * time.Millisecond)
					if tt.primaryStays {
						time.Sleep(3 * time.Second)
					}
					c.fault(old, "cut", "off")
					for _, row := range c.links {
						for _, link := range row {
							link.heal()
						}
					}
					c.awaitReplication()
					if !tt.primaryStays {
						assert.Assert(t, mustPrimaryByStatus(t, c) != old, "the isolated primary was not replaced")
					}
				}
				time.Sleep(500 * time.Millisecond)
			})
			conn := c.connect(c.vms[3], "session", "checker")
			for _, w := range writers {
				w.check(t, conn)
				assert.Assert(t, time.Since(w.lastAck) < 3*time.Second, "writes did not go on at %s", w.session)
				assert.Assert(t, w.longestGap < failoverLimit)
			}
		})
	}
}

// isolate partitions an upstream from the other upstreams and from the entry VMs outside of its failure
// domain. If withDomain is set, it partitions the entry VMs in its domain from the other upstreams as well.
func (c *cluster) isolate(i int, withDomain bool, fault string, directions []int) {
	c.fault(i, "cut", fault)
	for n, vm := range c.vms {
		if vm.domain != fmt.Sprintf("domain-%d", i+1) {
			c.links[n][i].cut(directions...)
			continue
		}
		for j := range c.upstreams {
			if withDomain && j != i {
				c.links[n][j].cut(directions...)
			}
		}
	}
}

// primaryByStatus returns the index of the upstream that reports the role of primary in the highest term.
func (c *cluster) primaryByStatus() (int, error) {
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

func mustPrimaryByStatus(t *testing.T, c *cluster) int {
	t.Helper()
	var primary int
	c.eventually(startTimeout, func() (err error) {
		primary, err = c.primaryByStatus()
		return err
	})
	return primary
}

// mustWriteOutside fails the test unless a write succeeds at each entry VM outside of the upstream's
// failure domain.
func (c *cluster) mustWriteOutside(i int) {
	c.t.Helper()
	for _, vm := range c.vms {
		if vm.domain == fmt.Sprintf("domain-%d", i+1) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := c.connect(vm).Exec(ctx, "insert into sessions (id, berth) values (0, 0)")
		cancel()
		assert.NilError(c.t, err, "%s during the partition", vm.id)
	}
	mustExec(c.t, c.connect(c.vms[0]), "delete from sessions where id = 0")
}

// awaitReplication waits until one upstream is primary and the others are replicas that receive its
// heartbeats and have the log of its term.
func (c *cluster) awaitReplication() {
	c.t.Helper()
	start := time.Now()
	c.eventually(10*time.Second, func() error {
		primary, err := c.primaryByStatus()
		if err != nil {
			return err
		}
		target := c.stats(primary).Status
		for i := range c.upstreams {
			s := c.stats(i).Status
			if i != primary && (s.Role != core.RoleReplica || s.Heard < 0 || s.Heard > time.Second || s.Log.Term != target.Log.Term) {
				return fmt.Errorf("%s does not follow %s: %+v, %+v", upstreamID(i), upstreamID(primary), s, target)
			}
		}
		return nil
	})
	c.t.Logf("all replicas follow the primary after %v", time.Since(start).Round(10*time.Millisecond))
}

// Guards against replacing a primary because it is slow for less than 1 s at a time.
func TestSlowPrimaryNotReplaced(t *testing.T) {
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
