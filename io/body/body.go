// Package body reads request bodies and writes replies. Bodies of up to WholeBytes are
// buffered, so that a request can be retried and a truncated response is detected before
// any part of it is forwarded. Longer bodies are streamed.
//
// # Usage
//
//	data, upload, length, err := body.Read(w, r)
//	body.Write(w, reply, upload)
package body

import (
	"io"
	"net/http"
	"strconv"

	"wagtailyoke/core/world"
)

// WholeBytes is the size up to which a body is buffered, and so the maximum that a node
// buffers of a body for each call in progress.
const WholeBytes = 128 << 10

// Read buffers a request body of up to WholeBytes. If the body is longer, upload is the
// remainder and length the Content-Length, or -1 if unknown.
func Read(w http.ResponseWriter, r *http.Request) (data []byte, upload *Upload, length int64, err error) {
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
	upload, err = newUpload(w, r)
	return data, upload, r.ContentLength, err
}

// Write writes the status and body of a reply; the caller has set the other headers. If
// the rest of the body cannot be read, it panics with http.ErrAbortHandler, which closes
// the connection, so that the client does not take the response for complete. The reply's
// Rest is closed after what is left of the upload has been read: net/http sends the end of
// a reply in chunks only then.
func Write(w http.ResponseWriter, r *world.Reply, upload *Upload) {
	h := w.Header()
	switch {
	case r.Rest == nil:
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	case r.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	default:
		h.Del("Content-Length")
	}
	upload.BeginReply(h)
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
	if r.Rest != nil {
		defer func() { _ = r.Rest.Close() }()
		if _, err := io.Copy(w, r.Rest); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	upload.EndReply(w)
}

// hopByHopHeaders are the headers that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// DropHopHeaders removes the headers that apply to a single connection.
func DropHopHeaders(h http.Header) {
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
