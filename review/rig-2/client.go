package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// request is a client's request.
type request struct {
	id, method, path string
	// deadline is how long the client waits.
	deadline time.Duration
	length   int
}

// head returns the request line and the headers.
func (q request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: site\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		q.method, q.path, header("id"), q.id, header("deadline"), q.deadline.Milliseconds(), tenantKey)
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", q.length)
	}
	return b.String() + "\r\n"
}

// Socket options of a client that reads slowly: the segment size of an Ethernet link, and a small receive
// buffer.
const (
	segmentBytes       = 1460
	receiveBufferBytes = 2 << 10
)

// dialSlow opens a connection whose receive window is small.
func dialSlow(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if err := setOption(raw, syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes); err != nil {
			return err
		}
		return setReceiveBuffer(raw, receiveBufferBytes)
	}}
	return d.Dial("tcp", address)
}

// setReceiveBuffer sets the size of a socket's receive buffer, unless it is 0.
func setReceiveBuffer(raw syscall.RawConn, size int) error {
	if size == 0 {
		return nil
	}
	return setOption(raw, syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
}

func setOption(raw syscall.RawConn, level, option, value int) error {
	var optErr error
	err := raw.Control(func(fd uintptr) { optErr = syscall.SetsockoptInt(int(fd), level, option, value) })
	if err != nil {
		return err
	}
	return optErr
}

// slowReader reads at most chunk bytes each interval.
type slowReader struct {
	r        io.Reader
	chunk    int
	interval time.Duration
	next     time.Time
	count    int
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Until(s.next))
	s.next = time.Now().Add(s.interval)
	n, err := s.r.Read(p[:min(len(p), s.chunk)])
	s.count += n
	return n, err
}

// result is what a client got.
type result struct {
	status int
	// isWhole means that the answer was complete.
	isWhole   bool
	body      string
	signature string
	err       error
}

// readResult reads an answer to its end.
func readResult(r *bufio.Reader, method string) result {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, isWhole: err == nil, body: string(body), signature: resp.Header.Get(header("signature")), err: err}
}

// send sends a request without a body on a new connection and reads the answer.
func (s *site) send(n *node, q request) result {
	conn, err := net.DialTimeout("tcp", n.calls, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	s.record.note("client of %s sends %s (%s %s)", n.name, q.id, q.method, q.path)
	if _, err := io.WriteString(conn, q.head()+strings.Repeat("b", q.length)); err != nil {
		return result{err: err}
	}
	got := readResult(bufio.NewReader(conn), q.method)
	s.record.note("client of %s gets %d for %s, whole %v, error %v", n.name, got.status, q.id, got.isWhole, got.err)
	return got
}
