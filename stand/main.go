// Command standin runs stand-ins for the systems around snipewall: a database upstream and the
// platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() { os.Exit(run(os.Args)) }

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins for the systems around snipewall",
		Commands: []*cli.Command{platformCommand()},
	}
	if err := cmd.Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}
