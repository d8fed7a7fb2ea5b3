package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// measure runs the proxy's scheduler under the named surge.
func measure(load workload, name string) surgeReport {
	const window = 20 * time.Second
	seeds := []uint64{1}
	p := surgePolicies()[0]
	base := measureSurge(load, calm(), p, window, seeds, nil)
	for _, sg := range surges() {
		if sg.name == name {
			return measureSurge(load, sg, p, window, seeds, &base)
		}
	}
	return base
}

// Guards against a change of the scheduler that misses the targets of the design page.
func TestSurgeTargets(t *testing.T) {
	for _, load := range workloads() {
		t.Run(load.name, func(t *testing.T) {
			least := measure(load, "least-urgent")
			urgent, middle := least.Ranks[core.RankUrgent], least.Ranks[core.RankMiddle]
			assert.Check(t, urgent.Kept >= 0.99, "urgent kept %.3f", urgent.Kept)
			assert.Check(t, urgent.P99Factor < 1.5, "urgent p99 grew %.2f times", urgent.P99Factor)
			assert.Check(t, middle.Kept >= 0.9, "middle kept %.3f", middle.Kept)
			assert.Check(t, least.UsefulWork >= 0.95, "useful work %.3f", least.UsefulWork)

			most := measure(load, "most-urgent")
			assert.Check(t, most.Ranks[core.RankMiddle].Kept >= 0.95, "middle kept %.3f", most.Ranks[core.RankMiddle].Kept)
			assert.Check(t, most.UsefulWork >= 0.95, "useful work %.3f", most.UsefulWork)

			all := measure(load, "all-and-away")
			assert.Check(t, all.UsefulWork >= 0.95, "useful work %.3f", all.UsefulWork)
			for _, line := range all.Ranks {
				assert.Check(t, line.Offered == line.InTime+line.Late+line.Refused, "%+v", line)
			}
		})
	}
}
