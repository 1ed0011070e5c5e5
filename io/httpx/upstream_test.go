package httpx_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/node"
	"wagtailyoke/core/timer"
	"wagtailyoke/core/world"
	"wagtailyoke/io/httpx"
)

// listen starts a server that writes answer(id) for each request and closes the connection if it says so.
func listen(c *qt.C, answer func(id string) (bytes string, closes bool)) string {
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
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					bytes, closes := answer(req.Header.Get(node.HeaderRequestID))
					if _, err := io.WriteString(conn, bytes); err != nil || closes {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

type upstreamResult struct {
	reply *world.Reply
	err   error
}

func do(u *httpx.Upstream, clock timer.Service, id string) upstreamResult {
	results := make(chan upstreamResult, 1)
	call := &world.Call{ID: world.RequestID(id), Method: http.MethodGet, Path: "/x", Deadline: clock.Now() + 5*time.Second}
	u.Do(call, "token", func(r *world.Reply, err error) { results <- upstreamResult{r, err} })
	return <-results
}

func answerTo(id string) string {
	body := "for " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", node.HeaderRequestID, id, len(body), body)
}

// TestRepeatedAnswerIsNotTakenForTheNext repeats the answer to the first request before that to the second.
func TestRepeatedAnswerIsNotTakenForTheNext(t *testing.T) {
	c := qt.New(t)
	address := listen(c, func(id string) (string, bool) {
		if id == "b" {
			return answerTo("a") + answerTo("b"), false
		}
		return answerTo(id), false
	})
	clock := timer.NewReal()
	u := httpx.NewUpstream(address, clock)
	for _, id := range []string{"a", "b"} {
		got := do(u, clock, id)
		c.Assert(got.err, qt.IsNil)
		c.Assert(string(got.reply.Body), qt.Equals, "for "+id)
	}
}

// TestAnswerCutInItsHeadIsNone closes the connection after each byte of an answer's head.
func TestAnswerCutInItsHeadIsNone(t *testing.T) {
	c := qt.New(t)
	head := "HTTP/1.1 200 OK\r\n" + node.HeaderRequestID + ": a\r\nContent-Length: 5\r\n\r\n"
	clock := timer.NewReal()
	for n := 1; n <= len(head); n++ {
		address := listen(c, func(string) (string, bool) { return head[:n], true })
		got := do(httpx.NewUpstream(address, clock), clock, "a")
		c.Assert(got.err, qt.IsNotNil, qt.Commentf("cut after %q: %+v", head[:n], got.reply))
	}
}

// TestBrokenAnswersAreNone sends answers that are not whole or not valid HTTP.
func TestBrokenAnswersAreNone(t *testing.T) {
	c := qt.New(t)
	const ok = "HTTP/1.1 200 OK\r\n"
	length := "Content-Length: 5\r\n"
	clock := timer.NewReal()
	for _, answer := range []string{
		"HTTP/1.1 000 OK\r\n" + length + "\r\nwhole", "HTTP/1.1 999 OK\r\n" + length + "\r\nwhole", "HTTP/2.0 200 OK\r\n" + length + "\r\nwhole",
		ok + length + "X Bad: 1\r\n\r\nwhole", ok + length + "X-Bad\t: 1\r\n\r\nwhole", ok + length + "X\x01Bad: 1\r\n\r\nwhole",
		ok + "Content-Length : 5\r\n\r\nwhole", ok + "Content-Length: 9\r\n\r\nwhole",
		ok + length + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
	} {
		got := do(httpx.NewUpstream(listen(c, func(string) (string, bool) { return answer, true }), clock), clock, "a")
		c.Assert(got.err, qt.IsNotNil, qt.Commentf("%q: %+v", answer, got.reply))
	}
	got := do(httpx.NewUpstream(listen(c, func(string) (string, bool) { return ok + "\r\nwhole", true }), clock), clock, "a")
	c.Assert(got.err, qt.IsNil)
	c.Assert(string(got.reply.Body), qt.Equals, "whole")
}

func TestUpstreamsNoticeIsRead(t *testing.T) {
	c := qt.New(t)
	address := listen(c, func(id string) (string, bool) {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 2.5\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", node.HeaderCallLimit, node.HeaderLeaving), false
	})
	clock := timer.NewReal()
	got := do(httpx.NewUpstream(address, clock), clock, "a")
	c.Assert(got.err, qt.IsNil)
	c.Assert(*got.reply.Notice, qt.Equals, world.UpstreamNotice{HasCallLimit: true, CallLimit: 2.5, IsLeaving: true})
}
