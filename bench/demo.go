package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/urfave/cli/v3"
)

const (
	// demoTimeout limits each step of the demonstration, not counting the failover.
	demoTimeout = 20 * time.Second
	// writeInterval is the time between two writes of the demonstration.
	writeInterval = 20 * time.Millisecond
	// killDelay is the time from the first write until the primary is killed.
	killDelay = 2 * time.Second
	// maxFailoverGap is the specified limit of the time without acknowledged writes in a failover.
	maxFailoverGap = 16 * time.Second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "show a session that moves between entry VMs, and a failover, on a running deployment",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "callers", Usage: "callers' addresses of entry VMs, `HOST:PORT`", Required: true},
			&cli.StringFlag{Name: "admin", Usage: "admin `HOST:PORT` of an entry VM", Required: true},
			&cli.StringFlag{Name: "database", Usage: "group to use", Required: true},
			&cli.StringFlag{Name: "kind", Usage: "kind of the writes", Required: true},
			&cli.StringFlag{Name: "pids", Usage: "`FILE` with the process ids of the deployment", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			d := &demo{
				callers: cmd.StringSlice("callers"), admin: cmd.String("admin"),
				database: cmd.String("database"), kind: cmd.String("kind"), pids: cmd.String("pids"),
			}
			return d.run(ctx)
		},
	}
}

// demo runs the demonstration and holds its results.
type demo struct {
	callers                       []string
	admin, database, kind, pids   string
	acknowledged, unknown, notRun int
	gap                           time.Duration
}

func (d *demo) run(ctx context.Context) error {
	roamed, err := d.roam(ctx)
	if err != nil {
		return fmt.Errorf("read-your-writes on another entry VM: %w", err)
	}
	killed, err := d.failover(ctx)
	if err != nil {
		return fmt.Errorf("failover: %w", err)
	}
	found, err := d.count(ctx)
	if err != nil {
		return fmt.Errorf("count rows after the failover: %w", err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "write at one entry VM, read at another\tvisible after %v\n", roamed.Round(time.Microsecond))
	fmt.Fprintf(w, "primary killed\t%s\n", killed)
	fmt.Fprintf(w, "failover gap\t%v\n", d.gap.Round(time.Millisecond))
	fmt.Fprintf(w, "writes acknowledged / not run / unknown\t%d / %d / %d\n", d.acknowledged, d.notRun, d.unknown)
	fmt.Fprintf(w, "rows found after the failover\t%d\n", found)
	if err := w.Flush(); err != nil {
		return err
	}
	if found < d.acknowledged || found > d.acknowledged+d.unknown {
		return fmt.Errorf("%d rows found, want %d to %d", found, d.acknowledged, d.acknowledged+d.unknown)
	}
	return nil
}

func (d *demo) connect(ctx context.Context, address, session string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://demo@%s/%s?sslmode=disable", address, d.database))
	if err != nil {
		return nil, err
	}
	cfg.RuntimeParams["snipewall.kind"] = d.kind
	cfg.RuntimeParams["snipewall.session"] = session
	return pgx.ConnectConfig(ctx, cfg)
}

// roam writes at one entry VM and reads the write at another one in the same session. It returns the time
// from the acknowledgment to the end of the read.
func (d *demo) roam(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	first, err := d.connect(ctx, d.callers[0], "demo-roaming")
	if err != nil {
		return 0, err
	}
	defer func() { _ = first.Close(ctx) }()
	second, err := d.connect(ctx, d.callers[1], "demo-roaming")
	if err != nil {
		return 0, err
	}
	defer func() { _ = second.Close(ctx) }()
	for _, sql := range []string{
		"create table if not exists berths (id int8 primary key, captain text)",
		"create table if not exists sessions (id int8 primary key, berth int8)",
		"delete from berths where id = 1",
		"insert into berths (id, captain) values (1, 'Thibodeaux')",
	} {
		if _, err := first.Exec(ctx, sql); err != nil {
			return 0, fmt.Errorf("%s: %w", sql, err)
		}
	}
	began := time.Now()
	var captain string
	if err := second.QueryRow(ctx, "select captain from berths where id = $1", 1).Scan(&captain); err != nil {
		return 0, err
	}
	return time.Since(began), nil
}

// failover writes rows at writeInterval, kills the primary, and continues until writes are acknowledged
// again. It returns the id of the killed primary.
func (d *demo) failover(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, maxFailoverGap+demoTimeout)
	defer cancel()
	primary, err := d.primary(ctx)
	if err != nil {
		return "", err
	}
	pid, err := d.pid(primary)
	if err != nil {
		return "", err
	}
	conn, err := d.connect(ctx, d.callers[0], "demo-writer")
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	began := time.Now()
	var killedAt, lastAck time.Time
	for id := 1; ; id++ {
		if killedAt.IsZero() && time.Since(began) > killDelay {
			if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
				return "", err
			}
			killedAt = time.Now()
		}
		acknowledged, err := d.write(ctx, conn, id)
		if err != nil {
			return "", err
		}
		if acknowledged && !killedAt.IsZero() {
			d.gap = time.Since(lastAck)
			return primary, nil
		}
		if acknowledged {
			lastAck = time.Now()
		}
		time.Sleep(writeInterval)
	}
}

// write inserts a row and counts the outcome. It reports whether the write was acknowledged.
func (d *demo) write(ctx context.Context, conn *pgx.Conn, id int) (bool, error) {
	_, err := conn.Exec(ctx, fmt.Sprintf("/* request_id='demo-%d' */ insert into sessions (id, berth) values ($1, 1)", id), id)
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		d.acknowledged++
		return true, nil
	case !errors.As(err, &pgErr):
		return false, err
	case pgErr.Code == "SW001" || pgErr.Code == "SW002":
		d.notRun++
	case pgErr.Code == "08007":
		d.unknown++
	default:
		return false, err
	}
	return false, nil
}

// count returns the number of rows that were written.
func (d *demo) count(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	conn, err := d.connect(ctx, d.callers[len(d.callers)-1], "demo-writer")
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close(ctx) }()
	var n int
	err = conn.QueryRow(ctx, "select count(*) from sessions").Scan(&n)
	return n, err
}

// primary asks the entry VM for the primary of the group.
func (d *demo) primary(ctx context.Context) (string, error) {
	var status struct{ Primaries map[string]string }
	if err := getJSON(ctx, "http://"+d.admin+"/status", &status); err != nil {
		return "", err
	}
	if status.Primaries[d.database] == "" {
		return "", fmt.Errorf("the entry VM knows no primary of %s", d.database)
	}
	return status.Primaries[d.database], nil
}

// pid looks up the process id of an upstream or entry VM by its name.
func (d *demo) pid(name string) (int, error) {
	file, err := os.Open(d.pids)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		pid, other, _ := strings.Cut(scanner.Text(), " ")
		if other == name {
			return strconv.Atoi(pid)
		}
	}
	return 0, fmt.Errorf("%s lists no process %q", d.pids, name)
}
