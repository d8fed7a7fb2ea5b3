package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"snipewall/conf"
	"snipewall/core"
	"snipewall/core/table"
	"snipewall/io/store"
)

func tableCommand(d *deps) *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "show, check, compare and apply the operators' table",
		Commands: []*cli.Command{
			{
				Name:   "show",
				Usage:  "print the table in the platform's store, with its version, as a file to edit",
				Flags:  []cli.Flag{settingsFlag()},
				Action: func(ctx context.Context, cmd *cli.Command) error { return showTable(ctx, d, cmd) },
			},
			{
				Name:      "check",
				Usage:     "check a table file without applying it",
				ArgsUsage: "FILE",
				Action: func(_ context.Context, cmd *cli.Command) error {
					checkout, _, err := readTable(d, cmd)
					if err != nil {
						return err
					}
					_, err = fmt.Fprintf(d.out, "valid, %d rows\n", len(checkout.Table.Kinds()))
					return err
				},
			},
			{
				Name:      "diff",
				Usage:     "show what applying a table file would change",
				ArgsUsage: "FILE",
				Flags:     []cli.Flag{settingsFlag()},
				Action:    func(ctx context.Context, cmd *cli.Command) error { return diffTable(ctx, d, cmd) },
			},
			{
				Name:      "apply",
				Usage:     "apply a table file and report on which entry VMs it is in force",
				ArgsUsage: "FILE",
				Flags: []cli.Flag{
					settingsFlag(),
					&cli.Uint64Flag{Name: "base", Usage: "version that the file is based on, 0 for none; needed if the file doesn't contain it"},
					&cli.BoolFlag{Name: "merge", Usage: "merge the edit with edits of other rows made since its base version"},
					&cli.DurationFlag{Name: "wait", Value: defaultWait, Usage: "how long to wait until it is in force on all entry VMs, 0 to return at once"},
				},
				Action: func(ctx context.Context, cmd *cli.Command) error { return applyTable(ctx, d, cmd) },
			},
		},
	}
}

// readTable reads the table file that the arguments name, or the standard input for "-". The second result
// reports whether the file contains the version that it is based on.
func readTable(d *deps, cmd *cli.Command) (table.Checkout, bool, error) {
	name := cmd.Args().First()
	var data []byte
	var err error
	switch {
	case cmd.Args().Len() != 1:
		return table.Checkout{}, false, withCode(ExitInvalid, fmt.Errorf("want exactly one FILE argument"))
	case name == "-":
		data, err = io.ReadAll(d.in)
	default:
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return table.Checkout{}, false, err
	}
	checkout, hasVersion, err := table.ParseCheckout(data)
	if err != nil {
		return table.Checkout{}, false, withCode(ExitInvalid, fmt.Errorf("%s: %w", name, err))
	}
	return checkout, hasVersion, nil
}

// newEditor returns an editor of the table in the platform's store, and the store itself.
func newEditor(cmd *cli.Command) (*table.Editor, core.Store, error) {
	s, err := conf.Load(cmd.String("settings"))
	if err != nil {
		return nil, nil, withCode(ExitInvalid, err)
	}
	st, err := store.New(store.Config{Address: "http://" + s.Platform.Address, CallTimeout: s.Platform.Timeout})
	if err != nil {
		return nil, nil, withCode(ExitInvalid, err)
	}
	return table.NewEditor(table.EditorConfig{Store: st}), st, nil
}

func showTable(ctx context.Context, d *deps, cmd *cli.Command) error {
	ed, _, err := newEditor(cmd)
	if err != nil {
		return err
	}
	checkout, err := ed.Read(ctx)
	if err != nil {
		return err
	}
	_, err = d.out.Write(checkout.File())
	return err
}

func diffTable(ctx context.Context, d *deps, cmd *cli.Command) error {
	checkout, _, err := readTable(d, cmd)
	if err != nil {
		return err
	}
	ed, _, err := newEditor(cmd)
	if err != nil {
		return err
	}
	current, err := ed.Read(ctx)
	if err != nil {
		return err
	}
	return printChanges(d, table.Diff(current.Table, checkout.Table))
}

// printChanges prints the changes, one per line.
func printChanges(d *deps, changes table.Changes) error {
	if len(changes) == 0 {
		return nil
	}
	_, err := fmt.Fprintln(d.out, changes)
	return err
}

func applyTable(ctx context.Context, d *deps, cmd *cli.Command) error {
	checkout, hasVersion, err := readTable(d, cmd)
	if err != nil {
		return err
	}
	base := checkout.Version
	if !hasVersion {
		if !cmd.IsSet("base") {
			return withCode(ExitInvalid, errors.New("the file contains no version: start from the output of 'snipewall table show', or set --base"))
		}
		base = core.Version(cmd.Uint64("base"))
	}
	ed, st, err := newEditor(cmd)
	if err != nil {
		return err
	}
	applied, err := ed.Apply(ctx, table.Edit{ID: table.NewEditID(), Base: base, Table: checkout.Table, Merge: cmd.Bool("merge")})
	if err != nil {
		return withCode(editExitCode(err), err)
	}
	fmt.Fprintf(d.out, "accepted as version %d\n", applied.Version)
	// The edit has been accepted, so that a failure to print must not look like a failed edit.
	_ = printChanges(d, applied.Changes)
	return awaitInForce(ctx, d, st, applied.Version, cmd.Duration("wait"))
}

// editExitCode returns the exit code of a failed edit.
func editExitCode(err error) int {
	var conflict *table.ConflictError
	var outcome *table.OutcomeError
	switch {
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &outcome):
		return ExitUnknown
	default:
		return ExitFailure
	}
}
