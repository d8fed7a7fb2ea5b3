package cmds

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"snipewall/conf"
	"snipewall/io/logbuf"
	"snipewall/platform"
)

const (
	// memoryLimitFraction is the part of the process's memory limit that is given to the Go runtime. The
	// rest is for kernel stacks, socket buffers and peaks.
	memoryLimitFraction = 0.7
	// gcPercent is lower than the default of 100: the heap has a few megabytes, so that collections are
	// cheap and memory is the scarcer resource.
	gcPercent = 60
)

func entryCommand(*deps) *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry VM on a hosting platform until SIGTERM, then stop gracefully",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runEntry(ctx, cmd.String("settings"))
		},
	}
}

func runEntry(ctx context.Context, path string) error {
	// Handlers are installed first, since a SIGHUP without a handler would kill the process.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	s, err := conf.LoadEntry(path)
	if err != nil {
		return withCode(ExitInvalid, err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Memory)))
	out := logbuf.New(logbuf.Config{Out: os.Stdout})
	logCtx, endLog := context.WithCancel(context.WithoutCancel(ctx))
	logDone := make(chan error, 1)
	go func() { logDone <- out.Run(logCtx) }()
	logger := entryLogger(out, s)
	checksDone := make(chan struct{})
	go func() {
		defer close(checksDone)
		checkSettingsOnSIGHUP(ctx, sighups, path, logger)
	}()
	err = platform.Run(ctx, platform.Config{Settings: s, Log: logger, RequestLog: entryLogger(out.Requests(), s)})
	stop()
	<-checksDone
	endLog()
	if logErr := <-logDone; err == nil {
		err = logErr
	}
	return err
}

func entryLogger(out io.Writer, s *conf.Entry) log.Logger {
	logger := log.With(log.NewJSONLogger(out), "Time", log.DefaultTimestampUTC, "VM", s.VM.ID)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(s.Log.Level, level.InfoValue())))
}

// checkSettingsOnSIGHUP validates the settings file on each SIGHUP and logs the result. It applies nothing:
// the settings describe the VM and its addresses, so that changes take effect at the next start.
func checkSettingsOnSIGHUP(ctx context.Context, sighups <-chan os.Signal, path string, logger log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
		}
		if _, err := conf.LoadEntry(path); err != nil {
			level.Error(logger).Log("Msg", "changed settings are invalid", "Err", err)
			continue
		}
		level.Info(logger).Log("Msg", "settings reloaded")
	}
}
