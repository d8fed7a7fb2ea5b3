package cmds

import (
	"context"
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
	// memoryShare is the part of the memory limit that the runtime's heap may use; the rest is for
	// stacks of the kernel's side, socket buffers and a spike.
	memoryShare = 0.7
	// gcPercent lets the heap grow by this much between collections. The heap is a few megabytes, so
	// that memory costs more than the collector's processor time.
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
	// Signals are handled before anything else: a SIGHUP that comes earlier would end the process.
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	s, err := conf.LoadEntry(path)
	if err != nil {
		return withCode(ExitInvalid, err)
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	out := logbuf.New(logbuf.Config{Out: os.Stdout})
	logCtx, endLog := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- out.Run(logCtx) }()
	logger := entryLogger(out, s)
	reloads := make(chan struct{})
	go func() {
		defer close(reloads)
		reload(ctx, hups, path, logger)
	}()
	err = platform.Run(ctx, platform.Config{Settings: s, Log: logger})
	stop()
	<-reloads
	endLog()
	if logErr := <-ended; err == nil {
		err = logErr
	}
	return err
}

func entryLogger(out *logbuf.Writer, s *conf.Entry) log.Logger {
	logger := log.With(log.NewJSONLogger(out), "Time", log.DefaultTimestampUTC, "VM", s.VM.ID)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(s.Log.Level, level.InfoValue())))
}

// reload checks the settings file at each SIGHUP. All settings in it describe the VM itself and its
// addresses, so that a changed one takes effect with the next start.
func reload(ctx context.Context, hups <-chan os.Signal, path string, logger log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
		}
		if _, err := conf.LoadEntry(path); err != nil {
			level.Error(logger).Log("Msg", "changed settings are invalid", "Err", err)
			continue
		}
		level.Info(logger).Log("Msg", "settings reloaded")
	}
}
