package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"snipewall/conf"
)

// inspectTimeout limits a request to the admin port of an entry VM.
const inspectTimeout = 5 * time.Second

// adminFlags returns the flags that select an entry VM by its settings or its admin address.
func adminFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE` of the entry VM"},
		&cli.StringFlag{Name: "admin", Usage: "admin address `HOST:PORT` of the entry VM, instead of --settings"},
	}
}

func statusCommand(d *deps) *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show the summary of a running entry VM",
		Flags:  adminFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error { return inspect(ctx, d, cmd, "/status") },
	}
}

func dumpCommand(d *deps) *cli.Command {
	return &cli.Command{
		Name:   "dump",
		Usage:  "show the state of all services of a running entry VM as JSON",
		Flags:  adminFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error { return inspect(ctx, d, cmd, "/dump") },
	}
}

// adminAddress returns the admin address that the flags select.
func adminAddress(cmd *cli.Command) (string, error) {
	if address := cmd.String("admin"); address != "" {
		return address, nil
	}
	if cmd.String("settings") == "" {
		return "", withCode(ExitInvalid, fmt.Errorf("set either --settings or --admin"))
	}
	s, err := conf.Load(cmd.String("settings"))
	if err != nil {
		return "", withCode(ExitInvalid, err)
	}
	return s.Listen.Admin, nil
}

// inspect prints the response of the entry VM's admin port for the path.
func inspect(ctx context.Context, d *deps, cmd *cli.Command, path string) error {
	address, err := adminAddress(cmd)
	if err != nil {
		return err
	}
	return fetch(ctx, address, path, d.out)
}

// fetch copies the response of the admin port for the path to w.
func fetch(ctx context.Context, address, path string, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s answered %s", address, path, res.Status)
	}
	_, err = io.Copy(w, res.Body)
	return err
}
