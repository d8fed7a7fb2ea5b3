package dbconn

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// cancelTimeout limits a cancel request.
	cancelTimeout = time.Second
	// maxCancels limits the concurrent cancel requests to one upstream. Above the limit, statements
	// aren't canceled and run to their end.
	maxCancels = 8
)

// isDisconnected reports whether the upstream has closed the connection, so that nothing is left to
// cancel.
func isDisconnected(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// cancel asks the upstream to cancel the statement that runs on a connection which is about to be
// closed. Closing the connection doesn't end the statement, which would continue to occupy a slot.
func (u *Upstream) cancel(pc *pgconn.PgConn) {
	select {
	case u.cancels <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-u.cancels }()
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		// An error needs no handling, since the statement eventually ends without the cancel request.
		_ = pc.CancelRequest(ctx)
	}()
}

// awaitCancels waits for the cancel requests in progress.
func (u *Upstream) awaitCancels() {
	for range maxCancels {
		u.cancels <- struct{}{}
	}
	for range maxCancels {
		<-u.cancels
	}
}
