package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/urfave/cli/v3"
)

// kibibyte is the unit of the memory sizes in /proc, in bytes.
const kibibyte = 1024

func sampleCommand() *cli.Command {
	return &cli.Command{
		Name:  "sample",
		Usage: "measure the CPU time and the memory of a process, and the calls to the platform's store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Usage: "`TEXT` at the head of the row"},
			&cli.IntFlag{Name: "pid", Usage: "process `ID`", Required: true},
			&cli.DurationFlag{Name: "time", Value: 5 * time.Second, Usage: "duration"},
			&cli.StringFlag{Name: "platform", Usage: "`HOST:PORT` of the platform's simulator"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return sample(ctx, cmd.String("name"), cmd.Int("pid"), cmd.Duration("time"), cmd.String("platform"))
		},
	}
}

// storeCalls holds the call counters of the platform's simulator.
type storeCalls struct{ Reads, Writes, Waiting int }

func sample(ctx context.Context, name string, pid int, d time.Duration, platform string) error {
	cpu, err := cpuTime(pid)
	if err != nil {
		return err
	}
	before, err := readCalls(ctx, platform)
	if err != nil {
		return err
	}
	time.Sleep(d)
	after, err := cpuTime(pid)
	if err != nil {
		return err
	}
	calls, err := readCalls(ctx, platform)
	if err != nil {
		return err
	}
	rss, err := residentMemory(pid)
	if err != nil {
		return err
	}
	fmt.Printf("%-44s CPU %7.2f ms/s  memory %7.1f MB", name, float64((after-cpu).Microseconds())/1e3/d.Seconds(), float64(rss)/1e6)
	if platform != "" {
		fmt.Printf("  store reads %.2f/s writes %.2f/s waiting %d",
			float64(calls.Reads-before.Reads)/d.Seconds(), float64(calls.Writes-before.Writes)/d.Seconds(), calls.Waiting)
	}
	fmt.Println()
	return nil
}

func readCalls(ctx context.Context, platform string) (storeCalls, error) {
	var calls storeCalls
	if platform == "" {
		return calls, nil
	}
	err := getJSON(ctx, "http://"+platform+"/v1/calls", &calls)
	return calls, err
}

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return n * kibibyte, err
		}
	}
	return 0, fmt.Errorf("/proc/%d/status has no VmRSS", pid)
}

func idleCommand() *cli.Command {
	return &cli.Command{
		Name:  "idle",
		Usage: "hold idle callers' connections and measure the entry VM's memory at several numbers of them",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "`HOST:PORT` for callers", Required: true},
			&cli.StringFlag{Name: "database", Usage: "group to use", Required: true},
			&cli.IntFlag{Name: "pid", Usage: "process `ID` of the entry VM", Required: true},
			&cli.IntSliceFlag{Name: "at", Usage: "`NUMBERS` of connections, ascending", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return holdIdle(ctx, cmd.String("address"), cmd.String("database"), cmd.Int("pid"), cmd.IntSlice("at"))
		},
	}
}

// idleSettleTime is the time in which the entry VM releases the buffers of connections that became idle.
const idleSettleTime = 8 * time.Second

func holdIdle(ctx context.Context, address, database string, pid int, numbers []int) error {
	base, err := residentMemory(pid)
	if err != nil {
		return err
	}
	var conns []*pgconn.PgConn
	defer func() {
		for _, c := range conns {
			_ = c.Close(ctx)
		}
	}()
	for _, n := range numbers {
		for len(conns) < n {
			c, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://bench@%s/%s?sslmode=disable&snipewall.session=s%d", address, database, len(conns)))
			if err != nil {
				return fmt.Errorf("connection %d: %w", len(conns)+1, err)
			}
			conns = append(conns, c)
			if _, err := c.Exec(ctx, overheadSQL).ReadAll(); err != nil {
				return fmt.Errorf("connection %d: %w", len(conns), err)
			}
		}
		if err := sample(ctx, fmt.Sprintf("idle connections %d", n), pid, idleSettleTime, ""); err != nil {
			return err
		}
		rss, err := residentMemory(pid)
		if err != nil {
			return err
		}
		fmt.Printf("%-44s %.1f KB each above the start's %.1f MB\n", "", float64(rss-base)/1e3/float64(n), float64(base)/1e6)
	}
	return nil
}
