package body

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Upload is the part of a request's body that was not buffered. It may be read while the reply is written. A nil
// Upload is a body that was buffered as a whole.
type Upload struct {
	// hasEnded is set at the regular end of the body.
	hasEnded atomic.Bool

	// mu is held during a read.
	mu   sync.Mutex
	body io.Reader
	// err is the error that ended the body, io.EOF at its regular end.
	err error
}

// finishTimeout bounds how long the rest of an upload is read after its reply. The close of a connection with
// unread bytes resets it, and the client loses what it has not yet read of the reply.
const finishTimeout = 500 * time.Millisecond

// newUpload returns the rest of a request's body. It disables net/http's own reading of it: up to 256 KiB before a
// reply is written, which the body passed on would then lack.
func newUpload(w http.ResponseWriter, r *http.Request) (*Upload, error) {
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return nil, errors.Wrap(err, "stream request body")
	}
	return &Upload{body: r.Body}, nil
}

// Rest returns the upload, or nil for a nil Upload.
func (u *Upload) Rest() io.Reader {
	if u == nil {
		return nil
	}
	return u
}

// Read implements io.Reader.
func (u *Upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.err != nil {
		return 0, u.err
	}
	n, err := u.body.Read(p)
	u.err = err
	if err == io.EOF {
		u.hasEnded.Store(true)
	}
	return n, err
}

// BeginReply sets Connection: close if the body has not ended: what is left of it must not be read as the next
// request.
func (u *Upload) BeginReply(h http.Header) {
	if u != nil && !u.hasEnded.Load() {
		h.Set("Connection", "close")
	}
}

// EndReply sends what was written of the reply and reads the rest of the body, for at most finishTimeout. No read of
// the body is in progress afterwards.
func (u *Upload) EndReply(w http.ResponseWriter) {
	if u == nil || u.hasEnded.Load() {
		return
	}
	c := http.NewResponseController(w)
	// If the client has gone, the reads fail as well.
	_ = c.Flush()
	if err := c.SetReadDeadline(time.Now().Add(finishTimeout)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, u)
}
