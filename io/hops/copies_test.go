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

// piece is a part of what the other side writes, after a pause.
type piece struct {
	after time.Duration
	bytes string
}

// TestLateCopiesReachNobody lets an endpoint send a second copy of its answer to call a: whole or in
// pieces, before or while call b is sent, of answers with and without bodies. Call b gets its own
// answer or none; the connection may end for it.
func TestLateCopiesReachNobody(t *testing.T) {
	const pause = 20 * time.Millisecond
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 005\r\n\r\n"
	noContent := "HTTP/1.1 204 No Content\r\n" + idHeader + ": a\r\n\r\n"
	notModified := "HTTP/1.1 304 Not Modified\r\n" + idHeader + ": a\r\nContent-Length: 005\r\n\r\n"
	interim := "HTTP/1.1 100 Continue\r\n\r\n"
	own := answer("b", "for b")
	for name, test := range map[string]struct {
		// methods are those of the calls a and b.
		methods [2]string
		// first is written at once after call a; then comes when call b is read.
		first, then []piece
	}{
		"copy at once":               {[2]string{"GET", "GET"}, []piece{{0, answer("a", "for a") + answer("a", "for a")}}, []piece{{0, own}}},
		"copy before b is sent":      {[2]string{"GET", "GET"}, []piece{{0, answer("a", "for a")}, {pause, answer("a", "for a")}}, []piece{{0, own}}},
		"copy before the answer":     {[2]string{"GET", "GET"}, []piece{{0, answer("a", "for a")}}, []piece{{0, answer("a", "for a") + own}}},
		"copy in pieces":             {[2]string{"GET", "GET"}, []piece{{0, answer("a", "for a")}}, []piece{{0, head[:20]}, {pause, head[20:] + "fo"}, {pause, "r a"}, {pause, own}}},
		"copy that breaks off":       {[2]string{"GET", "GET"}, []piece{{0, answer("a", "for a")}}, []piece{{0, head + "fo"}, {pause, own}}},
		"copy begun before b":        {[2]string{"GET", "GET"}, []piece{{0, answer("a", "for a")}, {pause, head[:20]}}, []piece{{pause, head[20:] + "for a" + own}}},
		"copy after an interim":      {[2]string{"GET", "GET"}, []piece{{0, interim + answer("a", "for a")}}, []piece{{0, interim + answer("a", "for a") + interim + own}}},
		"copy of a HEAD's answer":    {[2]string{"HEAD", "GET"}, []piece{{0, head}}, []piece{{0, head + own}}},
		"copy for a HEAD":            {[2]string{"GET", "HEAD"}, []piece{{0, answer("a", "for a")}}, []piece{{0, answer("a", "for a") + head}}},
		"copy of no content":         {[2]string{"GET", "GET"}, []piece{{0, noContent}}, []piece{{0, noContent + own}}},
		"copy of not modified":       {[2]string{"GET", "GET"}, []piece{{0, notModified}}, []piece{{0, notModified + own}}},
		"copy of an early answer":    {[2]string{"POST", "GET"}, []piece{{0, answer("a", "for a")}}, []piece{{0, answer("a", "for a") + own}}},
		"copy long after b's answer": {[2]string{"GET", "GET"}, []piece{{0, answer("a", "for a")}}, []piece{{0, own}, {pause, answer("a", "for a")}}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := listenForTwo(c, test.first, test.then)
			p := newPool()
			for i, id := range []string{"a", "b", "c"} {
				method := "GET"
				if i < len(test.methods) {
					method = test.methods[i]
				}
				r := send(p, hops.Request{Address: address, Method: method, URI: "/", Host: "h", Header: http.Header{idHeader: {id}}})
				if r.err == nil {
					c.Assert(r.resp.Header.Get(idHeader), qt.Equals, id)
					c.Assert(string(r.resp.Body) == "" || string(r.resp.Body) == "for "+id, qt.IsTrue, qt.Commentf("call %s got %q", id, r.resp.Body))
				}
				time.Sleep(3 * pause)
			}
		})
	}
}

// listenForTwo answers the first call of a connection with some pieces, the second with others, and
// all calls of later connections by their id.
func listenForTwo(c *qt.C, first, then []piece) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveTwo(conn, n == 0, first, then)
		}
	}()
	return l.Addr().String()
}

func serveTwo(conn net.Conn, isFirst bool, first, then []piece) {
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
			go writePieces(conn, first)
		case isFirst && n == 1:
			go writePieces(conn, then)
		default:
			_, _ = io.WriteString(conn, answer(id, "for "+id))
		}
	}
}

func writePieces(conn net.Conn, pieces []piece) {
	for _, p := range pieces {
		time.Sleep(p.after)
		_, _ = io.WriteString(conn, p.bytes)
	}
}
