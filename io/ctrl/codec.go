package ctrl

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"
	"time"

	"snipewall/io/sock"
)

// codec is a server codec of net/rpc for encoding/gob. Unlike the standard one, it sets deadlines and
// limits the size of a request.
type codec struct {
	conn     net.Conn
	limit    *sock.FrameReader
	dec      *gob.Decoder
	enc      *gob.Encoder
	buf      *bufio.Writer
	idle     time.Duration
	timeout  time.Duration
	maxBytes int64
	close    sync.Once
}

var _ rpc.ServerCodec = (*codec)(nil)

func newCodec(conn net.Conn, idle, timeout time.Duration, maxBytes int64) *codec {
	limit := &sock.FrameReader{R: bufio.NewReader(conn)}
	buf := bufio.NewWriter(conn)
	return &codec{
		conn: conn, limit: limit, dec: gob.NewDecoder(limit), enc: gob.NewEncoder(buf), buf: buf,
		idle: idle, timeout: timeout, maxBytes: maxBytes,
	}
}

// ReadRequestHeader implements rpc.ServerCodec. It waits for the next request until the idle timeout.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return err
	}
	c.limit.Begin(c.maxBytes)
	return c.dec.Decode(r)
}

// ReadRequestBody implements rpc.ServerCodec. If body is nil, it skips the request's body.
func (c *codec) ReadRequestBody(body any) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return err
	}
	return c.dec.Decode(body)
}

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	err := c.conn.SetWriteDeadline(time.Now().Add(c.timeout))
	if err == nil {
		err = c.enc.Encode(r)
	}
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		// net/rpc only logs the error. Closing the connection makes the call fail at the caller.
		_ = c.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() error {
	var err error
	c.close.Do(func() { err = c.conn.Close() })
	return err
}
