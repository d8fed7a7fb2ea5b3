package dbconn

import (
	"net"
	"syscall"
)

// errorMessage is the type byte of ErrorResponse.
const errorMessage = 'E'

// connected reports whether an idle connection is still open, without waiting. An ErrorResponse that
// waits on an idle connection announces that the upstream has ended it; other messages, such as a
// ParameterStatus after a reload of the upstream's settings, are harmless. Encrypted data can't be
// told apart and counts as harmless. Connections that don't belong to the system count as open.
func connected(c net.Conn, encrypted bool) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || n > 0 && (encrypted || b[0] != errorMessage)
		return true
	})
	return err == nil && open
}
