package assign

import (
	"context"
	"errors"

	"snipewall/core"
)

// task is a service that runs in a goroutine of its own.
type task struct {
	cancel context.CancelFunc
	end    chan error
}

func startTask(ctx context.Context, s core.Service) *task {
	ctx, cancel := context.WithCancel(ctx)
	t := &task{cancel: cancel, end: make(chan error, 1)}
	go func() { t.end <- s.Run(ctx) }()
	return t
}

// stop ends the service and waits for it.
func (t *task) stop() error {
	t.cancel()
	if err := <-t.end; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
