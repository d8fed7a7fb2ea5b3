// Package sock opens, accepts and checks TCP connections. The connections that it opens detect a peer
// that no longer responds.
//
// # Usage
//
//	c, err := sock.Dial(ctx, "10.1.0.8:7440")
//	...
//	if !sock.IsIdle(c) {
//		// The connection is closed, or unexpected data has arrived.
//	}
package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// keepAliveIdle and keepAliveInterval are the times before the first probe and between probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes that close a connection. A peer that no longer
	// responds is detected within about 3 s.
	keepAliveCount = 2
	// userTimeout is how long sent data may stay unacknowledged before the connection is closed.
	userTimeout = 3 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 18
)

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	Control:         setUserTimeout,
}

// Dial connects to address, which has the form host:port.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

// setUserTimeout sets the socket option TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var optErr error
	err := rc.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// IsIdle reports, without blocking, whether the connection is open and nothing has arrived on it.
// Connections without a file descriptor count as idle.
func IsIdle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	// RawConn.Read can't be used: it fails at once if the read deadline has passed, as that of the last
	// answer usually has.
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
	})
	return err == nil && idle
}
