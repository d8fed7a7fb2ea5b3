package assign

import (
	"context"
	"errors"

	"snipewall/core"
)

// task is a service that runs in its own goroutine.
type task struct {
	cancel context.CancelFunc
	exit   chan error
}

func startTask(ctx context.Context, s core.Service) *task {
	ctx, cancel := context.WithCancel(ctx)
	t := &task{cancel: cancel, exit: make(chan error, 1)}
	go func() { t.exit <- s.Run(ctx) }()
	return t
}

// stop stops the service and waits until it has returned.
func (t *task) stop() error {
	t.cancel()
	if err := <-t.exit; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
