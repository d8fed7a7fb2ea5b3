package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"snipewall/conf"
	"snipewall/core/audit"
	"snipewall/platform"
)

func configurationCommand(d *deps) *cli.Command {
	return &cli.Command{
		Name:  "configuration",
		Usage: "check the operators' configuration of a hosting platform",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check a configuration before it is sent",
			ArgsUsage: "FILE",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "in-force", Usage: "`FILE` with the version in force; reports what differs"},
				&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of an entry VM, whose bounds are checked against the limits"},
				&cli.BoolFlag{Name: "json", Usage: "print the findings as JSON"},
			},
			Action: func(_ context.Context, cmd *cli.Command) error { return checkConfiguration(d, cmd) },
		}},
	}
}

func checkConfiguration(d *deps, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return withCode(ExitInvalid, errors.New("configuration check: want one FILE argument"))
	}
	file := cmd.Args().First()
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var inForce []byte
	if name := cmd.String("in-force"); name != "" {
		if inForce, err = os.ReadFile(name); err != nil {
			return err
		}
	}
	var bounds audit.Bounds
	if name := cmd.String("settings"); name != "" {
		e, err := conf.LoadEntry(name)
		if err != nil {
			return withCode(ExitInvalid, err)
		}
		bounds = audit.Bounds{ConfigTarget: e.ConfigTarget, KeyRevocation: e.KeyRevocation}
	}
	findings, err := platform.CheckConfig(data, inForce, bounds)
	if err != nil {
		return withCode(ExitInvalid, err)
	}
	return printFindings(d, cmd, file, findings)
}

// printFindings prints the findings and returns an error if one of them is an error.
func printFindings(d *deps, cmd *cli.Command, file string, findings []platform.Finding) error {
	count := make(map[string]int)
	for _, f := range findings {
		count[f.Severity]++
	}
	if cmd.Bool("json") {
		if findings == nil {
			findings = []platform.Finding{}
		}
		if err := json.NewEncoder(d.out).Encode(findings); err != nil {
			return err
		}
	} else {
		for _, f := range findings {
			fmt.Fprintf(d.out, "%s: %s\n", file, f)
		}
	}
	if n := count[audit.Error.String()]; n > 0 {
		return withCode(ExitInvalid, fmt.Errorf("%s: %d errors", file, n))
	}
	if !cmd.Bool("json") {
		fmt.Fprintf(d.out, "%s: valid, %d warnings, %d changes\n", file, count[audit.Warning.String()], count[audit.Change.String()])
	}
	return nil
}
