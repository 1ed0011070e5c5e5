package hops_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/io/hops"
)

// delayedWrite is data that the server writes after a delay.
type delayedWrite struct {
	delay time.Duration
	data  string
}

// TestDuplicateResponsesAreSkipped checks that a duplicate of the response to request a is never
// taken for the response to request b. The duplicate is complete or in parts, is sent before or
// during request b, and has a body or none. Request b gets its own response or an error; the
// connection may be closed.
func TestDuplicateResponsesAreSkipped(t *testing.T) {
	const pause = 20 * time.Millisecond
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 005\r\n\r\n"
	noContent := "HTTP/1.1 204 No Content\r\n" + idHeader + ": a\r\n\r\n"
	notModified := "HTTP/1.1 304 Not Modified\r\n" + idHeader + ": a\r\nContent-Length: 005\r\n\r\n"
	interim := "HTTP/1.1 100 Continue\r\n\r\n"
	own := answer("b", "for b")
	for name, test := range map[string]struct {
		// methods are the methods of the requests a and b.
		methods [2]string
		// first is written after request a was read, then after request b was read.
		first, then []delayedWrite
	}{
		"duplicate at once":                   {[2]string{"GET", "GET"}, []delayedWrite{{0, answer("a", "for a") + answer("a", "for a")}}, []delayedWrite{{0, own}}},
		"duplicate before b is sent":          {[2]string{"GET", "GET"}, []delayedWrite{{0, answer("a", "for a")}, {pause, answer("a", "for a")}}, []delayedWrite{{0, own}}},
		"duplicate before b's response":       {[2]string{"GET", "GET"}, []delayedWrite{{0, answer("a", "for a")}}, []delayedWrite{{0, answer("a", "for a") + own}}},
		"duplicate in parts":                  {[2]string{"GET", "GET"}, []delayedWrite{{0, answer("a", "for a")}}, []delayedWrite{{0, head[:20]}, {pause, head[20:] + "fo"}, {pause, "r a"}, {pause, own}}},
		"truncated duplicate":                 {[2]string{"GET", "GET"}, []delayedWrite{{0, answer("a", "for a")}}, []delayedWrite{{0, head + "fo"}, {pause, own}}},
		"duplicate begun before b is sent":    {[2]string{"GET", "GET"}, []delayedWrite{{0, answer("a", "for a")}, {pause, head[:20]}}, []delayedWrite{{pause, head[20:] + "for a" + own}}},
		"duplicate after an interim response": {[2]string{"GET", "GET"}, []delayedWrite{{0, interim + answer("a", "for a")}}, []delayedWrite{{0, interim + answer("a", "for a") + interim + own}}},
		"duplicate of a HEAD response":        {[2]string{"HEAD", "GET"}, []delayedWrite{{0, head}}, []delayedWrite{{0, head + own}}},
		"duplicate before a HEAD response":    {[2]string{"GET", "HEAD"}, []delayedWrite{{0, answer("a", "for a")}}, []delayedWrite{{0, answer("a", "for a") + head}}},
		"duplicate of 204":                    {[2]string{"GET", "GET"}, []delayedWrite{{0, noContent}}, []delayedWrite{{0, noContent + own}}},
		"duplicate of 304":                    {[2]string{"GET", "GET"}, []delayedWrite{{0, notModified}}, []delayedWrite{{0, notModified + own}}},
		"duplicate of a POST response":        {[2]string{"POST", "GET"}, []delayedWrite{{0, answer("a", "for a")}}, []delayedWrite{{0, answer("a", "for a") + own}}},
		"duplicate after b's response":        {[2]string{"GET", "GET"}, []delayedWrite{{0, answer("a", "for a")}}, []delayedWrite{{0, own}, {pause, answer("a", "for a")}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := listenScripted(c, test.first, test.then)
			p := newPool()
			for i, id := range []string{"a", "b", "c"} {
				method := "GET"
				if i < len(test.methods) {
					method = test.methods[i]
				}
				r := send(p, hops.Request{Address: address, Method: method, URI: "/", Host: "h", Header: http.Header{idHeader: {id}}})
				if r.err == nil {
					c.Assert(r.resp.Header.Get(idHeader), qt.Equals, id)
					c.Assert(string(r.resp.Body) == "" || string(r.resp.Body) == "for "+id, qt.IsTrue, qt.Commentf("request %s got %q", id, r.resp.Body))
				}
				time.Sleep(3 * pause)
			}
		})
	}
}

// listenScripted starts a server that answers the first request of its first connection with the
// writes in first and the second with those in then. Other requests get a response with their ID.
func listenScripted(c *qt.C, first, then []delayedWrite) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveScripted(conn, n == 0, first, then)
		}
	}()
	return l.Addr().String()
}

func serveScripted(conn net.Conn, isFirst bool, first, then []delayedWrite) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		switch id := req.Header.Get(idHeader); {
		case isFirst && n == 0:
			go writeDelayed(conn, first)
		case isFirst && n == 1:
			go writeDelayed(conn, then)
		default:
			_, _ = io.WriteString(conn, answer(id, "for "+id))
		}
	}
}

func writeDelayed(conn net.Conn, writes []delayedWrite) {
	for _, w := range writes {
		time.Sleep(w.delay)
		_, _ = io.WriteString(conn, w.data)
	}
}

// TestDuplicateRefusalDoesNotAnswerTheNextAttempt sends a request again after the server has refused it, and
// the server repeats the refusal while it runs the request. Other requests pass the connection in between.
func TestDuplicateRefusalDoesNotAnswerTheNextAttempt(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + idHeader + ": a\r\n" + refusalHeader + ": 1\r\nContent-Length: 000\r\n\r\n"
	for name, ids := range map[string][]string{"at once": {"a", "a"}, "later": {"a", "b", "c", "a"}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newPool()
			answers := []string{refusal}
			for _, id := range ids[1 : len(ids)-1] {
				answers = append(answers, answer(id, "for "+id))
			}
			address := listenScript(c, append(answers, refusal+answer("a", "for a")), []string{answer("a", "for a")})
			for i, id := range ids {
				r := get(p, address, id)
				c.Assert(r.err, qt.IsNil)
				if i > 0 {
					c.Assert(string(r.resp.Body), qt.Equals, "for "+id)
				}
			}
		})
	}
}
