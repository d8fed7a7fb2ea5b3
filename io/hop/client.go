package hop

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"time"

	"snipewall/core"
	"snipewall/io/sock"
)

// bufferSize is large enough to read or write a typical batch or answer with one system call.
const bufferSize = 1 << 10

// Conn is a connection to the owner of an upstream. It implements core.LineConn.
type Conn struct {
	conn            net.Conn
	in              *bufio.Reader
	out             *bufio.Writer
	dec             *gob.Decoder
	enc             *gob.Encoder
	welcomePosition core.Position
	// ownerStopping is set once the owner has sent a goodbye.
	ownerStopping bool
	readDeadline  time.Time
	// readErr is the error that made the connection unusable. The decoder can't resume in the middle of
	// a frame.
	readErr error
}

// Dial connects to the entry VM at address, which owns the upstream. The error is a
// *core.RefusedError if the owner is stopping or has no connection to the upstream to offer.
func Dial(ctx context.Context, address string, upstream core.UpstreamID) (*Conn, error) {
	nc, err := sock.Dial(ctx, address)
	if err != nil {
		return nil, core.ErrPeer.Wrap(err)
	}
	c := &Conn{conn: nc, in: bufio.NewReaderSize(nc, bufferSize), out: bufio.NewWriterSize(nc, bufferSize)}
	c.dec, c.enc = gob.NewDecoder(c.in), gob.NewEncoder(c.out)
	if err := c.open(ctx, upstream); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

func (c *Conn) open(ctx context.Context, upstream core.UpstreamID) error {
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.conn.SetDeadline(deadline); err != nil {
			return core.ErrPeer.Wrap(err)
		}
	}
	if err := c.enc.Encode(hello{Upstream: upstream}); err != nil {
		return core.ErrPeer.Wrap(err)
	}
	if err := c.out.Flush(); err != nil {
		return core.ErrPeer.Wrap(err)
	}
	var w welcome
	if err := c.dec.Decode(&w); err != nil {
		return core.ErrPeer.Wrap(err)
	}
	if w.Fault != core.FaultNone {
		return &core.RefusedError{Upstream: upstream, Message: "owner refused: " + w.Fault.String()}
	}
	c.welcomePosition = w.Position
	return core.ErrPeer.Wrap(c.conn.SetDeadline(time.Time{}))
}

// InitialPosition implements core.LineConn.
func (c *Conn) InitialPosition() core.Position { return c.welcomePosition }

// Send implements core.LineConn.
func (c *Conn) Send(cmds []core.Command) error {
	b := batch{Commands: cmds}
	for i := range cmds {
		if d := cmds[i].Deadline; !d.IsZero() {
			b.Left = time.Until(d)
			cmds[i].Deadline = time.Time{}
		}
		if d := cmds[i].StartBy; !d.IsZero() {
			b.Wait = max(time.Until(d), time.Nanosecond)
			cmds[i].StartBy = time.Time{}
		}
	}
	if err := c.enc.Encode(b); err != nil {
		return core.ErrPeer.Wrap(err)
	}
	return core.ErrPeer.Wrap(c.out.Flush())
}

// Receive implements core.LineConn.
func (c *Conn) Receive(deadline time.Time) (core.Answer, error) {
	if c.readErr != nil {
		return core.Answer{}, c.readErr
	}
	if !deadline.Equal(c.readDeadline) {
		if err := c.conn.SetReadDeadline(deadline); err != nil {
			return core.Answer{}, core.ErrPeer.Wrap(err)
		}
		c.readDeadline = deadline
	}
	for {
		// Waits for the first byte outside the decoder, so that a timeout before a frame has begun
		// leaves the decoder usable.
		if _, err := c.in.Peek(1); err != nil {
			return core.Answer{}, err
		}
		var r reply
		if err := c.dec.Decode(&r); err != nil {
			c.readErr = core.ErrPeer.New("decode answer: %v", err)
			return core.Answer{}, c.readErr
		}
		if !r.Goodbye && !r.Answer.Fault.IsKnown() {
			// Another build may report a fault that this one doesn't know. It says nothing about what has run.
			r.Answer.Fault, r.Answer.Text = core.FaultInDoubt, "unknown "+r.Answer.Fault.String()
		}
		if !r.Goodbye {
			return r.Answer, nil
		}
		c.ownerStopping = true
	}
}

// CanPipeline implements core.LineConn.
func (c *Conn) CanPipeline() bool { return true }

// IsIdle implements core.LineConn.
func (c *Conn) IsIdle() bool {
	return !c.ownerStopping && c.readErr == nil && c.in.Buffered() == 0 && sock.IsIdle(c.conn)
}

// Close implements core.LineConn.
func (c *Conn) Close() error { return c.conn.Close() }
