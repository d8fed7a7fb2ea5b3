package owner

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

var errWithheld = errors.New("the answer is too large to be withheld until the commit is confirmed")

// answer forwards an upstream's answer to the caller. It buffers the messages that precede any result,
// so that the request can still be redirected or retried, and for a write everything from the first
// CommandComplete on, until the commit is confirmed.
type answer struct {
	w core.ResponseWriter
	// withhold is set if everything from the first CommandComplete on must be buffered.
	withhold bool
	// redirectable is set if the request may be redirected after a read-only failure.
	redirectable bool
	max          int

	buffered      []pgproto3.BackendMessage
	bufferedBytes int
	// complete is set once a CommandComplete was withheld.
	complete bool
	// forwarded is set once the caller may have received a message, readOnly once a read-only failure
	// was withheld from it.
	forwarded, readOnly bool
	// retried is set once an earlier attempt was sent and its answer was lost.
	retried bool
	// callerErr is the error from writing to the caller.
	callerErr error
	// hedge, if set, may start a second attempt while this one has no answer.
	hedge *hedge
	// onFirst, if set, is called before the first message. If it returns an error, Send fails with it.
	onFirst func() error
}

// Send handles one message of the upstream's answer.
func (a *answer) Send(msg pgproto3.BackendMessage) error {
	if first := a.onFirst; first != nil {
		a.onFirst = nil
		if err := first(); err != nil {
			return err
		}
	}
	if a.readOnly {
		return nil
	}
	if failure, ok := msg.(*pgproto3.ErrorResponse); ok && a.shouldRedirect(failure) {
		a.readOnly = true
		a.buffered = nil
		return nil
	}
	if _, ok := msg.(*pgproto3.CommandComplete); ok && a.withhold {
		a.complete = true
	}
	if a.complete || !a.forwarded && isPrelude(msg) {
		return a.buffer(msg)
	}
	if err := a.flush(); err != nil {
		return err
	}
	return a.forward(msg)
}

// shouldRedirect reports whether the failure means that a request for the primary reached a replica.
func (a *answer) shouldRedirect(failure *pgproto3.ErrorResponse) bool {
	return a.redirectable && !a.forwarded && failure.Code == core.StateReadOnly
}

// flush forwards the buffered messages.
func (a *answer) flush() error {
	messages := a.buffered
	a.buffered, a.bufferedBytes = nil, 0
	for _, msg := range messages {
		if err := a.forward(msg); err != nil {
			return err
		}
	}
	return nil
}

// reset drops the buffered messages before a retry.
func (a *answer) reset() {
	a.buffered, a.bufferedBytes, a.complete, a.readOnly = nil, 0, false, false
	a.retried = true
}

func (a *answer) forward(msg pgproto3.BackendMessage) error {
	a.forwarded = true
	if err := a.w.Send(msg); err != nil {
		a.callerErr = err
		return fmt.Errorf("caller: %w", err)
	}
	return nil
}

func (a *answer) buffer(msg pgproto3.BackendMessage) error {
	c, n, err := copyMessage(msg)
	if err != nil {
		return err
	}
	a.bufferedBytes += n
	if a.bufferedBytes > a.max {
		return errWithheld
	}
	a.buffered = append(a.buffered, c)
	return nil
}

// isPrelude reports whether the message precedes all results of the statement.
func isPrelude(msg pgproto3.BackendMessage) bool {
	switch msg.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.NoData,
		*pgproto3.ParameterDescription, *pgproto3.RowDescription:
		return true
	}
	return false
}

// copyMessage returns a copy that stays valid after Send has returned, and its encoded size.
func copyMessage(msg pgproto3.BackendMessage) (pgproto3.BackendMessage, int, error) {
	switch msg.(type) {
	case *pgproto3.ParseComplete:
		return &pgproto3.ParseComplete{}, 0, nil
	case *pgproto3.BindComplete:
		return &pgproto3.BindComplete{}, 0, nil
	}
	const header = 5
	buf, err := msg.Encode(nil)
	if err != nil {
		return nil, 0, fmt.Errorf("copy of %T: %w", msg, err)
	}
	c, ok := reflect.New(reflect.TypeOf(msg).Elem()).Interface().(pgproto3.BackendMessage)
	if !ok {
		return nil, 0, fmt.Errorf("copy of %T: not a message", msg)
	}
	if err := c.Decode(buf[header:]); err != nil {
		return nil, 0, fmt.Errorf("copy of %T: %w", msg, err)
	}
	return c, len(buf), nil
}
