// Command bench measures parts of snipewall.
//
// # Usage
//
//	go run ./bench surge
//	go run ./bench surge --json surge.json
//
// The other subcommands need a running deployment; the scripts in scripts/ start one.
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
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
