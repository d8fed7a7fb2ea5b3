package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// Listen listens on a TCP address. What the kernel has received on an accepted connection and nobody has read takes at most one and a
// half times receiveBytes. The limit is set before connections are accepted, since a peer may send a whole window before
// that.
func Listen(ctx context.Context, address string, receiveBytes int) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error { return setReceiveBuffer(rc, receiveBytes) }}
	return lc.Listen(ctx, "tcp", address)
}

// GrowReceiveBuffer makes the receive buffer of a connection larger, so that a large message takes fewer round trips. The kernel
// fills up to twice the size. It can't be made smaller again: the peer may send what it was once allowed to, and what
// exceeds the buffer would be dropped.
func GrowReceiveBuffer(c net.Conn, receiveBytes int) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return setReceiveBuffer(rc, receiveBytes)
}

func setReceiveBuffer(rc syscall.RawConn, n int) error {
	var optErr error
	err := rc.Control(func(fd uintptr) { optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n) })
	return errors.Join(err, optErr)
}
