package hops_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"wagtailyoke/core/world"
	"wagtailyoke/io/hops"
)

const (
	idHeader      = "X-Id"
	refusalHeader = "X-Refused"
)

func newPool() *hops.Pool {
	return hops.New(hops.Options{
		Dial: 300 * time.Millisecond, Idle: time.Minute, IdlePerAddress: 4, Silence: time.Second, Whole: 1 << 10,
		Matches:   func(req *hops.Request, h http.Header) bool { return h.Get(idHeader) == req.Header.Get(idHeader) },
		Key:       func(req *hops.Request) string { return req.Header.Get(idHeader) },
		IsRefusal: func(_ int, h http.Header) bool { return h.Get(refusalHeader) != "" },
	})
}

// listenScript starts a server that answers the requests of each connection in order with the
// given bytes. An empty answer closes the connection.
func listenScript(c *qt.C, connections ...[]string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, answers := range connections {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn, answers)
		}
	}()
	return l.Addr().String()
}

func serve(conn net.Conn, answers []string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for _, answer := range answers {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if answer == "" {
			return
		}
		_, _ = io.WriteString(conn, answer)
	}
	// Keep the connection open until the client closes it.
	_, _ = io.Copy(io.Discard, conn)
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + threeDigits(len(body)) + "\r\n\r\n" + body
}

func threeDigits(n int) string {
	return string([]byte{byte('0' + n/100), byte('0' + n/10%10), byte('0' + n%10)})
}

type result struct {
	resp *hops.Response
	err  error
}

func get(p *hops.Pool, address, id string) result {
	return send(p, hops.Request{Address: address, Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{idHeader: {id}}})
}

func send(p *hops.Pool, req hops.Request) result {
	done := make(chan result, 1)
	p.Do(req, func(resp *hops.Response, err error) { done <- result{resp, err} })
	select {
	case r := <-done:
		return r
	case <-time.After(5 * time.Second):
		return result{err: errors.New("call did not end within 5 s")}
	}
}

func expectBody(c *qt.C, r result, want string) {
	c.Assert(r.err, qt.IsNil)
	c.Assert(string(r.resp.Body), qt.Equals, want)
}

func TestResponsesMatchTheirCalls(t *testing.T) {
	c := qt.New(t)
	p := newPool()
	// A duplicate of the response to request a precedes the response to request b.
	address := listenScript(c, []string{answer("a", "for a"), answer("a", "again") + answer("b", "for b")})
	expectBody(c, get(p, address, "a"), "for a")
	expectBody(c, get(p, address, "b"), "for b")
}

func TestTrailingBytesCloseConnection(t *testing.T) {
	c := qt.New(t)
	p := newPool()
	address := listenScript(c, []string{answer("a", "for a") + "garbage"}, []string{answer("b", "for b")})
	expectBody(c, get(p, address, "a"), "for a")
	expectBody(c, get(p, address, "b"), "for b")
}

func TestConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	p := newPool()
	address := listenScript(c, []string{answer("a", "1"), answer("b", "2"), answer("c", "3")})
	for _, id := range []string{"a", "b", "c"} {
		c.Assert(get(p, address, id).err, qt.IsNil)
	}
}

func TestBrokenResponsesFail(t *testing.T) {
	c := qt.New(t)
	for _, broken := range []string{
		"",
		"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 100\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"no answer at all\r\n\r\n",
		strings.Repeat(answer("other", ""), 20),
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, broken)
			}
			_ = conn.Close()
		}()
		r := get(newPool(), l.Addr().String(), "a")
		_ = l.Close()
		c.Assert(errors.Is(r.err, world.ErrBroken), qt.IsTrue, qt.Commentf("%q: %v", broken, r.err))
	}
}

func TestResetResponseWithoutLengthFails(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+idHeader+": a\r\n\r\npart of")
		time.Sleep(50 * time.Millisecond)
		// Unread bytes and a linger time of 0 turn the close into a reset.
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	r := get(newPool(), l.Addr().String(), "a")
	c.Assert(errors.Is(r.err, world.ErrBroken), qt.IsTrue, qt.Commentf("%v", r.err))
}

func TestUnsentCallFailsWithErrNotSent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	_ = l.Close()
	r := get(newPool(), address, "a")
	c.Assert(errors.Is(r.err, world.ErrNotSent), qt.IsTrue, qt.Commentf("%v", r.err))
}

func TestClosedConnectionIsNotUsedAgain(t *testing.T) {
	c := qt.New(t)
	p := newPool()
	address := listenScript(c, []string{answer("a", "1"), ""}, []string{answer("b", "2")})
	c.Assert(get(p, address, "a").err, qt.IsNil)
	// The server closes the connection instead of answering the second request. The
	// next request uses a new connection.
	c.Assert(errors.Is(get(p, address, "lost").err, world.ErrBroken), qt.IsTrue)
	expectBody(c, get(p, address, "b"), "2")
}

func TestCancelClosesTheConnection(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	closed := make(chan error, 1)
	got := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		_, _ = http.ReadRequest(r)
		close(got)
		_, err = r.ReadByte()
		closed <- err
	}()
	done := make(chan error, 1)
	cancel := newPool().Do(hops.Request{Address: l.Addr().String(), Method: http.MethodGet, Header: http.Header{}}, func(_ *hops.Response, err error) { done <- err })
	<-got
	cancel()
	c.Assert(<-closed, qt.Equals, io.EOF)
	c.Assert(errors.Is(<-done, world.ErrBroken), qt.IsTrue)
}

// TestLongBodiesStream sends and receives bodies that are too long to be buffered.
func TestLongBodiesStream(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})}
	go func() { _ = server.Serve(l) }()
	c.Cleanup(func() { _ = server.Close() })
	want := bytes.Repeat([]byte("0123456789abcdef"), 1<<14)
	for _, length := range []int64{int64(len(want)), -1} {
		r := send(newPool(), hops.Request{
			Address: l.Addr().String(), Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{idHeader: {"a"}},
			Body: want[:100], Rest: bytes.NewReader(want[100:]), Length: length,
		})
		c.Assert(r.err, qt.IsNil)
		rest, err := io.ReadAll(r.resp.Rest)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(append(r.resp.Body, rest...), want), qt.IsTrue)
	}
}

// TestEarlyResponseClosesConnection checks that a connection is not reused if the response
// arrived before the request was sent completely: the server would read the next request as
// part of the body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	extra := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, answer("a", "too long"))
		n, _ := io.Copy(io.Discard, r)
		extra <- int(n)
	}()
	p := newPool()
	body, w := io.Pipe()
	r := send(p, hops.Request{Address: l.Addr().String(), Method: http.MethodPost, URI: "/", Host: "h",
		Header: http.Header{idHeader: {"a"}}, Body: []byte("begin"), Rest: body, Length: 1 << 20})
	expectBody(c, r, "too long")
	_ = w.Close()
	c.Assert(<-extra, qt.Equals, len("begin"))
}

// TestShortBodyClosesConnection sends a body that ends before its length. The server takes the bytes that follow
// on the connection for the rest of it.
func TestShortBodyClosesConnection(t *testing.T) {
	c := qt.New(t)
	bodies := make(chan string, 1)
	address := listenConns(c, func(conn *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		begin := make([]byte, len("begin end"))
		n, _ := io.ReadFull(req.Body, begin)
		_, _ = io.WriteString(conn, answer(req.Header.Get(idHeader), "early"))
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		rest, _ := io.ReadAll(req.Body)
		if req.Method == http.MethodPost {
			bodies <- string(begin[:n]) + string(rest)
		}
	})
	p := newPool()
	expectBody(c, post(p, address, strings.NewReader(" end"), 1<<20), "early")
	expectBody(c, get(p, address, "b"), "early")
	c.Assert(<-bodies, qt.Equals, "begin end")
}

// TestHeadThatIsCutIsNoResponse closes the connection after each byte of a response's head.
func TestHeadThatIsCutIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"without length": "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n\r\n",
		"length last":    "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 15\r\n\r\n",
		"chunked last":   "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"line feeds":     "HTTP/1.1 200 OK\n" + idHeader + ": a\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for n := 1; n < len(head); n++ {
				address := listenAndCut(c, head[:n])
				r := send(newPool(), hops.Request{Address: address, Method: "GET", URI: "/", Host: "h", Header: http.Header{idHeader: {"a"}}})
				c.Assert(errors.Is(r.err, world.ErrBroken), qt.IsTrue, qt.Commentf("cut after %q: %v, response %+v", head[:n], r.err, r.resp))
			}
		})
	}
}

// listenAndCut starts a server that answers the first request with some bytes and closes the connection.
func listenAndCut(c *qt.C, answer string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, answer)
		}
		_ = conn.Close()
	}()
	return l.Addr().String()
}
