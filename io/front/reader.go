package front

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// readBufferSize is the size of the pooled read buffers.
	readBufferSize = 8 << 10
	// bodyStep is how much of a large message is allocated before its bytes have arrived, so that
	// a header alone can't claim much memory.
	bodyStep = 64 << 10
	// maxStartup is the limit of a start-up packet in PostgreSQL.
	maxStartup = 10_000
)

var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// errTooLarge reports a message above the limit. Its body has been skipped.
type errTooLarge struct {
	typ       byte
	size, max int
}

func (e *errTooLarge) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", e.size, e.max)
}

// errProtocol reports bytes that aren't a message.
type errProtocol struct{ reason string }

func (e *errProtocol) Error() string { return e.reason }

// reader reads messages. It holds no buffer while it waits for the first byte of a message, which
// is what keeps idle connections small; pgproto3.Backend holds one for its whole life.
type reader struct {
	conn net.Conn
	// raw gives access to the descriptor of an unencrypted connection, or is nil.
	raw  syscall.RawConn
	buf  *[readBufferSize]byte
	r, w int
}

// buffered returns the number of bytes that were read and not consumed yet.
func (rd *reader) buffered() int { return rd.w - rd.r }

// release gives the buffer back if it is empty.
func (rd *reader) release() {
	if rd.buf != nil && rd.r == rd.w {
		readBuffers.Put(rd.buf)
		rd.buf, rd.r, rd.w = nil, 0, 0
	}
}

// drop gives the buffer back, whatever it contains.
func (rd *reader) drop() {
	rd.r = rd.w
	rd.release()
}

// fill reads more bytes, at least one.
func (rd *reader) fill() error {
	if rd.buf == nil {
		return rd.first()
	}
	if rd.r > 0 {
		rd.w = copy(rd.buf[:], rd.buf[rd.r:rd.w])
		rd.r = 0
	}
	n, err := rd.conn.Read(rd.buf[rd.w:])
	rd.w += n
	if n > 0 {
		return nil
	}
	return err
}

// first waits for bytes without a buffer, then reads into one from the pool.
func (rd *reader) first() error {
	if rd.raw == nil {
		var one [1]byte
		if _, err := io.ReadFull(rd.conn, one[:]); err != nil {
			return err
		}
		rd.buf = readBuffers.Get().(*[readBufferSize]byte)
		rd.buf[0], rd.w = one[0], 1
		return nil
	}
	var n int
	var rerr error
	err := rd.raw.Read(func(fd uintptr) bool {
		buf := readBuffers.Get().(*[readBufferSize]byte)
		for {
			n, rerr = syscall.Read(int(fd), buf[:])
			if !errors.Is(rerr, syscall.EINTR) {
				break
			}
		}
		if n > 0 {
			rd.buf, rd.w = buf, n
			return true
		}
		readBuffers.Put(buf)
		return !errors.Is(rerr, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return err
	case rerr != nil:
		return rerr
	case n == 0:
		return io.EOF
	}
	return nil
}

// peek makes n bytes available, at most the size of the buffer.
func (rd *reader) peek(n int) ([]byte, error) {
	for rd.buffered() < n {
		if err := rd.fill(); err != nil {
			if rd.buffered() > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return rd.buf[rd.r : rd.r+n], nil
}

// body reads n bytes into memory of its own, which the messages of a request may refer to for as
// long as an executor needs them.
func (rd *reader) body(n int) ([]byte, error) {
	body := make([]byte, 0, min(n, bodyStep))
	for len(body) < n {
		if rd.buffered() == 0 {
			if err := rd.fill(); err != nil {
				return nil, err
			}
		}
		k := min(rd.buffered(), n-len(body))
		body = append(body, rd.buf[rd.r:rd.r+k]...)
		rd.r += k
	}
	rd.release()
	return body, nil
}

// skip discards n bytes.
func (rd *reader) skip(n int) error {
	for n > 0 {
		if rd.buffered() == 0 {
			if err := rd.fill(); err != nil {
				return err
			}
		}
		k := min(rd.buffered(), n)
		rd.r += k
		n -= k
	}
	rd.release()
	return nil
}

// startup reads a start-up packet without its length.
func (rd *reader) startup() ([]byte, error) {
	head, err := rd.peek(4)
	if err != nil {
		return nil, err
	}
	n := int(int32(binary.BigEndian.Uint32(head))) - 4
	if n < 4 || n > maxStartup {
		return nil, &errProtocol{reason: fmt.Sprintf("invalid length of start-up packet: %d", n+4)}
	}
	rd.r += 4
	return rd.body(n)
}

// message reads the next message. The message is the caller's own and stays valid.
func (rd *reader) message(limit int) (pgproto3.FrontendMessage, int, error) {
	head, err := rd.peek(5)
	if err != nil {
		return nil, 0, err
	}
	typ := head[0]
	n := int(int32(binary.BigEndian.Uint32(head[1:]))) - 4
	msg := newMessage(typ)
	if msg == nil {
		return nil, 0, &errProtocol{reason: fmt.Sprintf("unknown message type 0x%02x", typ)}
	}
	if n < 0 {
		return nil, 0, &errProtocol{reason: fmt.Sprintf("invalid message length %d", n+4)}
	}
	rd.r += 5
	if n > limit {
		if err := rd.skip(n); err != nil {
			return nil, 0, err
		}
		return msg, n, &errTooLarge{typ: typ, size: n, max: limit}
	}
	body, err := rd.body(n)
	if err != nil {
		return nil, 0, err
	}
	if err := msg.Decode(body); err != nil {
		return nil, 0, &errProtocol{reason: err.Error()}
	}
	return msg, n, nil
}

// newMessage returns an empty message of the type, or nil.
func newMessage(typ byte) pgproto3.FrontendMessage {
	switch typ {
	case 'Q':
		return &pgproto3.Query{}
	case 'P':
		return &pgproto3.Parse{}
	case 'B':
		return &pgproto3.Bind{}
	case 'D':
		return &pgproto3.Describe{}
	case 'E':
		return &pgproto3.Execute{}
	case 'S':
		return &pgproto3.Sync{}
	case 'H':
		return &pgproto3.Flush{}
	case 'C':
		return &pgproto3.Close{}
	case 'X':
		return &pgproto3.Terminate{}
	case 'F':
		return &pgproto3.FunctionCall{}
	case 'd':
		return &pgproto3.CopyData{}
	case 'c':
		return &pgproto3.CopyDone{}
	case 'f':
		return &pgproto3.CopyFail{}
	case 'p':
		return &pgproto3.PasswordMessage{}
	default:
		return nil
	}
}
