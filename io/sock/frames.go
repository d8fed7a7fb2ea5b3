package sock

import (
	"errors"
	"io"

	"snipewall/core/budget"
)

// errFrameTooLarge reports a frame above its limit.
var errFrameTooLarge = errors.New("frame is too large")

// FrameReader limits the frames that a decoder of encoding/gob reads, and accounts for them. The decoder holds a frame as
// it was received, and then what it has decoded.
type FrameReader struct {
	R io.Reader
	// Account is nil if there is no limit for all connections together.
	Account *budget.Account
	// Kept is what the connection holds between frames, in bytes.
	Kept      int64
	remaining int64
	size      int64
	one       [1]byte
}

// frameCopies is how often a frame is held while it is decoded and handled.
const frameCopies = 2

// Begin begins the next frame, which may have so many bytes. What the last one held beyond Kept is given back. It reports
// false if there is no memory for Kept.
func (r *FrameReader) Begin(maxBytes int64) bool {
	r.remaining, r.size = maxBytes, 0
	return r.Account == nil || r.Account.TryHold(r.Kept)
}

// Read implements io.Reader.
func (r *FrameReader) Read(p []byte) (n int, err error) {
	if r.remaining <= 0 {
		return 0, errFrameTooLarge
	}
	p = p[:min(int64(len(p)), r.remaining)]
	if r.Account == nil {
		n, err = r.R.Read(p)
	} else {
		r.Account.Await(func() { n, err = r.R.Read(p) })
	}
	r.remaining -= int64(n)
	r.size += int64(n)
	if r.Account != nil && !r.Account.TryHold(r.Kept+frameCopies*r.size) {
		return n, budget.ErrSpent
	}
	return n, err
}

// ReadByte implements io.ByteReader, so that the decoder reads no further than its frame.
func (r *FrameReader) ReadByte() (byte, error) {
	for {
		if n, err := r.Read(r.one[:]); n == 1 || err != nil {
			return r.one[0], err
		}
	}
}
