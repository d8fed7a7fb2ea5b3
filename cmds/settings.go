package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"snipewall/conf"
)

// settingsFlag names the settings file of the entry VM.
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
				Action:    func(_ context.Context, cmd *cli.Command) error { return checkSettings(d, cmd.Args().Slice()) },
			},
			{
				Name:  "reference",
				Usage: "print all keys with their defaults",
				Action: func(context.Context, *cli.Command) error {
					_, err := fmt.Fprint(d.out, conf.Reference())
					return err
				},
			},
		},
	}
}

func checkSettings(d *deps, files []string) error {
	if len(files) == 0 {
		return withCode(ExitInvalid, fmt.Errorf("settings check: name at least one FILE"))
	}
	for _, file := range files {
		s, err := conf.Load(file)
		if err != nil {
			return withCode(ExitInvalid, err)
		}
		fmt.Fprintf(d.out, "%s: valid, entry VM %s, %d upstreams\n", file, s.VM.ID, len(s.Upstreams))
	}
	return nil
}
