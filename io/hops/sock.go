package hops

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Settings of the TCP keep-alive probes. Without them, the loss of the peer goes unnoticed
// while nothing is sent.
const (
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// KeepAlive returns the TCP keep-alive settings for the sockets of a node.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// NewDialer returns a dialer whose connections fail when the peer stops acknowledging.
func NewDialer(timeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			return SetSilence(raw, ackTimeout)
		},
	}
}

// SetSilence sets TCP_USER_TIMEOUT, the maximum time that sent bytes may stay
// unacknowledged on a socket. A timeout of 0 or less leaves the socket unchanged.
func SetSilence(raw syscall.RawConn, ackTimeout time.Duration) error {
	if ackTimeout <= 0 {
		return nil
	}
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// isReusable reports whether an idle connection is open and has no unread bytes.
func isReusable(c *conn) bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
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
		_, err := unix.Read(int(fd), b[:])
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
