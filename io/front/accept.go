package front

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// acceptRetryDelay is the pause after a temporary failure of Accept, such as a lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// shouldRetryAccept reports whether the error of Accept is temporary. If so, it first waits for
// acceptRetryDelay or the end of ctx.
func shouldRetryAccept(ctx context.Context, err error) bool {
	switch {
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE),
		errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM),
		errors.Is(err, syscall.ECONNABORTED):
	default:
		return false
	}
	select {
	case <-time.After(acceptRetryDelay):
	case <-ctx.Done():
	}
	return true
}
