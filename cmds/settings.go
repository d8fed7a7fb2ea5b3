package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"snipewall/conf"
)

// settingsFlag returns the flag for the settings file of an entry VM.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE` of the entry VM", Required: true}
}

func settingsCommand(d *deps) *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check and explain settings",
		Commands: []*cli.Command{
			{
				Name:      "check",
				Usage:     "check settings files without starting anything",
				ArgsUsage: "FILE...",
				Flags:     []cli.Flag{entryFlag()},
				Action: func(_ context.Context, cmd *cli.Command) error {
					check := checkServe
					if cmd.Bool("entry") {
						check = checkEntry
					}
					return checkSettings(d, cmd.Args().Slice(), check)
				},
			},
			{
				Name:  "reference",
				Usage: "print all keys with their defaults",
				Flags: []cli.Flag{entryFlag()},
				Action: func(_ context.Context, cmd *cli.Command) error {
					text := conf.Reference()
					if cmd.Bool("entry") {
						text = conf.EntryReference()
					}
					_, err := fmt.Fprint(d.out, text)
					return err
				},
			},
		},
	}
}

// entryFlag returns the flag that selects the settings of `snipewall entry`.
func entryFlag() cli.Flag {
	return &cli.BoolFlag{Name: "entry", Usage: "settings of `snipewall entry` instead of `snipewall serve`"}
}

// checkSettings checks each file and prints a summary of it. It stops at the first invalid file.
func checkSettings(d *deps, files []string, check func(file string) (string, error)) error {
	if len(files) == 0 {
		return withCode(ExitInvalid, fmt.Errorf("settings check: want at least one FILE argument"))
	}
	for _, file := range files {
		summary, err := check(file)
		if err != nil {
			return withCode(ExitInvalid, err)
		}
		fmt.Fprintf(d.out, "%s: valid, %s\n", file, summary)
	}
	return nil
}

func checkServe(file string) (string, error) {
	s, err := conf.Load(file)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("entry VM %s, %d upstreams", s.VM.ID, len(s.Upstreams)), nil
}

func checkEntry(file string) (string, error) {
	e, err := conf.LoadEntry(file)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("entry VM %s, %d failure domains", e.VM.ID, len(e.Regions)), nil
}
