package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/urfave/cli/v3"
)

const (
	// sessions is the number of sessions that are at work at the same time.
	sessions = 24
	// thinkTime is the pause of a session between two statements.
	thinkTime = 10 * time.Millisecond
)

// readKind is one kind of read in the mix, with its share.
type readKind struct {
	kind string
	// share is in percent of all reads.
	share int
	// own tells that the read asks for what the session has just written.
	own bool
}

// readMix follows the first user's work: a session writes, reads its write, and the other reads
// accept data of some age.
var readMix = []readKind{
	{kind: "pedestal-stop", share: 10, own: true},
	{kind: "dock-lookup", share: 35},
	{kind: "member-usage", share: 55},
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
}

// routeCounts is the part of an entry VM's dump that counts reads.
type routeCounts struct{ ReplicaReads, PrimaryReads uint64 }

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
	results := make(chan sessionResult, sessions)
	for i := range sessions {
		go func() { results <- r.session(ctx, i, end) }()
	}
	total := newLatencies()
	for range sessions {
		res := <-results
		if res.err != nil {
			return res.err
		}
		for kind, h := range res.latencies {
			total[kind].Merge(h)
		}
	}
	after, err := r.counts(ctx)
	if err != nil {
		return err
	}
	r.report(label, routeCounts{after.ReplicaReads - before.ReplicaReads, after.PrimaryReads - before.PrimaryReads}, total)
	if n := r.stale.Load(); n > 0 {
		return fmt.Errorf("%d stale reads", n)
	}
	return nil
}

func newLatencies() map[string]*hdrhistogram.Histogram {
	m := make(map[string]*hdrhistogram.Histogram, len(readMix))
	for _, k := range readMix {
		m[k.kind] = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
	return m
}

func (r *readLoad) report(label string, n routeCounts, total map[string]*hdrhistogram.Histogram) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	reads := n.ReplicaReads + n.PrimaryReads
	fmt.Fprintf(w, "%s\treads %d\tby replicas %.1f%%\tstale %d\tfailed %d", label, reads,
		100*float64(n.ReplicaReads)/float64(max(reads, 1)), r.stale.Load(), r.failed.Load())
	for _, k := range readMix {
		h := total[k.kind]
		fmt.Fprintf(w, "\t%s p50 %.1f p99 %.1f ms", k.kind, float64(h.ValueAtQuantile(50))/1e3, float64(h.ValueAtQuantile(99))/1e3)
	}
	fmt.Fprintln(w)
	_ = w.Flush()
}

func (r *readLoad) prepare(ctx context.Context) error {
	conn, err := r.connect(ctx, 0, "prepare", "")
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	if _, err := conn.Exec(ctx, "create table if not exists usage (id int8 primary key, kwh int8)"); err != nil {
		return err
	}
	if _, err := conn.Exec(ctx, "delete from usage"); err != nil {
		return err
	}
	for i := range sessions {
		if _, err := conn.Exec(ctx, "insert into usage (id, kwh) values ($1, 0)", i); err != nil {
			return err
		}
	}
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

// session moves to another entry VM after each write and reads there.
func (r *readLoad) session(ctx context.Context, i int, end time.Time) sessionResult {
	res := sessionResult{latencies: newLatencies()}
	rng := rand.New(rand.NewPCG(uint64(i), 1))
	position := ""
	for n := 1; time.Now().Before(end); n++ {
		conn, err := r.connect(ctx, rng.IntN(len(r.callers)), fmt.Sprintf("session-%d", i), position)
		if err != nil {
			res.err = err
			return res
		}
		if n > 1 {
			r.read(ctx, conn, i, n-1, rng, res.latencies)
		}
		if _, err := conn.Exec(ctx, "/* kind='pedestal-stop' */ update usage set kwh = $1 where id = $2", n, i); err != nil {
			res.err = err
			return res
		}
		if r.carry {
			position = conn.PgConn().ParameterStatus("snipewall.position")
		}
		if err := conn.Close(ctx); err != nil {
			res.err = err
			return res
		}
	}
	return res
}

// read runs the reads between two writes: the session's own row must not be older than its last
// write, whatever the kind.
func (r *readLoad) read(ctx context.Context, conn *pgx.Conn, id, written int, rng *rand.Rand, latencies map[string]*hdrhistogram.Histogram) {
	for k := range 10 {
		kind := pickKind(k, rng)
		began := time.Now()
		var kwh int
		err := conn.QueryRow(ctx, fmt.Sprintf("/* kind='%s' */ select kwh from usage where id = $1", kind.kind), id).Scan(&kwh)
		if err != nil {
			r.failed.Add(1)
			continue
		}
		_ = latencies[kind.kind].RecordValue(time.Since(began).Microseconds())
		if kwh < written {
			r.stale.Add(1)
		}
		time.Sleep(thinkTime)
	}
}

// pickKind starts with the session's own row and goes on with the other kinds by their shares.
func pickKind(k int, rng *rand.Rand) readKind {
	if k == 0 {
		return readMix[0]
	}
	if rng.IntN(readMix[1].share+readMix[2].share) < readMix[1].share {
		return readMix[1]
	}
	return readMix[2]
}

// counts adds up the reads that the entry VMs have routed.
func (r *readLoad) counts(ctx context.Context) (routeCounts, error) {
	var sum routeCounts
	for _, address := range r.admin {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/dump", nil)
		if err != nil {
			return sum, err
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return sum, err
		}
		var dump struct {
			Route routeCounts `json:"route"`
		}
		err = json.NewDecoder(res.Body).Decode(&dump)
		_ = res.Body.Close()
		if err != nil {
			return sum, err
		}
		sum.ReplicaReads += dump.Route.ReplicaReads
		sum.PrimaryReads += dump.Route.PrimaryReads
	}
	return sum, nil
}
