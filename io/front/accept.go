package front

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// acceptRetry is the pause after a failure to accept that passes on its own, such as a lack of file
// descriptors.
const acceptRetry = 50 * time.Millisecond

// retryAccept reports whether the error of Accept is temporary, after a pause.
func retryAccept(ctx context.Context, err error) bool {
	switch {
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE),
		errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM),
		errors.Is(err, syscall.ECONNABORTED):
	default:
		return false
	}
	select {
	case <-time.After(acceptRetry):
	case <-ctx.Done():
	}
	return true
}
