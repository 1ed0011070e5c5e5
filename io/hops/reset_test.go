package hops_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"wagtailyoke/core/world"
	"wagtailyoke/io/hops"
)

// upload is a request body that waits for open and then has bytes until it is closed.
type upload struct {
	open   <-chan struct{}
	closed atomic.Bool
}

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	<-u.open
	if u.closed.Load() {
		return 0, io.EOF
	}
	for i := range p {
		p[i] = 'u'
	}
	return len(p), nil
}

func opened() <-chan struct{} {
	open := make(chan struct{})
	close(open)
	return open
}

// listenConns starts a server that passes each connection to serve and closes it afterwards.
func listenConns(c *qt.C, serve func(*net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// listenEarly starts a server that answers each request at once with the given bytes, without reading its
// body, and then passes the connection to end.
func listenEarly(c *qt.C, answer string, end func(*net.TCPConn)) string {
	return listenConns(c, func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		end(conn)
	})
}

// reset closes a connection so that the peer sees a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// closeWriting ends the answer and reads on for a while, then closes the connection.
func closeWriting(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, _ = io.Copy(io.Discard, conn)
}

func keepReading(conn *net.TCPConn) { _, _ = io.Copy(io.Discard, conn) }

func post(p *hops.Pool, address string, rest io.Reader, length int64) result {
	return send(p, hops.Request{Address: address, Method: http.MethodPost, URI: "/", Host: "h",
		Header: http.Header{idHeader: {"a"}}, Body: []byte("begin"), Rest: rest, Length: length})
}

// readAll returns the whole body of a response.
func readAll(r result) (string, error) {
	if r.err != nil || r.resp.Rest == nil {
		return string(bodyOf(r)), r.err
	}
	rest, err := io.ReadAll(r.resp.Rest)
	return string(bodyOf(r)) + string(rest), err
}

func bodyOf(r result) []byte {
	if r.resp == nil {
		return nil
	}
	return r.resp.Body
}

const (
	withoutLength = "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n\r\n"
	withClose     = "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nConnection: close\r\n\r\n"
	oldVersion    = "HTTP/1.0 200 OK\r\n" + idHeader + ": a\r\n\r\n"
)

// uploadLengths are a length that no test reaches, and an unknown one.
var uploadLengths = []int64{1 << 40, -1}

// TestResetSeenByTheUploadFails lets the upload fail before the rest of the response is read: the write takes
// the reset, and the read after it sees the end of the stream.
func TestResetSeenByTheUploadFails(t *testing.T) {
	for name, head := range map[string]string{"no length": withoutLength, "close": withClose, "HTTP/1.0": oldVersion} {
		for _, length := range uploadLengths {
			t.Run(name, func(t *testing.T) {
				c := qt.New(t)
				isReset := make(chan struct{})
				address := listenEarly(c, head+strings.Repeat("p", 3000), func(conn *net.TCPConn) {
					// The response is streamed once more than Options.Whole bytes of it have arrived.
					time.Sleep(20 * time.Millisecond)
					reset(conn)
					close(isReset)
				})
				body := &upload{open: isReset}
				r := post(newPool(), address, body, length)
				c.Assert(r.err, qt.IsNil)
				<-isReset
				time.Sleep(50 * time.Millisecond)
				got, err := readAll(r)
				c.Assert(err, qt.IsNotNil, qt.Commentf("%d bytes passed for the whole response", len(got)))
				body.closed.Store(true)
			})
		}
	}
}

// TestResetDuringUploadFails resets connections while their upload is written. Whether the upload or the
// response sees the reset differs from run to run.
func TestResetDuringUploadFails(t *testing.T) {
	const runs = 100
	for name, size := range map[string]int{"empty": 0, "buffered": 100, "streamed": 3000} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			whole := 0
			for i := range runs {
				pause := time.Duration(i%4) * 300 * time.Microsecond
				address := listenEarly(c, withoutLength+strings.Repeat("p", size), func(conn *net.TCPConn) {
					time.Sleep(pause)
					reset(conn)
				})
				body := &upload{open: opened()}
				if _, err := readAll(post(newPool(), address, body, uploadLengths[i%2])); err == nil {
					whole++
				}
				body.closed.Store(true)
			}
			c.Assert(whole, qt.Equals, 0, qt.Commentf("of %d responses", runs))
		})
	}
}

// TestEarlyResponseIsWhole checks responses that end before their upload. The server reads on, or closes the
// connection after the end of its response.
func TestEarlyResponseIsWhole(t *testing.T) {
	const runs = 20
	long := strings.Repeat("p", 3000)
	for name, test := range map[string]struct {
		answer, want string
		end          func(*net.TCPConn)
	}{
		"length, kept":               {answer("a", "early"), "early", keepReading},
		"length, reset later":        {answer("a", "early"), "early", func(conn *net.TCPConn) { time.Sleep(10 * time.Millisecond); reset(conn) }},
		"chunked, kept":              {"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n" + long + "\r\n0\r\n\r\n", long, keepReading},
		"no length, closed":          {withoutLength + "early", "early", closeWriting},
		"no length, long, closed":    {withoutLength + long, long, closeWriting},
		"no length, empty, closed":   {withoutLength, "", closeWriting},
		"no length, close, HTTP/1.0": {oldVersion + long, long, closeWriting},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for i := range runs {
				address := listenEarly(c, test.answer, test.end)
				body := &upload{open: opened()}
				got, err := readAll(post(newPool(), address, body, uploadLengths[i%2]))
				c.Assert(err, qt.IsNil)
				c.Assert(got, qt.Equals, test.want)
				body.closed.Store(true)
			}
		})
	}
}

// TestEarlyResponseIsReadAfterItsConnectionWasClosed reads a response to its end after the server has closed the
// connection and the upload has failed.
func TestEarlyResponseIsReadAfterItsConnectionWasClosed(t *testing.T) {
	c := qt.New(t)
	want := strings.Repeat("p", 3000)
	isClosed := make(chan struct{})
	address := listenEarly(c, withoutLength+want, func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		reset(conn)
		close(isClosed)
	})
	body := &upload{open: isClosed}
	r := post(newPool(), address, body, 1<<40)
	c.Assert(r.err, qt.IsNil)
	<-isClosed
	time.Sleep(50 * time.Millisecond)
	got, err := readAll(r)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, want)
	body.closed.Store(true)
}

// TestStalledUploadDoesNotDelayTheEnd answers and closes while the upload waits for the server to read.
func TestStalledUploadDoesNotDelayTheEnd(t *testing.T) {
	c := qt.New(t)
	done := make(chan struct{})
	c.Cleanup(func() { close(done) })
	address := listenEarly(c, withoutLength+"early", func(conn *net.TCPConn) {
		time.Sleep(100 * time.Millisecond)
		_ = conn.CloseWrite()
		<-done
	})
	body := &upload{open: opened()}
	started := time.Now()
	got, err := readAll(post(newPool(), address, body, 1<<40))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "early")
	c.Assert(time.Since(started) < time.Second, qt.IsTrue)
	body.closed.Store(true)
}

// TestResetBeforeTheHeadIsBroken resets the connection during the upload without any response.
func TestResetBeforeTheHeadIsBroken(t *testing.T) {
	c := qt.New(t)
	r := post(newPool(), listenEarly(c, "", reset), &upload{open: opened()}, -1)
	c.Assert(errors.Is(r.err, world.ErrBroken), qt.IsTrue, qt.Commentf("%v", r.err))
}

// TestSentBytesCount resets connections as soon as the server has read a byte of the request. Such a call must
// not count as unsent.
func TestSentBytesCount(t *testing.T) {
	c := qt.New(t)
	address := listenConns(c, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1))
		reset(conn)
	})
	for range 3000 {
		body := &upload{open: opened()}
		r := post(newPool(), address, body, -1)
		c.Assert(errors.Is(r.err, world.ErrBroken), qt.IsTrue, qt.Commentf("%v", r.err))
		body.closed.Store(true)
	}
}

// countingReader counts the bytes read and closes ended at the end.
type countingReader struct {
	io.Reader
	n     int
	ended chan struct{}
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n += n
	if err != nil {
		close(r.ended)
	}
	return n, err
}

// TestUploadIsReadAfterItFailed resets the connection during an upload. Its caller may send all of it before it
// reads the response, and must not be kept waiting.
func TestUploadIsReadAfterItFailed(t *testing.T) {
	const size = 8 << 20
	c := qt.New(t)
	for name, end := range map[string]func(*net.TCPConn){"reset": reset, "closed": closeWriting} {
		for _, length := range []int64{size + int64(len("begin")), -1} {
			body := &countingReader{Reader: io.LimitReader(&upload{open: opened()}, size), ended: make(chan struct{})}
			_, _ = readAll(post(newPool(), listenEarly(c, withoutLength+strings.Repeat("p", 3000), end), body, length))
			select {
			case <-body.ended:
				c.Assert(body.n, qt.Equals, size)
			case <-time.After(time.Second):
				c.Fatalf("%s: the rest of the upload is not read", name)
			}
		}
	}
}
