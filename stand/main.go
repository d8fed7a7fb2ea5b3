// Command standin simulates the systems that snipewall depends on: a database upstream and the platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// run runs a subcommand until it ends or the process receives SIGINT or SIGTERM.
func run(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins for the systems around snipewall",
		Commands: []*cli.Command{platformCommand(), upstreamCommand()},
	}
	return cmd.Run(ctx, args)
}
