// Package sock opens and checks TCP connections that notice a peer which has gone silent.
//
// # Usage
//
//	c, err := sock.Dial(ctx, "10.1.0.8:7440")
//	...
//	if !sock.Quiet(c) {
//		// closed, or something unasked has arrived
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
	// keepAliveIdle and keepAliveInterval are the times before and between probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// keepAliveCount probes without an answer close a connection, so that one that went silent is
	// found within about 3 s.
	keepAliveCount = 2
	// userTimeout closes a connection whose sent data isn't acknowledged.
	userTimeout = 3 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
)

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	Control:         setUserTimeout,
}

// Dial connects to host:port.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var optErr error
	err := rc.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// IsIdle reports, without waiting, whether the connection is open and nothing has arrived on it.
func IsIdle(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// RawConn.Read would fail at once, since the deadline of the last answer has usually passed.
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}
