package hops_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"wagtailyoke/io/hops"
)

// newClient returns a client that buffers up to 1 KiB of a response.
func newClient() *http.Client {
	return &http.Client{Transport: hops.New(hops.Options{Dial: time.Second, Idle: time.Minute, IdlePerAddress: 4, Whole: 1 << 10})}
}

func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		c.Check(err, qt.IsNil)
		w.Header().Set("X-Request", r.Method+" "+r.Host+r.RequestURI+" "+r.Header.Get("X-A"))
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(body)
	}))
	c.Cleanup(server.Close)
	client := newClient()
	for _, size := range []int{0, 10, 1 << 10, 1<<10 + 1, 1 << 20} {
		want := strings.Repeat("b", size)
		req, err := http.NewRequest(http.MethodPut, server.URL+"/a%2Fb?c=d", strings.NewReader(want))
		c.Assert(err, qt.IsNil)
		req.Header.Set("X-A", "1")
		resp, err := client.Do(req)
		c.Assert(err, qt.IsNil)
		got, err := io.ReadAll(resp.Body)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		c.Assert(string(got), qt.Equals, want)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusCreated)
		c.Assert(resp.Header.Get("X-Request"), qt.Equals, "PUT "+strings.TrimPrefix(server.URL, "http://")+"/a%2Fb?c=d 1")
	}
}

// TestRoundTripEndsWithItsContext lets the time of a request pass before the head and within the body of its response.
func TestRoundTripEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	for _, beginning := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("p", 3000)} {
		address, sent := serveEndless(c, beginning, "")
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
		c.Assert(err, qt.IsNil)
		resp, err := newClient().Do(req)
		if beginning == "" {
			c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
		} else {
			c.Assert(err, qt.IsNil)
			_, err = io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNotNil)
		}
		select {
		case <-sent:
		case <-time.After(time.Second):
			c.Fatal("the connection is still open")
		}
	}
}
