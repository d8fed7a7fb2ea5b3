package owner

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

var errWithheld = errors.New("the answer is too large to be withheld until the commit is confirmed")

// answer passes an upstream's answer on to the caller. It keeps back the messages that precede any
// result, so that a request can still be redirected or retried, and for a write everything from the
// first CommandComplete on, until the commit is confirmed.
type answer struct {
	w core.ResponseWriter
	// withhold tells to keep everything from the first CommandComplete on.
	withhold bool
	// movable tells that the request may be redirected after a read-only failure.
	movable bool
	max     int

	held  []pgproto3.BackendMessage
	bytes int
	// complete is set once CommandComplete was withheld.
	complete bool
	// passed is set once the caller may have received a message, readOnly once a read-only failure
	// was kept from it.
	passed, readOnly bool
	// retried is set once an earlier try was sent and lost.
	retried bool
	// callerErr is the error of the caller's side.
	callerErr error
	// hedge, if set, allows a second attempt while this one is silent.
	hedge *hedge
	// onFirst is called at the first message. An error ends the answer.
	onFirst func() error
}

// Send takes one message of the upstream's answer.
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
	if failure, ok := msg.(*pgproto3.ErrorResponse); ok && a.redirects(failure) {
		a.readOnly = true
		a.held = nil
		return nil
	}
	if _, ok := msg.(*pgproto3.CommandComplete); ok && a.withhold {
		a.complete = true
	}
	if a.complete || !a.passed && isPrelude(msg) {
		return a.hold(msg)
	}
	if err := a.flush(); err != nil {
		return err
	}
	return a.pass(msg)
}

// redirects reports whether the failure means that a replica got a request for the primary.
func (a *answer) redirects(failure *pgproto3.ErrorResponse) bool {
	return a.movable && !a.passed && failure.Code == core.StateReadOnly
}

// flush passes on the messages that were kept back.
func (a *answer) flush() error {
	held := a.held
	a.held, a.bytes = nil, 0
	for _, msg := range held {
		if err := a.pass(msg); err != nil {
			return err
		}
	}
	return nil
}

// reset forgets the messages that were kept back, before a retry.
func (a *answer) reset() {
	a.held, a.bytes, a.complete, a.readOnly = nil, 0, false, false
	a.retried = true
}

func (a *answer) pass(msg pgproto3.BackendMessage) error {
	a.passed = true
	if err := a.w.Send(msg); err != nil {
		a.callerErr = err
		return fmt.Errorf("caller: %w", err)
	}
	return nil
}

func (a *answer) hold(msg pgproto3.BackendMessage) error {
	c, n, err := copyMessage(msg)
	if err != nil {
		return err
	}
	a.bytes += n
	if a.bytes > a.max {
		return errWithheld
	}
	a.held = append(a.held, c)
	return nil
}

// isPrelude reports whether the message comes before any result of the statement.
func isPrelude(msg pgproto3.BackendMessage) bool {
	switch msg.(type) {
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.NoData,
		*pgproto3.ParameterDescription, *pgproto3.RowDescription:
		return true
	}
	return false
}

// copyMessage returns a copy that stays valid after the call of Send, and its encoded size.
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
