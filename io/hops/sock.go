package hops

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Keep-alive probes find a connection whose other side is cut off, which shows no other
// sign while nothing is sent.
const (
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// KeepAlive is the setting of the probes for sockets of a node.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

// NewDialer returns a dialer whose connections find a silent other side.
func NewDialer(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			return SetSilence(raw, silence)
		},
	}
}

// SetSilence bounds how long sent bytes may stay unacknowledged on a socket.
func SetSilence(raw syscall.RawConn, silence time.Duration) error {
	if silence <= 0 {
		return nil
	}
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// isQuiet reports whether an unused connection is open and holds no unread bytes.
func isQuiet(c *conn) bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := unix.Read(int(fd), b[:])
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
