// Package cmds implements the commands of the snipewall program. Each command checks its arguments, calls
// the packages that implement it, and maps their errors to an exit code.
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
	// ExitFailure is the code of failures that have no code of their own.
	ExitFailure = 1
	// ExitInvalid means that the settings, the table or the arguments are invalid.
	ExitInvalid = 2
	// ExitConflict means that the table in force has changed since the version that the edit is based on.
	ExitConflict = 3
	// ExitUnknown means that the outcome of an edit is unknown: it may have been accepted.
	ExitUnknown = 4
)

// exitError is an error with the exit code of the failed command.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// withCode attaches an exit code to err. It returns nil if err is nil.
func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// deps holds the standard streams of the commands.
type deps struct {
	out io.Writer
	in  io.Reader
}

// Run executes the command line args, whose first element is the program's name, and returns the exit code.
// It prints errors to the standard error.
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
		// Run chooses the exit code. Without this handler the library would exit by itself.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(d),
			entryCommand(d),
			settingsCommand(d),
			configurationCommand(d),
			tableCommand(d),
			statusCommand(d),
			dumpCommand(d),
		},
	}
}
