package front

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"snipewall/core/budget"
)

const (
	// readBufferSize is the size of the pooled read buffers.
	readBufferSize = 8 << 10
	// bodyChunkSize is the number of bytes allocated for a large message before its body arrives, so that
	// a header alone can't make the reader allocate much memory.
	bodyChunkSize = 64 << 10
	// maxStartupSize is PostgreSQL's limit for the length of a start-up packet in bytes.
	maxStartupSize = 10_000
)

var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// messageTooLargeError reports a message above the size limit. Its body has been skipped, so that the
// connection is still usable.
type messageTooLargeError struct {
	typ       byte
	size, max int
}

func (e *messageTooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", e.size, e.max)
}

// protocolError reports a violation of the protocol, after which the connection can't be used.
type protocolError struct{ reason string }

func (e *protocolError) Error() string { return e.reason }

// reader reads messages. To keep idle connections small, it holds no buffer while it waits for the
// first byte of a message, unlike pgproto3.Backend, which always holds one.
type reader struct {
	conn net.Conn
	// raw gives access to the file descriptor of an unencrypted connection; nil if there is none.
	raw  syscall.RawConn
	buf  *[readBufferSize]byte
	r, w int
	// memory accounts for messages. kept is the size of earlier ones that still count.
	memory *budget.Account
	kept   int
	// stall is the time in which progressBytes more of a message must arrive, unless it ends before; 0 means no limit. left
	// is what must arrive before the deadline of the connection is set again, and limited is set while there is one.
	stall   time.Duration
	left    int
	limited bool
}

// progressBytes is the part of a message that must arrive within the stall timeout.
const progressBytes = 16 << 10

// fillMessage reads more of a message that has begun, within the stall timeout.
func (rd *reader) fillMessage() error {
	if rd.stall > 0 && rd.left <= 0 {
		if err := rd.conn.SetReadDeadline(time.Now().Add(rd.stall)); err != nil {
			return err
		}
		rd.limited, rd.left = true, progressBytes
	}
	var err error
	rd.memory.Await(func() { err = rd.fill() })
	rd.left -= rd.buffered()
	return err
}

// endMessage ends the time limit of a message.
func (rd *reader) endMessage() error {
	if !rd.limited {
		return nil
	}
	rd.limited, rd.left = false, 0
	return rd.conn.SetReadDeadline(time.Time{})
}

// buffered returns the number of bytes that were received but not consumed yet.
func (rd *reader) buffered() int { return rd.w - rd.r }

// release returns the buffer to the pool if it is empty.
func (rd *reader) release() {
	if rd.buf != nil && rd.r == rd.w {
		readBuffers.Put(rd.buf)
		rd.buf, rd.r, rd.w = nil, 0, 0
	}
}

// discard drops what is buffered and returns the buffer to the pool.
func (rd *reader) discard() {
	rd.r = rd.w
	rd.release()
}

// fill reads more bytes, at least one.
func (rd *reader) fill() error {
	if rd.buf == nil {
		return rd.fillFirst()
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

// fillFirst waits until bytes arrive, and only then takes a buffer from the pool to read them into.
func (rd *reader) fillFirst() error {
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
	var readErr error
	err := rd.raw.Read(func(fd uintptr) bool {
		buf := readBuffers.Get().(*[readBufferSize]byte)
		for {
			n, readErr = syscall.Read(int(fd), buf[:])
			if !errors.Is(readErr, syscall.EINTR) {
				break
			}
		}
		if n > 0 {
			rd.buf, rd.w = buf, n
			return true
		}
		readBuffers.Put(buf)
		return !errors.Is(readErr, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return err
	case readErr != nil:
		return readErr
	case n == 0:
		return io.EOF
	}
	return nil
}

// peek returns the next n bytes without consuming them. n is at most the size of the buffer.
func (rd *reader) peek(n int) ([]byte, error) {
	for rd.buffered() < n {
		if err := rd.fillMessage(); err != nil {
			if rd.buffered() > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return rd.buf[rd.r : rd.r+n], nil
}

// body reads n bytes into newly allocated memory, so that messages can refer to it for as long as an
// executor needs them.
func (rd *reader) body(n int) ([]byte, error) {
	if n > budget.FreeBytes && !rd.memory.Hold(context.Background(), int64(rd.kept+min(n, bodyChunkSize))) {
		return nil, budget.ErrSpent
	}
	body := make([]byte, 0, min(n, bodyChunkSize))
	for len(body) < n {
		if len(body) == cap(body) {
			size := min(n, 2*cap(body))
			// Both are held while the body moves.
			if !rd.memory.Hold(context.Background(), int64(rd.kept+cap(body)+size)) {
				return nil, budget.ErrSpent
			}
			body = append(make([]byte, 0, size), body...)
		}
		if rd.buffered() == 0 {
			if err := rd.fillMessage(); err != nil {
				return nil, err
			}
		}
		k := min(rd.buffered(), cap(body)-len(body))
		body = append(body, rd.buf[rd.r:rd.r+k]...)
		rd.r += k
	}
	rd.release()
	return body, nil
}

func (rd *reader) skip(n int) error {
	for n > 0 {
		if rd.buffered() == 0 {
			if err := rd.fillMessage(); err != nil {
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
	if n < 4 || n > maxStartupSize {
		return nil, &protocolError{reason: fmt.Sprintf("invalid length of start-up packet: %d", n+4)}
	}
	rd.r += 4
	return rd.body(n)
}

// message reads the next message and returns it with its size. The message stays valid after the next
// call.
func (rd *reader) message(limit int) (pgproto3.FrontendMessage, int, error) {
	head, err := rd.peek(5)
	if err != nil {
		return nil, 0, err
	}
	typ := head[0]
	n := int(int32(binary.BigEndian.Uint32(head[1:]))) - 4
	msg := newMessage(typ)
	if msg == nil {
		return nil, 0, &protocolError{reason: fmt.Sprintf("unknown message type 0x%02x", typ)}
	}
	if n < 0 {
		return nil, 0, &protocolError{reason: fmt.Sprintf("invalid message length %d", n+4)}
	}
	rd.r += 5
	if n > limit {
		if err := errors.Join(rd.skip(n), rd.endMessage()); err != nil {
			return nil, 0, err
		}
		return msg, n, &messageTooLargeError{typ: typ, size: n, max: limit}
	}
	body, err := rd.body(n)
	if err != nil {
		return nil, 0, err
	}
	if err := rd.endMessage(); err != nil {
		return nil, 0, err
	}
	if err := msg.Decode(body); err != nil {
		return nil, 0, &protocolError{reason: err.Error()}
	}
	return msg, n, nil
}

// newMessage returns an empty message of the type, or nil if the type is unknown.
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
