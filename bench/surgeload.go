package main

import (
	"time"

	"snipewall/core"
)

// workKind is one kind of work that a simulated company offers to one upstream. The service times
// are assumptions: indexed point statements take a few milliseconds, month-end statements hundreds.
type workKind struct {
	core.KindPolicy
	// service is the mean of the exponentially distributed service time.
	service time.Duration
	// load is the offered work as a share of the upstream's capacity.
	load float64
	// inTx is the share of the requests that belong to an open transaction.
	inTx float64
}

// workload is a company's work for one upstream.
type workload struct {
	name  string
	slots int
	kinds []workKind
}

// workloads returns both companies, each with 60% of the capacity offered without a surge.
func workloads() []workload {
	return []workload{
		{name: "gulf-berth", slots: 3, kinds: []workKind{
			work("session", core.RankUrgent, 6, 0.25, 0.2, 250, 1000),
			work("lookup", core.RankMiddle, 10, 0.18, 0.1, 500, 2000),
			work("usage", core.RankLast, 15, 0.12, 0, 1000, 3000),
			work("billing", core.RankLast, 400, 0.05, 0, 5000, 30000),
		}},
		{name: "hoang-phat", slots: 2, kinds: []workKind{
			work("book", core.RankUrgent, 8, 0.20, 0.2, 250, 1000),
			work("quote", core.RankMiddle, 12, 0.14, 0, 500, 2000),
			work("reseal", core.RankMiddle, 15, 0.05, 0.2, 500, 2000),
			work("claim", core.RankMiddle, 20, 0.04, 0.2, 500, 2000),
			work("progress", core.RankLast, 20, 0.12, 0, 1000, 3000),
			work("report", core.RankLast, 600, 0.05, 0, 5000, 30000),
		}},
	}
}

func work(kind core.Kind, rank core.Rank, serviceMs int, load, inTx float64, queueMs, deadlineMs int) workKind {
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

// Policy returns the row of a kind.
func (w workload) Policy(kind core.Kind) (core.KindPolicy, bool) {
	for _, k := range w.kinds {
		if k.Kind == kind {
			return k.KindPolicy, true
		}
	}
	return core.KindPolicy{}, false
}

// Kinds returns all rows.
func (w workload) Kinds() []core.KindPolicy {
	var rows []core.KindPolicy
	for _, k := range w.kinds {
		rows = append(rows, k.KindPolicy)
	}
	return rows
}

// surge multiplies the arrivals of some kinds for a while.
type surge struct {
	name string
	// factor returns the multiple of the kind's arrivals.
	factor func(k workKind) float64
	// before is the same for the warm-up.
	before func(k workKind) float64
	// away is how long the upstream is silent in the middle of the surge.
	away time.Duration
}

const (
	surgeFactor = 10
	// longService separates month-end statements from point statements.
	longService = 200 * time.Millisecond
	awayTime    = 2 * time.Second
)

func surges() []surge {
	short := func(k workKind) bool { return k.service < longService }
	times := func(is func(k workKind) bool) func(workKind) float64 {
		return func(k workKind) float64 {
			if is(k) {
				return surgeFactor
			}
			return 1
		}
	}
	least := times(func(k workKind) bool { return k.Rank == core.RankLast && short(k) })
	most := times(func(k workKind) bool { return k.Rank == core.RankUrgent })
	return []surge{
		{name: "least-urgent", factor: least},
		{name: "most-urgent", factor: most},
		// The last rank has used the spare capacity before the urgent rank's surge begins.
		{name: "least-then-most", before: least, factor: func(k workKind) float64 { return max(least(k), most(k)) }},
		{name: "middle-kind", factor: times(func(k workKind) bool { return k.Kind == "lookup" || k.Kind == "quote" })},
		{name: "month-end", factor: times(func(k workKind) bool { return !short(k) })},
		{name: "all-and-away", factor: times(func(workKind) bool { return true }), away: awayTime},
	}
}

// calm is the absence of a surge, to compare with.
func calm() surge { return surge{name: "calm", factor: func(workKind) float64 { return 1 }} }
