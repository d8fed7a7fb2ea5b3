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
	// writers is the number of sessions that write and read their write, readers of those that only
	// read.
	writers = 8
	readers = 16
	// thinkTime is the pause of a session between two statements.
	thinkTime = 10 * time.Millisecond
	// writeTime is the pause of a writer after each write and read, which makes about a tenth of all
	// reads follow a write of their session.
	writeTime = 100 * time.Millisecond
	// settleTables is the wait for replicas to have the table that the run creates.
	settleTables = time.Second
	// readsPerConnection is after how many reads a reader moves to another entry VM.
	readsPerConnection = 10
	// ownKind is the kind of writes and of the reads that follow them.
	ownKind = "pedestal-stop"
)

// readKind is one kind of read of the readers.
type readKind struct {
	kind string
	// share is in percent of the readers' reads.
	share int
	// age is the accepted age in the operators' table.
	age time.Duration
}

// readerKinds follow the first user's work.
var readerKinds = []readKind{
	{kind: "dock-lookup", share: 40, age: time.Second},
	{kind: "member-usage", share: 60, age: 30 * time.Second},
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
				database: cmd.String("database"), carry: cmd.Bool("carry"), length: cmd.Duration("time"),
			}
			return r.run(ctx, cmd.String("label"))
		},
	}
}

// readLoad is one run of the mix.
type readLoad struct {
	callers, admin []string
	database       string
	carry          bool
	length         time.Duration

	stale, failed atomic.Int64
	rows          [writers]rowHistory
}

// rowHistory is when each value of a row was acknowledged; value n is at index n-1.
type rowHistory struct {
	mu    sync.Mutex
	acked []time.Time
}

func (h *rowHistory) add() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acked = append(h.acked, time.Now())
}

// valueAt returns the highest value that was acknowledged at the time.
func (h *rowHistory) valueAt(t time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return sort.Search(len(h.acked), func(i int) bool { return h.acked[i].After(t) })
}

// routeCounts is the part of an entry VM's dump that counts reads by rank.
type routeCounts struct{ ReplicaReads, PrimaryReads [core.RankCount]uint64 }

func (c *routeCounts) add(other routeCounts, sign uint64) {
	for rank := range core.RankCount {
		c.ReplicaReads[rank] += sign * other.ReplicaReads[rank]
		c.PrimaryReads[rank] += sign * other.PrimaryReads[rank]
	}
}

// share returns the percentage of the reads of the ranks that replicas served.
func (c *routeCounts) share(ranks ...core.Rank) float64 {
	var replica, all uint64
	for _, rank := range ranks {
		replica += c.ReplicaReads[rank]
		all += c.ReplicaReads[rank] + c.PrimaryReads[rank]
	}
	return 100 * float64(replica) / float64(max(all, 1))
}

func (r *readLoad) run(ctx context.Context, label string) error {
	ctx, cancel := context.WithTimeout(ctx, r.length+30*time.Second)
	defer cancel()
	if err := r.prepare(ctx); err != nil {
		return err
	}
	before, err := r.counts(ctx)
	if err != nil {
		return err
	}
	end := time.Now().Add(r.length)
	results := make(chan sessionResult, writers+readers)
	for i := range writers {
		go func() { results <- r.writer(ctx, i, end) }()
	}
	for i := range readers {
		go func() { results <- r.reader(ctx, i, end) }()
	}
	total := newLatencies()
	for range writers + readers {
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
	m := map[string]*hdrhistogram.Histogram{ownKind: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
	for _, k := range readerKinds {
		m[k.kind] = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
	return m
}

func (r *readLoad) report(label string, counts routeCounts, total map[string]*hdrhistogram.Histogram) {
	fmt.Printf("%-28s by replicas: all %.1f%%, own writes %.1f%%, 1 s %.1f%%, 30 s %.1f%%; stale %d, failed %d; p50/p99 ms:",
		label, counts.share(core.RankUrgent, core.RankMiddle, core.RankLast), counts.share(core.RankUrgent),
		counts.share(core.RankMiddle), counts.share(core.RankLast), r.stale.Load(), r.failed.Load())
	for _, kind := range []string{ownKind, readerKinds[0].kind, readerKinds[1].kind} {
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
	for i := range writers {
		if _, err := conn.Exec(ctx, "insert into usage (id, kwh) values ($1, 0)", i); err != nil {
			return err
		}
	}
	time.Sleep(settleTables)
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

// sessionResult is what one session measured.
type sessionResult struct {
	latencies map[string]*hdrhistogram.Histogram
	err       error
}

// writer writes its row at one entry VM and reads it at another.
func (r *readLoad) writer(ctx context.Context, i int, end time.Time) sessionResult {
	res := sessionResult{latencies: newLatencies()}
	rng := rand.New(rand.NewPCG(uint64(i), 1))
	session := fmt.Sprintf("pedestal-%d", i)
	position := ""
	for n := 1; time.Now().Before(end) && res.err == nil; n++ {
		res.err = r.visit(ctx, rng.IntN(len(r.callers)), session, position, func(conn *pgx.Conn) error {
			if _, err := conn.Exec(ctx, fmt.Sprintf("/* kind='%s' */ update usage set kwh = $1 where id = $2", ownKind), n, i); err != nil {
				return err
			}
			r.rows[i].add()
			if r.carry {
				position = conn.PgConn().ParameterStatus("snipewall.position")
			}
			return nil
		})
		if res.err != nil {
			return res
		}
		res.err = r.visit(ctx, rng.IntN(len(r.callers)), session, position, func(conn *pgx.Conn) error {
			r.read(ctx, conn, ownKind, i, n, res.latencies)
			return nil
		})
		time.Sleep(writeTime)
	}
	return res
}

// reader looks at rows of others and moves to another entry VM now and then.
func (r *readLoad) reader(ctx context.Context, i int, end time.Time) sessionResult {
	res := sessionResult{latencies: newLatencies()}
	rng := rand.New(rand.NewPCG(uint64(i), 2))
	for time.Now().Before(end) && res.err == nil {
		res.err = r.visit(ctx, rng.IntN(len(r.callers)), fmt.Sprintf("reader-%d", i), "", func(conn *pgx.Conn) error {
			for range readsPerConnection {
				kind := readerKinds[0]
				if rng.IntN(100) >= kind.share {
					kind = readerKinds[1]
				}
				row := rng.IntN(writers)
				r.read(ctx, conn, kind.kind, row, r.rows[row].valueAt(time.Now().Add(-kind.age)), res.latencies)
			}
			return nil
		})
	}
	return res
}

// visit runs work on a new connection.
func (r *readLoad) visit(ctx context.Context, vm int, session, position string, work func(conn *pgx.Conn) error) error {
	conn, err := r.connect(ctx, vm, session, position)
	if err != nil {
		return err
	}
	if err := work(conn); err != nil {
		return err
	}
	return conn.Close(ctx)
}

// read reads a row and counts the read as stale if its value is below the lowest that is allowed.
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

// counts adds up the reads that the entry VMs have routed.
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

// readCounts reads the counters of one entry VM.
func readCounts(ctx context.Context, address string) (routeCounts, error) {
	var dump struct {
		Route routeCounts `json:"route"`
	}
	err := getJSON(ctx, "http://"+address+"/dump", &dump)
	return dump.Route, err
}
