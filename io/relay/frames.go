package relay

import (
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core"
)

const (
	// HeartbeatInterval is how often the server sends a heartbeat while a request runs.
	HeartbeatInterval = 200 * time.Millisecond
	// HeartbeatTimeout is how long a client waits for the next frame before it closes the connection.
	// It also limits each write.
	HeartbeatTimeout = time.Second
	// IdleCheckAfter is the idle time after which a connection is pinged before use.
	IdleCheckAfter = time.Second
	// DialTimeout limits the set-up of a connection to another entry VM.
	DialTimeout = 300 * time.Millisecond
	// chunkSize is the number of bytes of an answer that the server buffers before it sends a frame.
	chunkSize = 16 << 10
)

// Request is a frame from the client. With Ping it only asks for an empty answer, and with Index for
// the session's read index on the upstream, which must be the primary.
type Request struct {
	Ping     bool
	Index    bool
	ID       uint64
	Upstream core.UpstreamID
	// InTx runs the request in the connection's open transaction.
	InTx        bool
	Group       core.GroupID
	Kind        core.Kind
	Rank        core.Rank
	Class       core.Class
	Session     core.SessionID
	Position    core.Position
	NeedIndex   bool
	AcceptedAge time.Duration
	RequestID   core.RequestID
	Idempotent  bool
	// Remaining is the time left until the deadline; the clocks of two entry VMs may differ.
	Remaining time.Duration
	// Messages holds the encoded frontend messages.
	Messages []byte
	// Prepared holds the encoded Parse messages that Messages refers to.
	Prepared []byte
}

// Answer is a frame from the server: a heartbeat if it has neither Data nor End, otherwise a part of
// the answer to the request with the same ID. End is set in the last part.
type Answer struct {
	ID   uint64
	Data []byte
	End  *End
}

// End is the outcome of a request. Failure is set if the executor returned an error.
type End struct {
	Status   core.TxStatus
	Position core.Position
	Upstream core.UpstreamID
	SQL      *core.SQLError
	Failure  *Failure
}

// FailureKind is the type of an Executor's error on the wire.
type FailureKind uint8

// Kinds of failures.
const (
	// FailureOther is any other error; Failure.Sent reports whether the request may have run.
	FailureOther FailureKind = iota
	FailureNotRun
	FailureRedirect
	FailureUnknown
	FailureDuplicate
)

// Failure is the wire form of an Executor's error. Sent reports whether anything was sent to the
// upstream, so that the request may have run.
type Failure struct {
	Kind       FailureKind
	State      string
	Reason     string
	RetryAfter time.Duration
	Primary    core.UpstreamID
	Better     core.UpstreamID
	RequestID  core.RequestID
	Sent       bool
}

// newFailure converts an Executor's error to its wire form; sent applies to errors of other types.
func newFailure(err error, sent bool) *Failure {
	var notRun *core.NotRunError
	var redirect *core.RedirectError
	var unknown *core.UnknownOutcomeError
	var duplicate *core.DuplicateError
	switch {
	case errors.As(err, &notRun):
		return &Failure{Kind: FailureNotRun, State: notRun.State, Reason: notRun.Reason, RetryAfter: notRun.RetryAfter}
	case errors.As(err, &redirect):
		return &Failure{Kind: FailureRedirect, Reason: redirect.Reason, Primary: redirect.Primary, Better: redirect.Better}
	case errors.As(err, &unknown):
		return &Failure{Kind: FailureUnknown, Reason: unknown.Reason, Sent: true}
	case errors.As(err, &duplicate):
		return &Failure{Kind: FailureDuplicate, RequestID: duplicate.ID, Sent: true}
	default:
		return &Failure{Kind: FailureOther, Reason: err.Error(), Sent: sent}
	}
}

// err converts the wire form back to an error, and marks the attempt as not run if nothing was sent.
func (f *Failure) err(req *core.Request) error {
	if !f.Sent {
		req.Attempt.ConfirmNotRun()
	}
	switch f.Kind {
	case FailureNotRun:
		return req.Attempt.Refuse(f.State, f.Reason, f.RetryAfter)
	case FailureRedirect:
		return &core.RedirectError{Group: req.Group, Primary: f.Primary, Better: f.Better, Reason: f.Reason}
	case FailureUnknown:
		return &core.UnknownOutcomeError{Reason: f.Reason}
	case FailureDuplicate:
		return &core.DuplicateError{ID: f.RequestID}
	default:
		return core.ErrPeer.New("%s", f.Reason)
	}
}

// newRequest converts a request to its wire form.
func newRequest(req *core.Request, upstream core.UpstreamID) (*Request, error) {
	messages, err := encodeMessages(req.Messages)
	if err != nil {
		return nil, err
	}
	var prepared []byte
	for _, parse := range req.Prepared {
		if prepared, err = parse.Encode(prepared); err != nil {
			return nil, err
		}
	}
	return &Request{
		ID: req.ID, Upstream: upstream, InTx: req.InTx, Group: req.Group, Kind: req.Kind,
		Rank: req.Rank, Class: req.Class, Session: req.Session, Position: req.Position,
		NeedIndex: req.NeedIndex, AcceptedAge: req.AcceptedAge, RequestID: req.RequestID,
		Idempotent: req.Idempotent, Remaining: time.Until(req.Deadline), Messages: messages,
		Prepared: prepared,
	}, nil
}

// request converts the wire form back to a request.
func (r *Request) request() (*core.Request, error) {
	messages, err := decodeMessages(r.Messages)
	if err != nil {
		return nil, err
	}
	prepared, err := decodeMessages(r.Prepared)
	if err != nil {
		return nil, err
	}
	req := &core.Request{
		ID: r.ID, Group: r.Group, Kind: r.Kind, Rank: r.Rank, Class: r.Class, Session: r.Session,
		Position: r.Position, NeedIndex: r.NeedIndex, AcceptedAge: r.AcceptedAge,
		RequestID: r.RequestID, Idempotent: r.Idempotent, InTx: r.InTx,
		Deadline: time.Now().Add(r.Remaining), Messages: messages, Attempt: &core.Attempt{},
	}
	if len(prepared) > 0 {
		req.Prepared = make(map[string]*pgproto3.Parse, len(prepared))
	}
	for _, msg := range prepared {
		parse, ok := msg.(*pgproto3.Parse)
		if !ok {
			return nil, fmt.Errorf("prepared statements hold a %T", msg)
		}
		req.Prepared[parse.Name] = parse
	}
	return req, nil
}

func encodeMessages(msgs []pgproto3.FrontendMessage) ([]byte, error) {
	var buf []byte
	var err error
	for _, msg := range msgs {
		if buf, err = msg.Encode(buf); err != nil {
			return nil, err
		}
	}
	return buf, nil
}

// headerSize is the size of a message's header in bytes: the type byte and the length.
const headerSize = 5

// decodeMessages splits encoded frontend messages. The messages refer to buf.
func decodeMessages(buf []byte) ([]pgproto3.FrontendMessage, error) {
	var msgs []pgproto3.FrontendMessage
	for len(buf) > 0 {
		if len(buf) < headerSize {
			return nil, errors.New("message is cut off in its header")
		}
		size := int(uint32(buf[1])<<24|uint32(buf[2])<<16|uint32(buf[3])<<8|uint32(buf[4])) + 1
		if size < headerSize || size > len(buf) {
			return nil, fmt.Errorf("message length %d does not fit %d bytes", size, len(buf))
		}
		msg, err := newFrontendMessage(buf[0])
		if err != nil {
			return nil, err
		}
		if err := msg.Decode(buf[headerSize:size]); err != nil {
			return nil, err
		}
		msgs = append(msgs, msg)
		buf = buf[size:]
	}
	return msgs, nil
}

func newFrontendMessage(kind byte) (pgproto3.FrontendMessage, error) {
	switch kind {
	case 'Q':
		return &pgproto3.Query{}, nil
	case 'P':
		return &pgproto3.Parse{}, nil
	case 'B':
		return &pgproto3.Bind{}, nil
	case 'D':
		return &pgproto3.Describe{}, nil
	case 'E':
		return &pgproto3.Execute{}, nil
	case 'C':
		return &pgproto3.Close{}, nil
	case 'S':
		return &pgproto3.Sync{}, nil
	case 'H':
		return &pgproto3.Flush{}, nil
	default:
		return nil, fmt.Errorf("message type %q can't be relayed", kind)
	}
}
