package dbconn

import (
	"net"
	"syscall"
)

// connected reports whether an idle connection is still open, without waiting. Data that waits
// unasked on an idle connection is the upstream's farewell, unless encryption hides what it is.
// Connections that don't belong to the system count as open.
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
		open = err == syscall.EAGAIN || n > 0 && encrypted
		return true
	})
	return err == nil && open
}
