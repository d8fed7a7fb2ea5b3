package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"snipewall/conf"
	"snipewall/server"
)

func serveCommand(*deps) *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry VM until SIGTERM or SIGINT, then stop gracefully",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := conf.Load(cmd.String("settings"))
			if err != nil {
				return withCode(ExitInvalid, err)
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
			defer stop()
			p, err := server.New(server.Config{Settings: s, Log: newLogger(s)})
			if err != nil {
				return err
			}
			return p.Run(ctx)
		},
	}
}

// newLogger returns a logger that writes JSON lines to the standard error.
func newLogger(s *conf.Settings) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(os.Stderr))
	logger = log.With(logger, "Time", log.DefaultTimestampUTC, "VM", s.VM.ID)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(s.Log.Level, level.InfoValue())))
}
