package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/urfave/cli/v3"
)

const (
	// latencyTime and rateTime are the durations of the latency and of the throughput measurement.
	latencyTime = 3 * time.Second
	rateTime    = 4 * time.Second
	// overheadWarmUp is the time before each measurement whose results are discarded.
	overheadWarmUp = 500 * time.Millisecond
	// maxLatency is the upper bound of the histograms.
	maxLatency = 10 * time.Second
	// clockTick is the unit of CPU times in /proc: 1/USER_HZ, which is 1/100 s on Linux.
	clockTick = 10 * time.Millisecond
	// overheadSQL is the simple statement that is measured.
	overheadSQL = "select captain from berths where id = 1"
)

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "measure the overhead of each path to the upstream for a simple statement",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "`NAME=HOST:PORT=PID+PID` of a path to the upstream and of its processes; the first is the direct connection", Required: true},
			&cli.StringFlag{Name: "database", Usage: "group to use", Required: true},
			&cli.IntFlag{Name: "connections", Value: 32, Usage: "connections in the throughput measurement"},
			&cli.StringFlag{Name: "json", Usage: "`FILE` for the result as JSON"},
		},
		Action: runOverhead,
	}
}

// overheadRow is the result for a path to the upstream.
type overheadRow struct {
	Name string
	// P50 and P99 are latency quantiles of a single connection in microseconds.
	P50, P99 float64
	// Rate is the number of statements per second on all connections.
	Rate float64
	// CPU is the CPU time of the path's processes per statement in microseconds, or 0 if there are none.
	CPU float64
	// PerCore is the number of statements per second of CPU time.
	PerCore float64
}

// target is a path to the upstream.
type target struct {
	name, address string
	// pids are the ids of the processes between the caller and the upstream. Id 0 stands for no process.
	pids []int
}

func parseTarget(s string) (target, error) {
	parts := strings.Split(s, "=")
	if len(parts) != 3 {
		return target{}, fmt.Errorf("target %q: want NAME=HOST:PORT=PID", s)
	}
	t := target{name: parts[0], address: parts[1]}
	for text := range strings.SplitSeq(parts[2], "+") {
		pid, err := strconv.Atoi(text)
		if err != nil {
			return target{}, fmt.Errorf("target %q: process id: %w", s, err)
		}
		t.pids = append(t.pids, pid)
	}
	return t, nil
}

func runOverhead(ctx context.Context, cmd *cli.Command) error {
	var rows []overheadRow
	for _, text := range cmd.StringSlice("target") {
		t, err := parseTarget(text)
		if err != nil {
			return err
		}
		row, err := measureTarget(ctx, t, cmd.String("database"), cmd.Int("connections"))
		if err != nil {
			return fmt.Errorf("%s: %w", t.name, err)
		}
		rows = append(rows, row)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "path\tp50 us\tp99 us\tadded p50\tadded p99\tstatements/s\tCPU us/statement\tstatements/s per core\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.1f\t%.0f\t\n",
			r.Name, r.P50, r.P99, r.P50-rows[0].P50, r.P99-rows[0].P99, r.Rate, r.CPU, r.PerCore)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return writeJSONFile(cmd.String("json"), rows)
}

// writeJSONFile writes the value as JSON to the file, unless the name is empty.
func writeJSONFile(name string, v any) error {
	if name == "" {
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(data, '\n'), 0o644)
}

func measureTarget(ctx context.Context, t target, database string, connections int) (overheadRow, error) {
	row := overheadRow{Name: t.name}
	single, _, err := runLoad(ctx, t, database, 1, latencyTime)
	if err != nil {
		return row, err
	}
	row.P50 = float64(single.ValueAtQuantile(50)) / 1e3
	row.P99 = float64(single.ValueAtQuantile(99)) / 1e3
	concurrent, cpu, err := runLoad(ctx, t, database, connections, rateTime)
	if err != nil {
		return row, err
	}
	n := float64(concurrent.TotalCount())
	row.Rate = n / rateTime.Seconds()
	if cpu > 0 {
		row.CPU = float64(cpu.Microseconds()) / n
		row.PerCore = n / cpu.Seconds()
	}
	return row, nil
}

// runLoad sends statements sequentially on each connection for the duration. It returns their latencies in
// nanoseconds and the CPU time that the target's processes spent.
func runLoad(ctx context.Context, t target, database string, connections int, d time.Duration) (*hdrhistogram.Histogram, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, d+overheadWarmUp+10*time.Second)
	defer cancel()
	conns := make([]*pgconn.PgConn, connections)
	for i := range conns {
		c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://bench@%s/%s?sslmode=disable", t.address, database))
		if err != nil {
			return nil, 0, err
		}
		defer func() { _ = c.Close(ctx) }()
		conns[i] = c
	}
	begin := time.Now().Add(overheadWarmUp)
	end := begin.Add(d)
	var mu sync.Mutex
	total := hdrhistogram.New(1, maxLatency.Nanoseconds(), 3)
	ends := make(chan error, connections)
	for _, c := range conns {
		go func() {
			h, err := sendUntil(ctx, c, begin, end)
			mu.Lock()
			defer mu.Unlock()
			total.Merge(h)
			ends <- err
		}()
	}
	time.Sleep(time.Until(begin))
	before, err := cpuTimes(t.pids)
	if err != nil {
		return nil, 0, err
	}
	time.Sleep(time.Until(end))
	after, err := cpuTimes(t.pids)
	if err != nil {
		return nil, 0, err
	}
	for range conns {
		if err := <-ends; err != nil {
			return nil, 0, err
		}
	}
	return total, after - before, nil
}

// sendUntil sends the statement repeatedly until end and records the latencies of those sent after begin.
func sendUntil(ctx context.Context, c *pgconn.PgConn, begin, end time.Time) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, maxLatency.Nanoseconds(), 3)
	for {
		sent := time.Now()
		if sent.After(end) {
			return h, nil
		}
		results, err := c.Exec(ctx, overheadSQL).ReadAll()
		if err != nil {
			return h, err
		}
		if len(results) != 1 || len(results[0].Rows) != 1 {
			return h, fmt.Errorf("answer has no row")
		}
		if sent.After(begin) {
			if err := h.RecordValue(time.Since(sent).Nanoseconds()); err != nil {
				return h, err
			}
		}
	}
}

// cpuTimes returns the total CPU time of the processes.
func cpuTimes(pids []int) (time.Duration, error) {
	var sum time.Duration
	for _, pid := range pids {
		d, err := cpuTime(pid)
		if err != nil {
			return 0, err
		}
		sum += d
	}
	return sum, nil
}

// cpuTime returns the CPU time of a process, or 0 for process id 0.
func cpuTime(pid int) (time.Duration, error) {
	if pid == 0 {
		return 0, nil
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The process name, in parentheses, can contain spaces. Of the fields after it, 11 and 12 are the user
	// and the system time.
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat is malformed", pid)
	}
	var ticks int64
	for _, field := range fields[11:13] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}
