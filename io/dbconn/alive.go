package dbconn

import (
	"net"
	"syscall"
)

// errorMessage is the type byte of an ErrorResponse.
const errorMessage = 'E'

// isOpen reports, without blocking, whether an idle connection is still open. A pending ErrorResponse
// means that the upstream has closed the connection; other pending messages, such as a ParameterStatus
// after the upstream reloaded its settings, are harmless. The type of encrypted messages is unknown, so
// they count as harmless. Connections without a file descriptor count as open.
func isOpen(c net.Conn, encrypted bool) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	// RawConn.Read would wait for another reader, and fail after a read deadline that has passed.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || n > 0 && (encrypted || b[0] != errorMessage)
	})
	return err == nil && open
}
