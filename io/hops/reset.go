package hops

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// resetConn is a connection on which a failed write also fails the read that follows. The kernel reports a reset
// or a timeout once, to whichever call comes first. If that is a write, the next read returns io.EOF, like the
// regular end of a response that has no length.
type resetConn struct {
	net.Conn

	// mu is held during a write.
	mu        sync.Mutex
	writeErr  error
	sentBytes int64
}

// Write implements io.Writer.
func (c *resetConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.sentBytes += int64(n)
	if c.writeErr == nil && endsResponse(err) {
		c.writeErr = err
	}
	return n, err
}

// endsResponse reports whether an error of a write means that the rest of a response was lost. EPIPE does not:
// if it is the first error, the peer had ended its response before it closed the connection.
func endsResponse(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read implements io.Reader.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if writeErr := c.finishWrite(); writeErr != nil {
		return n, errors.Wrap(writeErr, "response ended by a failure of the request")
	}
	return n, io.EOF
}

// finishWrite interrupts a write in progress and returns the error that ended the response, if any. The peer has
// closed its side, so the connection takes no further request.
func (c *resetConn) finishWrite() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// hasSent reports whether bytes were sent since startRequest. It waits for a write in progress.
func (c *resetConn) hasSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentBytes > 0
}

// startRequest resets the count of the bytes sent.
func (c *resetConn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentBytes = 0
}
