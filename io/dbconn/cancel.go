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
	// cancelTime limits a cancel request.
	cancelTime = time.Second
	// cancelLimit is the number of cancel requests that are on the way to one upstream at once. Beyond
	// it, statements run to their end.
	cancelLimit = 8
)

// disconnected reports whether the upstream ended the connection, so that nothing is left to cancel.
func disconnected(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// cancel asks the upstream to stop the statement of a connection that was given up. Closing the
// connection alone leaves the statement running, and it would go on to occupy a slot.
func (u *Upstream) cancel(pc *pgconn.PgConn) {
	select {
	case u.cancels <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-u.cancels }()
		ctx, stop := context.WithTimeout(context.Background(), cancelTime)
		defer stop()
		// The statement ends sooner or later without it, so that an error needs no handling.
		_ = pc.CancelRequest(ctx)
	}()
}

// awaitCancels waits for the end of the cancel requests on the way.
func (u *Upstream) awaitCancels() {
	for range cancelLimit {
		u.cancels <- struct{}{}
	}
	for range cancelLimit {
		<-u.cancels
	}
}
