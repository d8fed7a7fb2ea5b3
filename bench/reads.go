package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/urfave/cli/v3"

	"snipewall/core"
)

const (
	// writerCount is the number of sessions that write and read their own writes, readerCount that of
	// the sessions that only read.
	writerCount = 8
	readerCount = 16
	// thinkTime is the pause after each read.
	thinkTime = 10 * time.Millisecond
	// writerPause is the pause of a writer after each write and read. With it, about a tenth of all reads
	// follow a write of their session.
	writerPause = 100 * time.Millisecond
	// tableReplicationDelay is the time in which the replicas receive the table that the run creates.
	tableReplicationDelay = time.Second
	// readsPerConnection is the number of reads after which a reader connects to another entry VM.
	readsPerConnection = 10
	// writeKind is the kind of the writes and of the reads of sessions' own writes.
	writeKind = "pedestal-stop"
)

// readKind is a kind of the readers' reads.
type readKind struct {
	kind string
	// percentage is the percentage of the readers' reads that have this kind.
	percentage int
	// acceptedAge is the accepted age of data in the operators' table.
	acceptedAge time.Duration
}

// readerKinds resembles the workload of the deployment gulf-berth.
var readerKinds = []readKind{
	{kind: "dock-lookup", percentage: 40, acceptedAge: time.Second},
	{kind: "member-usage", percentage: 60, acceptedAge: 30 * time.Second},
}

func readsCommand() *cli.Command {
	return &cli.Command{
		Name:  "reads",
		Usage: "measure the share of reads served by replicas, and look for stale reads",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "callers", Usage: "callers' addresses of entry VMs, `HOST:PORT`", Required: true},
			&cli.StringSliceFlag{Name: "admin", Usage: "admin addresses of the same entry VMs", Required: true},
			&cli.StringFlag{Name: "database", Usage: "group to use", Required: true},
			&cli.BoolFlag{Name: "carry", Usage: "callers carry their position to the next connection"},
			&cli.DurationFlag{Name: "time", Value: 6 * time.Second, Usage: "duration"},
			&cli.StringFlag{Name: "label", Usage: "`NAME` of the row"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			r := &readLoad{
				callers: cmd.StringSlice("callers"), admin: cmd.StringSlice("admin"),
				database: cmd.String("database"), carryPosition: cmd.Bool("carry"), duration: cmd.Duration("time"),
			}
			return r.run(ctx, cmd.String("label"))
		},
	}
}

// readLoad is a run of the mixed read and write load.
type readLoad struct {
	callers, admin []string
	database       string
	carryPosition  bool
	duration       time.Duration

	stale, failed atomic.Int64
	rows          [writerCount]rowHistory
}

// rowHistory holds the times at which the values of a row were acknowledged. Value n is at index n-1.
type rowHistory struct {
	mu       sync.Mutex
	ackTimes []time.Time
}

// add records that the row's next value was acknowledged now.
func (h *rowHistory) add() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ackTimes = append(h.ackTimes, time.Now())
}

// valueAt returns the highest value that had been acknowledged at the time, or 0.
func (h *rowHistory) valueAt(t time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return sort.Search(len(h.ackTimes), func(i int) bool { return h.ackTimes[i].After(t) })
}

// routeCounts holds the read counters by rank from an entry VM's dump.
type routeCounts struct{ ReplicaReads, PrimaryReads [core.RankCount]uint64 }

// add adds other times sign. A sign of ^uint64(0), which is -1 modulo 2^64, subtracts it.
func (c *routeCounts) add(other routeCounts, sign uint64) {
	for rank := range core.RankCount {
		c.ReplicaReads[rank] += sign * other.ReplicaReads[rank]
		c.PrimaryReads[rank] += sign * other.PrimaryReads[rank]
	}
}

// replicaPercentage returns the percentage of the ranks' reads that were served by replicas.
func (c *routeCounts) replicaPercentage(ranks ...core.Rank) float64 {
	var replica, all uint64
	for _, rank := range ranks {
		replica += c.ReplicaReads[rank]
		all += c.ReplicaReads[rank] + c.PrimaryReads[rank]
	}
	return 100 * float64(replica) / float64(max(all, 1))
}

func (r *readLoad) run(ctx context.Context, label string) error {
	ctx, cancel := context.WithTimeout(ctx, r.duration+30*time.Second)
	defer cancel()
	if err := r.prepare(ctx); err != nil {
		return err
	}
	before, err := r.counts(ctx)
	if err != nil {
		return err
	}
	end := time.Now().Add(r.duration)
	results := make(chan sessionResult, writerCount+readerCount)
	for i := range writerCount {
		go func() { results <- r.runWriter(ctx, i, end) }()
	}
	for i := range readerCount {
		go func() { results <- r.runReader(ctx, i, end) }()
	}
	total := newLatencies()
	for range writerCount + readerCount {
		res := <-results
		if res.err != nil {
			return res.err
		}
		for kind, h := range res.latencies {
			total[kind].Merge(h)
		}
	}
	counts, err := r.counts(ctx)
	if err != nil {
		return err
	}
	counts.add(before, ^uint64(0))
	r.report(label, counts, total)
	if n := r.stale.Load(); n > 0 {
		return fmt.Errorf("%d stale reads", n)
	}
	return nil
}

func newLatencies() map[string]*hdrhistogram.Histogram {
	m := map[string]*hdrhistogram.Histogram{writeKind: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
	for _, k := range readerKinds {
		m[k.kind] = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
	return m
}

func (r *readLoad) report(label string, counts routeCounts, total map[string]*hdrhistogram.Histogram) {
	fmt.Printf("%-28s by replicas: all %.1f%%, own writes %.1f%%, 1 s %.1f%%, 30 s %.1f%%; stale %d, failed %d; p50/p99 ms:",
		label, counts.replicaPercentage(core.RankUrgent, core.RankMiddle, core.RankLast), counts.replicaPercentage(core.RankUrgent),
		counts.replicaPercentage(core.RankMiddle), counts.replicaPercentage(core.RankLast), r.stale.Load(), r.failed.Load())
	for _, kind := range []string{writeKind, readerKinds[0].kind, readerKinds[1].kind} {
		h := total[kind]
		fmt.Printf(" %s %.1f/%.1f", kind, float64(h.ValueAtQuantile(50))/1e3, float64(h.ValueAtQuantile(99))/1e3)
	}
	fmt.Println()
}

func (r *readLoad) prepare(ctx context.Context) error {
	conn, err := r.connect(ctx, 0, "prepare", "")
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	for _, sql := range []string{"create table if not exists usage (id int8 primary key, kwh int8)", "delete from usage"} {
		if _, err := conn.Exec(ctx, sql); err != nil {
			return err
		}
	}
	for i := range writerCount {
		if _, err := conn.Exec(ctx, "insert into usage (id, kwh) values ($1, 0)", i); err != nil {
			return err
		}
	}
	time.Sleep(tableReplicationDelay)
	return nil
}

func (r *readLoad) connect(ctx context.Context, vm int, session, position string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://bench@%s/%s?sslmode=disable", r.callers[vm], r.database))
	if err != nil {
		return nil, err
	}
	cfg.RuntimeParams["snipewall.session"] = session
	if position != "" {
		cfg.RuntimeParams["snipewall.position"] = position
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// sessionResult holds the measurements of a session, latencies by kind in microseconds.
type sessionResult struct {
	latencies map[string]*hdrhistogram.Histogram
	err       error
}

// runWriter repeatedly writes its row at a random entry VM and reads it at another random one.
func (r *readLoad) runWriter(ctx context.Context, i int, end time.Time) sessionResult {
	res := sessionResult{latencies: newLatencies()}
	rng := rand.New(rand.NewPCG(uint64(i), 1))
	session := fmt.Sprintf("pedestal-%d", i)
	position := ""
	for n := 1; time.Now().Before(end) && res.err == nil; n++ {
		res.err = r.withConnection(ctx, rng.IntN(len(r.callers)), session, position, func(conn *pgx.Conn) error {
			if _, err := conn.Exec(ctx, fmt.Sprintf("/* kind='%s' */ update usage set kwh = $1 where id = $2", writeKind), n, i); err != nil {
				return err
			}
			r.rows[i].add()
			if r.carryPosition {
				position = conn.PgConn().ParameterStatus("snipewall.position")
			}
			return nil
		})
		if res.err != nil {
			return res
		}
		res.err = r.withConnection(ctx, rng.IntN(len(r.callers)), session, position, func(conn *pgx.Conn) error {
			r.read(ctx, conn, writeKind, i, n, res.latencies)
			return nil
		})
		time.Sleep(writerPause)
	}
	return res
}

// runReader reads random rows of the writers, at another random entry VM after readsPerConnection reads.
func (r *readLoad) runReader(ctx context.Context, i int, end time.Time) sessionResult {
	res := sessionResult{latencies: newLatencies()}
	rng := rand.New(rand.NewPCG(uint64(i), 2))
	for time.Now().Before(end) && res.err == nil {
		res.err = r.withConnection(ctx, rng.IntN(len(r.callers)), fmt.Sprintf("reader-%d", i), "", func(conn *pgx.Conn) error {
			for range readsPerConnection {
				kind := readerKinds[0]
				if rng.IntN(100) >= kind.percentage {
					kind = readerKinds[1]
				}
				row := rng.IntN(writerCount)
				r.read(ctx, conn, kind.kind, row, r.rows[row].valueAt(time.Now().Add(-kind.acceptedAge)), res.latencies)
			}
			return nil
		})
	}
	return res
}

// withConnection runs work on a new connection to an entry VM.
func (r *readLoad) withConnection(ctx context.Context, vm int, session, position string, work func(conn *pgx.Conn) error) error {
	conn, err := r.connect(ctx, vm, session, position)
	if err != nil {
		return err
	}
	if err := work(conn); err != nil {
		return err
	}
	return conn.Close(ctx)
}

// read reads a row and counts the read as stale if the value is below lowest.
func (r *readLoad) read(ctx context.Context, conn *pgx.Conn, kind string, row, lowest int, latencies map[string]*hdrhistogram.Histogram) {
	began := time.Now()
	var kwh int
	err := conn.QueryRow(ctx, fmt.Sprintf("/* kind='%s' */ select kwh from usage where id = $1", kind), row).Scan(&kwh)
	if err != nil {
		r.failed.Add(1)
		return
	}
	_ = latencies[kind].RecordValue(time.Since(began).Microseconds())
	if kwh < lowest {
		r.stale.Add(1)
	}
	time.Sleep(thinkTime)
}

// counts returns the total read counters of all entry VMs.
func (r *readLoad) counts(ctx context.Context) (routeCounts, error) {
	var sum routeCounts
	for _, address := range r.admin {
		counts, err := readCounts(ctx, address)
		if err != nil {
			return sum, err
		}
		sum.add(counts, 1)
	}
	return sum, nil
}

// readCounts returns the read counters of an entry VM.
func readCounts(ctx context.Context, address string) (routeCounts, error) {
	var dump struct {
		Route routeCounts `json:"route"`
	}
	err := getJSON(ctx, "http://"+address+"/dump", &dump)
	return dump.Route, err
}
