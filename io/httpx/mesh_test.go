package httpx_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"wagtailyoke/core/mesh"
	"wagtailyoke/core/table"
	"wagtailyoke/core/world"
	"wagtailyoke/io/body"
	"wagtailyoke/io/httpx"
)

var errCut = errors.New("upstream broke off")

// cutRest is the rest of an answer that is broken off after some bytes.
type cutRest struct {
	left int
}

// Read implements io.Reader.
func (r *cutRest) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, errCut
	}
	n := min(len(p), r.left)
	r.left -= n
	return n, nil
}

// Close implements io.Closer.
func (r *cutRest) Close() error { return nil }

// cutNode answers each request with an answer that is broken off.
type cutNode struct {
	length int64
}

func (n cutNode) Serve(_ mesh.Incoming, done func(*world.Reply)) (cancel func()) {
	done(&world.Reply{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, body.WholeBytes+1), Rest: &cutRest{left: 100}, Length: n.length})
	return func() {}
}

func (cutNode) Limits() (table.Limits, bool) { return table.Limits{}, false }

func (cutNode) IsStopping() bool { return false }

// plainDialect takes each request as a call.
type plainDialect struct{}

func (plainDialect) Read(r *http.Request) (mesh.Incoming, bool) {
	return mesh.Incoming{Call: world.Call{ID: "a", Method: r.Method, Path: r.RequestURI, Header: r.Header}}, true
}

func (plainDialect) DressRefusal(http.Header, world.RequestID, *world.Reply) {}

// TestAbortedAnswerDoesNotLookComplete breaks answers off while they are passed on. A caller that closes its
// connections, or speaks HTTP/1.0, must notice.
func TestAbortedAnswerDoesNotLookComplete(t *testing.T) {
	for _, length := range []int64{-1, 1 << 20} {
		server := httptest.NewServer(httpx.NewMeshFront(cutNode{length}, plainDialect{}))
		for _, head := range []string{"HTTP/1.1\r\nHost: h\r\n", "HTTP/1.1\r\nHost: h\r\nConnection: close\r\n", "HTTP/1.0\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n"} {
			t.Run(strings.Split(head, "\r\n")[0], func(t *testing.T) {
				c := qt.New(t)
				conn, err := net.Dial("tcp", server.Listener.Addr().String())
				c.Assert(err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
				_, err = io.WriteString(conn, "GET / "+head+"\r\n")
				c.Assert(err, qt.IsNil)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				c.Assert(err, qt.IsNotNil, qt.Commentf("%q", head))
			})
		}
		server.Close()
	}
}
