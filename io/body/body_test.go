package body_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wagtailyoke/core/world"
	"wagtailyoke/io/body"
)

// numbered returns n bytes of which each part differs from the others.
func numbered(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i>>12 + i)
	}
	return b
}

// parts is a request body that is sent in parts.
type parts struct {
	left []byte
}

// Read implements io.Reader.
func (p *parts) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, io.EOF
	}
	time.Sleep(100 * time.Microsecond)
	n := copy(b, p.left[:min(len(p.left), 4<<10)])
	p.left = p.left[n:]
	return n, nil
}

// TestEarlyAnswerLeavesTheUploadAlone answers while a request's body is still being passed on.
func TestEarlyAnswerLeavesTheUploadAlone(t *testing.T) {
	want, begin := numbered(300<<10), numbered(body.WholeBytes+1)
	for name, test := range map[string]struct {
		length int64
		wrap   func(w http.ResponseWriter, r *http.Request)
	}{
		"length":  {length: int64(len(want))},
		"chunks":  {length: -1},
		"limited": {length: int64(len(want)), wrap: func(w http.ResponseWriter, r *http.Request) { r.Body = http.MaxBytesReader(w, r.Body, 1<<20) }},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var got []byte
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if test.wrap != nil {
					test.wrap(w, r)
				}
				data, upload, _, err := body.Read(w, r)
				c.Check(err, qt.IsNil)
				c.Check(len(data), qt.Equals, body.WholeBytes+1)
				answer, out := io.Pipe()
				go func() {
					// The answer ends after the upload.
					got, err = io.ReadAll(upload.Rest())
					c.Check(err, qt.IsNil)
					got = append(data, got...)
					_, _ = io.WriteString(out, " end")
					_ = out.Close()
				}()
				body.Write(w, &world.Reply{Status: http.StatusOK, Header: http.Header{}, Body: begin, Rest: answer, Length: -1}, upload)
			}))
			defer server.Close()
			req, err := http.NewRequest(http.MethodPost, server.URL, &parts{left: want})
			c.Assert(err, qt.IsNil)
			req.ContentLength = test.length
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			defer func() { _ = resp.Body.Close() }()
			answer, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(answer), qt.Equals, string(begin)+" end")
			c.Assert(len(got), qt.Equals, len(want))
			c.Assert(bytes.Equal(got, want), qt.IsTrue)
		})
	}
}

// listenUploads starts a server that replies to each request while its upload is being read. paths receives the
// paths of the requests.
func listenUploads(c *qt.C, replyBody []byte) (address string, paths <-chan string) {
	seen := make(chan string, 16)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.URL.Path
		_, upload, _, err := body.Read(w, r)
		if err != nil {
			return
		}
		if rest := upload.Rest(); rest != nil {
			go func() { _, _ = io.Copy(io.Discard, rest) }()
			time.Sleep(20 * time.Millisecond)
		}
		body.Write(w, &world.Reply{Status: http.StatusOK, Header: http.Header{}, Body: replyBody}, upload)
	}))
	c.Cleanup(server.Close)
	return server.Listener.Addr().String(), seen
}

// TestRestOfAnUploadIsNoRequest stops in the middle of an upload, reads the reply and sends a request as the rest
// of the body.
func TestRestOfAnUploadIsNoRequest(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	begin := strings.Repeat("u", body.WholeBytes+1)
	for name, head := range map[string]string{
		"chunks": "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", len(begin)) + begin + "\r\n",
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", len(begin)+len(smuggled)) + begin,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, paths := listenUploads(c, []byte("early"))
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			_, err = io.WriteString(conn, "POST /upload HTTP/1.1\r\nHost: h\r\n"+head)
			c.Assert(err, qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.Close, qt.IsTrue)
			got, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(got), qt.Equals, "early")
			// The server has given up the rest of the body by then.
			time.Sleep(600 * time.Millisecond)
			_, _ = io.WriteString(conn, smuggled)
			_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
			_, _ = io.Copy(io.Discard, conn)
			c.Assert(<-paths, qt.Equals, "/upload")
			c.Assert(paths, qt.HasLen, 0)
		})
	}
}

// TestClientMaySendAllOfItsBodyFirst reads the reply only after the upload.
func TestClientMaySendAllOfItsBodyFirst(t *testing.T) {
	c := qt.New(t)
	want := numbered(1 << 20)
	address, _ := listenUploads(c, want)
	upload := strings.Repeat("u", 8<<20)
	for range 10 {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
		_, err = io.WriteString(conn, fmt.Sprintf("POST /upload HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", len(upload))+upload)
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		got, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(bytes.Equal(got, want), qt.IsTrue)
		_ = conn.Close()
	}
}

// TestConnectionOfAWholeUploadIsKept replies after the end of the upload.
func TestConnectionOfAWholeUploadIsKept(t *testing.T) {
	c := qt.New(t)
	address, _ := listenUploads(c, []byte("late"))
	for _, size := range []int{10, body.WholeBytes, body.WholeBytes + 1, 1 << 20} {
		resp, err := http.Post("http://"+address+"/", "text/plain", strings.NewReader(strings.Repeat("u", size)))
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		c.Assert(resp.Close, qt.IsFalse, qt.Commentf("upload of %d bytes", size))
	}
}

// closeRecorder is the rest of a reply. It records how much of the upload had been read when it was closed.
type closeRecorder struct {
	io.Reader
	read        *atomic.Int64
	readAtClose int64
}

// Close implements io.Closer.
func (r *closeRecorder) Close() error {
	r.readAtClose = r.read.Load()
	return nil
}

// countedUpload counts the bytes read of a request's body.
type countedUpload struct {
	io.ReadCloser
	read *atomic.Int64
}

// Read implements io.Reader.
func (u countedUpload) Read(p []byte) (int, error) {
	n, err := u.ReadCloser.Read(p)
	u.read.Add(int64(n))
	return n, err
}

// TestStreamedReplyIsClosedLast replies before the end of an upload. A node that stops waits until the reply's rest
// is closed; the end of the reply must have been sent by then.
func TestStreamedReplyIsClosedLast(t *testing.T) {
	const size = 300 << 10
	c := qt.New(t)
	read := &atomic.Int64{}
	rest := &closeRecorder{Reader: strings.NewReader("rest"), read: read}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = countedUpload{r.Body, read}
		_, upload, _, err := body.Read(w, r)
		c.Check(err, qt.IsNil)
		body.Write(w, &world.Reply{Status: http.StatusOK, Header: http.Header{}, Rest: rest, Length: -1}, upload)
	}))
	req, err := http.NewRequest(http.MethodPost, server.URL, &parts{left: numbered(size)})
	c.Assert(err, qt.IsNil)
	req.ContentLength = size
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "rest")
	server.Close()
	c.Assert(rest.readAtClose, qt.Equals, int64(size))
}
