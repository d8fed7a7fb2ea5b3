package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// measureByName runs the production scheduler under the named surge, or under none if there is no such
// surge.
func measureByName(load workload, name string) surgeReport {
	const window = 20 * time.Second
	seeds := []uint64{1}
	p := surgePolicies()[0]
	base := measureSurge(load, noSurge(), p, window, seeds, nil)
	for _, sg := range surges() {
		if sg.name == name {
			return measureSurge(load, sg, p, window, seeds, &base)
		}
	}
	return base
}

// Guards against changes of the scheduler that miss its design targets under surges.
func TestSurgeTargets(t *testing.T) {
	for _, load := range workloads() {
		t.Run(load.name, func(t *testing.T) {
			least := measureByName(load, "least-urgent")
			urgent, middle := least.Ranks[core.RankUrgent], least.Ranks[core.RankMiddle]
			assert.Check(t, urgent.Kept >= 0.99, "urgent kept %.3f", urgent.Kept)
			assert.Check(t, urgent.P99Factor < 1.5, "urgent p99 grew %.2f times", urgent.P99Factor)
			assert.Check(t, middle.Kept >= 0.9, "middle kept %.3f", middle.Kept)
			assert.Check(t, least.UsefulWork >= 0.95, "useful work %.3f", least.UsefulWork)

			most := measureByName(load, "most-urgent")
			assert.Check(t, most.Ranks[core.RankMiddle].Kept >= 0.95, "middle kept %.3f", most.Ranks[core.RankMiddle].Kept)
			assert.Check(t, most.UsefulWork >= 0.95, "useful work %.3f", most.UsefulWork)

			all := measureByName(load, "all-and-away")
			assert.Check(t, all.UsefulWork >= 0.95, "useful work %.3f", all.UsefulWork)
			for _, line := range all.Ranks {
				assert.Check(t, line.Offered == line.InTime+line.Late+line.Refused, "%+v", line)
			}
		})
	}
}
