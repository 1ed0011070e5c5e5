package peer_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"wagtailyoke/core/timer"
	"wagtailyoke/core/wire"
	"wagtailyoke/core/world"
	"wagtailyoke/io/peer"
)

// rawServer starts a server that answers each request with the next of the raw answers,
// counted over all connections. An empty answer closes the connection.
func rawServer(c *qt.C, answers ...string) (address string, requests *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, requests, answers)
		}
	}()
	return l.Addr().String(), requests
}

func serveRaw(conn net.Conn, requests *atomic.Int64, answers []string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		n := int(requests.Add(1)) - 1
		if n >= len(answers) || answers[n] == "" {
			return
		}
		_, _ = conn.Write([]byte(answers[n]))
	}
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func roundTrip(c *qt.C, t http.RoundTripper, method, address string, body []byte) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+address+"/x", bytes.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Idempotency-Key", "k")
	type result struct {
		body []byte
		err  error
	}
	results := make(chan result, 1)
	peer.RoundTrip(t, req, func(_ *http.Response, body []byte, err error) { results <- result{body, err} })
	select {
	case r := <-results:
		return r.body, r.err
	case <-time.After(5 * time.Second):
		return nil, errors.New("call did not end within 5 s")
	}
}

// TestNothingIsRepeated checks that no request is sent twice, also if a reused connection
// closes.
func TestNothingIsRepeated(t *testing.T) {
	c := qt.New(t)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range [][]byte{nil, []byte("body")} {
			address, requests := rawServer(c, okAnswer, "")
			transport := peer.NewTransport(4)
			_, err := roundTrip(c, transport, method, address, body)
			c.Assert(err, qt.IsNil)
			_, err = roundTrip(c, transport, method, address, body)
			c.Assert(errors.Is(err, world.ErrBroken), qt.IsTrue, qt.Commentf("%s %q: %v", method, body, err))
			c.Assert(requests.Load(), qt.Equals, int64(2), qt.Commentf("%s %q", method, body))
		}
	}
}

func TestTruncatedResponses(t *testing.T) {
	c := qt.New(t)
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("part", 50<<10),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"",
	} {
		address, _ := rawServer(c, answer, "")
		l := peer.NewTransport(1)
		results := make(chan error, 1)
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
		c.Assert(err, qt.IsNil)
		conn := &closingTransport{l}
		peer.RoundTrip(conn, req, func(_ *http.Response, _ []byte, err error) { results <- err })
		c.Assert(errors.Is(<-results, world.ErrBroken), qt.IsTrue, qt.Commentf("%q", answer))
	}
}

// TestResetDuringARequest answers early and resets the connection while the request is being sent.
func TestResetDuringARequest(t *testing.T) {
	const runs = 100
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	for range runs {
		_, err := roundTrip(c, peer.NewTransport(1), http.MethodPost, l.Addr().String(), make([]byte, peer.MaxBodyBytes))
		c.Assert(errors.Is(err, world.ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
	}
}

func TestInvalidResponses(t *testing.T) {
	c := qt.New(t)
	for _, answer := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		address, _ := rawServer(c, answer, "")
		_, err := roundTrip(c, peer.NewTransport(1), http.MethodPost, address, nil)
		c.Assert(errors.Is(err, world.ErrBroken), qt.IsTrue, qt.Commentf("%q: %v", answer, err))
	}
}

// closingTransport cancels the request after 300 ms, which truncates the response.
type closingTransport struct{ http.RoundTripper }

func (t *closingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(req.Context(), 300*time.Millisecond)
	context.AfterFunc(ctx, cancel)
	return t.RoundTripper.RoundTrip(req.WithContext(ctx))
}

func TestNotSent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.7.8:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	_, err = roundTrip(c, peer.NewTransport(1), http.MethodGet, address, nil)
	c.Assert(errors.Is(err, world.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
}

// TestReplyToAnotherRequest checks that a reply with another request's ID is an error.
func TestReplyToAnotherRequest(t *testing.T) {
	c := qt.New(t)
	meta, err := proto.Marshal(&wire.ReplyMeta{RequestId: "other"})
	c.Assert(err, qt.IsNil)
	address, _ := rawServer(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nWagtailyoke-Reply: "+base64.StdEncoding.EncodeToString(meta)+"\r\n\r\nok")
	links := peer.NewLinks(timer.NewReal(), "the right secret")
	defer func() { _ = links.Close() }()
	failures := make(chan error, 1)
	call := &world.Call{ID: "r1", Method: http.MethodGet, Path: "/"}
	links.Forward(world.Address(address), call, func(_ *world.Reply, err error) { failures <- err })
	c.Assert(errors.Is(<-failures, world.ErrBroken), qt.IsTrue)
}

// echoHandler answers calls with a text of their fields, and heartbeats with the next epoch.
type echoHandler struct{}

func (echoHandler) ServePeer(call *world.Call, done func(*world.Reply)) func() {
	body := fmt.Sprintf("%s %s %d %s", call.Customer, call.Path, call.Budget, call.Body)
	done(&world.Reply{Status: http.StatusOK, Body: []byte(body), BudgetLeft: call.Budget, Level: 1.5})
	return func() {}
}

func (echoHandler) HandleControl(req proto.Message, done func(proto.Message)) {
	if m, ok := req.(*wire.BeatRequest); ok {
		done(&wire.BeatReply{Epoch: m.GetEpoch() + 1})
	}
}

func listen(c *qt.C, secret string) world.Address {
	base, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server, err := peer.Listen(base, secret, timer.NewReal(), echoHandler{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = server.Shutdown(context.Background()) })
	return world.Address(base.Addr().String())
}

func TestForwardAndControl(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewReal()
	to := listen(c, "the right secret")
	links := peer.NewLinks(clock, "the right secret")
	defer func() { _ = links.Close() }()
	replies := make(chan *world.Reply, 1)
	call := &world.Call{ID: "r1", Customer: "c", Method: http.MethodPost, Path: "/a?b=1", Body: []byte("hello"), Budget: 2, Deadline: clock.Now() + time.Second}
	links.Forward(to, call, func(r *world.Reply, err error) {
		c.Check(err, qt.IsNil)
		replies <- r
	})
	r := <-replies
	c.Assert(string(r.Body), qt.Equals, "c /a?b=1 2 hello")
	c.Assert(r.BudgetLeft, qt.Equals, 2)
	c.Assert(r.Level, qt.Equals, 1.5)
	beats := make(chan proto.Message, 1)
	links.Control(to, &wire.BeatRequest{Epoch: 6}, time.Second, func(m proto.Message, err error) {
		c.Check(err, qt.IsNil)
		beats <- m
	})
	c.Assert((<-beats).(*wire.BeatReply).GetEpoch(), qt.Equals, uint64(7))
}

func TestWrongSecretIsRefused(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewReal()
	to := listen(c, "the right secret")
	links := peer.NewLinks(clock, "another secret..")
	defer func() { _ = links.Close() }()
	failures := make(chan error, 2)
	links.Forward(to, &world.Call{ID: "r1", Method: http.MethodGet, Path: "/"}, func(_ *world.Reply, err error) { failures <- err })
	c.Assert(<-failures, qt.IsNotNil)
	links.Control(to, &wire.BeatRequest{}, time.Second, func(_ proto.Message, err error) { failures <- err })
	c.Assert(<-failures, qt.IsNotNil)
}

// BenchmarkControl measures one heartbeat between two nodes over loopback, both sides
// included.
func BenchmarkControl(b *testing.B) {
	c := qt.New(b)
	clock := timer.NewReal()
	to := listen(c, "the right secret")
	links := peer.NewLinks(clock, "the right secret")
	defer func() { _ = links.Close() }()
	req := &wire.BeatRequest{Node: &wire.NodeInfo{Name: "mill-st-stockdesk-1", Domain: "mill-st", Service: "stockdesk"}}
	for range 8 {
		req.Usages = append(req.Usages, &wire.Usage{Customer: "customer-1", Granted: 1000, Spent: 990})
	}
	b.ReportAllocs()
	for b.Loop() {
		done := make(chan struct{})
		links.Control(to, req, time.Second, func(proto.Message, error) { close(done) })
		<-done
	}
}

// BenchmarkForward measures one forwarded call between two nodes over loopback.
func BenchmarkForward(b *testing.B) {
	c := qt.New(b)
	clock := timer.NewReal()
	to := listen(c, "the right secret")
	links := peer.NewLinks(clock, "the right secret")
	defer func() { _ = links.Close() }()
	body := make([]byte, 500)
	b.ReportAllocs()
	for b.Loop() {
		done := make(chan struct{})
		call := &world.Call{ID: "r1", Method: http.MethodPost, Path: "/a", Body: body, Deadline: clock.Now() + time.Second}
		links.Forward(to, call, func(*world.Reply, error) { close(done) })
		<-done
	}
}

// serveEndless starts a server that answers with beginning and then repeats part until the
// client closes the connection. closed then receives the number of bytes written.
func serveEndless(c *qt.C, beginning, part string) (address string, closed <-chan int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	ends := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10)
		_, _ = conn.Read(make([]byte, 4096))
		total, err := conn.Write([]byte(beginning))
		for n := 0; err == nil; total += n {
			n, err = conn.Write([]byte(part))
		}
		ends <- total
	}()
	return l.Addr().String(), ends
}

// TestEndlessResponses checks that a response without end fails after a bounded number of bytes.
func TestEndlessResponses(t *testing.T) {
	// The maximum body of 1 MiB and the receive buffer of the socket, 6 MiB by default,
	// with some reserve.
	const maxSentBytes = 8 << 20
	for name, table := range map[string]struct{ beginning, part string }{
		"head":          {"HTTP/1.1 200 OK\r\n", "X: a\r\n"},
		"one header":    {"HTTP/1.1 200 OK\r\nX: ", "aaaa"},
		"no line":       {"", "a"},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body":          {"HTTP/1.1 200 OK\r\n\r\n", string(make([]byte, 4096))},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + string(make([]byte, 4096)) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, closed := serveEndless(c, table.beginning, table.part)
			_, err := roundTrip(c, peer.NewTransport(4), http.MethodGet, address, nil)
			c.Assert(errors.Is(err, world.ErrBroken), qt.IsTrue, qt.Commentf("%v", err))
			select {
			case n := <-closed:
				c.Assert(n < maxSentBytes, qt.IsTrue, qt.Commentf("%d bytes", n))
			case <-time.After(2 * time.Second):
				c.Fatal("the connection is still open")
			}
		})
	}
}
