package mesh

import (
	"io"
	"sync"
	"sync/atomic"

	"wagtailyoke/core/world"
)

// countedBody is the rest of an answer's body. The request counts as in progress until it is closed.
type countedBody struct {
	io.ReadCloser
	once  sync.Once
	ended func()
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.ended)
	return err
}

// endWithBody calls ended once the answer has been delivered with its whole body: after deliver or, if the body is
// streamed, when that is closed.
func endWithBody(r *world.Reply, deliver func(*world.Reply), ended func()) {
	if r.Rest == nil {
		deliver(r)
		ended()
		return
	}
	r.Rest = &countedBody{ReadCloser: r.Rest, ended: ended}
	deliver(r)
}

// watchedBody is the rest of an upstream's answer. It reports the error of a read, unless the body was closed before.
type watchedBody struct {
	io.ReadCloser
	isClosed atomic.Bool
	failed   func(error)
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF && !b.isClosed.Load() {
		b.failed(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	b.isClosed.Store(true)
	return b.ReadCloser.Close()
}
