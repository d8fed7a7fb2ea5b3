package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"snipewall/core"
	"snipewall/stand/dbsim"
)

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "simulates a database server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address for the PostgreSQL protocol"},
			&cli.StringFlag{Name: "admin", Usage: "address for HTTP: POST /fault, GET /status"},
			&cli.StringFlag{Name: "follow", Usage: "start as a replica of the primary at this address; none starts a replica without a primary"},
			&cli.Uint64Flag{Name: "term", Value: 1, Usage: "first term"},
			&cli.IntFlag{Name: "slots", Usage: "statements that execute at once, 0 for no limit"},
			&cli.IntFlag{Name: "connections", Usage: "connection limit, 0 for none"},
			&cli.IntFlag{Name: "reserved", Usage: "further connections for control functions"},
			&cli.DurationFlag{Name: "connect-time", Usage: "time to open a connection"},
			&cli.DurationFlag{Name: "service-time", Usage: "time that a statement occupies its slot"},
			&cli.DurationFlag{Name: "control-time", Usage: "time that a control function takes"},
			&cli.DurationFlag{Name: "delay", Usage: "network delay to callers, one way"},
			&cli.DurationFlag{Name: "ship-lag", Usage: "delay before entries enter a replica's log"},
			&cli.DurationFlag{Name: "apply-lag", Usage: "delay before reads on a replica see entries"},
			&cli.DurationFlag{Name: "heartbeat", Usage: "interval of a primary's heartbeats"},
			&cli.StringFlag{Name: "tls-certificate", Usage: "PEM certificate, to offer TLS"},
			&cli.StringFlag{Name: "tls-key", Usage: "PEM key of the certificate"},
			&cli.BoolFlag{Name: "verbose", Usage: "log the end of each connection"},
		},
		Action: runUpstream,
	}
}

func runUpstream(ctx context.Context, cmd *cli.Command) error {
	lis, err := new(net.ListenConfig).Listen(ctx, "tcp", cmd.String("listen"))
	if err != nil {
		return err
	}
	cfg := upstreamConfig(cmd)
	if name := cmd.String("tls-certificate"); name != "" {
		cert, err := tls.LoadX509KeyPair(name, cmd.String("tls-key"))
		if err != nil {
			return err
		}
		cfg.TLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	}
	srv := cfg.New(upstreamDatabase(cmd))
	if address := cmd.String("admin"); address != "" {
		stop, err := serveAdmin(ctx, address, srv.AdminHandler())
		if err != nil {
			return err
		}
		defer stop()
	}
	fmt.Println("listening on", lis.Addr())
	return srv.Serve(ctx, lis)
}

// serveAdmin serves HTTP in the background until stop is called.
func serveAdmin(ctx context.Context, address string, h http.Handler) (stop func(), err error) {
	lis, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, "standin: admin port:", err)
		}
	}()
	fmt.Println("admin port on", lis.Addr())
	return func() {
		_ = srv.Close()
		<-done
	}, nil
}

func upstreamDatabase(cmd *cli.Command) *dbsim.Database {
	term := core.Term(cmd.Uint64("term"))
	switch primary := cmd.String("follow"); primary {
	case "":
		return dbsim.NewPrimary(term)
	case "none":
		return dbsim.NewReplica(term, "")
	default:
		return dbsim.NewReplica(term, primary)
	}
}

func upstreamConfig(cmd *cli.Command) dbsim.Config {
	cfg := dbsim.Config{
		Slots:       cmd.Int("slots"),
		Connections: cmd.Int("connections"),
		Reserved:    cmd.Int("reserved"),
		ConnectTime: cmd.Duration("connect-time"),
		ServiceTime: cmd.Duration("service-time"),
		ControlTime: cmd.Duration("control-time"),
		Delay:       cmd.Duration("delay"),
		ShipLag:     cmd.Duration("ship-lag"),
		ApplyLag:    cmd.Duration("apply-lag"),
		Heartbeat:   cmd.Duration("heartbeat"),
	}
	if cmd.Bool("verbose") {
		cfg.Logger = log.NewJSONLogger(log.NewSyncWriter(os.Stderr))
	}
	return cfg
}
