package hops

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"wagtailyoke/core/world"
)

// RoundTrip implements http.RoundTripper, for clients of net/http. The body of the request is read first; the
// request is sent once.
func (p *Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	req := Request{Address: r.URL.Host, Method: r.Method, URI: r.URL.RequestURI(), Host: r.Host, Header: r.Header}
	if req.Host == "" {
		req.Host = r.URL.Host
	}
	if r.Body != nil {
		var err error
		req.Body, err = io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil {
			return nil, errors.Wrap(world.ErrNotSent, err.Error())
		}
	}
	type result struct {
		resp *Response
		err  error
	}
	results := make(chan result, 1)
	cancel := p.Do(req, func(resp *Response, err error) { results <- result{resp, err} })
	ctx := r.Context()
	// It also ends the reading of a body, and has no effect after its end.
	context.AfterFunc(ctx, cancel)
	select {
	case got := <-results:
		if got.err != nil {
			return nil, got.err
		}
		return newHTTPResponse(got.resp, r), nil
	case <-ctx.Done():
		// The call ends once its connection is closed, or its dial has ended.
		go func() {
			if got := <-results; got.err == nil && got.resp.Rest != nil {
				_ = got.resp.Rest.Close()
			}
		}()
		return nil, ctx.Err()
	}
}

func newHTTPResponse(resp *Response, r *http.Request) *http.Response {
	h := &http.Response{
		Status:        http.StatusText(resp.Status),
		StatusCode:    resp.Status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        resp.Header,
		Body:          io.NopCloser(bytes.NewReader(resp.Body)),
		ContentLength: int64(len(resp.Body)),
		Request:       r,
	}
	if resp.Rest != nil {
		h.ContentLength = resp.Length
		h.Body = &partlyReadBody{Reader: io.MultiReader(bytes.NewReader(resp.Body), resp.Rest), Closer: resp.Rest}
	}
	return h
}

// partlyReadBody is the body of a response of which some is buffered.
type partlyReadBody struct {
	io.Reader
	io.Closer
}
