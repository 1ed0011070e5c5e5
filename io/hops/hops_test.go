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

const idHeader = "X-Id"

func newPool() *hops.Pool {
	return hops.New(hops.Options{
		Dial: 300 * time.Millisecond, Idle: time.Minute, IdlePerAddress: 4, Silence: time.Second, Whole: 1 << 10,
		Matches: func(req *hops.Request, h http.Header) bool { return h.Get(idHeader) == req.Header.Get(idHeader) },
	})
}

// script answers the requests of each connection in turn with fixed bytes. An empty
// answer closes the connection.
func script(c *qt.C, connections ...[]string) string {
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
	// The connection stays open until the other side closes it.
	_, _ = io.Copy(io.Discard, conn)
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	return string([]byte{byte('0' + n/100), byte('0' + n/10%10), byte('0' + n%10)})
}

type result struct {
	resp *hops.Response
	err  error
}

func do(p *hops.Pool, address, id string) result {
	return send(p, hops.Request{Address: address, Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{idHeader: {id}}})
}

func send(p *hops.Pool, req hops.Request) result {
	done := make(chan result, 1)
	p.Do(req, func(resp *hops.Response, err error) { done <- result{resp, err} })
	select {
	case r := <-done:
		return r
	case <-time.After(5 * time.Second):
		return result{err: errors.New("no end of the call")}
	}
}

func expectBody(c *qt.C, r result, want string) {
	c.Assert(r.err, qt.IsNil)
	c.Assert(string(r.resp.Body), qt.Equals, want)
}

func TestAnswersGoToTheirCalls(t *testing.T) {
	c := qt.New(t)
	p := newPool()
	// The second answer to call a stands before that to call b.
	address := script(c, []string{answer("a", "for a"), answer("a", "again") + answer("b", "for b")})
	expectBody(c, do(p, address, "a"), "for a")
	expectBody(c, do(p, address, "b"), "for b")
}

func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	c := qt.New(t)
	p := newPool()
	address := script(c, []string{answer("a", "for a") + "garbage"}, []string{answer("b", "for b")})
	expectBody(c, do(p, address, "a"), "for a")
	expectBody(c, do(p, address, "b"), "for b")
}

func TestConnectionIsKept(t *testing.T) {
	c := qt.New(t)
	p := newPool()
	address := script(c, []string{answer("a", "1"), answer("b", "2"), answer("c", "3")})
	for _, id := range []string{"a", "b", "c"} {
		c.Assert(do(p, address, id).err, qt.IsNil)
	}
}

func TestBrokenAnswersAreNoAnswers(t *testing.T) {
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
		r := do(newPool(), l.Addr().String(), "a")
		_ = l.Close()
		c.Assert(errors.Is(r.err, world.ErrBroken), qt.IsTrue, qt.Commentf("%q: %v", broken, r.err))
	}
}

func TestAnswerWithoutLengthThatIsResetIsNotWhole(t *testing.T) {
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
		// Unread bytes and no lingering turn the close into a reset.
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	r := do(newPool(), l.Addr().String(), "a")
	c.Assert(errors.Is(r.err, world.ErrBroken), qt.IsTrue, qt.Commentf("%v", r.err))
}

func TestCallThatNeverLeftIsKnown(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	_ = l.Close()
	r := do(newPool(), address, "a")
	c.Assert(errors.Is(r.err, world.ErrNotSent), qt.IsTrue, qt.Commentf("%v", r.err))
}

func TestClosedConnectionIsNotUsedAgain(t *testing.T) {
	c := qt.New(t)
	p := newPool()
	address := script(c, []string{answer("a", "1"), ""}, []string{answer("b", "2")})
	c.Assert(do(p, address, "a").err, qt.IsNil)
	// The other side closes after a request that it does not answer; the next call
	// goes over a new connection.
	c.Assert(errors.Is(do(p, address, "lost").err, world.ErrBroken), qt.IsTrue)
	expectBody(c, do(p, address, "b"), "2")
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

// TestLongBodiesStream sends and receives bodies that are larger than what is held whole.
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

// TestEarlyAnswerEndsTheConnection expects that a connection whose request was not sent
// whole carries no other request: its bytes would stand where the body goes on.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
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
