package main

import (
	"time"

	"snipewall/core"
)

// workKind is a kind of requests in a workload. The service times are assumptions: indexed point statements
// take a few milliseconds, month-end statements hundreds.
type workKind struct {
	core.KindPolicy
	// service is the mean of the exponentially distributed service time.
	service time.Duration
	// load is the offered work as a fraction of the upstream's capacity.
	load float64
	// inTx is the fraction of the requests that belong to an open transaction.
	inTx float64
}

// workload is the load that a company's callers put on an upstream.
type workload struct {
	name  string
	slots int
	kinds []workKind
}

// workloads returns the workloads of both companies. Without a surge, each offers 60% of the capacity.
func workloads() []workload {
	return []workload{
		{name: "gulf-berth", slots: 3, kinds: []workKind{
			newWorkKind("session", core.RankUrgent, 6, 0.25, 0.2, 250, 1000),
			newWorkKind("lookup", core.RankMiddle, 10, 0.18, 0.1, 500, 2000),
			newWorkKind("usage", core.RankLast, 15, 0.12, 0, 1000, 3000),
			newWorkKind("billing", core.RankLast, 400, 0.05, 0, 5000, 30000),
		}},
		{name: "hoang-phat", slots: 2, kinds: []workKind{
			newWorkKind("book", core.RankUrgent, 8, 0.20, 0.2, 250, 1000),
			newWorkKind("quote", core.RankMiddle, 12, 0.14, 0, 500, 2000),
			newWorkKind("reseal", core.RankMiddle, 15, 0.05, 0.2, 500, 2000),
			newWorkKind("claim", core.RankMiddle, 20, 0.04, 0.2, 500, 2000),
			newWorkKind("progress", core.RankLast, 20, 0.12, 0, 1000, 3000),
			newWorkKind("report", core.RankLast, 600, 0.05, 0, 5000, 30000),
		}},
	}
}

func newWorkKind(kind core.Kind, rank core.Rank, serviceMs int, load, inTx float64, queueMs, deadlineMs int) workKind {
	return workKind{
		KindPolicy: core.KindPolicy{
			Kind: kind, Rank: rank, Weight: 1,
			QueueTime: time.Duration(queueMs) * time.Millisecond,
			Deadline:  time.Duration(deadlineMs) * time.Millisecond,
		},
		service: time.Duration(serviceMs) * time.Millisecond,
		load:    load,
		inTx:    inTx,
	}
}

// Policy returns the policy of a kind, as the operators' table does.
func (w workload) Policy(kind core.Kind) (core.KindPolicy, bool) {
	for _, k := range w.kinds {
		if k.Kind == kind {
			return k.KindPolicy, true
		}
	}
	return core.KindPolicy{}, false
}

// Kinds returns the policies of all kinds.
func (w workload) Kinds() []core.KindPolicy {
	var rows []core.KindPolicy
	for _, k := range w.kinds {
		rows = append(rows, k.KindPolicy)
	}
	return rows
}

// surge multiplies the arrival rates of some kinds in the measured window.
type surge struct {
	name string
	// factor returns the factor of the kind's arrival rate.
	factor func(k workKind) float64
	// warmUpFactor is the same for the warm-up. Nil means 1.
	warmUpFactor func(k workKind) float64
	// outage is how long the upstream makes no progress in the middle of the surge.
	outage time.Duration
}

const (
	surgeFactor = 10
	// longServiceTime is the shortest mean service time of month-end statements.
	longServiceTime = 200 * time.Millisecond
	outageTime      = 2 * time.Second
)

func surges() []surge {
	short := func(k workKind) bool { return k.service < longServiceTime }
	surgeIf := func(matches func(k workKind) bool) func(workKind) float64 {
		return func(k workKind) float64 {
			if matches(k) {
				return surgeFactor
			}
			return 1
		}
	}
	least := surgeIf(func(k workKind) bool { return k.Rank == core.RankLast && short(k) })
	most := surgeIf(func(k workKind) bool { return k.Rank == core.RankUrgent })
	return []surge{
		{name: "least-urgent", factor: least},
		{name: "most-urgent", factor: most},
		// The last rank already uses the spare capacity when the urgent rank's surge begins.
		{name: "least-then-most", warmUpFactor: least, factor: func(k workKind) float64 { return max(least(k), most(k)) }},
		{name: "middle-kind", factor: surgeIf(func(k workKind) bool { return k.Kind == "lookup" || k.Kind == "quote" })},
		{name: "month-end", factor: surgeIf(func(k workKind) bool { return !short(k) })},
		{name: "all-and-away", factor: surgeIf(func(workKind) bool { return true }), outage: outageTime},
	}
}

// noSurge is the baseline, with factor 1 for all kinds.
func noSurge() surge { return surge{name: "calm", factor: func(workKind) float64 { return 1 }} }
