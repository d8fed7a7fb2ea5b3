// Package cmds holds the commands of the snipewall program. Each command checks its arguments,
// calls the packages that do the work, and turns their errors into an exit code.
//
// # Usage
//
//	os.Exit(cmds.Run(os.Args))
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailure is any other failure.
	ExitFailure = 1
	// ExitInvalid says that the settings, the table or the arguments are invalid.
	ExitInvalid = 2
	// ExitConflict says that the table in force has changed since the edit's base.
	ExitConflict = 3
	// ExitUnknown says that an edit may or may not have been accepted.
	ExitUnknown = 4
)

// exitError carries the exit code of a failed command.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// withCode attaches an exit code to err, or returns nil.
func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// deps is what all commands share.
type deps struct {
	out io.Writer
	in  io.Reader
}

// Run runs the command line and returns the exit code.
func Run(args []string) int {
	d := &deps{out: os.Stdout, in: os.Stdin}
	err := newRoot(d).Run(context.Background(), args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "snipewall:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailure
}

func newRoot(d *deps) *cli.Command {
	return &cli.Command{
		Name:            "snipewall",
		Usage:           "PostgreSQL proxy with session consistency",
		HideHelpCommand: true,
		Writer:          d.out,
		// Exit codes are chosen in Run, so that the library must not exit by itself.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(d),
			entryCommand(d),
			settingsCommand(d),
			tableCommand(d),
			statusCommand(d),
			dumpCommand(d),
		},
	}
}
