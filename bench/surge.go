package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"snipewall/core"
	"snipewall/core/queue"
)

// surgePolicy is a scheduler to compare.
type surgePolicy struct {
	name  string
	build func(queue.Config) queue.Scheduler
}

func surgePolicies() []surgePolicy {
	return []surgePolicy{
		{"shares", func(cfg queue.Config) queue.Scheduler { return queue.NewShares(cfg) }},
		{"fcfs", func(cfg queue.Config) queue.Scheduler { return queue.NewFCFS(cfg) }},
		{"strict", func(cfg queue.Config) queue.Scheduler { return queue.NewStrictPriority(cfg) }},
		{"equal", func(cfg queue.Config) queue.Scheduler { return queue.NewEqualShares(cfg) }},
	}
}

// surgeReport is the result of a workload under a surge and a policy.
type surgeReport struct {
	Company, Surge, Policy string
	Seeds                  []uint64
	// OfferedWork is the service time of all requests, UsefulWork that of the requests answered before
	// their deadline, both as fractions of the capacity.
	OfferedWork, UsefulWork float64
	Ranks                   []surgeLine
	Kinds                   []surgeLine
}

// surgeLine holds the results of a rank or kind.
type surgeLine struct {
	Name                           string
	Offered, InTime, Late, Refused int64
	P50Ms, P99Ms                   float64
	// RefusedP50Ms and RefusedP90Ms are quantiles of the time from the arrival of a request to its refusal.
	RefusedP50Ms, RefusedP90Ms float64
	// TxWaitP99Ms is the p99 queueing time of statements in open transactions.
	TxWaitP99Ms float64
	// Kept is the number of answers in time, as a fraction of that without a surge.
	Kept float64
	// P99Factor is the p99 as a multiple of that without a surge.
	P99Factor float64
}

func surgeCommand() *cli.Command {
	return &cli.Command{
		Name:  "surge",
		Usage: "compares the schedulers of the admission queue under surges, on virtual time",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Value: time.Minute, Usage: "simulated duration of a surge"},
			&cli.Uint64SliceFlag{Name: "seed", Value: []uint64{1, 2, 3}, Usage: "seeds of the arrivals"},
			&cli.StringFlag{Name: "policy", Usage: "only this policy"},
			&cli.BoolFlag{Name: "kinds", Usage: "print a line for each kind as well"},
			&cli.StringFlag{Name: "json", Usage: "file for the JSON report, - for standard output"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			reports := runSurges(c.String("policy"), c.Duration("window"), c.Uint64Slice("seed"))
			if err := printSurges(os.Stdout, reports, c.Bool("kinds")); err != nil {
				return err
			}
			return writeSurges(c.String("json"), reports)
		},
	}
}

// runSurges measures all combinations of workloads, surges and policies, or those of one policy.
func runSurges(only string, window time.Duration, seeds []uint64) []surgeReport {
	var reports []surgeReport
	for _, load := range workloads() {
		for _, p := range surgePolicies() {
			if only != "" && only != p.name {
				continue
			}
			base := measureSurge(load, noSurge(), p, window, seeds, nil)
			reports = append(reports, base)
			for _, sg := range surges() {
				reports = append(reports, measureSurge(load, sg, p, window, seeds, &base))
			}
		}
	}
	return reports
}

// measureSurge simulates a workload under a surge with each seed. base is the report without a surge to
// compare with, or nil.
func measureSurge(load workload, sg surge, p surgePolicy, window time.Duration, seeds []uint64, base *surgeReport) surgeReport {
	report := surgeReport{Company: load.name, Surge: sg.name, Policy: p.name, Seeds: seeds}
	byKind := make(map[core.Kind]*kindStats)
	for _, seed := range seeds {
		stats, offered, useful := simulate(load, sg, p.build, window, seed)
		report.OfferedWork += offered / float64(len(seeds))
		report.UsefulWork += useful / float64(len(seeds))
		for kind, st := range stats {
			if byKind[kind] == nil {
				byKind[kind] = newKindStats()
			}
			byKind[kind].merge(st)
		}
	}
	for r := range core.Rank(core.RankCount) {
		sum := newKindStats()
		for _, k := range load.kinds {
			if k.Rank == r {
				sum.merge(byKind[k.Kind])
			}
		}
		report.Ranks = append(report.Ranks, newSurgeLine(r.String(), sum))
	}
	for _, k := range load.kinds {
		report.Kinds = append(report.Kinds, newSurgeLine(string(k.Kind), byKind[k.Kind]))
	}
	if base != nil {
		compareLines(report.Ranks, base.Ranks)
		compareLines(report.Kinds, base.Kinds)
	}
	return report
}

func newSurgeLine(name string, st *kindStats) surgeLine {
	const perMs = 1000
	return surgeLine{
		Name: name, Offered: st.offered, InTime: st.inTime, Late: st.late, Refused: st.refused,
		P50Ms:        float64(st.latency.ValueAtQuantile(50)) / perMs,
		P99Ms:        float64(st.latency.ValueAtQuantile(99)) / perMs,
		RefusedP50Ms: float64(st.refusal.ValueAtQuantile(50)) / perMs,
		RefusedP90Ms: float64(st.refusal.ValueAtQuantile(90)) / perMs,
		TxWaitP99Ms:  float64(st.txWait.ValueAtQuantile(99)) / perMs,
		Kept:         1, P99Factor: 1,
	}
}

func compareLines(lines, base []surgeLine) {
	for i := range lines {
		lines[i].Kept = float64(lines[i].InTime) / float64(max(base[i].InTime, 1))
		lines[i].P99Factor = lines[i].P99Ms / max(base[i].P99Ms, 1e-3)
	}
}

// printSurges writes the reports as a table.
func printSurges(out io.Writer, reports []surgeReport, kinds bool) error {
	// The tabwriter buffers the output, so that Flush returns the errors.
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "Company\tSurge\tPolicy\tName\tOffered\tInTime\tLate\tRefused\tP50Ms\tP99Ms\tRefusedP50Ms\tRefusedP90Ms\tTxWaitP99Ms\tKept%\tP99x\tAsked%\tUseful%\t")
	for _, r := range reports {
		lines := r.Ranks
		if kinds {
			lines = append(append([]surgeLine(nil), lines...), r.Kinds...)
		}
		for _, l := range lines {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.1f\t%.1f\t\n",
				r.Company, r.Surge, r.Policy, l.Name, l.Offered, l.InTime, l.Late, l.Refused,
				l.P50Ms, l.P99Ms, l.RefusedP50Ms, l.RefusedP90Ms, l.TxWaitP99Ms, 100*l.Kept, l.P99Factor, 100*r.OfferedWork, 100*r.UsefulWork)
		}
	}
	if len(reports) > 0 {
		_, _ = fmt.Fprintf(w, "seeds %v\n", reports[0].Seeds)
	}
	return w.Flush()
}

// writeSurges writes the reports as JSON to the file, to the standard output for "-", or nowhere for "".
func writeSurges(path string, reports []surgeReport) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	if path == "-" {
		_, err = os.Stdout.Write(append(data, '\n'))
		return err
	}
	const mode = 0o644
	return os.WriteFile(path, append(data, '\n'), mode)
}
