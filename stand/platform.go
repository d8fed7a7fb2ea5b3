package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"snipewall/stand/kvsim"
)

// platformShutdownTimeout limits the wait for calls in flight when the process stops.
const platformShutdownTimeout = time.Second

// platformCommand returns the subcommand that simulates the platform until it is interrupted.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "simulate the platform's store and list of VMs over HTTP",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8500", Usage: "address to listen on"},
			&cli.DurationFlag{Name: "list-lag", Usage: "how far the list of VMs lags behind"},
			&cli.IntFlag{Name: "max-value", Usage: "limit of a value in bytes, 0 for 1 MiB"},
			&cli.IntFlag{Name: "read-rate", Usage: "reads per second above which calls are refused, 0 for no limit"},
			&cli.IntFlag{Name: "write-rate", Usage: "writes per second above which calls are refused, 0 for no limit"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	sim := kvsim.New(kvsim.Config{
		MaxValue:  cmd.Int("max-value"),
		ListLag:   cmd.Duration("list-lag"),
		ReadRate:  cmd.Int("read-rate"),
		WriteRate: cmd.Int("write-rate"),
	})
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", cmd.String("listen"))
	if err != nil {
		return err
	}
	// Canceling the base context of the requests ends blocked watches, so that Shutdown doesn't wait for
	// them.
	srv := &http.Server{
		Handler:           sim,
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(lis) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformShutdownTimeout)
	defer cancel()
	err = srv.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		return srv.Close()
	}
	return err
}
