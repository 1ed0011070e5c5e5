// Package body moves bodies of requests and replies: what is small is held whole, so that
// a request can be sent again and a cut answer is noticed before any of it is passed on;
// the rest streams.
//
// # Usage
//
//	data, rest, length, err := body.Read(r)
//	err := body.Write(w, reply)
package body

import (
	"io"
	"net/http"
	"strconv"

	"wagtailyoke/core/world"
)

// WholeBytes is the size up to which a body is held whole: a node then holds at most
// this much for each call in flight.
const WholeBytes = 128 << 10

// Read reads the body of a request up to WholeBytes. rest is nil if that is all of it.
func Read(r *http.Request) (data []byte, rest io.Reader, length int64, err error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil, 0, nil
	}
	data, err = io.ReadAll(io.LimitReader(r.Body, WholeBytes+1))
	if err != nil {
		return nil, nil, 0, err
	}
	if len(data) <= WholeBytes {
		return data, nil, int64(len(data)), nil
	}
	return data, r.Body, r.ContentLength, nil
}

// Write writes status and body of a reply whose headers are set. It panics with
// http.ErrAbortHandler if the rest of the body cannot be read: the connection is then cut,
// so that the answer does not look complete.
func Write(w http.ResponseWriter, r *world.Reply) {
	h := w.Header()
	switch {
	case r.Rest == nil:
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	case r.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	default:
		h.Del("Content-Length")
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
	if r.Rest == nil {
		return
	}
	defer func() { _ = r.Rest.Close() }()
	if _, err := io.Copy(w, r.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// DropHopHeaders removes the headers that concern one connection only.
func DropHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
