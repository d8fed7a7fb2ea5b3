// Package cmds holds the commands of the snipewall program.
//
// # Usage
//
//	os.Exit(cmds.Run(os.Args))
package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Run runs the command line and returns the exit code.
func Run(args []string) int {
	cmd := &cli.Command{
		Name:  "snipewall",
		Usage: "PostgreSQL proxy with session consistency",
	}
	if err := cmd.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, "snipewall:", err)
		return 1
	}
	return 0
}
