// Command bench measures the performance of snipewall.
//
// # Usage
//
//	go run ./bench surge
//	go run ./bench surge --json surge.json
//
// The other commands need a running deployment. The scripts in scripts/ start one.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:  "bench",
		Usage: "measurements of snipewall",
		Commands: []*cli.Command{
			demoCommand(), seedCommand(), overheadCommand(), tcpRelayCommand(), readsCommand(), surgeCommand(),
			sampleCommand(), idleCommand(),
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
